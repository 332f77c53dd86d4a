// The backend servers that are registered in the store.
#ifndef SRC_ENTRY_BALANCING_SERVER_DIRECTORY_H_
#define SRC_ENTRY_BALANCING_SERVER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "routing/backend_server.h"

namespace gentianreach::entry {

// Keeps the entries of all servers. An entry that disappears around an outage
// of the store may only have expired, and a live server then writes it again.
// So removals can be deferred until it is known which servers are gone.
class ServerDirectory {
 public:
  // Adds or replaces an entry. The entries before it were complete up to
  // `current_at`, so a server that drains may have done so since then. Returns
  // false, without effect, if a later state of the server is known: its reports
  // may reach the store out of order.
  bool Put(routing::BackendServer server, TimePoint current_at);
  // Handles the removal of an entry at `now`. A draining server is always
  // removed at once.
  void Remove(const ServerId& id, TimePoint now);
  // Removes all entries that are not among `present`. Returns their ids.
  std::vector<ServerId> RemoveOthers(const std::vector<ServerId>& present,
                                     TimePoint now);

  // The incarnation of `id` has stated that it leaves, whatever its entry says:
  // it counts as draining since `now` at the latest, until the server starts
  // again. Returns whether that is news. An entry that drains is such a
  // statement, too.
  bool MarkLeaving(const ServerId& id, Incarnation incarnation, TimePoint now);
  // The server `id`, which has an entry, is expected to be slow until
  // `warm_at`, whatever its entry says. Holds until its next entry.
  void SetWarmAt(const ServerId& id, TimePoint warm_at) {
    servers_.at(id).warm_at = warm_at;
  }
  // A server that has stated that it leaves.
  struct Leaving {
    Incarnation incarnation;
    TimePoint since;
    // Whether the entry says so too.
    bool entry_drains = false;
  };
  // Returns the servers that have stated that they leave.
  [[nodiscard]] const std::map<ServerId, Leaving>& leaving() const {
    return leaving_;
  }

  // Sets whether removals are deferred. If not, removes the servers whose
  // removal was deferred, and returns their ids.
  std::set<ServerId> SetRemovalsDeferred(bool deferred, TimePoint now);

  // A server whose entry was removed.
  struct Removed {
    routing::BackendServer server;  // By its last entry.
    TimePoint at;
  };
  // Returns the servers whose entries were removed not long ago.
  [[nodiscard]] const std::map<ServerId, Removed>& removed() const {
    return removed_;
  }

  // Returns the servers whose removal is deferred.
  [[nodiscard]] const std::set<ServerId>& deferred_removals() const {
    return deferred_removals_;
  }

  // Returns the servers, sorted by id.
  [[nodiscard]] const std::map<ServerId, routing::BackendServer>& servers()
      const {
    return servers_;
  }
  [[nodiscard]] const routing::BackendServer* Find(const ServerId& id) const;
  // Returns the servers of a service, sorted by id. Valid until the entries
  // change.
  [[nodiscard]] const std::vector<const routing::BackendServer*>& OfService(
      const std::string& service) const;
  // Returns a number that grows with each change of the entries.
  [[nodiscard]] std::uint64_t changes() const { return changes_; }

 private:
  // A report on the state of a server.
  struct Report {
    Incarnation incarnation;
    std::optional<std::uint64_t> number;
    // Until when it was the last one known.
    TimePoint known_at;
  };

  // Returns whether a later report than that of `server` is known.
  [[nodiscard]] bool IsOutdated(const routing::BackendServer& server) const;
  // Returns the last known report of a server.
  [[nodiscard]] std::optional<Report> LastReport(const ServerId& id) const;
  // Removes an entry, which exists.
  void Erase(const ServerId& id, TimePoint now);
  // Applies the statement that `server` leaves, if there is one.
  void ApplyLeaving(routing::BackendServer& server) const;

  std::map<ServerId, routing::BackendServer> servers_;
  // Servers whose entries were removed not long ago, as outdated reports may
  // still create them again.
  std::map<ServerId, Removed> removed_;
  // Of servers with an entry and of removed servers.
  std::map<ServerId, Leaving> leaving_;
  std::set<ServerId> deferred_removals_;
  bool removals_deferred_ = false;
  std::uint64_t changes_ = 0;
  // By service, as of `indexed_changes_`; see OfService().
  mutable std::map<std::string, std::vector<const routing::BackendServer*>>
      index_;
  mutable std::uint64_t indexed_changes_ = 0;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_BALANCING_SERVER_DIRECTORY_H_
