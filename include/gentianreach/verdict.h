// The result of a request with respect to whether it has run.
//
// A verdict is passed through all layers and sent to the caller as a status
// code and the header `gentianreach-verdict`. The contract:
//
//   answered      the caller has the complete response of the server.
//   not run       proven: no byte of the request was written to a socket, or
//                 the server rejected it before running it. The caller may
//                 send it again.
//   may have run  everything else. Only an idempotent request may be sent
//   again.
//
// Code that cannot prove "not run" must report "may have run".
#ifndef INCLUDE_GENTIANREACH_VERDICT_H_
#define INCLUDE_GENTIANREACH_VERDICT_H_

#include <cstdint>
#include <string_view>

namespace gentianreach {

// Headers of a response that state the outcome and its reason.
inline constexpr std::string_view kVerdictField = "gentianreach-verdict";
inline constexpr std::string_view kReasonField = "gentianreach-reason";

enum class Outcome : std::uint8_t { kAnswered, kNotRun, kMayHaveRun };

// Why a request ended as it did.
enum class Reason : std::uint8_t {
  kNone,
  kNoRoute,         // No route of the settings matches the request.
  kBadRequest,      // Malformed, smuggling attempt or header too large.
  kNoOwner,         // The key has no live owner at present.
  kNotOwner,        // The server rejected it: it does not own the key.
  kNoServer,        // A service without keys has no available server.
  kConnectFailed,   // No connection could be opened.
  kOverload,        // The limiter or the server rejected the request.
  kRetryBudget,     // A retry would be safe, but the budget is exhausted.
  kDeadline,        // The caller's deadline passed.
  kConnectionLost,  // The connection broke after bytes had been written.
  kSilent,          // The connection made no progress.
  kTruncated,       // The response was cut short or malformed.
  kCallerGone,      // The caller closed the connection.
  kQuarantined,     // The request is known to crash servers.
  kDraining,        // The server or the daemon is shutting down.
  kTooLarge,        // The request body exceeds the limit.
  kOverLimit,       // The server wants no more requests for some time.
  kCutOff,          // The daemon is too isolated to route safely.
  kOutdated,        // The known settings may lack changes that are in force.
  kEvacuated,       // All servers are in zones that operators evacuate.
};

// The outcome of a request and its reason.
class Verdict {
 public:
  // Returns the verdict for a complete response.
  static constexpr Verdict Answered() {
    return Verdict(Outcome::kAnswered, Reason::kNone);
  }
  // Returns the verdict for a request that provably did not run.
  static constexpr Verdict NotRun(Reason reason) {
    return Verdict(Outcome::kNotRun, reason);
  }
  // Returns the verdict for a request that may have run.
  static constexpr Verdict MayHaveRun(Reason reason) {
    return Verdict(Outcome::kMayHaveRun, reason);
  }

  [[nodiscard]] constexpr Outcome outcome() const { return outcome_; }
  [[nodiscard]] constexpr Reason reason() const { return reason_; }
  [[nodiscard]] constexpr bool answered() const {
    return outcome_ == Outcome::kAnswered;
  }
  // Returns whether the request can be sent again without running it twice.
  [[nodiscard]] constexpr bool SafeToRetry(bool idempotent) const {
    return outcome_ == Outcome::kNotRun ||
           (outcome_ == Outcome::kMayHaveRun && idempotent);
  }
  // Returns the status code for the caller: 502 or 504 if the request may have
  // run; 400, 404, 413, 429, 500 or 503 if it did not.
  [[nodiscard]] int HttpStatus() const;

  constexpr bool operator==(const Verdict&) const = default;

 private:
  constexpr Verdict(Outcome outcome, Reason reason)
      : outcome_(outcome), reason_(reason) {}

  Outcome outcome_;
  Reason reason_;
};

// Returns the outcome as written in headers and logs, for example "not-run".
[[nodiscard]] std::string_view ToString(Outcome outcome);
// Returns the reason as written in headers and logs, for example "no-owner".
[[nodiscard]] std::string_view ToString(Reason reason);

}  // namespace gentianreach

#endif  // INCLUDE_GENTIANREACH_VERDICT_H_
