// Orders to backend servers and their answers as JSON (docs/PROTOCOLS.md).
#ifndef SRC_SERVER_ORDER_CODEC_H_
#define SRC_SERVER_ORDER_CODEC_H_

#include <optional>
#include <string>

#include "gentianreach/cell_agent.h"
#include "server/server_load.h"

namespace gentianreach {

// An answer with the load report that came along.
struct ServerResponse {
  ServerReply reply;
  ServerLoad load;
};

[[nodiscard]] std::string EncodeOrder(const ServerOrder& order);
// Returns nothing where `text` is no order.
[[nodiscard]] std::optional<ServerOrder> DecodeOrder(const std::string& text);

[[nodiscard]] std::string EncodeResponse(const ServerResponse& response);
// Returns nothing where `text` is no answer.
[[nodiscard]] std::optional<ServerResponse> DecodeResponse(
    const std::string& text);

}  // namespace gentianreach

#endif  // SRC_SERVER_ORDER_CODEC_H_
