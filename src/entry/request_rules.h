// Rules for requests and responses that need no connection state.
#ifndef SRC_ENTRY_REQUEST_RULES_H_
#define SRC_ENTRY_REQUEST_RULES_H_

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

#include "entry/header_names.h"
#include "gentianreach/time.h"
#include "http/message_head.h"
#include "routing/routing_config.h"

namespace gentianreach::entry {

// How a response received from a backend server is handled.
enum class ResponseKind : std::uint8_t {
  kFinal,           // Passed on to the caller.
  kServerError,     // A server error; an idempotent request may be retried.
  kNotRun,          // The server reports that it has not run the request.
  kFalsePromise,    // It has run, although the status says that it has not.
  kWrongRequestId,  // It belongs to another request; the right one may follow.
  kUnusable,        // Not a valid response of the server to this request.
};

// What is known of the request and the connection on which its response is
// expected.
struct ExpectedResponse {
  std::string_view request_id;  // Empty if the request has none.
  // Whether it is the first response on its connection. Only then a response
  // without a request id cannot be a copy of an earlier one.
  bool is_first = false;
  bool idempotent = false;  // Whether the request may run more than once.
};

// Returns the kind of a response, by its head.
[[nodiscard]] ResponseKind ClassifyResponse(const http::MessageHead& head,
                                            const HeaderNames& names,
                                            const ExpectedResponse& expected);

// Returns until when a server that answered at `now` wants no requests from
// this daemon: the end of the Retry-After of a 503, or nullopt. Only a number
// of seconds is understood; an hour is the most.
[[nodiscard]] std::optional<TimePoint> RequestedRest(
    const http::MessageHead& head,
    TimePoint now);

// Returns whether a response states that its server is about to leave.
[[nodiscard]] bool IsLeaving(const http::MessageHead& head,
                             const HeaderNames& names);

// Returns the time by which the caller must have a response: the caller's
// deadline or the end of the route's timeout, whichever is sooner.
[[nodiscard]] TimePoint RequestDeadline(const http::MessageHead& head,
                                        const HeaderNames& names,
                                        const routing::Route& route,
                                        TimePoint now);

// Returns the decimal number in `text`, or nullopt if `text` is anything else
// or the number is above `max`.
[[nodiscard]] std::optional<std::uint64_t> ParseNumber(
    std::string_view text,
    std::uint64_t max = std::numeric_limits<std::uint64_t>::max());

// Returns the decimal number in `text`, which may be infinite ("inf"), or
// nullopt if `text` is anything else or the number is negative.
[[nodiscard]] std::optional<double> ParseDecimal(std::string_view text);

// Returns the highest expected latency at which a request is still sent.
// Sending more would only lengthen the server's queue and delay later requests
// too.
[[nodiscard]] Duration MaxExpectedLatency(const routing::Route& route,
                                          Duration processing,
                                          Duration time_left);

// Returns the Retry-After for a request that has not run: `wanted`, clamped to
// the allowed range and to the third of `time_left` for which callers honour
// it.
[[nodiscard]] Duration ClampRetryAfter(Duration wanted, Duration time_left);

// Returns `duration` in seconds with three decimals, the format of Retry-After.
[[nodiscard]] std::string FormatSeconds(Duration duration);

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_REQUEST_RULES_H_
