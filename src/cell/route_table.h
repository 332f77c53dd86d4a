// Which server owns a key, by the record and the moves completed since.
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
  // Takes the record adopted last.
  void SetRecord(std::shared_ptr<const Record> record);

  // Takes the tokens of moves whose new owner has its grant.
  void SetDoneMoves(std::unordered_set<std::uint64_t> tokens) {
    done_moves_ = std::move(tokens);
  }

  // Returns the owner, or that the range waits for one.
  [[nodiscard]] KeyRoute Find(const ServiceName& service, KeyHash hash) const;

  // Returns the server that a route names, or null.
  [[nodiscard]] const stored::ServerT* Server(const std::string& id) const;

 private:
  std::shared_ptr<const Record> record_;
  std::unordered_map<std::string, const stored::ServerT*> servers_;
  std::unordered_set<std::uint64_t> done_moves_;
};

}  // namespace gentianreach::cell

#endif  // SRC_CELL_ROUTE_TABLE_H_
