#include "entry/request_rules.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <limits>
#include <system_error>

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;
constexpr int kTooMany = 429;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;

// Expected latency, as a multiple of the route's objective, up to which a
// request is sent: the estimate is rough, and an answer just after the
// objective is still worth something.
constexpr double kObjectiveFactor = 1.1;
// The part of the time left that the expected latency may take.
constexpr double kTimeLeftShare = 0.85;
// Shortest and longest Retry-After.
constexpr Duration kLeastRetryAfter = milliseconds(40);
constexpr Duration kMostRetryAfter = milliseconds(800);
// The part of the time left that callers wait at most, and a little less.
constexpr double kHonouredShare = 0.3;

bool MayStateNotRun(int status) {
  return status == kUnavailable || status == kTooMany ||
         status == kMisdirected || status == kBadRequest;
}

}  // namespace

ResponseKind JudgeResponse(const http::MessageHead& head,
                           const HeaderNames& names,
                           std::string_view request_id) {
  const auto id = head.Get(std::string_view(names.request_id));
  const bool not_run = head.Get(std::string_view(names.not_run)).has_value();
  if (id && *id != request_id) {
    return ResponseKind::kForeign;
  }
  if (!id && !request_id.empty()) {
    // Some rejections are written before the request has been read.
    return not_run && MayStateNotRun(head.status) ? ResponseKind::kNotRun
                                                  : ResponseKind::kUnusable;
  }
  if (not_run && MayStateNotRun(head.status)) {
    return ResponseKind::kNotRun;
  }
  const bool stamped =
      head.Get(std::string_view(names.response_stamp)).has_value();
  if (!stamped || head.Get(http::FieldId::content_encoding)) {
    return ResponseKind::kUnusable;
  }
  return head.status >= kInternalError ? ResponseKind::kServerError
                                       : ResponseKind::kFinal;
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

std::optional<std::uint32_t> ParseNumber(std::string_view text,
                                         std::uint32_t most) {
  std::uint32_t number = 0;
  const char* last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data(), last, number);
  if (ec != std::errc() || end != last || number > most) {
    return std::nullopt;
  }
  return number;
}

Duration LongestLatency(const routing::Route& route,
                        Duration processing,
                        Duration time_left) {
  const auto objective = std::chrono::duration_cast<Duration>(
      route.latency_objective * kObjectiveFactor);
  const auto possible =
      std::chrono::duration_cast<Duration>(time_left * kTimeLeftShare);
  // Where even an idle server is late, late answers are the best there is.
  return std::min(std::max(objective, processing), possible);
}

Duration BoundRetryAfter(Duration wanted, Duration time_left) {
  const auto honoured =
      std::chrono::duration_cast<Duration>(time_left * kHonouredShare);
  return std::min(std::clamp(wanted, kLeastRetryAfter, kMostRetryAfter),
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
