// Builds the messages that the proxy writes: request heads for backend servers
// and responses for callers.
#ifndef SRC_PROXY_MESSAGE_BUILDER_H_
#define SRC_PROXY_MESSAGE_BUILDER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gentianreach/ids.h"
#include "gentianreach/key.h"
#include "gentianreach/verdict.h"
#include "http/message_head.h"

namespace gentianreach::proxy {

// The values that the daemon adds to a caller's request.
struct ServerRequest {
  std::string_view id;
  std::optional<KeyHash> key;  // Keyed services only.
  Token token;                 // Keyed services only.
  std::chrono::milliseconds timeout{};
  http::BodyFraming framing = http::BodyFraming::kNone;
  std::uint64_t content_length = 0;
};

// Returns the head of the request to a backend server.
[[nodiscard]] std::string BuildRequestHead(const http::MessageHead& from_caller,
                                           const ServerRequest& request);

// Returns the response head for the caller, based on the server's.
[[nodiscard]] std::string BuildResponseHead(
    const http::MessageHead& from_server,
    std::string_view id,
    bool keep_alive);

// A response that the daemon generates itself.
struct LocalResponse {
  std::string_view id;
  Verdict verdict;
  int status = 0;
  std::string_view detail;  // Human-readable; may be empty.
  std::optional<std::chrono::seconds> retry_after;
  bool keep_alive = true;
  bool head_only = false;  // The request was HEAD.
};

// Returns the complete response, head and body.
[[nodiscard]] std::string BuildLocalResponse(const LocalResponse& response);

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_MESSAGE_BUILDER_H_
