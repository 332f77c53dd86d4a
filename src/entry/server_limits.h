// Limits that servers name for the requests of all daemons together.
#ifndef SRC_ENTRY_SERVER_LIMITS_H_
#define SRC_ENTRY_SERVER_LIMITS_H_

#include <cstddef>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "gentianreach/ids.h"

namespace gentianreach::entry {

// Returns the limit in `text`, a decimal number of requests per second, or
// nullopt if `text` is anything else.
[[nodiscard]] std::optional<double> ParseLimit(std::string_view text);

class ServerLimits {
 public:
  // `server` takes `per_second` requests per second from all daemons together.
  // Returns whether that is news.
  bool Set(const ServerId& server, double per_second);
  // `server` names no limit any more, or is gone. Returns whether it had one.
  bool Clear(const ServerId& server);

  // Returns the number of servers that name a limit.
  [[nodiscard]] std::size_t size() const { return limits_.size(); }

 private:
  // Requests per second, by server.
  std::unordered_map<ServerId, double> limits_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_SERVER_LIMITS_H_
