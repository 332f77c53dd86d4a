// Functions to parse, serialize, search and validate the cell record.
//
// Records use the generated object type. To change one, copy it. Before a
// changed record is written to the store, `CheckSuccessor` aborts the process
// if the change violates an invariant.
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

// Returns the record in `bytes`, or nullopt if they are not a valid record.
[[nodiscard]] std::optional<Record> ParseRecord(
    const std::vector<std::uint8_t>& bytes);
// Returns the record in its stored form.
[[nodiscard]] std::vector<std::uint8_t> SerializeRecord(const Record& record);

// Returns the server or member with the given id, or null.
[[nodiscard]] stored::ServerT* FindServer(const Record& record,
                                          const std::string& id);
[[nodiscard]] stored::MemberT* FindMember(const Record& record,
                                          const std::string& daemon);
// Returns the range of the service that contains `hash`, or null.
[[nodiscard]] stored::RangeT* FindRange(const Record& record,
                                        const std::string& service,
                                        KeyHash hash);
// Returns whether a range is owned by the server or moving to it.
[[nodiscard]] bool HoldsRanges(const Record& record, const std::string& server);

// Returns how many of `members` may be lost without the others losing their
// permits.
[[nodiscard]] constexpr std::size_t TolerableLosses(std::size_t members) {
  return members / 3;
}

// Aborts the process unless the ranges of each service are sorted and cover its
// hash space exactly once, and all tokens and generations are less than
// `next_token`.
void CheckRecord(const Record& record);

// Aborts the process unless `after` is a valid successor of `before`: no
// counter decreases, the token of no position decreases, and a change of owner
// comes with a greater token.
void CheckSuccessor(const Record& before, const Record& after);

}  // namespace gentianreach::cell

#endif  // SRC_CELL_RECORD_H_
