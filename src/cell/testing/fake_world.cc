#include "cell/testing/fake_world.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "cell/record.h"

namespace gentianreach::testing {

namespace {

constexpr Duration kStoreTimeout = 300ms;
constexpr Duration kExtraDelay = 2s;
constexpr Duration kSlowStore = 250ms;
// How often `RunUntil` evaluates its condition.
constexpr Duration kPollInterval = 1ms;
constexpr Duration kRestartTime = 500ms;
constexpr std::size_t kTraceLength = 60;
const std::string kService = "boats";

std::size_t EncodedSize(const peer::MessageUnion& message) {
  flatbuffers::FlatBufferBuilder builder;
  const auto body = message.Pack(builder);
  const auto cell = builder.CreateString("cell");
  const auto from = builder.CreateString("daemon");
  peer::FrameBuilder frame(builder);
  frame.add_cell(cell);
  frame.add_from(from);
  frame.add_message_type(message.type);
  frame.add_message(body);
  builder.Finish(frame.Finish());
  return builder.GetSize() + sizeof(std::uint32_t);
}

}  // namespace

FakeCluster::FakeCluster(const FakeClusterOptions& options)
    : options_(options), random_(options_.seed) {
  now_ = TimePoint(std::chrono::hours(1));
  std::uniform_real_distribution<double> rate(1 - options_.drift,
                                              1 + options_.drift);
  for (std::size_t i = 0; i < options_.servers; ++i) {
    FakeServer server;
    server.id = "s" + std::to_string(i);
    server.zone = "z" + std::to_string(i % options_.zones);
    server.clock_rate = rate(random_);
    server.started_at = now_ - std::chrono::minutes(i + 1);
    server.incarnation = Incarnation(1000 + i);
    servers_.push_back(std::move(server));
  }
  daemons_.resize(options_.daemons);
  for (std::size_t i = 0; i < options_.daemons; ++i) {
    daemons_[i].zone = "z" + std::to_string(i % options_.zones);
    daemons_[i].clock_rate = rate(random_);
    daemons_[i].offset = std::chrono::minutes(7 * (i + 1));
    StartAgent(i);
  }
}

FakeCluster::~FakeCluster() = default;

void FakeCluster::Trace(const std::string& event) {
  trace_.push_back(
      std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                         now_.time_since_epoch() - std::chrono::hours(1))
                         .count()) +
      "ms " + event);
  if (trace_.size() > kTraceLength) {
    trace_.pop_front();
  }
}

std::string FakeCluster::TraceText() const {
  std::string text;
  for (const auto& it : trace_) {
    text += it + "\n";
  }
  return text;
}

void FakeCluster::Schedule(TimePoint at, std::function<void()> run) {
  events_.push({at, ++order_, std::move(run)});
}

TimePoint FakeCluster::Local(const FakeDaemon& daemon) const {
  const double n =
      static_cast<double>((now_ - TimePoint()).count()) * daemon.clock_rate;
  return TimePoint(Duration(static_cast<Duration::rep>(n)) + daemon.offset);
}

std::int64_t FakeCluster::ClockMs(const FakeServer& server) const {
  const double n = static_cast<double>((now_ - server.started_at).count()) *
                   server.clock_rate / 1e6;
  return static_cast<std::int64_t>(n);
}

void FakeCluster::StartAgent(std::size_t i) {
  FakeDaemon& daemon = daemons_[i];
  daemon.id = "d" + std::to_string(i) + "." + std::to_string(++last_start_);
  daemon.up = true;
  daemon.paused = false;
  daemon.leaving = false;
  daemon.queue.clear();
  CellOptions options;
  options.cell = "cell";
  options.self = DaemonId(daemon.id);
  options.peer_address = daemon.id;
  options.zone = ZoneName(daemon.zone);
  options.services = {{ServiceName(kService), true, options_.checks_giver,
                       options_.watches_deadline}};
  options.timing = options_.timing;
  options.ranges_per_server = options_.ranges_per_server;
  daemon.agent = std::make_unique<CellAgent>(std::move(options),
                                             std::mt19937_64(random_()));
  const TimePoint at = now_ + Latency(5ms);
  Schedule(at, [this, i, id = daemon.id] {
    if (daemons_[i].id != id || !daemons_[i].up) {
      return;
    }
    daemons_[i].agent->Start(Local(daemons_[i]));
    PerformActions(i);
    PublishServers();
  });
}

void FakeCluster::PublishServers() {
  std::vector<ListedServer> seen;
  for (const auto& it : servers_) {
    seen.push_back({ServerId(it.id), it.id, ZoneName(it.zone),
                    ServiceName(kService), it.leaving});
  }
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    Deliver(i, 0, [this, seen](FakeDaemon& daemon) {
      daemon.agent->OnServerList(seen, Local(daemon));
    });
  }
}

Duration FakeCluster::Latency(Duration base) {
  std::uniform_int_distribution<Duration::rep> extra(0, base.count() / 2);
  return base + Duration(extra(random_));
}

Duration FakeCluster::LinkLatency() {
  const bool delayed =
      delayed_fraction > 0 &&
      std::uniform_real_distribution<double>(0, 1)(random_) < delayed_fraction;
  return Latency(options_.link) + (delayed ? Latency(kExtraDelay) : 0ms);
}

bool FakeCluster::Lost(const std::string& from, const std::string& to) {
  const auto name = [](const std::string& id) {
    return id.substr(0, id.find('.'));
  };
  if (cuts_.contains({name(from), name(to)})) {
    return true;
  }
  return loss_fraction > 0 &&
         std::uniform_real_distribution<double>(0, 1)(random_) < loss_fraction;
}

std::optional<std::size_t> FakeCluster::Find(const std::string& id) const {
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    if (daemons_[i].id == id) {
      return i;
    }
  }
  return std::nullopt;
}

// Runs an event at a daemon. The event is queued while the daemon is paused and
// dropped if the daemon is down.
void FakeCluster::Deliver(std::size_t i,
                          std::uint64_t /*incarnation*/,
                          std::function<void(FakeDaemon&)> run) {
  FakeDaemon& daemon = daemons_[i];
  if (!daemon.up) {
    return;
  }
  auto event = [this, i, run = std::move(run)] {
    run(daemons_[i]);
    PerformActions(i);
  };
  if (daemon.paused) {
    daemon.queue.push_back(std::move(event));
    return;
  }
  event();
}

void FakeCluster::PerformActions(std::size_t i) {
  FakeDaemon& daemon = daemons_[i];
  Outbox out = daemon.agent->TakeOutbox();
  for (auto& it : out.audit) {
    audit.push_back(std::move(it));
  }
  for (const auto& it : out.log) {
    std::string text = daemon.id + " " + it.event;
    for (const auto& [key, value] : it.fields) {
      text.append(" ").append(key).append("=").append(value);
    }
    Trace(text);
  }
  for (const auto& it : out.reads) {
    Read(i, it);
  }
  for (const auto& it : out.writes) {
    Write(i, it);
  }
  for (auto& it : out.sends) {
    Send(i, std::move(it));
  }
  for (auto& it : out.orders) {
    Order(i, std::move(it));
  }
  if (daemon.leaving && daemon.up && daemon.agent->Status(Local(daemon)).left) {
    CrashDaemon(i);
    Schedule(now_ + kRestartTime, [this, i, id = daemon.id] {
      if (daemons_[i].id == id) {
        RestartDaemon(i);
      }
    });
    return;
  }
  ScheduleTick(i);
}

void FakeCluster::LeaveDaemon(std::size_t i) {
  FakeDaemon& daemon = daemons_[i];
  if (!daemon.up || daemon.paused || daemon.leaving) {
    return;
  }
  Trace("leave " + daemon.id);
  daemon.leaving = true;
  daemon.agent->Leave(Local(daemon));
  PerformActions(i);
}

void FakeCluster::ScheduleTick(std::size_t i) {
  FakeDaemon& daemon = daemons_[i];
  const std::uint64_t timer = ++daemon.timer;
  if (daemon.agent->NextDeadline() == TimePoint::max()) {
    return;
  }
  const Duration wait =
      std::max(daemon.agent->NextDeadline() - Local(daemon), Duration(100us));
  const double n = static_cast<double>(wait.count()) / daemon.clock_rate;
  Schedule(now_ + Duration(static_cast<Duration::rep>(n) + 1),
           [this, i, timer, id = daemon.id] {
             if (daemons_[i].id != id || daemons_[i].timer != timer) {
               return;
             }
             Deliver(i, 0,
                     [this](FakeDaemon& it) { it.agent->OnTick(Local(it)); });
           });
}

void FakeCluster::Read(std::size_t i, const StoreRead& call) {
  ++store_reads;
  const std::string id = daemons_[i].id;
  const bool slow = store == StoreState::kSlow;
  const bool down = store == StoreState::kDown || daemons_[i].store_unreachable;
  const Duration half = Latency(slow ? kSlowStore : options_.store_latency) / 2;
  Schedule(now_ + half, [=, this, call_id = call.call_id] {
    StoreReadResult result;
    if (!down) {
      result.status =
          object_.empty() ? ReadStatus::kAbsent : ReadStatus::kFound;
      result.version = ObjectVersion(version_);
      result.bytes = object_;
    }
    Schedule(now_ + (down ? kStoreTimeout : half), [=, this] {
      if (daemons_[i].id != id) {
        return;
      }
      Deliver(i, 0, [=, this](FakeDaemon& it) {
        it.agent->OnStoreRead(call_id, result, Local(it));
      });
    });
  });
}

void FakeCluster::Write(std::size_t i, const StoreWrite& call) {
  ++store_writes;
  const std::string id = daemons_[i].id;
  const bool slow = store == StoreState::kSlow;
  const bool down = store == StoreState::kDown || daemons_[i].store_unreachable;
  const Duration half = Latency(slow ? kSlowStore : options_.store_latency) / 2;
  Schedule(now_ + half, [=, this, call = call] {
    StoreWriteResult result;
    const bool match =
        call.if_match ? call.if_match->value() == version_ : object_.empty();
    if (down) {
      result.status = WriteStatus::kFailed;
    } else if (!match) {
      result.status = WriteStatus::kConflict;
    } else {
      version_ += 1 + random_() % 3;
      object_ = call.bytes;
      result.status = WriteStatus::kOk;
      result.version = ObjectVersion(version_);
      if (on_write) {
        on_write(*StoredRecord(), version_);
      }
    }
    const bool lost = store == StoreState::kLosesResponses;
    if (lost) {
      result = {};
    }
    Schedule(now_ + (down || lost ? kStoreTimeout : half), [=, this] {
      if (daemons_[i].id != id) {
        return;
      }
      Deliver(i, 0, [=, this](FakeDaemon& it) {
        it.agent->OnStoreWrite(call.call_id, result, Local(it));
      });
    });
  });
}

void FakeCluster::Send(std::size_t i, PeerSend send) {
  ++peer_messages;
  if (count_bytes) {
    peer_bytes += EncodedSize(send.message);
  }
  const auto to = Find(send.to.value());
  if (!to || Lost(daemons_[i].id, send.to.value())) {
    return;
  }
  Schedule(now_ + LinkLatency(),
           [this, to = *to, id = send.to.value(), from = daemons_[i].id,
            message = std::move(send.message)] {
             if (daemons_[to].id != id || Lost(from, id)) {
               return;
             }
             Deliver(to, 0, [=, this](FakeDaemon& it) {
               it.agent->OnPeer(DaemonId(from), message, Local(it));
             });
           });
}

void FakeCluster::Order(std::size_t i, ServerOrder order) {
  ++server_orders;
  const std::string from = daemons_[i].id;
  const TimePoint sent = Local(daemons_[i]);
  const std::string to = order.server.value();
  if (Lost(from, to)) {
    return;
  }
  const std::size_t index = std::stoul(to.substr(1));
  auto serve = [=, this, order = std::move(order)] {
    const ServerReply reply = HandleOrder(servers_[index], order);
    if (Lost(to, from)) {
      return;
    }
    Schedule(now_ + LinkLatency(), [=, this, call_id = order.call_id] {
      if (daemons_[i].id != from) {
        return;
      }
      Deliver(i, 0, [=, this](FakeDaemon& it) {
        it.agent->OnServerReply(call_id, reply, sent, Local(it));
      });
    });
  };
  Schedule(now_ + LinkLatency(), [=, this] {
    FakeServer& server = servers_[index];
    if (!server.up || now_ < server.ready_at) {
      return;
    }
    if (server.frozen) {
      server.queue.push_back(serve);
      return;
    }
    serve();
  });
}

ServerReply FakeCluster::HandleOrder(FakeServer& server,
                                     const ServerOrder& order) {
  ServerReply reply;
  reply.server = ServerId(server.id);
  reply.ok = ApplyOrder(server, order, reply);
  reply.incarnation = server.incarnation;
  reply.clock = ServerTime(std::chrono::milliseconds(ClockMs(server)));
  reply.generation = server.generation;
  reply.lease_until =
      ServerTime(std::chrono::milliseconds(server.lease_until_ms));
  reply.grants = static_cast<std::uint64_t>(std::count_if(
      server.held.begin(), server.held.end(),
      [](const auto& it) { return it.ends_at == TimePoint::min(); }));
  reply.draining = server.leaving;
  CheckOwners();
  return reply;
}

bool FakeCluster::ApplyOrder(FakeServer& server,
                             const ServerOrder& order,
                             ServerReply& reply) {
  if (order.kind == OrderKind::kProbe) {
    return true;
  }
  if (ClockMs(server) > order.deadline.time_since_epoch().count()) {
    reply.reason = "deadline";
    return false;
  }
  if (order.incarnation.value() != 0 &&
      order.incarnation != server.incarnation) {
    reply.reason = "incarnation";
    return false;
  }
  if (order.generation < server.generation) {
    reply.reason = "generation";
    return false;
  }
  if (options_.checks_giver && order.epoch.value() < server.highest_epoch) {
    reply.reason = "epoch";
    return false;
  }
  server.highest_epoch = std::max(server.highest_epoch, order.epoch.value());
  if (order.kind == OrderKind::kRelease) {
    reply.released = Release(server, order);
    return true;
  }
  if (order.kind == OrderKind::kRenew) {
    if (order.generation != server.generation) {
      reply.reason = "generation";
      return false;
    }
    server.lease_until_ms =
        std::max(server.lease_until_ms,
                 std::int64_t{order.until.time_since_epoch().count()});
    return true;
  }
  for (const auto& it : order.grants) {
    if (it.token < MinToken(server, it.range)) {
      reply.reason = "token";
      return false;
    }
  }
  Grant(server, order);
  return true;
}

Token FakeCluster::MinToken(const FakeServer& server, const HashRange& range) {
  std::uint64_t least = 0;
  for (const auto& [first, entry] : server.min_tokens) {
    if (entry.first.Overlaps(range)) {
      least = std::max(least, entry.second);
    }
  }
  return Token(least);
}

void FakeCluster::RemoveRange(FakeServer& server, const HashRange& range) {
  std::vector<FakeServer::Held> kept;
  for (const auto& it : server.held) {
    if (!it.range.Overlaps(range) || it.ends_at != TimePoint::min()) {
      kept.push_back(it);
      continue;
    }
    if (it.range.first < range.first) {
      kept.push_back(
          {{it.range.first, KeyHash(range.first.value() - 1)}, it.token});
    }
    if (range.last < it.range.last) {
      kept.push_back(
          {{KeyHash(range.last.value() + 1), it.range.last}, it.token});
    }
  }
  server.held = std::move(kept);
}

void FakeCluster::Grant(FakeServer& server, const ServerOrder& order) {
  if (order.generation > server.generation) {
    server.generation = order.generation;
    server.held.clear();
    server.lease_until_ms = 0;
  }
  server.lease_until_ms =
      std::max(server.lease_until_ms,
               std::int64_t{order.until.time_since_epoch().count()});
  for (const auto& it : order.grants) {
    RemoveRange(server, it.range);
    server.held.push_back({it.range, it.token});
    server.min_tokens[it.token.value()] = {it.range, it.token.value()};
  }
}

// Requests that are running at the release continue for a while. The server
// reports the range as released only after they end.
bool FakeCluster::Release(FakeServer& server, const ServerOrder& order) {
  bool released = true;
  for (const auto& it : order.grants) {
    auto held = server.held;
    for (auto& one : held) {
      if (!one.range.Overlaps(it.range) || one.token >= it.token) {
        continue;
      }
      if (one.ends_at == TimePoint::min()) {
        FakeServer::Held running = one;
        running.range.first = std::max(one.range.first, it.range.first);
        running.range.last = std::min(one.range.last, it.range.last);
        running.ends_at = now_ + options_.request_duration;
        RemoveRange(server, running.range);
        server.held.push_back(running);
        released = false;
      } else if (one.ends_at > now_) {
        released = false;
      }
    }
    server.min_tokens[it.token.value()] = {it.range, it.token.value()};
  }
  std::erase_if(server.held, [this](const auto& it) {
    return it.ends_at != TimePoint::min() && it.ends_at <= now_;
  });
  return released;
}

bool FakeCluster::Serves(const FakeServer& server,
                         const FakeServer::Held& held) const {
  if (!server.up ||
      (held.ends_at != TimePoint::min() && held.ends_at <= now_)) {
    return false;
  }
  return ClockMs(server) < server.lease_until_ms;
}

// Frozen servers are included: once resumed, a server continues where it
// stopped, and only its clock prevents it from serving.
void FakeCluster::CheckOwners() {
  struct Claim {
    HashRange range;
    std::size_t server;
    Token token;
  };
  std::vector<Claim> claims;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    for (const auto& it : servers_[i].held) {
      const auto sent =
          sent_until_.find({i, it.range.first.value(), it.token.value()});
      const bool serves = options_.watches_deadline
                              ? Serves(servers_[i], it)
                              : servers_[i].up && sent != sent_until_.end() &&
                                    sent->second > now_;
      if (serves) {
        claims.push_back({it.range, i, it.token});
      }
    }
  }
  std::sort(claims.begin(), claims.end(), [](const auto& a, const auto& b) {
    return a.range.first < b.range.first;
  });
  for (std::size_t i = 1; i < claims.size(); ++i) {
    const Claim& a = claims[i - 1];
    const Claim& b = claims[i];
    if (a.range.Overlaps(b.range) && a.server != b.server) {
      ++violations;
      Trace("two owners: s" + std::to_string(a.server) + " token " +
            std::to_string(a.token.value()) + " and s" +
            std::to_string(b.server) + " token " +
            std::to_string(b.token.value()));
    }
  }
}

void FakeCluster::Run(Duration span) {
  RunUntil([] { return false; }, span);
}

bool FakeCluster::RunUntil(const std::function<bool()>& done, Duration limit) {
  const TimePoint end = now_ + limit;
  TimePoint next_poll = now_;
  while (true) {
    if (now_ >= next_poll) {
      if (done()) {
        return true;
      }
      next_poll = now_ + kPollInterval;
    }
    if (events_.empty() || events_.top().at > end) {
      now_ = end;
      return done();
    }
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    event.run();
    if (!options_.watches_deadline) {
      SampleRoutes();
    }
    if (on_event) {
      on_event();
    }
  }
}

// Records which requests daemons may send now. Servers that do not watch their
// lease serve whatever they are sent.
void FakeCluster::SampleRoutes() {
  if (now_ < next_sample_) {
    return;
  }
  next_sample_ = now_ + 5ms;
  for (auto& daemon : daemons_) {
    if (!daemon.up || daemon.paused) {
      continue;
    }
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      for (const auto& it : servers_[i].held) {
        const TimePoint local = Local(daemon);
        const KeyRoute route =
            daemon.agent->Route(ServiceName(kService), it.range.first, local);
        if (route.state != RouteState::kServe ||
            route.server.value() != servers_[i].id || route.token != it.token ||
            it.ends_at != TimePoint::min()) {
          continue;
        }
        TimePoint& until =
            sent_until_[{i, it.range.first.value(), it.token.value()}];
        const double n = static_cast<double>((route.deadline - local).count()) /
                         daemon.clock_rate;
        until = std::max(until, now_ + Duration(static_cast<Duration::rep>(n)));
      }
    }
  }
}

void FakeCluster::CrashServer(std::size_t i) {
  Trace("crash " + servers_[i].id);
  FakeServer& server = servers_[i];
  server.up = false;
  server.queue.clear();
}

void FakeCluster::RestartServer(std::size_t i) {
  Trace("restart " + servers_[i].id);
  FakeServer& old = servers_[i];
  FakeServer server;
  server.id = old.id;
  server.zone = old.zone;
  server.clock_rate = old.clock_rate;
  server.started_at = now_ - 10s;
  server.incarnation = Incarnation(old.incarnation.value() + 100);
  server.ready_at = now_ + options_.cold_start;
  server.leaving = false;
  old = std::move(server);
}

void FakeCluster::FreezeServer(std::size_t i, bool frozen) {
  FakeServer& server = servers_[i];
  if (!server.up || server.frozen == frozen) {
    return;
  }
  Trace((frozen ? "freeze " : "thaw ") + server.id);
  server.frozen = frozen;
  if (frozen) {
    return;
  }
  auto queue = std::exchange(server.queue, {});
  for (auto& it : queue) {
    it();
  }
}

void FakeCluster::CrashDaemon(std::size_t i) {
  Trace("crash " + daemons_[i].id);
  daemons_[i].up = false;
  daemons_[i].queue.clear();
}

void FakeCluster::RestartDaemon(std::size_t i) {
  Trace("restart " + daemons_[i].id);
  StartAgent(i);
}

void FakeCluster::PauseDaemon(std::size_t i, bool paused) {
  FakeDaemon& daemon = daemons_[i];
  if (!daemon.up || daemon.paused == paused) {
    return;
  }
  Trace((paused ? "pause " : "resume ") + daemon.id);
  daemon.paused = paused;
  if (paused) {
    return;
  }
  auto queue = std::exchange(daemon.queue, {});
  for (auto& it : queue) {
    it();
  }
}

void FakeCluster::Cut(const std::string& from,
                      const std::string& to,
                      bool cut) {
  if (cut) {
    cuts_.insert({from, to});
  } else {
    cuts_.erase({from, to});
  }
}

void FakeCluster::PartitionBothWays(const std::string& a,
                                    const std::string& b,
                                    bool cut) {
  Trace((cut ? "cut " : "restore ") + a + " " + b);
  Cut(a, b, cut);
  Cut(b, a, cut);
}

void FakeCluster::HealAll() {
  Trace("heal");
  cuts_.clear();
  loss_fraction = 0;
  delayed_fraction = 0;
  store = StoreState::kUp;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    FreezeServer(i, false);
    if (!servers_[i].up) {
      RestartServer(i);
    }
    servers_[i].leaving = false;
  }
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    daemons_[i].store_unreachable = false;
    PauseDaemon(i, false);
    if (!daemons_[i].up) {
      RestartDaemon(i);
    }
  }
  PublishServers();
}

bool FakeCluster::Served(KeyHash hash) {
  for (auto& daemon : daemons_) {
    if (!daemon.up || daemon.paused) {
      continue;
    }
    const KeyRoute route =
        daemon.agent->Route(ServiceName(kService), hash, Local(daemon));
    if (route.state != RouteState::kServe) {
      continue;
    }
    const FakeServer& server =
        servers_[std::stoul(route.server.value().substr(1))];
    for (const auto& it : server.held) {
      if (it.range.Contains(hash) && it.token == route.token &&
          it.ends_at == TimePoint::min() && !server.frozen && server.up &&
          ClockMs(server) < server.lease_until_ms &&
          !cuts_.contains(
              {daemon.id.substr(0, daemon.id.find('.')), server.id})) {
        return true;
      }
    }
  }
  return false;
}

std::size_t FakeCluster::Unserved() {
  const auto record = StoredRecord();
  if (!record || record->ranges.empty()) {
    return 1;
  }
  return static_cast<std::size_t>(std::count_if(
      record->ranges.begin(), record->ranges.end(),
      [this](const auto& it) { return !Served(KeyHash(it->first)); }));
}

bool FakeCluster::AllServed() {
  return Unserved() == 0;
}

bool FakeCluster::Settled() {
  const auto record = StoredRecord();
  if (!record || !AllServed()) {
    return false;
  }
  for (const auto& it : record->ranges) {
    if (!it->moving_to.empty()) {
      return false;
    }
  }
  for (auto& it : daemons_) {
    const CellStatus status = it.agent->Status(Local(it));
    if (!it.up || !status.is_member || !status.permit_valid ||
        status.record.value() != version_) {
      return false;
    }
  }
  return true;
}

std::optional<std::size_t> FakeCluster::Assigner() {
  const auto record = StoredRecord();
  return record ? Find(record->assigner) : std::nullopt;
}

std::size_t FakeCluster::OwnerOf(KeyHash hash) {
  const auto record = StoredRecord();
  return std::stoul(cell::FindRange(*record, kService, hash)->owner.substr(1));
}

std::shared_ptr<const stored::CellT> FakeCluster::StoredRecord() const {
  if (object_.empty()) {
    return nullptr;
  }
  auto record = cell::ParseRecord(object_);
  return std::make_shared<const stored::CellT>(std::move(*record));
}

}  // namespace gentianreach::testing
