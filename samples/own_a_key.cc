// Drives the agent of a single daemon until it has assigned the keys of a cell
// to one backend server, and routes a key to it. The agent's environment is
// faked: a store with one object, a server that accepts all orders, and a
// clock.
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <utility>
#include <vector>

#include "gentianreach/cell_agent.h"

namespace {

using gentianreach::CellAgent;
using gentianreach::CellOptions;
using gentianreach::DaemonId;
using gentianreach::KeyRoute;
using gentianreach::ObjectVersion;
using gentianreach::OrderKind;
using gentianreach::Outbox;
using gentianreach::ReadStatus;
using gentianreach::RouteState;
using gentianreach::ServerId;
using gentianreach::ServerOrder;
using gentianreach::ServerReply;
using gentianreach::ServerTime;
using gentianreach::ServiceName;
using gentianreach::StoreReadResult;
using gentianreach::StoreWriteResult;
using gentianreach::TimePoint;
using gentianreach::WriteStatus;
using gentianreach::ZoneName;
using namespace std::chrono_literals;

// Responds to each store call and each server order immediately.
class FakeEnvironment {
 public:
  void Respond(CellAgent& agent, TimePoint now) {
    Outbox out = agent.TakeOutbox();
    for (const auto& it : out.reads) {
      StoreReadResult result;
      result.status =
          object_.empty() ? ReadStatus::kAbsent : ReadStatus::kFound;
      result.version = ObjectVersion(version_);
      result.bytes = object_;
      agent.OnStoreRead(it.call_id, result, now);
    }
    for (const auto& it : out.writes) {
      object_ = it.bytes;
      agent.OnStoreWrite(
          it.call_id,
          StoreWriteResult{WriteStatus::kOk, ObjectVersion(++version_)}, now);
    }
    for (const auto& it : out.orders) {
      agent.OnServerReply(it.call_id, HandleOrder(it, now), now, now);
    }
  }

 private:
  // The server's clock is the agent's clock, rounded down to milliseconds.
  ServerReply HandleOrder(const ServerOrder& order, TimePoint now) {
    server_.ok = true;
    server_.server = order.server;
    server_.incarnation = gentianreach::Incarnation(1);
    server_.clock = ServerTime(
        std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch()));
    if (order.kind == OrderKind::kGrant) {
      server_.generation = order.generation;
      server_.grants += order.grants.size();
    }
    if (order.kind == OrderKind::kGrant || order.kind == OrderKind::kRenew) {
      server_.lease_until = order.until;
    }
    return server_;
  }

  std::uint64_t version_ = 0;
  std::vector<std::uint8_t> object_;
  ServerReply server_;
};

}  // namespace

int main() {
  CellOptions options;
  options.cell = "harbour";
  options.self = DaemonId("entry-1.1");
  options.peer_address = "127.0.0.1:7000";
  options.zone = ZoneName("north");
  options.services = {{ServiceName("boats"), true, true, true}};
  CellAgent agent(std::move(options), std::mt19937_64(1));

  FakeEnvironment environment;
  const TimePoint start{std::chrono::hours(1)};
  agent.Start(start);
  agent.OnServerList({{ServerId("boats-1"), "127.0.0.1:8000", ZoneName("north"),
                       ServiceName("boats"), false}},
                     start);
  const ServiceName boats("boats");
  const auto key = gentianreach::HashKey(boats, "dinghy-42");
  for (TimePoint now = start; now < start + 1000ms; now += 1ms) {
    if (now >= agent.NextDeadline()) {
      agent.OnTick(now);
    }
    environment.Respond(agent, now);
    const KeyRoute route = agent.Route(boats, key, now);
    if (route.state == RouteState::kServe) {
      std::printf("dinghy-42 is owned by %s under token %llu\n",
                  route.server.value().c_str(),
                  static_cast<unsigned long long>(route.token.value()));
      return 0;
    }
  }
  std::puts("no server owns dinghy-42");
  return 1;
}
