// Decides whether this daemon has lost its path to all servers.
#ifndef SRC_ENTRY_SERVER_REACHABILITY_H_
#define SRC_ENTRY_SERVER_REACHABILITY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "routing/backend_server.h"

namespace gentianreach::entry {

enum class ServerPath : std::uint8_t {
  kOpen,
  kSuspected,  // Probes are under way.
  kLost,       // No server answers on a new connection.
};

// Returns the name of the state in log lines.
[[nodiscard]] std::string_view ToString(ServerPath path);

// A lost server and a lost path look alike on one connection. They differ in
// that other servers still answer. Failures at several servers, or silence of
// all of them, therefore only raise a suspicion, and probes of the servers that
// answered most recently confirm or refute it. A confirmed loss ends with the
// first probe that is answered.
//
// Connections that were opened before a partition may live on. An answer on a
// connection thus refutes only failures of connections that were opened no
// later.
//
// Does no I/O: the caller passes the time and sends the probes, each on a new
// connection.
class ServerReachability {
 public:
  using Servers = std::map<ServerId, routing::BackendServer>;

  // A request was sent that should be answered by `due`.
  void OnSent(TimePoint due);
  // `server` answered on a connection that was opened at `opened_at`.
  void OnAnswer(const ServerId& server, TimePoint opened_at, TimePoint now);
  // A connection to `server` that was opened at `opened_at` failed, or its
  // request got no answer in time.
  void OnFailure(const ServerId& server, TimePoint opened_at);
  // `server` no longer exists.
  void Forget(const ServerId& server);

  // Decides whether a server may be probed.
  using Filter = std::function<bool(const routing::BackendServer&)>;
  // Returns the servers to probe now, of those that exist and may be probed.
  // The others raise no suspicion either. Each probe must end in a call of
  // OnProbeEnd().
  [[nodiscard]] std::vector<ServerId> TakeProbes(
      const Servers& servers,
      TimePoint now,
      const Filter& may_probe = [](const auto&) { return true; });
  // The probe of `server` ended; `answered` if any response arrived.
  void OnProbeEnd(const ServerId& server, bool answered, TimePoint now);

  [[nodiscard]] ServerPath path() const { return path_; }
  [[nodiscard]] bool lost() const { return path_ == ServerPath::kLost; }
  // Returns whether the path was lost at any time since `from`.
  [[nodiscard]] bool WasLostSince(TimePoint from) const {
    return lost() || loss_ended_at_ >= from;
  }
  // Returns when any server last answered.
  [[nodiscard]] TimePoint last_answer() const { return last_answer_; }

 private:
  struct Record {
    TimePoint answered_at{};
    TimePoint probed_at{};
  };

  [[nodiscard]] bool IsSuspicious(const Servers& servers,
                                  TimePoint now,
                                  const Filter& may_probe) const;
  // Returns up to `n` servers, the first by `order`.
  template <typename Order>
  [[nodiscard]] std::vector<ServerId> Pick(const Servers& servers,
                                           std::size_t n,
                                           const Filter& may_probe,
                                           Order order) const;
  void Reopen(TimePoint now);

  std::map<ServerId, Record> records_;
  // When the connections were opened that failed last, by server. Usually
  // empty, since it is searched for each answer.
  std::map<ServerId, TimePoint> failed_connections_;
  ServerPath path_ = ServerPath::kOpen;
  TimePoint last_answer_{};
  TimePoint loss_ended_at_{};
  // The earliest time by which a request sent since then should be answered.
  std::optional<TimePoint> answer_due_;
  std::size_t pending_probes_ = 0;
  TimePoint next_probes_{};
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_SERVER_REACHABILITY_H_
