#include "gentianreach/verdict.h"

namespace gentianreach {

int Verdict::HttpStatus() const {
  if (outcome_ == Outcome::kAnswered) {
    return 200;
  }
  if (outcome_ == Outcome::kMayHaveRun) {
    return reason_ == Reason::kDeadline || reason_ == Reason::kSilent ? 504
                                                                      : 502;
  }
  switch (reason_) {
    case Reason::kBadRequest:
      return 400;
    case Reason::kNoRoute:
      return 404;
    case Reason::kTooLarge:
      return 413;
    case Reason::kOverload:
    case Reason::kOverLimit:
    case Reason::kRetryBudget:
      return 429;
    case Reason::kQuarantined:
      return 500;
    default:
      return 503;
  }
}

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kMayHaveRun:
      return "may-have-run";
  }
  return "unknown";
}

std::string_view ToString(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "none";
    case Reason::kNoRoute:
      return "no-route";
    case Reason::kBadRequest:
      return "bad-request";
    case Reason::kNoOwner:
      return "no-owner";
    case Reason::kNotOwner:
      return "not-owner";
    case Reason::kNoServer:
      return "no-server";
    case Reason::kConnectFailed:
      return "connect-failed";
    case Reason::kOverload:
      return "overload";
    case Reason::kRetryBudget:
      return "retry-budget";
    case Reason::kDeadline:
      return "deadline";
    case Reason::kConnectionLost:
      return "connection-lost";
    case Reason::kSilent:
      return "silent";
    case Reason::kTruncated:
      return "truncated";
    case Reason::kCallerGone:
      return "caller-gone";
    case Reason::kQuarantined:
      return "quarantined";
    case Reason::kDraining:
      return "draining";
    case Reason::kTooLarge:
      return "too-large";
    case Reason::kOverLimit:
      return "over-limit";
    case Reason::kCutOff:
      return "cut-off";
    case Reason::kOutdated:
      return "outdated";
    case Reason::kEvacuated:
      return "evacuated";
  }
  return "unknown";
}

}  // namespace gentianreach
