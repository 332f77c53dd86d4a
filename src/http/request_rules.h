// What the edge accepts beyond what the parser checks.
#ifndef SRC_HTTP_REQUEST_RULES_H_
#define SRC_HTTP_REQUEST_RULES_H_

#include <optional>
#include <string_view>

#include "http/message_head.h"

namespace gentianreach::http {

// A refusal of a request that is malformed or of which two readers could
// disagree where it ends.
struct Refusal {
  int status = 400;
  std::string_view reason;  // In words for the caller.
};

// Returns why `head` is refused, or nothing. Refused are: versions other than
// HTTP/1.1, no or several Host fields, targets that do not start with a slash,
// CONNECT and TRACE, and any Transfer-Encoding but "chunked" alone.
[[nodiscard]] std::optional<Refusal> CheckRequest(const MessageHead& head);

// Returns whether the field concerns one connection only and is therefore not
// passed on: the standard ones and those that `Connection` names.
[[nodiscard]] bool IsHopByHop(const MessageHead& head,
                              const MessageHead::Field& field);

// Returns whether the field belongs to this product's protocol; such fields
// are set by the daemon alone and never passed through.
[[nodiscard]] bool IsReservedField(const MessageHead::Field& field);

}  // namespace gentianreach::http

#endif  // SRC_HTTP_REQUEST_RULES_H_
