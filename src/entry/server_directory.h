// The backend servers that exist, by what the store says.
#ifndef SRC_ENTRY_SERVER_DIRECTORY_H_
#define SRC_ENTRY_SERVER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "routing/backend_server.h"

namespace gentianreach::entry {

// Keeps the entries of all servers. An entry that vanishes around an outage of
// the store may only have lapsed: a live server writes it again, so it is kept
// until the doubt has passed.
class ServerDirectory {
 public:
  // Adds or replaces an entry.
  void Put(routing::BackendServer server, TimePoint now);
  // An entry was removed. One that was draining goes at once.
  void Remove(const ServerId& id);
  // Removes all entries that are not among `present`.
  void RemoveOthers(const std::vector<ServerId>& present);

  // Sets whether vanished entries may only have lapsed. Returns whether this
  // removed any.
  bool SetRemovalsDeferred(bool doubt);

  // Returns the servers, sorted by id.
  [[nodiscard]] const std::map<ServerId, routing::BackendServer>& servers()
      const {
    return servers_;
  }
  [[nodiscard]] const routing::BackendServer* Find(const ServerId& id) const;
  // Returns a number that grows with each change of the entries.
  [[nodiscard]] std::uint64_t changes() const { return changes_; }

 private:
  std::map<ServerId, routing::BackendServer> servers_;
  // Entries that may have lapsed.
  std::set<ServerId> lapsed_;
  bool doubt_ = false;
  std::uint64_t changes_ = 0;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_SERVER_DIRECTORY_H_
