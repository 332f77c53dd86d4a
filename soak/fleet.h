// The processes of a soak, and the proxies in front of them.
#ifndef SOAK_FLEET_H_
#define SOAK_FLEET_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gentianreach/time.h"
#include "net/event_loop.h"
#include "soak/chaos_proxy.h"
#include "soak/fault_plan.h"
#include "soak/process.h"
#include "soak/promise_checker.h"

namespace gentianreach::soak {

// What a fleet tells of itself.
struct FleetEvents {
  // A server is about to run a request.
  std::function<void(const ObservedRun&)> on_run;
  // Callers of a daemon may go without answers between the two times.
  std::function<void(std::size_t daemon, TimePoint from, TimePoint to)>
      on_disturbed;
  // A process did what none may do, in plain words.
  std::function<void(const std::string&)> on_failure;
};

// A store, servers and daemons on a block of loopback addresses of its own,
// with a proxy in front of each. Carries faults out. Ends all that it started.
class Fleet {
 public:
  // `programs`: folder of the programs. `logs`: folder for settings and for the
  // daemons' lines.
  Fleet(net::EventLoop& loop,
        std::string programs,
        std::string logs,
        FleetEvents events);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts the store, which has its address some time later.
  void StartStore();
  [[nodiscard]] bool has_store() const { return !store_address_.empty(); }
  // Starts servers and daemons once there is a store.
  void StartAll(const FleetShape& shape);

  // Begins and ends a fault.
  void Begin(const Fault& fault);
  void End(const Fault& fault);
  // Tells all daemons to end in order, and not to start again.
  void StopDaemons();

  // Returns where each daemon takes callers.
  [[nodiscard]] std::vector<std::string> CallerAddresses() const;
  // Returns whether every process runs and none has been told to end.
  [[nodiscard]] bool AllRun() const;
  [[nodiscard]] bool NoDaemonRuns() const;
  // Returns the prefix of the route that the latest configuration brought.
  [[nodiscard]] const std::string& newest_route() const {
    return newest_route_;
  }
  [[nodiscard]] std::size_t daemons() const { return daemons_.size(); }
  [[nodiscard]] std::size_t servers() const { return servers_.size(); }

 private:
  struct DaemonSlot {
    std::string name;
    std::string ip;
    std::unique_ptr<Process> process;
    // Callers come through the first, its calls to the store go through the
    // second.
    std::unique_ptr<ChaosProxy> front;
    std::unique_ptr<ChaosProxy> to_store;
    // It has been told to end, or is to be killed.
    bool ending = false;
  };
  struct ServerSlot {
    std::string service;
    bool keyed = false;
    std::unique_ptr<Process> process;
    // Of the present incarnation: each has an address of its own.
    std::unique_ptr<ChaosProxy> front;
    LinkMode mode = LinkMode::kPass;
    std::string id;
    int lives = 0;
    bool ready = false;
    bool ending = false;
  };

  [[nodiscard]] std::string Program(const std::string& name) const;
  std::unique_ptr<ChaosProxy> MakeProxy();
  std::unique_ptr<Process> Spawn(const std::vector<std::string>& arguments,
                                 const std::string& output_file,
                                 Process::Callbacks callbacks);
  void StartServer(std::size_t i);
  void OnServerLine(std::size_t i,
                    const std::string& incarnation,
                    const std::string& line);
  void OnServerExit(std::size_t i, int status);
  void WriteDaemonSettings(std::size_t i);
  [[nodiscard]] std::string SettingsFile(std::size_t i) const;
  void StartDaemon(std::size_t i);
  void OnDaemonExit(std::size_t i, int status);
  void ChangeConfig();
  void Excuse(std::size_t daemon, const Fault& fault);
  void BeginLinkFault(const Fault& fault);
  void SetMode(const Fault& fault, LinkMode mode);
  ChaosProxy& ProxyOf(const Fault& fault);
  void EndDaemon(std::size_t i, int signal);
  void EndServer(std::size_t i, int signal);
  void SignalDaemon(std::size_t i, int signal);
  void SignalServer(std::size_t i, int signal);
  void RestartDaemon(std::size_t i);
  void RestartServer(std::size_t i);

  net::EventLoop& loop_;
  const std::string programs_;
  const std::string logs_;
  const FleetEvents events_;
  // The first three numbers of its addresses, with the last dot.
  const std::string block_;
  std::unique_ptr<Process> store_;
  std::string store_address_;
  std::vector<DaemonSlot> daemons_;
  std::vector<ServerSlot> servers_;
  // Their last lines may still wait in the pipe.
  std::vector<std::unique_ptr<Process>> gone_servers_;
  // Daemons that start again once they have ended.
  std::set<std::size_t> restart_;
  int starts_ = 0;
  int config_version_ = 1;
  std::string newest_route_;
};

}  // namespace gentianreach::soak

#endif  // SOAK_FLEET_H_
