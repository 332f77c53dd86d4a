// Detects connections that are dead although they were never closed.
#ifndef SRC_POLICY_PROGRESS_WATCH_H_
#define SRC_POLICY_PROGRESS_WATCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "gentianreach/time.h"

namespace gentianreach {

struct ProgressOptions {
  // Time without progress after which a connection may be declared dead;
  // settings [limits] progress_timeout.
  Duration timeout = std::chrono::seconds(1);
  // Time to wait for the response to a probe.
  Duration probe_timeout = std::chrono::milliseconds(250);
  // While the kernel does not report whether bytes are acknowledged, a request
  // is considered slow rather than dead for this multiple of the server's usual
  // latency.
  double slow_multiple = 4;
};

enum class ProgressActionKind : std::uint8_t {
  // Open a new connection to the server and send the order `probe` on it; call
  // OnServerAnswered() when the response arrives.
  kProbeServer,
  // Send the order `probe` on this idle connection and call OnVerified() with
  // the result. Without a call, the connection is declared dead after the probe
  // timeout.
  kVerify,
  // Close this connection; a request on it ends as MayHaveRun(kSilent).
  kDead,
};

struct ProgressAction {
  ProgressActionKind kind;
  std::uint64_t connection = 0;  // Unused for kProbeServer.
};

// Monitors the connections of one daemon to one backend server.
//
// Report each event as it happens, call Poll() at NextDeadline() and after each
// event, and carry out every action it returns. Call OnProgress() when the
// server's machine has accepted and acknowledged a byte of the request, or when
// a byte of the response has arrived. Where the kernel provides TCP_INFO, call
// OnAcknowledged() whenever the machine has acknowledged all bytes written and
// keep-alive probes, and OnUnacknowledged() while it has not.
//
// A busy connection is stalled after half of `timeout` without progress. It is
// declared dead after at least `timeout`, once the server has proven since the
// stall that it works, by progress on another connection or by a response to a
// probe on a new one. In addition, either bytes on the connection must remain
// unacknowledged, or the kernel reports nothing and the silence must exceed
// what the server's latency explains. If the machine acknowledges all bytes,
// the request is slow and continues until its deadline. If the server has not
// proven that it works, no connection is declared dead: the whole server is
// silent, which this class does not handle.
//
// Once a busy connection is declared dead, all connections whose last progress
// is no later than its own are suspected, because whatever dropped the state of
// that connection may have dropped theirs. Idle ones are verified all at once
// and are not usable until then. For busy ones, the server's latency no longer
// extends the timeout.
class ProgressWatch {
 public:
  explicit ProgressWatch(ProgressOptions options);
  ProgressWatch(const ProgressWatch&) = delete;
  ProgressWatch& operator=(const ProgressWatch&) = delete;

  void OnOpened(std::uint64_t connection, TimePoint now);
  void OnClosed(std::uint64_t connection);
  // The first byte of a request is about to be written to an idle connection.
  void OnBusy(std::uint64_t connection, TimePoint now);
  void OnProgress(std::uint64_t connection, TimePoint now);
  void OnAcknowledged(std::uint64_t connection, TimePoint now);
  void OnUnacknowledged(std::uint64_t connection, TimePoint now);
  // The whole response arrived after `latency`; the connection is idle.
  void OnIdle(std::uint64_t connection, Duration latency, TimePoint now);
  // The server responded on a connection that is not monitored, e.g. a probe.
  void OnServerAnswered(TimePoint now);
  // The probe on an idle connection was answered or could not be sent.
  void OnVerified(std::uint64_t connection, bool answered, TimePoint now);

  // Returns whether a request may be sent on an idle connection.
  [[nodiscard]] bool IsUsable(std::uint64_t connection) const;
  // Returns the actions to carry out now.
  [[nodiscard]] std::vector<ProgressAction> Poll(TimePoint now);
  // Returns when Poll() is next due, if ever.
  [[nodiscard]] std::optional<TimePoint> NextDeadline() const;

 private:
  // Whether the server's machine has acknowledged all bytes, according to the
  // kernel.
  enum class AckState : std::uint8_t {
    kUnknown,
    kAcknowledged,
    kUnacknowledged
  };
  enum class Use : std::uint8_t { kIdle, kBusy, kVerifying };
  struct Connection {
    Use use = Use::kIdle;
    AckState ack_state = AckState::kUnknown;
    // Time of the last progress or of the start of the request.
    TimePoint progress_at{};
    // Time of the last acknowledgement, or since when one is missing.
    TimePoint ack_state_at{};
    // Time of the next check of a busy connection, or the deadline of a
    // verification.
    TimePoint next_check_at{};
    // A connection with as recent or more recent progress was declared dead.
    bool suspected = false;
  };
  enum class Assessment : std::uint8_t { kWait, kNeedsProbe, kSlow, kDead };

  [[nodiscard]] Assessment Evaluate(const Connection& connection,
                                    TimePoint now) const;
  [[nodiscard]] TimePoint StalledAt(const Connection& connection) const;
  [[nodiscard]] Duration DeadAfter(const Connection& connection) const;
  void RecordProgress(Connection& connection, TimePoint now);
  void SuspectOthers(TimePoint since,
                     TimePoint now,
                     std::vector<ProgressAction>& actions);
  [[nodiscard]] std::vector<std::uint64_t> DueConnections(TimePoint now) const;

  ProgressOptions options_;
  std::map<std::uint64_t, Connection> connections_;
  // Time of the last proof, on any connection, that the server works.
  TimePoint server_responsive_at_{};
  // Deadline of the outstanding probe on a new connection.
  TimePoint probe_until_{};
  // Smoothed latency of whole responses and its mean deviation, in seconds.
  double latency_s_ = 0;
  double deviation_s_ = 0;
};

}  // namespace gentianreach

#endif  // SRC_POLICY_PROGRESS_WATCH_H_
