#include "entry/request_rules.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <limits>
#include <system_error>

#include "http/status.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

using http::status::kBadRequest;
using http::status::kInternalError;
using http::status::kMisdirected;
using http::status::kTooManyRequests;
using http::status::kUnavailable;

// Requests are sent up to an expected latency of this multiple of the route's
// latency objective: the estimate is rough, and a response slightly after the
// objective still has some value.
constexpr double kObjectiveFactor = 1.1;
// Share of the time left that the expected latency may take.
constexpr double kTimeLeftShare = 0.85;
// Bounds of Retry-After.
constexpr Duration kMinRetryAfter = milliseconds(40);
constexpr Duration kMaxRetryAfter = milliseconds(800);
// Callers honour a Retry-After of up to a third of the time left; slightly less
// leaves a margin.
constexpr double kRetryAfterShare = 0.3;

// Longest rest of a server that is granted.
constexpr std::chrono::hours kMaxRest{1};

// Returns whether a response with `status` may report that the request has not
// run.
bool MayReportNotRun(int status) {
  return status == kUnavailable || status == kTooManyRequests ||
         status == kMisdirected || status == kBadRequest;
}

}  // namespace

ResponseKind ClassifyResponse(const http::MessageHead& head,
                              const HeaderNames& names,
                              const ExpectedResponse& expected) {
  if (!http::status::IsFinal(head.status)) {
    return ResponseKind::kUnusable;
  }
  const auto id = head.Get(std::string_view(names.request_id));
  if (id && *id != expected.request_id) {
    return ResponseKind::kWrongRequestId;
  }
  if (!id && !expected.is_first) {
    return ResponseKind::kUnusable;
  }
  if (head.Get(std::string_view(names.not_run)) &&
      MayReportNotRun(head.status)) {
    return ResponseKind::kNotRun;
  }
  // A server may reject a request before reading its id, but not run it.
  if (!id && !expected.request_id.empty()) {
    return ResponseKind::kUnusable;
  }
  const bool has_stamp =
      head.Get(std::string_view(names.response_stamp)).has_value();
  if (!has_stamp || head.Get(http::FieldId::content_encoding)) {
    return ResponseKind::kUnusable;
  }
  if (!expected.idempotent && http::status::PromisesNotRun(head.status)) {
    return ResponseKind::kFalsePromise;
  }
  return head.status >= kInternalError ? ResponseKind::kServerError
                                       : ResponseKind::kFinal;
}

std::optional<TimePoint> RequestedRest(const http::MessageHead& head,
                                       TimePoint now) {
  const auto text = head.Get("Retry-After");
  if (head.status != kUnavailable || !text) {
    return std::nullopt;
  }
  const auto seconds = ParseDecimal(*text);
  if (!seconds || *seconds == 0) {
    return std::nullopt;
  }
  const std::chrono::duration<double> rest(*seconds);
  return now + std::chrono::ceil<Duration>(
                   std::min<std::chrono::duration<double>>(rest, kMaxRest));
}

bool IsLeaving(const http::MessageHead& head, const HeaderNames& names) {
  return head.Get(std::string_view(names.server_leaving)) == "1";
}

TimePoint RequestDeadline(const http::MessageHead& head,
                          const HeaderNames& names,
                          const routing::Route& route,
                          TimePoint now) {
  const auto text = head.Get(std::string_view(names.deadline_ms));
  const auto stated =
      text ? ParseNumber(*text, std::numeric_limits<std::uint32_t>::max())
           : std::nullopt;
  milliseconds timeout = route.timeout;
  if (stated) {
    timeout = std::min(timeout, milliseconds(*stated));
  }
  return now + timeout;
}

std::optional<std::uint64_t> ParseNumber(std::string_view text,
                                         std::uint64_t max) {
  std::uint64_t number = 0;
  const char* last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data(), last, number);
  if (ec != std::errc() || end != last || number > max) {
    return std::nullopt;
  }
  return number;
}

std::optional<double> ParseDecimal(std::string_view text) {
  double number = 0;
  const char* last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data(), last, number);
  if (ec != std::errc() || end != last || std::isnan(number) ||
      std::signbit(number)) {
    return std::nullopt;
  }
  return number;
}

Duration MaxExpectedLatency(const routing::Route& route,
                            Duration processing,
                            Duration time_left) {
  const auto objective = std::chrono::duration_cast<Duration>(
      route.latency_objective * kObjectiveFactor);
  const auto max_possible =
      std::chrono::duration_cast<Duration>(time_left * kTimeLeftShare);
  // If even an idle server misses the objective, a late response is still
  // better than none.
  return std::min(std::max(objective, processing), max_possible);
}

Duration ClampRetryAfter(Duration wanted, Duration time_left) {
  const auto honoured =
      std::chrono::duration_cast<Duration>(time_left * kRetryAfterShare);
  return std::min(std::clamp(wanted, kMinRetryAfter, kMaxRetryAfter),
                  std::max(honoured, Duration(0)));
}

std::string FormatSeconds(Duration duration) {
  char text[32];
  const double seconds =
      std::chrono::duration<double>(std::max(duration, Duration(0))).count();
  const int n = std::snprintf(text, sizeof(text), "%.3f", seconds);
  return {text, static_cast<std::size_t>(n)};
}

}  // namespace gentianreach::entry
