// Stateless rules of an exchange: limits, deadlines, keys and the verdicts of
// finished attempts.
#ifndef SRC_PROXY_EXCHANGE_RULES_H_
#define SRC_PROXY_EXCHANGE_RULES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "gentianreach/key.h"
#include "gentianreach/time.h"
#include "gentianreach/verdict.h"
#include "http/message_head.h"
#include "proxy/request_record.h"
#include "proxy/route_table.h"
#include "proxy/server_connection.h"

namespace gentianreach::proxy::internal {

// Maximum size of a request body that is buffered for retries. A request with a
// larger body is sent only once.
inline constexpr std::size_t kMaxReplayBytes = 64 * 1024;
// Responses up to this size are buffered until complete, so that a truncated
// one can still be replaced by a correct verdict. Larger ones are streamed.
inline constexpr std::uint64_t kMaxHeldResponseBytes = 64 * 1024;
// Reading from one side pauses when more bytes than this wait to be sent to the
// other side.
inline constexpr std::size_t kMaxWaitingBytes = 64 * 1024;
// Maximum number of requests that wait for an owner, and for a connection to
// one server.
inline constexpr std::size_t kMaxHeldRequests = 10'000;
inline constexpr std::size_t kMaxWaitingRequests = 1'000;
// Maximum number of attempts for one request to a plain service.
inline constexpr std::size_t kMaxPlainAttempts = 3;
// Pause before retrying at an owner that could not serve. Doubles with each
// retry up to the maximum.
inline constexpr Duration kInitialRetryPause = std::chrono::milliseconds(20);
inline constexpr Duration kMaxRetryPause = std::chrono::milliseconds(320);

// Returns how long the request may take: the caller's timeout or the route's
// default, limited by the route's maximum.
Duration Timeout(const RouteRule& rule, const http::MessageHead& head);
// Returns the hash of the request's key, or nothing if the service is not keyed
// or the request carries no key.
std::optional<KeyHash> KeyOf(const RouteRule& rule,
                             const http::MessageHead& head);
// Returns whether `response` states that the server did not run the request.
bool IsNotRunResponse(const http::MessageHead& response);
// Returns the verdict for a response that IsNotRunResponse() accepts.
Verdict RefusalVerdict(const http::MessageHead& response);
// Returns the verdict of an attempt whose connection failed. `written` is true
// if any byte of the request was passed to the socket.
Verdict FailureVerdict(ServerFailure failure, bool written);
// Returns what the verdict of an attempt shows about its server, if anything.
std::optional<ContactKind> ContactKindOf(Verdict verdict);
// Returns the value of Retry-After, or nothing if a retry is not useful.
// `retry_at` is when the server is expected to have capacity, if known.
std::optional<std::chrono::seconds>
RetryAfter(Verdict verdict, std::optional<TimePoint> retry_at, TimePoint now);

}  // namespace gentianreach::proxy::internal

#endif  // SRC_PROXY_EXCHANGE_RULES_H_
