// Rules of an exchange that need no connection: limits, deadlines, keys and
// what the end of an attempt means.
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

// Body bytes kept so that a request can be sent again. A request with a larger
// body is sent once only.
inline constexpr std::size_t kMaxReplayBytes = 64 * 1024;
// Responses up to this size are held until they are whole, so that a broken one
// still becomes a true verdict; larger ones are passed on as they arrive.
inline constexpr std::uint64_t kMaxHeldResponseBytes = 64 * 1024;
// Bytes that may wait for one side before the other side is no longer read.
inline constexpr std::size_t kMaxWaitingBytes = 64 * 1024;
// Requests that may wait for an owner, and for a connection to one server.
inline constexpr std::size_t kMaxHeldRequests = 10'000;
inline constexpr std::size_t kMaxWaitingRequests = 1'000;
// Servers of a plain service that one request tries.
inline constexpr std::size_t kMaxPlainAttempts = 3;
// Pause before an owner that could not serve is asked again; doubles up to the
// greatest one.
inline constexpr Duration kInitialRetryPause = std::chrono::milliseconds(20);
inline constexpr Duration kMaxRetryPause = std::chrono::milliseconds(320);

// Returns how long the request may take: what the caller states, or the
// route's default, bounded by the route.
Duration Timeout(const RouteRule& rule, const http::MessageHead& head);
// Returns the position of the request's key; nothing where the service has no
// keys or the request carries none.
std::optional<KeyHash> KeyOf(const RouteRule& rule,
                             const http::MessageHead& head);
// Returns whether a response proves that the server did not run the request.
bool IsNotRunResponse(const http::MessageHead& response);
// Returns the verdict that such a response means.
Verdict RefusalVerdict(const http::MessageHead& response);
// Returns the verdict of an attempt that failed on its connection; `written`
// says whether any byte was handed to the socket.
Verdict FailureVerdict(ServerFailure failure, bool written);
// Returns what the end of an attempt shows about its server, if anything.
std::optional<ContactKind> ContactKindOf(Verdict verdict);
// Returns the value of Retry-After, where trying again is worthwhile.
// `retry_at` is when the server is expected to have room, if known.
std::optional<std::chrono::seconds>
RetryAfter(Verdict verdict, std::optional<TimePoint> retry_at, TimePoint now);

}  // namespace gentianreach::proxy::internal

#endif  // SRC_PROXY_EXCHANGE_RULES_H_
