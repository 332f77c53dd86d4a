// The processes of a soak run, and the proxies between them.
#ifndef SOAK_FLEET_H_
#define SOAK_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gentianreach/time.h"
#include "net/event_loop.h"
#include "soak/chaos_proxy.h"
#include "soak/config_checker.h"
#include "soak/datagram_proxy.h"
#include "soak/disturbances.h"
#include "soak/drain_checker.h"
#include "soak/expected_requests.h"
#include "soak/fault_plan.h"
#include "soak/holdings_checker.h"
#include "soak/process.h"
#include "soak/promise_checker.h"

namespace gentianreach::soak {

// Callbacks for events in the fleet.
struct FleetEvents {
  // A server is about to run a request.
  std::function<void(const ObservedRun&)> on_run;
  // Requests through `daemon` may be late or unanswered between the two times.
  std::function<void(std::size_t daemon, TimePoint from, TimePoint to)>
      on_disturbed;
  // A server has carried out an order.
  std::function<void(const ObservedOrder&)> on_order;
  // A server's incarnation has ended.
  std::function<void(const std::string& server)> on_server_end;
  // A process failed or printed unexpected output.
  std::function<void(const std::string&)> on_failure;
};

// Runs a store, servers and daemons on a dedicated block of loopback addresses,
// connected through proxies, and injects faults. Destruction kills the
// processes.
class Fleet {
 public:
  // `programs`: directory of the executables. `logs`: directory for the
  // daemons' settings files and logs. Reports versions of the configuration,
  // and when daemons are out of touch, to `config_checker`; servers that leave,
  // and all that may hold requests to them up, to `drain_checker`.
  Fleet(net::EventLoop& loop,
        std::string programs,
        std::string logs,
        ConfigChecker& config_checker,
        DrainChecker& drain_checker,
        FleetEvents events);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts the store process. Its address is known once has_store() is true.
  void StartStore();
  [[nodiscard]] bool has_store() const { return !store_address_.empty(); }
  // Starts the servers and daemons. Requires has_store().
  void StartAll(const FleetShape& shape);

  // Injects a fault, and reverts it.
  void Begin(const Fault& fault);
  void End(const Fault& fault);
  // Sends SIGTERM to all daemons. They are not restarted.
  void StopDaemons();

  // Returns the address through which callers reach each daemon.
  [[nodiscard]] std::vector<std::string> CallerAddresses() const;
  // Returns whether all daemons and servers run, all servers are registered,
  // and none is being terminated.
  [[nodiscard]] bool AllRun() const;
  [[nodiscard]] bool NoDaemonRuns() const;
  // Returns the path prefix of the route that the latest valid configuration
  // added.
  [[nodiscard]] std::string newest_route() const;
  // Returns what a probe of a daemon's configuration asks for: the route of the
  // latest version, of another one or of all, as `draw` selects.
  [[nodiscard]] RequestKind ConfigProbe(std::size_t daemon,
                                        std::uint64_t draw) const;
  // Reports processes that got no processor since the last call. Called
  // periodically.
  void CheckStarvation();
  [[nodiscard]] std::size_t daemons() const { return daemons_.size(); }
  [[nodiscard]] std::size_t servers() const { return servers_.size(); }

 private:
  // Prefix of the line with which the fake programs print their listening
  // address.
  static constexpr std::string_view kAddressPrefix = "address=";

  struct DaemonSlot {
    std::string name;
    std::string ip;
    std::unique_ptr<Process> process;
    // Proxies for connections from callers and to the store.
    std::unique_ptr<ChaosProxy> front_proxy;
    std::unique_ptr<ChaosProxy> store_proxy;
    // Where other daemons reach it, and the proxies for their connections to
    // its member and forward addresses. Set only if links are cut.
    std::string advertised_ip;
    std::unique_ptr<ChaosProxy> member_proxy;
    std::unique_ptr<ChaosProxy> forward_proxy;
    // How its connections to the servers are cut.
    ClientCut cut = ClientCut::kNone;
    // A terminating signal has been sent, at `ending_since`.
    bool ending = false;
    TimePoint ending_since;
    // Number of this start among those of all daemons.
    int start = 0;
    // Set while the process is stopped by SIGSTOP.
    std::optional<TimePoint> paused_since;
    // How long it has been stopped since its start.
    Duration paused{};
    // Wait for a processor until the last CheckStarvation().
    Duration run_queue_wait{};
  };
  struct ServerSlot {
    std::string service;
    bool keyed = false;
    std::unique_ptr<Process> process;
    // Proxy of the current incarnation; each incarnation has its own address.
    std::unique_ptr<ChaosProxy> front_proxy;
    LinkMode mode = LinkMode::kPass;
    std::string id;
    // Id of the current incarnation.
    std::string incarnation;
    int start_count = 0;
    // Wait for a processor until the last CheckStarvation().
    Duration run_queue_wait{};
    bool ready = false;
    bool ending = false;
  };

  [[nodiscard]] std::string Program(const std::string& name) const;
  std::unique_ptr<ChaosProxy> MakeProxy();
  // Returns a proxy that accepts connections at `address`.
  std::unique_ptr<ChaosProxy> MakeProxyAt(const std::string& address);
  std::unique_ptr<Process> Spawn(const std::vector<std::string>& arguments,
                                 const Process::Options& options,
                                 Process::Callbacks callbacks);
  void OnStoreLine(const std::string& line);
  void StartServer(std::size_t i);
  void OnServerLine(std::size_t i,
                    const std::string& incarnation,
                    const std::string& line);
  void OnServerExit(std::size_t i, int status);
  void WriteDaemonSettings(std::size_t i);
  [[nodiscard]] std::string SettingsFile(std::size_t i) const;
  void StartDaemon(std::size_t i);
  void OnDaemonExit(std::size_t i, int status);
  void OnServerRun(std::size_t i,
                   const std::string& incarnation,
                   std::istream& in);
  // Returns the daemon that connects from `client` ("IP:port").
  [[nodiscard]] std::optional<std::size_t> FindDaemon(
      const std::string& client) const;
  void OnServerOrder(std::size_t i,
                     const std::string& incarnation,
                     std::istream& in);
  void WriteConfig(bool valid);
  // Reports that the daemons that `fault` affects are out of touch.
  void AddOutOfTouch(const Fault& fault);
  void AddOutOfTouch(std::size_t daemon, TimePoint from, TimePoint to);
  // Reports that requests to the server that `fault` affects may be late.
  void AddServerDisturbance(const Fault& fault);
  // Reports that orders to the server that `fault` affects may be late.
  void AddOrderDelay(const Fault& fault);
  // Sets how the connections of a daemon to all servers are cut.
  void CutDaemon(std::size_t i, ClientCut cut);
  // Lets the store refuse a daemon, or ends that.
  void BeginRefusal(const Fault& fault);
  void EndRefusal(const Fault& fault);
  // Puts proxies between the daemons.
  void StartLinkProxies();
  // Cuts links between daemons, or ends that. A cut around the leader begins
  // once the store has told who leads.
  void BeginLinkCuts(const Fault& fault);
  void EndLinkCuts();
  void OnLeader(const std::string& name);
  void CutLinks(const std::vector<LinkCut>& links);
  void SetLinkCut(const LinkCut& link, bool cut);
  // Sets how connections from daemon `from` to daemon `to` are cut.
  void CutConnections(std::size_t from, std::size_t to, ClientCut cut);
  // Returns the IP address at which other daemons reach the daemon.
  [[nodiscard]] static const std::string& ReachedAt(const DaemonSlot& slot) {
    return slot.advertised_ip.empty() ? slot.ip : slot.advertised_ip;
  }
  void AddDisturbance(std::size_t daemon, const Fault& fault);
  void BeginLinkFault(const Fault& fault);
  void SetMode(const Fault& fault, LinkMode mode);
  ChaosProxy& ProxyOf(const Fault& fault);
  void EndDaemon(std::size_t i, int signal);
  void EndServer(std::size_t i, int signal);
  void SignalDaemon(std::size_t i, int signal);
  void SignalServer(std::size_t i, int signal);
  void RestartDaemon(std::size_t i);
  // Pauses the daemon, or lets it go on.
  void PauseDaemon(std::size_t i);
  void ResumeDaemon(std::size_t i);
  // Reports a failure if the daemon, which is being terminated, has not exited
  // at `deadline`. Time for which it is paused from now on does not count.
  void ExpectExit(std::size_t i, TimePoint deadline);
  void RestartServer(std::size_t i);

  net::EventLoop& loop_;
  const std::string programs_;
  const std::string logs_;
  ConfigChecker& config_checker_;
  DrainChecker& drain_checker_;
  const FleetEvents events_;
  // The first three octets of the fleet's addresses, with the trailing dot.
  const std::string block_;
  std::unique_ptr<Process> store_;
  std::string store_address_;
  std::vector<DaemonSlot> daemons_;
  std::vector<ServerSlot> servers_;
  // Kept because their last output may still be unread in the pipe.
  std::vector<std::unique_ptr<Process>> exited_servers_;
  // Daemons to restart once they have exited.
  std::set<std::size_t> restart_;
  int starts_ = 0;
  std::optional<std::uint64_t> max_descriptors_;
  bool signals_at_start_ = true;
  bool store_refuses_ = false;
  bool cut_links_ = false;
  // Set only if links are cut.
  std::unique_ptr<DatagramProxy> datagram_proxy_;
  // The links that are cut.
  std::vector<LinkCut> links_cut_;
  // A cut around the leader that waits for the leader's name.
  std::optional<Fault> leader_cut_;
  std::uint64_t config_version_ = 1;
  std::uint64_t valid_version_ = 1;
  // Versions that the store has not accepted yet.
  std::deque<std::uint64_t> unaccepted_;
  // Times at which orders to each server, or of each daemon, may be late.
  Disturbances server_delays_;
  Disturbances daemon_delays_;
  TimePoint starvation_checked_at_;
  Duration store_run_queue_wait_{};
};

}  // namespace gentianreach::soak

#endif  // SOAK_FLEET_H_
