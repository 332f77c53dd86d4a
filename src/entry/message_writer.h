// Serializes the messages of an entry daemon: requests to servers and responses
// to callers.
#ifndef SRC_ENTRY_MESSAGE_WRITER_H_
#define SRC_ENTRY_MESSAGE_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "entry/header_names.h"
#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "gentianreach/verdict.h"
#include "http/message_head.h"

namespace gentianreach::entry {

// The header fields that the daemon sets in a request to a server.
struct RequestFields {
  std::string_view id;  // As sent by the caller; empty if absent.
  ServerId server;
  std::optional<std::uint32_t> key;
  Duration time_left;
  std::size_t body_size = 0;
};

// Returns the head of a request to a server. A body is framed by
// Content-Length.
[[nodiscard]] std::string RequestHead(const http::MessageHead& from_caller,
                                      const HeaderNames& names,
                                      const RequestFields& fields);

// Returns the status line and the forwarded header fields of a server's
// response, without the fields for framing. EndResponseHead() completes the
// head.
[[nodiscard]] std::string BeginForwardedResponse(
    const http::MessageHead& from_server,
    const HeaderNames& names);
// Appends the end of a response head to `out`.
void EndResponseHead(std::string& out, bool keep_alive);

// Returns a server's response, head and body, as it is sent to the caller.
// `head_only` is set if the request method was HEAD.
[[nodiscard]] std::string ForwardedResponse(
    const http::MessageHead& from_server,
    const HeaderNames& names,
    std::string_view body,
    bool head_only,
    bool keep_alive);

// A response of the daemon itself instead of a server's.
struct Refusal {
  int status = 0;
  Reason reason = Reason::kNone;
  std::string_view request_id;
  std::optional<Duration> retry_after;
  bool head_only = false;
  bool keep_alive = true;
};

[[nodiscard]] std::string RefusalResponse(const Refusal& refusal,
                                          const HeaderNames& names);

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_MESSAGE_WRITER_H_
