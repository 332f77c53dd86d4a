// Rules for callers' requests in addition to the parser's checks.
#ifndef SRC_HTTP_REQUEST_RULES_H_
#define SRC_HTTP_REQUEST_RULES_H_

#include <optional>
#include <string_view>

#include "http/message_head.h"

namespace gentianreach::http {

// A refusal of a request that is unsupported, malformed, or whose end two
// parsers could locate differently (request smuggling).
struct Refusal {
  int status = 400;
  std::string_view reason;  // Human-readable, for the caller.
};

// Returns why `head` is refused, or nothing if it is accepted. Refuses versions
// other than HTTP/1.1, a missing or repeated Host field, targets that do not
// start with a slash, CONNECT and TRACE, any Transfer-Encoding other than a
// single "chunked", and Content-Length together with Transfer-Encoding.
[[nodiscard]] std::optional<Refusal> CheckRequest(const MessageHead& head);

// Returns whether the field applies to a single connection and must not be
// forwarded: the standard hop-by-hop fields and those listed in `Connection`.
[[nodiscard]] bool IsHopByHop(const MessageHead& head,
                              const MessageHead::Field& field);

// Returns whether the field has the reserved "gentianreach-" prefix. Such
// fields are set by the daemon only and never forwarded.
[[nodiscard]] bool IsReservedField(const MessageHead::Field& field);

}  // namespace gentianreach::http

#endif  // SRC_HTTP_REQUEST_RULES_H_
