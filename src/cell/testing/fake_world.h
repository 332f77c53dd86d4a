// Simulates a cluster around real `CellAgent` objects in virtual time, with
// fakes for the store, the network and the backend servers and their clocks.
//
// The cluster checks the main invariant after each order to a server: no two
// servers serve the same position at the same virtual time, according to the
// state of the servers.
#ifndef SRC_CELL_TESTING_FAKE_WORLD_H_
#define SRC_CELL_TESTING_FAKE_WORLD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gentianreach/cell_agent.h"

namespace gentianreach::testing {

using std::chrono_literals::operator""us;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

struct FakeClusterOptions {
  std::uint64_t seed = 1;
  std::size_t daemons = 3;
  std::size_t servers = 3;
  std::size_t zones = 3;
  std::uint32_t ranges_per_server = 2;
  bool checks_giver = true;
  bool watches_deadline = true;
  // Relative clock rates are drawn from [-drift, +drift].
  double drift = 0.004;
  Duration link = 500us;         // One-way latency between machines.
  Duration store_latency = 3ms;  // Duration of a whole call.
  // How long a request runs on a server. A release completes only after the
  // requests that run.
  Duration request_duration = 2ms;
  Duration cold_start = 50ms;
  settings::CellTimingT timing;
};

// A backend server that implements the orders in docs/PROTOCOLS.md.
struct FakeServer {
  std::string id;
  std::string zone;
  bool up = true;
  bool frozen = false;
  bool leaving = false;
  TimePoint ready_at = TimePoint::min();
  double clock_rate = 1;
  TimePoint started_at = TimePoint::min();
  Incarnation incarnation{1};
  LeaseGeneration generation;
  std::int64_t lease_until_ms = 0;
  std::uint64_t highest_epoch = 0;
  struct Held {
    HashRange range;
    Token token;
    // After a release: when the requests that were running end.
    TimePoint ends_at = TimePoint::min();
  };
  std::vector<Held> held;
  std::map<std::uint64_t, std::pair<HashRange, std::uint64_t>> min_tokens;
  std::deque<std::function<void()>> queue;  // Orders received while frozen.
};

struct FakeDaemon {
  std::string id;
  std::string zone;
  std::unique_ptr<CellAgent> agent;
  bool up = true;
  bool paused = false;
  bool store_unreachable = false;
  bool leaving = false;
  double clock_rate = 1;
  Duration offset{};
  std::deque<std::function<void()>> queue;  // Events received while paused.
  std::uint64_t timer = 0;
};

class FakeCluster {
 public:
  explicit FakeCluster(const FakeClusterOptions& options);
  ~FakeCluster();

  // Runs the simulation for `span`.
  void Run(Duration span);
  // Runs until `done` returns true or `limit` has passed. Returns whether
  // `done` returned true.
  bool RunUntil(const std::function<bool()>& done, Duration limit);

  // Fault injection.
  void CrashServer(std::size_t server);
  void RestartServer(std::size_t server);
  void FreezeServer(std::size_t server, bool frozen);
  void CrashDaemon(std::size_t daemon);
  // Starts a new incarnation of the daemon.
  void RestartDaemon(std::size_t daemon);
  // Makes the daemon leave the cell. A new incarnation starts after that.
  void LeaveDaemon(std::size_t daemon);
  void PauseDaemon(std::size_t daemon, bool paused);
  // Cuts or restores the link between two machines in one direction.
  void Cut(const std::string& from, const std::string& to, bool cut);
  void PartitionBothWays(const std::string& a, const std::string& b, bool cut);
  void HealAll();

  enum class StoreState { kUp, kDown, kLosesResponses, kSlow };
  StoreState store = StoreState::kUp;
  double loss_fraction = 0;  // Of messages.
  // Fraction of messages delayed by two to three seconds.
  double delayed_fraction = 0;

  // Delivers the list of VMs to every daemon.
  void PublishServers();

  // Returns whether any running daemon can reach the owner of `hash` now and
  // the owner would serve the request.
  bool Served(KeyHash hash);
  bool AllServed();
  // Returns the number of ranges whose first position is not served.
  std::size_t Unserved();
  bool Settled();

  std::optional<std::size_t> Assigner();
  std::size_t OwnerOf(KeyHash hash);
  TimePoint now() const { return now_; }
  std::mt19937_64& random() { return random_; }
  std::vector<FakeServer>& servers() { return servers_; }
  std::vector<FakeDaemon>& daemons() { return daemons_; }
  TimePoint Local(const FakeDaemon& daemon) const;
  std::shared_ptr<const stored::CellT> StoredRecord() const;
  // Performs the pending actions of the agent. Call it after calling functions
  // of an agent directly.
  void Flush(std::size_t daemon) { PerformActions(daemon); }
  // Adds an event to the trace that is printed on failure.
  void Trace(const std::string& event);
  std::string TraceText() const;

  std::uint64_t peer_bytes = 0;
  std::uint64_t peer_messages = 0;
  std::uint64_t server_orders = 0;
  std::uint64_t store_reads = 0;
  std::uint64_t store_writes = 0;
  std::vector<AuditEvent> audit;
  std::uint64_t violations = 0;
  bool count_bytes = false;
  // Called after each event.
  std::function<void()> on_event;
  // Called for each write that takes effect.
  std::function<void(const stored::CellT&, std::uint64_t version)> on_write;

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void Schedule(TimePoint at, std::function<void()> run);
  void StartAgent(std::size_t daemon);
  void Deliver(std::size_t daemon,
               std::uint64_t incarnation,
               std::function<void(FakeDaemon&)> run);
  void PerformActions(std::size_t daemon);
  void ScheduleTick(std::size_t daemon);
  void Read(std::size_t daemon, const StoreRead& call);
  void Write(std::size_t daemon, const StoreWrite& call);
  void Send(std::size_t daemon, PeerSend send);
  void Order(std::size_t daemon, ServerOrder order);
  ServerReply HandleOrder(FakeServer& server, const ServerOrder& order);
  bool ApplyOrder(FakeServer& server,
                  const ServerOrder& order,
                  ServerReply& reply);
  void Grant(FakeServer& server, const ServerOrder& order);
  bool Release(FakeServer& server, const ServerOrder& order);
  static void RemoveRange(FakeServer& server, const HashRange& range);
  [[nodiscard]] static Token MinToken(const FakeServer& server,
                                      const HashRange& range);
  [[nodiscard]] std::int64_t ClockMs(const FakeServer& server) const;
  [[nodiscard]] bool Serves(const FakeServer& server,
                            const FakeServer::Held& held) const;
  void CheckOwners();
  void SampleRoutes();
  [[nodiscard]] Duration Latency(Duration base);
  [[nodiscard]] Duration LinkLatency();
  [[nodiscard]] bool Lost(const std::string& from, const std::string& to);
  std::optional<std::size_t> Find(const std::string& id) const;

  FakeClusterOptions options_;
  std::mt19937_64 random_;
  TimePoint now_;
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<FakeServer> servers_;
  std::vector<FakeDaemon> daemons_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::uint64_t last_start_ = 0;
  TimePoint next_sample_;
  // The store's one object.
  std::uint64_t version_ = 0;
  std::vector<std::uint8_t> object_;
  std::deque<std::string> trace_;
  // For servers that do not watch their lease: until when each may process
  // requests already sent to it, by server, first position and token.
  std::map<std::tuple<std::size_t, std::uint64_t, std::uint64_t>, TimePoint>
      sent_until_;
};

}  // namespace gentianreach::testing

#endif  // SRC_CELL_TESTING_FAKE_WORLD_H_
