#include "proxy/exchange_rules.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <system_error>

namespace gentianreach::proxy::internal {
namespace {

constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

// Returns the timeout requested by the caller, or nothing if it is absent or
// invalid.
std::optional<std::chrono::milliseconds> CallerTimeout(
    const http::MessageHead& head) {
  const auto value = head.Get("gentianreach-timeout-ms");
  if (!value) {
    return std::nullopt;
  }
  std::uint32_t ms = 0;
  const char* last = value->data() + value->size();
  const auto [end, ec] = std::from_chars(value->data(), last, ms);
  if (ec != std::errc() || end != last || ms == 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(ms);
}

}  // namespace

Duration Timeout(const RouteRule& rule, const http::MessageHead& head) {
  const auto stated = CallerTimeout(head);
  const Duration wanted = stated ? Duration(*stated) : rule.default_timeout;
  return std::min(wanted, rule.max_timeout);
}

std::optional<KeyHash> KeyOf(const RouteRule& rule,
                             const http::MessageHead& head) {
  if (!rule.service.keyed) {
    return std::nullopt;
  }
  std::optional<std::string> key = KeyFromTarget(rule, head.target);
  if (rule.key_source == settings::KeySource::Header) {
    const auto value = head.Get(std::string_view(rule.key_name));
    key = value ? std::optional<std::string>(*value) : std::nullopt;
  }
  if (!key || key->empty()) {
    return std::nullopt;
  }
  return HashKey(rule.service.name, *key);
}

bool IsNotRunResponse(const http::MessageHead& response) {
  return (response.status == kMisdirected || response.status == kUnavailable) &&
         response.Get(kVerdictField) == ToString(Outcome::kNotRun);
}

Verdict RefusalVerdict(const http::MessageHead& response) {
  if (response.status == kMisdirected) {
    return Verdict::NotRun(Reason::kNotOwner);
  }
  const bool draining =
      response.Get(kReasonField) == ToString(Reason::kDraining);
  return Verdict::NotRun(draining ? Reason::kDraining : Reason::kOverload);
}

Verdict FailureVerdict(ServerFailure failure, bool written) {
  if (failure == ServerFailure::kTruncated ||
      failure == ServerFailure::kMalformed) {
    return Verdict::MayHaveRun(Reason::kTruncated);
  }
  if (written) {
    return Verdict::MayHaveRun(failure == ServerFailure::kSilent
                                   ? Reason::kSilent
                                   : Reason::kConnectionLost);
  }
  return Verdict::NotRun(failure == ServerFailure::kLost
                             ? Reason::kConnectionLost
                             : Reason::kConnectFailed);
}

std::optional<ContactKind> ContactKindOf(Verdict verdict) {
  if (verdict.answered()) {
    return ContactKind::kAnswered;
  }
  switch (verdict.reason()) {
    case Reason::kNotOwner:
    case Reason::kDraining:
      return ContactKind::kRefused;
    case Reason::kConnectFailed:
      return ContactKind::kConnectFailed;
    case Reason::kConnectionLost:
    case Reason::kTruncated:
      return ContactKind::kLost;
    case Reason::kSilent:
      return ContactKind::kSilent;
    default:
      return std::nullopt;
  }
}

std::optional<std::chrono::seconds>
RetryAfter(Verdict verdict, std::optional<TimePoint> retry_at, TimePoint now) {
  if (verdict.outcome() != Outcome::kNotRun) {
    return std::nullopt;
  }
  if (retry_at) {
    return std::max(std::chrono::ceil<std::chrono::seconds>(*retry_at - now),
                    std::chrono::seconds(1));
  }
  switch (verdict.reason()) {
    case Reason::kNoOwner:
    case Reason::kNotOwner:
    case Reason::kNoServer:
    case Reason::kConnectFailed:
    case Reason::kConnectionLost:
    case Reason::kOverload:
    case Reason::kOverLimit:
    case Reason::kRetryBudget:
    case Reason::kDraining:
    case Reason::kCutOff:
      return std::chrono::seconds(1);
    default:
      return std::nullopt;
  }
}

}  // namespace gentianreach::proxy::internal
