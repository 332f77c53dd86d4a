// The cell record: reading, writing, searching and checking it.
//
// Code works on the generated object type. A record is changed by copying it;
// `CheckSuccessor` ends the process rather than let a change that breaks an
// invariant reach the store.
#ifndef SRC_CELL_RECORD_H_
#define SRC_CELL_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cell_generated.h"
#include "gentianreach/ids.h"
#include "gentianreach/key.h"

namespace gentianreach::cell {

using Record = stored::CellT;

// Returns the record in `bytes`, or nothing where they hold none.
[[nodiscard]] std::optional<Record> ParseRecord(
    const std::vector<std::uint8_t>& bytes);
// Returns the record as stored.
[[nodiscard]] std::vector<std::uint8_t> SerializeRecord(const Record& record);

// Returns the server or member of that id, or null.
[[nodiscard]] stored::ServerT* FindServer(const Record& record,
                                          const std::string& id);
[[nodiscard]] stored::MemberT* FindMember(const Record& record,
                                          const std::string& daemon);
// Returns the range of the service that holds `hash`, or null.
[[nodiscard]] stored::RangeT* FindRange(const Record& record,
                                        const std::string& service,
                                        KeyHash hash);
// Returns whether a range is owned by the server or moving to it.
[[nodiscard]] bool HoldsRanges(const Record& record, const std::string& server);

// Returns the greatest number of `members` that may be lost while the others
// keep their permits.
[[nodiscard]] constexpr std::size_t TolerableLosses(std::size_t members) {
  return members / 3;
}

// Ends the process unless the ranges of each service cover its space once, in
// order, and all tokens and generations were drawn from `next_token`.
void CheckRecord(const Record& record);

// Ends the process unless `after` may follow `before`: no counter falls, no
// position's token falls, a new owner has a new token.
void CheckSuccessor(const Record& before, const Record& after);

}  // namespace gentianreach::cell

#endif  // SRC_CELL_RECORD_H_
