// Orders to backend servers and their answers as JSON (docs/PROTOCOLS.md).
#ifndef SRC_SERVER_ORDER_CODEC_H_
#define SRC_SERVER_ORDER_CODEC_H_

#include <optional>
#include <string>

#include "gentianreach/cell_agent.h"

namespace gentianreach {

// Load that a server reports of itself with each answer. It lags and may lie.
struct ServerLoad {
  std::uint32_t slots = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  std::uint32_t connections = 0;
  std::chrono::milliseconds service_time{0};  // Median of recent requests.
};

// An answer with the load report that came along.
struct ServerAnswer {
  ServerReply reply;
  ServerLoad load;
};

[[nodiscard]] std::string EncodeOrder(const ServerOrder& order);
// Returns nothing where `text` is no order.
[[nodiscard]] std::optional<ServerOrder> DecodeOrder(const std::string& text);

[[nodiscard]] std::string EncodeAnswer(const ServerAnswer& answer);
// Returns nothing where `text` is no answer.
[[nodiscard]] std::optional<ServerAnswer> DecodeAnswer(const std::string& text);

}  // namespace gentianreach

#endif  // SRC_SERVER_ORDER_CODEC_H_
