// What can be said of a request once the system is done with it.
//
// A verdict travels through every layer and reaches the caller as a status
// code and the header `gentianreach-verdict`. The contract:
//
//   answered      the caller has the whole answer of the server that ran it.
//   not run       proven: no byte of the request was handed to a socket, or
//                 the server itself refused it before running it. The caller
//                 may send it again.
//   may have run  anything else. Only an idempotent request may be sent again.
//
// "Not run" is never guessed: code that cannot prove it says "may have run".
#ifndef INCLUDE_GENTIANREACH_VERDICT_H_
#define INCLUDE_GENTIANREACH_VERDICT_H_

#include <cstdint>
#include <string_view>

namespace gentianreach {

enum class Outcome : std::uint8_t { kAnswered, kNotRun, kMayHaveRun };

// Why a request ended as it did.
enum class Reason : std::uint8_t {
  kNone,
  kNoRoute,         // No rule of the settings matches the request.
  kBadRequest,      // Malformed, smuggling attempt or oversize header.
  kNoOwner,         // The key has no live owner at this moment.
  kNotOwner,        // The server refused: it does not hold the key.
  kNoServer,        // A plain service has no server to offer.
  kConnectFailed,   // No connection could be opened.
  kOverload,        // The limiter or the server shed the request.
  kRetryBudget,     // A retry would have been safe, but the budget is spent.
  kDeadline,        // The caller's deadline passed.
  kConnectionLost,  // The connection broke after bytes had been written.
  kSilent,          // The connection made no progress.
  kTruncated,       // The answer broke off or was malformed.
  kCallerGone,      // The caller went away.
  kQuarantined,     // The request is known to crash servers.
  kDraining,        // The server or the daemon is leaving.
  kTooLarge,        // The request's body exceeds the limit.
  kCutOff,          // The daemon lacks contact to route safely.
};

// The outcome of a request and the reason for it. A small value.
class Verdict {
 public:
  // Returns the verdict of a whole answer.
  static constexpr Verdict Answered() {
    return Verdict(Outcome::kAnswered, Reason::kNone);
  }
  // Returns the verdict of a request that provably did not run.
  static constexpr Verdict NotRun(Reason reason) {
    return Verdict(Outcome::kNotRun, reason);
  }
  // Returns the verdict of a request of which nothing is proven.
  static constexpr Verdict MayHaveRun(Reason reason) {
    return Verdict(Outcome::kMayHaveRun, reason);
  }

  [[nodiscard]] constexpr Outcome outcome() const { return outcome_; }
  [[nodiscard]] constexpr Reason reason() const { return reason_; }
  [[nodiscard]] constexpr bool answered() const {
    return outcome_ == Outcome::kAnswered;
  }
  // Returns whether sending the request once more cannot run it twice.
  [[nodiscard]] constexpr bool SafeToRetry(bool idempotent) const {
    return outcome_ == Outcome::kNotRun ||
           (outcome_ == Outcome::kMayHaveRun && idempotent);
  }
  // Returns the status code for the caller: 502 or 504 where the request may
  // have run; 400, 404, 413, 429, 500 or 503 where it did not.
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
