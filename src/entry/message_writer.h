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

// Header fields of a request that one daemon forwards to another, and of its
// response: the server that has answered.
inline constexpr std::string_view kConfigVersionField =
    "gentianreach-config-version";
inline constexpr std::string_view kAttemptsField = "gentianreach-attempts";
inline constexpr std::string_view kServerField = "gentianreach-server";
inline constexpr std::string_view kIncarnationField =
    "gentianreach-incarnation";

// What the daemon that forwards a request tells the other one.
struct ForwardFields {
  // The other daemon must not use an older configuration.
  std::uint64_t config_version = 0;
  // Servers to which the request was sent before.
  std::uint32_t attempts = 0;
};

// Returns the number of servers to which a forwarded request was sent so far,
// as the head of the request or of its refusal states it; 0 by default.
[[nodiscard]] std::uint32_t StatedAttempts(const http::MessageHead& head);

// The header fields that the daemon sets in a request to a server or to another
// daemon.
struct RequestFields {
  std::string_view id;  // As sent by the caller; empty if absent.
  // The only server that may run the request; empty: any.
  ServerId server;
  std::optional<ForwardFields> forward;
  std::optional<std::uint32_t> key;
  Duration time_left;
  std::size_t body_size = 0;
};

// Returns the head of a request to a server. A body is framed by
// Content-Length.
[[nodiscard]] std::string RequestHead(const http::MessageHead& from_caller,
                                      const HeaderNames& names,
                                      const RequestFields& fields);

// The server whose response a relay returns to another daemon.
struct RelayedServer {
  ServerId server;
  Incarnation incarnation;
};

// Returns the status line and the forwarded header fields of a server's
// response, without the fields for framing. `relayed` is set if another daemon
// has forwarded the request; the verdict and the server are then included.
// EndResponseHead() completes the head.
[[nodiscard]] std::string BeginForwardedResponse(
    const http::MessageHead& from_server,
    const HeaderNames& names,
    const std::optional<RelayedServer>& relayed);
// Appends the end of a response head to `out`.
void EndResponseHead(std::string& out, bool keep_alive);

// Returns a server's response, head and body, as it is sent to the caller.
// `head_only` is set if the request method was HEAD.
[[nodiscard]] std::string ForwardedResponse(
    const http::MessageHead& from_server,
    const HeaderNames& names,
    std::string_view body,
    bool head_only,
    bool keep_alive,
    const std::optional<RelayedServer>& relayed);

// A response of the daemon itself instead of a server's.
struct Refusal {
  int status = 0;
  Reason reason = Reason::kNone;
  std::string_view request_id;
  std::optional<Duration> retry_after;
  bool head_only = false;
  bool keep_alive = true;
  // Set for a request that another daemon has forwarded: the outcome, and the
  // number of servers to which the request was sent.
  std::optional<Outcome> outcome;
  std::uint32_t attempts = 0;
};

[[nodiscard]] std::string RefusalResponse(const Refusal& refusal,
                                          const HeaderNames& names);

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_MESSAGE_WRITER_H_
