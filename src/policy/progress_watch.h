// Notices connections that went dead without a word.
#ifndef SRC_POLICY_PROGRESS_WATCH_H_
#define SRC_POLICY_PROGRESS_WATCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "gentianreach/time.h"

namespace gentianreach {

struct ProgressOptions {
  // Time without progress after which a connection is in doubt; settings
  // [limits] progress_timeout.
  Duration timeout = std::chrono::seconds(1);
  // Time for the answer to a probe.
  Duration probe_timeout = std::chrono::milliseconds(250);
  // A request without any sign from the kernel is held to be slow rather than
  // dead for this multiple of the server's usual latency.
  double slow_multiple = 4;
};

enum class ProgressActionKind : std::uint8_t {
  // Open a new connection to the server and send the order `probe` there;
  // report OnServerAnswered() when it is answered.
  kProbeServer,
  // Send the order `probe` on this idle connection; report OnVerified() with
  // the result, or nothing: after the probe timeout it is declared dead.
  kVerify,
  // Close this connection. A request on it ends as MayHaveRun(kSilent).
  kDead,
};

struct ProgressAction {
  ProgressActionKind kind;
  std::uint64_t connection = 0;  // Unused for kProbeServer.
};

// Watches the connections of one daemon to one backend server.
//
// Tell each event as it happens, and call Poll() at NextDeadline() and after
// each event; act on all it returns. OnProgress() means that a byte of the
// request was taken and acknowledged by the server's machine or a byte of the
// answer arrived. Where the kernel tells (TCP_INFO), call OnAcknowledged()
// whenever the machine has acknowledged all that was written, keep-alive probes
// included, and OnUnacknowledged() while it has not.
//
// A busy connection without progress for `timeout` is in doubt. It is dead
// when the server is shown to work meanwhile, by progress of another
// connection or by a probe over a new one, and either bytes stay
// unacknowledged on it, or the kernel knows nothing and the silence exceeds
// what the server's latency explains. Where the machine acknowledges all, the
// request is slow and goes on until its deadline. Where the server is not
// shown to work, nothing is condemned: the server as a whole is silent, which
// is not this class's matter.
//
// With one connection found dead, all others that made no progress since
// before its last one are suspected, because what lost track of it may have
// lost track of them: idle ones are verified at the same time and not used
// before, busy ones need no further doubt about the server.
class ProgressWatch {
 public:
  explicit ProgressWatch(ProgressOptions options);
  ProgressWatch(const ProgressWatch&) = delete;
  ProgressWatch& operator=(const ProgressWatch&) = delete;

  void OnOpened(std::uint64_t connection, TimePoint now);
  void OnClosed(std::uint64_t connection);
  // A request's first byte is about to be written to an idle connection.
  void OnBusy(std::uint64_t connection, TimePoint now);
  void OnProgress(std::uint64_t connection, TimePoint now);
  void OnAcknowledged(std::uint64_t connection, TimePoint now);
  void OnUnacknowledged(std::uint64_t connection, TimePoint now);
  // The whole answer arrived after `latency`; the connection is idle.
  void OnIdle(std::uint64_t connection, Duration latency, TimePoint now);
  // The server answered on a connection that is not watched, e.g. a probe.
  void OnServerAnswered(TimePoint now);
  // The probe on an idle connection was answered, or could not be sent.
  void OnVerified(std::uint64_t connection, bool answered, TimePoint now);

  // Returns whether a request may be sent on an idle connection.
  [[nodiscard]] bool IsUsable(std::uint64_t connection) const;
  // Returns what is to be done now.
  [[nodiscard]] std::vector<ProgressAction> Poll(TimePoint now);
  // Returns when Poll() is due, if ever.
  [[nodiscard]] std::optional<TimePoint> NextDeadline() const;

 private:
  // What the kernel says of the way to the server's machine.
  enum class Path : std::uint8_t { kUnknown, kAcknowledged, kUnacknowledged };
  enum class Use : std::uint8_t { kIdle, kBusy, kVerifying };
  struct Connection {
    Use use = Use::kIdle;
    Path path = Path::kUnknown;
    // Last progress, or the start of the request.
    TimePoint progress_at{};
    // Last acknowledgement, or since when one is missing.
    TimePoint path_at{};
    // When a busy connection is looked at next; when a verification fails.
    TimePoint review_at{};
    // Another connection that made progress as late as this one was dead.
    bool suspected = false;
  };
  enum class Finding : std::uint8_t { kWait, kAskServer, kSlow, kDead };

  [[nodiscard]] Finding Evaluate(const Connection& connection,
                                 TimePoint now) const;
  [[nodiscard]] TimePoint DoubtAt(const Connection& connection) const;
  [[nodiscard]] Duration Patience(const Connection& connection) const;
  void Alive(Connection& connection, TimePoint now);
  void Suspect(TimePoint since,
               TimePoint now,
               std::vector<ProgressAction>& actions);
  [[nodiscard]] std::vector<std::uint64_t> DueConnections(TimePoint now) const;

  ProgressOptions options_;
  std::map<std::uint64_t, Connection> connections_;
  // Last sign that the server works, from any connection.
  TimePoint server_at_{};
  // Until when a probe over a new connection is awaited.
  TimePoint probe_until_{};
  // Smoothed latency of whole answers and its mean deviation, in seconds.
  double latency_s_ = 0;
  double deviation_s_ = 0;
};

}  // namespace gentianreach

#endif  // SRC_POLICY_PROGRESS_WATCH_H_
