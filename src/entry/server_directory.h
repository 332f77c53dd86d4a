// The backend servers that exist, by what the store says.
#ifndef SRC_ENTRY_SERVER_DIRECTORY_H_
#define SRC_ENTRY_SERVER_DIRECTORY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "routing/backend_server.h"

namespace gentianreach::entry {

// Keeps the entries of all servers. An entry that vanishes while the store is
// unreachable, or shortly after it returned, may only have lapsed: a live
// server writes it again, so it is kept for a while.
class ServerDirectory {
 public:
  // Adds or replaces an entry.
  void Put(routing::BackendServer server, TimePoint now);
  // An entry was removed. One that was draining goes at once.
  void Remove(const ServerId& id, TimePoint now);
  // Removes all entries that are not among `present`.
  void RemoveOthers(const std::vector<ServerId>& present, TimePoint now);

  // The store cannot be reached, and has been reached again.
  void OnStoreLost() { store_lost_ = true; }
  void OnStoreBack(TimePoint now);
  // Drops the entries whose time has run out; returns whether there were any.
  bool Expire(TimePoint now);

  // Returns the servers, sorted by id.
  [[nodiscard]] const std::map<ServerId, routing::BackendServer>& servers()
      const {
    return servers_;
  }
  [[nodiscard]] const routing::BackendServer* Find(const ServerId& id) const;

 private:
  std::map<ServerId, routing::BackendServer> servers_;
  // Entries that may have lapsed, until they are taken for gone.
  std::map<ServerId, TimePoint> lapsed_;
  bool store_lost_ = false;
  TimePoint trusted_from_{};
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_SERVER_DIRECTORY_H_
