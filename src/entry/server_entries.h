// Applies the store's server entries to the directory, and logs what changes.
#ifndef SRC_ENTRY_SERVER_ENTRIES_H_
#define SRC_ENTRY_SERVER_ENTRIES_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string_view>
#include <vector>

#include "entry/entry_state.h"
#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "platform/platform_client.h"

namespace gentianreach::entry {

// In all calls, the entries before the new ones were complete up to
// `current_at`, and `source` is where the new ones come from, for the log.
class ServerEntries {
 public:
  explicit ServerEntries(EntryState& state) : state_(state) {}

  // Replaces all entries.
  void ApplyList(const std::vector<platform::Object>& objects,
                 TimePoint current_at,
                 std::string_view source);
  // Applies changed and removed entries.
  void ApplyEvents(const std::vector<platform::Object>& objects,
                   TimePoint current_at,
                   std::string_view source);
  // Returns the number of entries that name no server to use.
  [[nodiscard]] std::size_t unusable() const { return unusable_.size(); }

 private:
  // Adds or replaces an entry. Removes a server whose entry is invalid.
  void Put(const platform::Object& object,
           TimePoint current_at,
           std::string_view source);
  // `revision` is that of the removal, or 0 if a list lacks the server.
  void LogRemoval(const ServerId& id, std::uint64_t revision) const;

  EntryState& state_;
  // Servers whose entries are invalid. Each is logged once.
  std::set<ServerId> unusable_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_SERVER_ENTRIES_H_
