// Detects requests that crash every backend server they run on.
#ifndef SRC_POLICY_QUARANTINE_H_
#define SRC_POLICY_QUARANTINE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "peer_generated.h"

namespace gentianreach {

// A hash that identifies a request by its service, method, target and body.
// Requests with the same fingerprint are treated as the same request.
struct Fingerprint {
  std::uint64_t value = 0;
  constexpr auto operator<=>(const Fingerprint&) const = default;
};

// Returns the digest of a request body (XXH3, 64 bits) for MakeFingerprint().
[[nodiscard]] std::uint64_t DigestBody(std::string_view body);

// Returns the fingerprint of a request; `target` is the path with its query.
[[nodiscard]] Fingerprint MakeFingerprint(const ServiceName& service,
                                          std::string_view method,
                                          std::string_view target,
                                          std::uint64_t body_digest);

struct QuarantineOptions {
  // How long a confirmed crash report is kept; settings [limits] quarantine.
  Duration expiry = std::chrono::minutes(10);
  // How long after a lost connection the proof that its server is gone may
  // arrive.
  Duration confirmation = std::chrono::seconds(10);
  // Maximum time that a suspected request waits for another one.
  Duration trial = std::chrono::seconds(5);
  // Maximum number of fingerprints kept.
  std::size_t capacity = 10'000;
};

enum class QuarantineState : std::uint8_t {
  kAllowed,  // Send the request.
  kWait,     // A suspected request is running; call Check() again later.
  kRefused,  // End it as Verdict::NotRun(Reason::kQuarantined).
};

// One fingerprint with crash reports, as listed for the operator.
struct QuarantineEntry {
  Fingerprint fingerprint;
  // The servers that crashed while the request was in flight.
  std::vector<std::pair<ServerId, Incarnation>> servers;
  TimePoint expires_at{};
  bool refused = false;
};

// The quarantine state of one daemon, merged with that of the other daemons.
//
// For each attempt, call Check(), then OnSent() with an id that no other
// unfinished attempt has, then exactly one of OnAnswered(), OnAborted() and
// OnConnectionLost(). Call OnServerGone() once the server is known to be gone
// and OnServerAlive() whenever it responds. After each call, send the result of
// TakeUpdate(), if any, to all members, and pass their updates to Merge().
//
// A fingerprint gets a crash report if it was in flight on a server when the
// server's process ended. The proof is that the server closed the connection
// and afterwards either a connection was refused or a new incarnation
// responded. Silence is no proof, so a server that freezes and recovers causes
// no crash reports. A request with crash reports from two servers (or two
// incarnations of one) is refused until the crash reports expire. A whole
// response clears the request at all daemons, so that a request that was merely
// in flight next to the one causing the crash is not refused.
//
// As soon as a connection is lost, before the proof, an unconfirmed crash
// report (a suspicion) is sent to the other daemons, which makes them wait.
// Requests with a crash report or suspicion run one at a time on a server, so
// that the next crash can be attributed to one of them.
class Quarantine {
 public:
  explicit Quarantine(QuarantineOptions options);
  Quarantine(const Quarantine&) = delete;
  Quarantine& operator=(const Quarantine&) = delete;

  // Returns whether the request may be sent to `server` at `now`.
  [[nodiscard]] QuarantineState Check(Fingerprint fingerprint,
                                      const ServerId& server,
                                      TimePoint now);
  // The first byte of the attempt is about to be written.
  void OnSent(std::uint64_t attempt,
              Fingerprint fingerprint,
              const ServerId& server,
              Incarnation incarnation,
              TimePoint now);
  // The whole response arrived. Clears all crash reports of the fingerprint.
  void OnAnswered(std::uint64_t attempt, TimePoint now);
  // The attempt ended in a way that is no evidence of a crash: shed, cancelled
  // or silent.
  void OnAborted(std::uint64_t attempt);
  // The server closed or reset the connection before the whole response.
  void OnConnectionLost(std::uint64_t attempt, TimePoint now);

  // That incarnation of the server is proven to have ended.
  void OnServerGone(const ServerId& server,
                    Incarnation incarnation,
                    TimePoint now);
  // A connection to the server was refused: every incarnation of it that is
  // suspected to have crashed has ended. For daemons that do not know which
  // incarnation that was.
  void OnServerRefused(const ServerId& server, TimePoint now);
  // That incarnation of the server responded to a request sent at `asked_at`.
  // Connections of this incarnation that were lost before `asked_at` were lost
  // for another reason than a crash. A response to an earlier request may have
  // been in transit when the server crashed and proves nothing. All other
  // incarnations of the server have ended.
  void OnServerAlive(const ServerId& server,
                     Incarnation incarnation,
                     TimePoint asked_at,
                     TimePoint now);

  // Merges an update from another daemon.
  void Merge(const peer::QuarantineUpdateT& update, TimePoint now);
  // Returns the local changes since the last call, to be sent to all members,
  // or nothing if there are none.
  [[nodiscard]] std::optional<peer::QuarantineUpdateT> TakeUpdate();
  // Returns all confirmed crash reports, to be sent to a newly joined member.
  [[nodiscard]] peer::QuarantineUpdateT Snapshot(TimePoint now) const;

  // Sets how long crash reports confirmed from now on are kept.
  void SetExpiry(Duration expiry) { options_.expiry = expiry; }

  // Returns all fingerprints with confirmed crash reports, for the operator.
  [[nodiscard]] std::vector<QuarantineEntry> List(TimePoint now) const;
  // Clears a fingerprint locally and, with the next update, at all daemons.
  // Returns false if it had no crash report or suspicion.
  bool Lift(Fingerprint fingerprint, TimePoint now);

 private:
  // One incarnation of a server.
  using ServerIncarnation = std::pair<ServerId, Incarnation>;
  struct Attempt {
    Fingerprint fingerprint;
    ServerIncarnation server_incarnation;
  };
  // A crash report, confirmed or suspected, for one incarnation of a server.
  struct CrashReport {
    TimePoint lost_at{};
    TimePoint expires_at{};
    bool confirmed = false;
    bool is_local = false;  // Detected by this daemon.
  };
  struct Record {
    std::map<ServerIncarnation, CrashReport> crash_reports;
    // The running attempt of this daemon with the suspected request, if any.
    std::optional<std::uint64_t> trial;
  };
  struct Trial {
    std::uint64_t attempt = 0;
    TimePoint ends_at{};
  };

  void AddCrashReport(Fingerprint fingerprint,
                      const ServerIncarnation& server_incarnation,
                      CrashReport report);
  // Marks the suspected incarnations of the server as gone, except `alive`.
  void MarkOthersGone(const ServerId& server,
                      const std::optional<ServerIncarnation>& alive,
                      TimePoint now);
  void Confirm(const ServerIncarnation& server_incarnation, TimePoint now);
  void Withdraw(const ServerIncarnation& server_incarnation,
                TimePoint asked_at,
                TimePoint now);
  bool ClearReports(Fingerprint fingerprint, TimePoint now);
  void Expire(TimePoint now);
  void EvictIfFull();
  void EndTrial(std::uint64_t attempt, Fingerprint fingerprint);
  [[nodiscard]] bool IsTrialRunning(const Record& record,
                                    const ServerId& server,
                                    TimePoint now) const;
  [[nodiscard]] std::optional<Attempt> TakeAttempt(std::uint64_t attempt);
  void AddToUpdate(Fingerprint fingerprint,
                   const ServerIncarnation& server_incarnation,
                   peer::CrashReportState state,
                   Duration age);

  QuarantineOptions options_;
  std::unordered_map<std::uint64_t, Attempt> attempts_;
  std::map<Fingerprint, Record> records_;
  std::map<ServerId, Trial> trials_;
  // Incarnations that have ended. Each is kept until the given time, so that a
  // connection loss noticed later gives a confirmed crash report at once.
  std::map<ServerIncarnation, TimePoint> gone_incarnations_;
  // Cleared crash reports; repeated reports are ignored until the given time.
  std::map<std::pair<Fingerprint, ServerIncarnation>, TimePoint>
      cleared_reports_;
  peer::QuarantineUpdateT update_;
};

}  // namespace gentianreach

#endif  // SRC_POLICY_QUARANTINE_H_
