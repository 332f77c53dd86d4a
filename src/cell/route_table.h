// Finds the owner of a key from the record and the moves completed since it was
// written.
#ifndef SRC_CELL_ROUTE_TABLE_H_
#define SRC_CELL_ROUTE_TABLE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "cell/record.h"
#include "gentianreach/router.h"

namespace gentianreach::cell {

class RouteTable {
 public:
  // Replaces the record.
  void SetRecord(std::shared_ptr<const Record> record);

  // Sets the tokens of the planned moves whose new owner holds its grant.
  void SetCompletedMoves(std::unordered_set<std::uint64_t> tokens) {
    completed_moves_ = std::move(tokens);
  }

  // Returns the route to the owner, or `RouteState::kHold` while the range has
  // no usable owner.
  [[nodiscard]] KeyRoute Find(const ServiceName& service, KeyHash hash) const;

  // Returns the server with the given id, or null.
  [[nodiscard]] const stored::ServerT* Server(const std::string& id) const;

 private:
  std::shared_ptr<const Record> record_;
  std::unordered_map<std::string, const stored::ServerT*> servers_;
  std::unordered_set<std::uint64_t> completed_moves_;
};

}  // namespace gentianreach::cell

#endif  // SRC_CELL_ROUTE_TABLE_H_
