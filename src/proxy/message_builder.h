// The heads that the data path writes: requests to backend servers and
// responses to callers.
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

// What the daemon adds to a caller's request.
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

// Returns the head of a server's response as the caller gets it.
[[nodiscard]] std::string BuildResponseHead(
    const http::MessageHead& from_server,
    std::string_view id,
    bool keep_alive);

// A response of the daemon itself.
struct LocalResponse {
  std::string_view id;
  Verdict verdict;
  int status = 0;
  std::string_view detail;  // In words for people.
  std::optional<std::chrono::seconds> retry_after;
  bool keep_alive = true;
  bool head_only = false;  // The request was HEAD.
};

// Returns the whole response.
[[nodiscard]] std::string BuildLocalResponse(const LocalResponse& response);

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_MESSAGE_BUILDER_H_
