// Rules of a request that need no connection.
#ifndef SRC_ENTRY_REQUEST_RULES_H_
#define SRC_ENTRY_REQUEST_RULES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "entry/header_names.h"
#include "gentianreach/time.h"
#include "http/message_head.h"
#include "routing/routing_config.h"

namespace gentianreach::entry {

// What a server's answer is good for.
enum class ResponseKind : std::uint8_t {
  kFinal,        // Give it to the caller.
  kServerError,  // The server's own failure; a repeatable request may go on.
  kNotRun,       // The server states that it has not run the request.
  kForeign,      // It answers another request; the right one may follow.
  kUnusable,     // No answer of the server to this request.
};

// Judges the head of an answer to the request with `request_id`.
[[nodiscard]] ResponseKind JudgeResponse(const http::MessageHead& head,
                                         const HeaderNames& names,
                                         std::string_view request_id);

// Returns when the request has to be answered: the caller's deadline or the
// route's timeout, whichever is sooner.
[[nodiscard]] TimePoint RequestDeadline(const http::MessageHead& head,
                                        const HeaderNames& names,
                                        const routing::Route& route,
                                        TimePoint now);

// Parses a whole number; nothing where it is anything else or above `most`.
[[nodiscard]] std::optional<std::uint32_t> ParseNumber(std::string_view text,
                                                       std::uint32_t most);

// Returns the longest latency with which a request is still sent: past it the
// server's queue only makes later requests late as well.
[[nodiscard]] Duration LongestLatency(const routing::Route& route,
                                      Duration processing,
                                      Duration time_left);

// Returns Retry-After for a request that has not run: `wanted`, within the
// third of the time left that callers honour.
[[nodiscard]] Duration BoundRetryAfter(Duration wanted, Duration time_left);

// Returns seconds with three decimals, as Retry-After carries them.
[[nodiscard]] std::string FormatSeconds(Duration duration);

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_REQUEST_RULES_H_
