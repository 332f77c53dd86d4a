// JSON encoding of orders to backend servers and of their responses, as
// specified in docs/PROTOCOLS.md.
#ifndef SRC_SERVER_ORDER_CODEC_H_
#define SRC_SERVER_ORDER_CODEC_H_

#include <optional>
#include <string>

#include "gentianreach/cell_agent.h"
#include "server/server_load.h"

namespace gentianreach {

// A server's reply to an order, with the load report sent along.
struct ServerResponse {
  ServerReply reply;
  ServerLoad load;
};

[[nodiscard]] std::string EncodeOrder(const ServerOrder& order);
// Returns std::nullopt if `text` is not a valid order.
[[nodiscard]] std::optional<ServerOrder> DecodeOrder(const std::string& text);

[[nodiscard]] std::string EncodeResponse(const ServerResponse& response);
// Returns std::nullopt if `text` is not a valid response.
[[nodiscard]] std::optional<ServerResponse> DecodeResponse(
    const std::string& text);

}  // namespace gentianreach

#endif  // SRC_SERVER_ORDER_CODEC_H_
