// Recognises requests that take down each backend server that runs them.
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

// Stands for a request in all that the server sees of it. Two requests with
// one fingerprint differ in nothing that the product can tell apart.
struct Fingerprint {
  std::uint64_t value = 0;
  constexpr auto operator<=>(const Fingerprint&) const = default;
};

// Returns the digest of a request body (XXH3, 64 bits), as MakeFingerprint()
// takes it.
[[nodiscard]] std::uint64_t DigestBody(std::string_view body);

// Returns the fingerprint of a request; `target` is the path with its query.
[[nodiscard]] Fingerprint MakeFingerprint(const ServiceName& service,
                                          std::string_view method,
                                          std::string_view target,
                                          std::uint64_t body_digest);

struct QuarantineOptions {
  // How long a crash report counts; settings [limits] quarantine.
  Duration expiry = std::chrono::minutes(10);
  // How long a lost connection waits for the proof that its server is gone.
  Duration confirmation = std::chrono::seconds(10);
  // Longest time for which a suspected request waits for another one.
  Duration trial = std::chrono::seconds(5);
  // Greatest number of fingerprints kept.
  std::size_t capacity = 10'000;
};

enum class QuarantineState : std::uint8_t {
  kAllowed,  // Send it.
  kWait,     // A suspected request runs on that server: ask again later.
  kRefused,  // Verdict::NotRun(Reason::kQuarantined).
};

// One entry of the operator's list.
struct QuarantineEntry {
  Fingerprint fingerprint;
  // The servers that were lost with the request in flight.
  std::vector<std::pair<ServerId, Incarnation>> servers;
  TimePoint expires_at{};
  bool refused = false;
};

// The quarantine of one daemon, merged with those of the others.
//
// Per attempt: Check(), then OnSent() with an id that no other unfinished
// attempt has, then exactly one of OnAnswered(), OnAborted() and
// OnConnectionLost(). Tell OnServerGone() once the server is known to be gone
// and OnServerAlive() whenever it answers. Send TakeUpdate() to all members
// after each call where it is not empty, and hand theirs to Merge().
//
// A crash report is set on each fingerprint that was in flight on a server when
// the server's process ended: the connection was closed by the other side, and
// then either a connection was refused or a new incarnation answered. Silence
// is no such proof, so a server that freezes and returns leaves no crash
// reports. A request struck by the loss of two servers (or two incarnations of
// one) is refused until its crash reports expire. A whole answer clears the
// request everywhere, so one that was merely beside a killer lives on.
//
// A crash report is announced to the other daemons as soon as the connection is
// lost, before the proof, as a suspicion that makes them wait. Requests with a
// crash report or suspicion run one at a time on a server, so that the next
// loss tells which of them it was.
class Quarantine {
 public:
  explicit Quarantine(QuarantineOptions options);
  Quarantine(const Quarantine&) = delete;
  Quarantine& operator=(const Quarantine&) = delete;

  // Returns whether the request may be sent to `server` now.
  [[nodiscard]] QuarantineState Check(Fingerprint fingerprint,
                                      const ServerId& server,
                                      TimePoint now);
  // The attempt's first byte is about to be written.
  void OnSent(std::uint64_t attempt,
              Fingerprint fingerprint,
              const ServerId& server,
              Incarnation incarnation,
              TimePoint now);
  // The whole answer arrived. Clears the fingerprint of all crash reports.
  void OnAnswered(std::uint64_t attempt, TimePoint now);
  // The attempt ended in any way that says nothing: shed, cancelled, silent.
  void OnAborted(std::uint64_t attempt);
  // The other side closed or reset the connection before the whole answer.
  void OnConnectionLost(std::uint64_t attempt, TimePoint now);

  // That incarnation of the server is proven to be over.
  void OnServerGone(const ServerId& server,
                    Incarnation incarnation,
                    TimePoint now);
  // A connection to the server was refused: every incarnation of it whose loss
  // is suspected is over. For daemons that do not know which incarnation it
  // was.
  void OnServerRefused(const ServerId& server, TimePoint now);
  // That incarnation of the server answered a question that was sent at
  // `asked_at`. Connections of the same incarnation lost before were lost for
  // another reason; an answer that was merely under way at the loss proves
  // nothing. Another incarnation of the server is over.
  void OnServerAlive(const ServerId& server,
                     Incarnation incarnation,
                     TimePoint asked_at,
                     TimePoint now);

  // Takes in another daemon's update.
  void Merge(const peer::QuarantineUpdateT& update, TimePoint now);
  // Returns what changed here since the last call, for all members; nothing
  // where nothing did.
  [[nodiscard]] std::optional<peer::QuarantineUpdateT> TakeUpdate();
  // Returns all confirmed crash reports, for a member that has just joined.
  [[nodiscard]] peer::QuarantineUpdateT Snapshot(TimePoint now) const;

  // Sets how long crash reports that come from now on count.
  void SetExpiry(Duration expiry) { options_.expiry = expiry; }

  // Returns what is struck or refused, for the operator.
  [[nodiscard]] std::vector<QuarantineEntry> List(TimePoint now) const;
  // Clears a fingerprint here and, by the next update, everywhere. Returns
  // false where it had no crash report.
  bool Lift(Fingerprint fingerprint, TimePoint now);

 private:
  // One incarnation of a server.
  using ServerIncarnation = std::pair<ServerId, Incarnation>;
  struct Attempt {
    Fingerprint fingerprint;
    ServerIncarnation server_incarnation;
  };
  // What is held against a fingerprint for the loss of one incarnation.
  struct Charge {
    TimePoint lost_at{};
    TimePoint expires_at{};
    bool confirmed = false;
    bool own = false;  // Noticed by this daemon.
  };
  struct Record {
    std::map<ServerIncarnation, Charge> charges;
    // The attempt of this daemon that runs although it is suspected.
    std::optional<std::uint64_t> trial;
  };
  struct Trial {
    std::uint64_t attempt = 0;
    TimePoint ends_at{};
  };

  void AddCharge(Fingerprint fingerprint,
                 const ServerIncarnation& server_incarnation,
                 Charge charge);
  // Ends the suspected incarnations of the server except the one that is alive.
  void EndLives(const ServerId& server,
                const std::optional<ServerIncarnation>& alive,
                TimePoint now);
  void Confirm(const ServerIncarnation& server_incarnation, TimePoint now);
  void Withdraw(const ServerIncarnation& server_incarnation,
                TimePoint asked_at,
                TimePoint now);
  bool Clear(Fingerprint fingerprint, TimePoint now);
  void Expire(TimePoint now);
  void MakeRoom();
  void EndTrial(std::uint64_t attempt, Fingerprint fingerprint);
  [[nodiscard]] bool TrialRuns(const Record& record,
                               const ServerId& server,
                               TimePoint now) const;
  [[nodiscard]] std::optional<Attempt> TakeAttempt(std::uint64_t attempt);
  void Announce(Fingerprint fingerprint,
                const ServerIncarnation& server_incarnation,
                peer::CrashReportState state,
                Duration age);

  QuarantineOptions options_;
  std::unordered_map<std::uint64_t, Attempt> attempts_;
  std::map<Fingerprint, Record> records_;
  std::map<ServerId, Trial> trials_;
  // Lives that are over, until the news of their connections has come in.
  std::map<ServerIncarnation, TimePoint> gone_;
  // Charges that were cleared: repeated news of them is ignored until then.
  std::map<std::pair<Fingerprint, ServerIncarnation>, TimePoint> cleared_;
  peer::QuarantineUpdateT update_;
};

}  // namespace gentianreach

#endif  // SRC_POLICY_QUARANTINE_H_
