#include "proxy/exchange.h"

namespace gentianreach::proxy::internal {
namespace {

constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

}  // namespace

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

bool SaysNotRun(const http::MessageHead& answer) {
  return (answer.status == kMisdirected || answer.status == kUnavailable) &&
         answer.Get("gentianreach-verdict") == ToString(Outcome::kNotRun);
}

Verdict RefusalVerdict(const http::MessageHead& answer) {
  if (answer.status == kMisdirected) {
    return Verdict::NotRun(Reason::kNotOwner);
  }
  const bool draining =
      answer.Get("gentianreach-reason") == ToString(Reason::kDraining);
  return Verdict::NotRun(draining ? Reason::kDraining : Reason::kOverload);
}

std::optional<std::chrono::seconds> RetryAfter(Verdict verdict) {
  if (verdict.outcome() != Outcome::kNotRun) {
    return std::nullopt;
  }
  switch (verdict.reason()) {
    case Reason::kNoOwner:
    case Reason::kNotOwner:
    case Reason::kNoServer:
    case Reason::kConnectFailed:
    case Reason::kConnectionLost:
    case Reason::kOverload:
    case Reason::kRetryBudget:
    case Reason::kDraining:
    case Reason::kCutOff:
      return std::chrono::seconds(1);
    default:
      return std::nullopt;
  }
}

}  // namespace gentianreach::proxy::internal
