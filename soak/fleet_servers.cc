// The servers of the fleet.
#include "soak/fleet.h"

#include <algorithm>
#include <chrono>
#include <sstream>
#include <string>
#include <utility>

namespace gentianreach::soak {
namespace {

// Interval at which a restart checks whether the old server has exited.
constexpr Duration kRestartPollInterval = std::chrono::milliseconds(50);
// How long servers serve late requests while the store refuses daemons, whose
// entries may be seconds old.
constexpr const char* kLateTime = "3000";

}  // namespace

void Fleet::StartServer(std::size_t i) {
  ServerSlot& slot = servers_[i];
  // Every second start reuses the id, as some servers do.
  if (slot.start_count++ % 2 == 0) {
    slot.id = "s" + std::to_string(i) + "-" + std::to_string(slot.start_count);
  }
  slot.ending = false;
  slot.ready = false;
  slot.run_queue_wait = {};
  slot.front_proxy = MakeProxy();
  slot.front_proxy->SetMode(slot.mode);
  for (const DaemonSlot& it : daemons_) {
    slot.front_proxy->SetClientCut(it.ip, it.cut);
  }
  std::vector<std::string> arguments = {Program("server_program"),
                                        "--id",
                                        slot.id,
                                        "--service",
                                        slot.service,
                                        "--store",
                                        store_address_,
                                        "--advertise",
                                        slot.front_proxy->address()};
  if (slot.keyed) {
    arguments.emplace_back("--keyed");
  }
  if (store_refuses_) {
    arguments.insert(arguments.end(), {"--late-ms", kLateTime});
  }
  slot.incarnation = slot.id + "#" + std::to_string(slot.start_count);
  slot.process = Spawn(
      arguments, {},
      {[this, i, incarnation = slot.incarnation](const std::string& line) {
         OnServerLine(i, incarnation, line);
       },
       [this, i](int status) { OnServerExit(i, status); }});
}

void Fleet::OnServerLine(std::size_t i,
                         const std::string& incarnation,
                         const std::string& line) {
  if (line.starts_with(kAddressPrefix)) {
    servers_[i].front_proxy->SetTarget(line.substr(kAddressPrefix.size()));
    return;
  }
  if (line == "ready") {
    servers_[i].ready = true;
    return;
  }
  std::istringstream in(line);
  std::string event;
  in >> event;
  if (event == "ran") {
    OnServerRun(i, incarnation, in);
  } else if (event == "draining") {
    std::int64_t at = 0;
    in >> at;
    drain_checker_.OnDraining(incarnation, TimePoint(Duration(at)));
  } else if (event == "order") {
    OnServerOrder(i, incarnation, in);
  } else {
    in.setstate(std::ios::failbit);
  }
  if (!in) {
    events_.on_failure("unexpected output of a server: " + line);
  }
}

std::optional<std::size_t> Fleet::FindDaemon(const std::string& client) const {
  const auto it = std::ranges::find(
      daemons_, client.substr(0, client.rfind(':')), &DaemonSlot::ip);
  if (it == daemons_.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(it - daemons_.begin());
}

void Fleet::OnServerRun(std::size_t i,
                        const std::string& incarnation,
                        std::istream& in) {
  ObservedRun run;
  std::int64_t at = 0;
  std::string client;
  in >> run.request_id >> run.method >> run.path >> run.key >> run.token >>
      at >> client;
  if (!in) {
    return;
  }
  run.sent_by = FindDaemon(client);
  if (!run.sent_by && client != "-") {
    events_.on_failure("a server got a request from " + client);
    return;
  }
  run.server = incarnation;
  run.server_index = i;
  run.at = TimePoint(Duration(at));
  events_.on_run(run);
}

void Fleet::OnServerOrder(std::size_t i,
                          const std::string& incarnation,
                          std::istream& in) {
  ObservedOrder order;
  std::int64_t at = 0;
  std::int64_t until = 0;
  std::string client;
  in >> order.first >> order.last >> order.token >> at >> until >> client;
  if (!in) {
    return;
  }
  order.server = incarnation;
  order.at = TimePoint(Duration(at));
  order.until = TimePoint(Duration(until));
  const auto sender = FindDaemon(client);
  if (!sender && client != "-") {
    events_.on_failure("a server got an order from " + client);
    return;
  }
  order.delayed = server_delays_.Overlap(i, order.at, order.at);
  for (std::size_t k = 0; k < daemons_.size() && !order.delayed; ++k) {
    order.delayed = sender.value_or(k) == k &&
                    daemon_delays_.Overlap(k, order.at, order.at);
  }
  events_.on_order(order);
}

void Fleet::OnServerExit(std::size_t i, int status) {
  ServerSlot& slot = servers_[i];
  if (!slot.ending) {
    events_.on_failure(slot.id + " exited unexpectedly, status " +
                       std::to_string(status));
  }
  events_.on_server_end(slot.incarnation);
  // Its last output may still be unread in the pipe.
  exited_servers_.push_back(std::move(slot.process));
  slot.front_proxy->SetTarget("");
  slot.front_proxy->Reset();
}

void Fleet::EndServer(std::size_t i, int signal) {
  servers_[i].ending = true;
  SignalServer(i, signal);
}

void Fleet::SignalServer(std::size_t i, int signal) {
  if (servers_[i].process) {
    servers_[i].process->Signal(signal);
  }
}

// Restarts the server once it has exited; see RestartDaemon().
void Fleet::RestartServer(std::size_t i) {
  if (servers_[i].process && !servers_[i].ending) {
    return;
  }
  if (servers_[i].process) {
    loop_.AddTimer(loop_.Now() + kRestartPollInterval,
                   [this, i] { RestartServer(i); });
    return;
  }
  StartServer(i);
}

}  // namespace gentianreach::soak
