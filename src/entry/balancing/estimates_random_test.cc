// Randomized simulation of the estimates of one daemon in virtual time: servers
// have random trouble for some seconds, and then answer quickly.
// GENTIANREACH_SEED=N build/estimates_random_test replays a seed, except for
// the random choice among plain servers; GENTIANREACH_SEEDS=N runs N seeds.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "entry/balancing/server_choice.h"
#include "entry/server_reachability.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(seconds(100));
const ZoneName kZone("z1");
constexpr Duration kStep = milliseconds(5);
constexpr Duration kProbePeriod = milliseconds(100);
constexpr Duration kProbeTimeout = milliseconds(300);
// How long after the end of trouble requests may still be refused, and how long
// they are counted from then on.
constexpr Duration kRecoveryTime = seconds(15);
constexpr Duration kCountedTime = seconds(5);

enum class Trouble : std::uint8_t {
  kNone,
  kSlow,
  kFailing,
  kUnreachable,
  kServerErrors,
  kRejecting,
  kSilent,
};

// One server and what it does with requests.
struct SimServer {
  routing::BackendServer entry;
  Duration usual_time{};
  Duration time{};
  Trouble trouble = Trouble::kNone;
  TimePoint trouble_until{};
  bool had_trouble = true;
  bool reports_worst = false;
  std::optional<double> limit;
  std::optional<Duration> rest;
  // When each slot is free again, and when the requests there end.
  std::vector<TimePoint> slots;
  std::vector<TimePoint> ends;
  TimePoint connection_opened_at{};
};

// One service and the requests that arrive for it.
struct SimService {
  routing::Route route;
  routing::Service service;
  // What callers leave for a response during the trouble, and after it.
  Duration time_left_in_trouble{};
  Duration time_left_after{};
  Duration period{};
  TimePoint next_arrival{};
  std::size_t arrived = 0;
  std::size_t sent = 0;
};

class EstimatesSim {
 public:
  explicit EstimatesSim(std::uint32_t seed) : generator_(seed) {
    const auto members = static_cast<std::uint32_t>(Random(1, 6));
    limits_.SetMembers(members, members, now_);
    AddService("plain", false);
    AddService("keyed", true);
    trouble_end_ = kStart + milliseconds(Random(2000, 20'000));
  }

  // Runs until the requests have been counted.
  void Run() {
    const TimePoint counted_from = trouble_end_ + kRecoveryTime;
    for (; now_ < counted_from + kCountedTime; now_ += kStep) {
      RunEvents();
      for (SimServer& it : servers_) {
        ChangeTrouble(it);
      }
      CheckPath();
      for (SimService& it : services_) {
        while (it.next_arrival <= now_) {
          it.next_arrival += it.period;
          const bool sent = Arrive(it);
          if (now_ >= counted_from) {
            ++it.arrived;
            it.sent += sent ? 1 : 0;
          }
        }
      }
    }
  }

  [[nodiscard]] const std::vector<SimService>& services() const {
    return services_;
  }
  // Returns the requests that were refused while servers had trouble.
  [[nodiscard]] std::size_t refused_in_trouble() const {
    return refused_in_trouble_;
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t number = 0;
    std::function<void()> run;

    bool operator>(const Event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  int Random(int from, int to) {
    return std::uniform_int_distribution(from, to)(generator_);
  }
  bool OneIn(int n) { return Random(1, n) == 1; }

  void At(TimePoint at, std::function<void()> run) {
    events_.push({at, ++events_added_, std::move(run)});
  }

  void RunEvents() {
    while (!events_.empty() && events_.top().at <= now_) {
      const auto run = events_.top().run;
      events_.pop();
      run();
    }
  }

  void AddService(const std::string& name, bool keyed) {
    SimService service;
    service.service.name = name;
    service.service.keyed = keyed;
    service.route.timeout = milliseconds(Random(400, 5000));
    service.route.latency_objective = service.route.timeout / Random(1, 5);
    service.time_left_in_trouble = service.route.timeout;
    service.time_left_after = std::max<Duration>(
        milliseconds(300), service.route.timeout / Random(1, 5));
    service.period = milliseconds(1000) / Random(2, 40);
    service.next_arrival = kStart;
    services_.push_back(service);
    const int count = Random(1, 5);
    keyspace::OwnershipTable table;
    for (int i = 0; i < count; ++i) {
      SimServer server;
      server.entry.id = ServerId(name + std::to_string(i));
      server.entry.incarnation = Incarnation(1);
      server.entry.service = name;
      server.entry.zone = ZoneName(OneIn(2) ? "z1" : "z2");
      server.entry.slots = static_cast<std::uint32_t>(Random(2, 6));
      server.usual_time = milliseconds(Random(5, 40));
      server.time = server.usual_time;
      server.slots.resize(server.entry.slots);
      directory_.Put(server.entry, now_);
      const auto keys = static_cast<std::uint32_t>(keyspace::kKeyCount);
      const auto n = static_cast<std::uint32_t>(count);
      const auto index = static_cast<std::uint32_t>(i);
      table.ranges.push_back({{keys * index / n, keys * (index + 1) / n - 1},
                              {server.entry.id, Incarnation(1), Token(1)},
                              {}});
      servers_.push_back(std::move(server));
    }
    if (keyed) {
      ownership_.Put(name, 1, table);
    }
  }

  // Gives `server` other trouble once the last one is over; none after the end
  // of all trouble.
  void ChangeTrouble(SimServer& server) {
    if (now_ >= trouble_end_) {
      server.trouble = Trouble::kNone;
      server.time = server.usual_time;
      server.reports_worst = false;
      server.limit.reset();
      server.rest.reset();
      // The requests that are left from the trouble end soon.
      if (std::exchange(server.had_trouble, false)) {
        const TimePoint latest = now_ + 4 * server.time;
        for (TimePoint& it : server.slots) {
          it = std::min(it, latest);
        }
        for (TimePoint& it : server.ends) {
          it = std::min(it, latest);
        }
      }
      return;
    }
    if (now_ < server.trouble_until) {
      return;
    }
    server.trouble = static_cast<Trouble>(Random(0, 6));
    // All servers may be slow or silent at once.
    if (now_ < common_until_) {
      server.trouble = common_trouble_;
    } else if (OneIn(20)) {
      common_trouble_ = OneIn(2) ? Trouble::kSlow : Trouble::kSilent;
      common_until_ = now_ + milliseconds(Random(500, 8000));
    }
    server.trouble_until = now_ + milliseconds(Random(200, 3000));
    server.time = server.trouble == Trouble::kSlow
                      ? Duration(milliseconds(Random(100, 4900)))
                      : server.usual_time;
    server.reports_worst = OneIn(4);
    server.limit = OneIn(6) ? std::optional(Random(0, 8) / 2.0) : std::nullopt;
    // Rests end soon after the trouble.
    server.rest = OneIn(8)
                      ? std::optional<Duration>(milliseconds(Random(100, 6000)))
                      : std::nullopt;
  }

  // Sends probes and ends them.
  void CheckPath() {
    if (now_ < next_check_) {
      return;
    }
    next_check_ = now_ + kProbePeriod;
    for (const ServerId& it :
         reachability_.TakeProbes(directory_.servers(), now_)) {
      const Trouble trouble = Find(it).trouble;
      const bool answers =
          trouble != Trouble::kSilent && trouble != Trouble::kUnreachable;
      At(now_ + (answers ? milliseconds(5) : kProbeTimeout),
         [this, it, answers] { reachability_.OnProbeEnd(it, answers, now_); });
    }
  }

  SimServer& Find(const ServerId& id) {
    return *std::ranges::find(servers_, id,
                              [](const SimServer& it) { return it.entry.id; });
  }

  // Returns whether the request was sent.
  bool Arrive(SimService& service) {
    const auto key =
        static_cast<std::uint32_t>(Random(0, keyspace::kKeyCount - 1));
    const std::vector<ServerId> tried;
    const Duration time_left = now_ < trouble_end_
                                   ? service.time_left_in_trouble
                                   : service.time_left_after;
    const ServerChoice choice =
        reachability_.lost()
            ? ServerChoice{}
            : ChooseServer({.route = service.route,
                            .service = service.service,
                            .key = service.service.keyed ? std::optional(key)
                                                         : std::nullopt,
                            .tried = tried,
                            .time_left = time_left,
                            .zone = kZone},
                           {directory_, loads_, limits_, ownership_,
                            drain_bound_, entries_, evacuations_},
                           now_);
    if (choice.server == nullptr) {
      refused_in_trouble_ += now_ < trouble_end_ ? 1 : 0;
      return false;
    }
    Send(Find(choice.server->id), now_ + time_left);
    return true;
  }

  void Send(SimServer& server, TimePoint deadline) {
    const ServerId id = server.entry.id;
    const TimePoint sent_at = now_;
    loads_.OnSent(id);
    limits_.OnSent(id, now_);
    reachability_.OnSent(
        now_ +
        std::max<Duration>(milliseconds(250),
                           2 * loads_.ExpectedLatency(server.entry, now_)));
    if (server.connection_opened_at == TimePoint{}) {
      server.connection_opened_at = now_;
    }
    const TimePoint opened_at = server.connection_opened_at;
    switch (server.trouble) {
      case Trouble::kNone:
      case Trouble::kSlow:
      case Trouble::kServerErrors: {
        const AttemptResult result = server.trouble == Trouble::kServerErrors
                                         ? AttemptResult::kServerError
                                         : AttemptResult::kAnswered;
        const TimePoint end = Enqueue(server);
        if (end >= deadline) {
          At(deadline, [this, id, sent_at] { OnDeadline(id, sent_at); });
          return;
        }
        At(end, [this, id, result, sent_at, opened_at] {
          OnResponse(id, result, sent_at, opened_at);
        });
        return;
      }
      case Trouble::kRejecting:
        At(now_ + milliseconds(5), [this, id, sent_at, opened_at] {
          OnResponse(id, AttemptResult::kRejected, sent_at, opened_at);
        });
        return;
      case Trouble::kFailing:
      case Trouble::kUnreachable: {
        const AttemptResult result = server.trouble == Trouble::kFailing
                                         ? AttemptResult::kBroken
                                         : AttemptResult::kUnreachable;
        At(now_ + milliseconds(5), [this, id, result, sent_at, opened_at] {
          reachability_.OnFailure(id, opened_at);
          Find(id).connection_opened_at = {};
          End(id, result, sent_at, std::nullopt);
        });
        return;
      }
      case Trouble::kSilent:
        At(deadline, [this, id, sent_at] { OnDeadline(id, sent_at); });
        return;
    }
  }

  // Returns when the server has run one more request.
  TimePoint Enqueue(SimServer& server) {
    TimePoint& slot = *std::ranges::min_element(server.slots);
    slot = std::max(slot, now_) + server.time;
    server.ends.push_back(slot);
    return slot;
  }

  [[nodiscard]] LoadReport Report(SimServer& server) {
    const std::uint32_t slots = server.entry.slots;
    if (server.reports_worst) {
      return {.running = slots,
              .waiting = static_cast<std::uint32_t>(Random(0, 1000)),
              .slots = slots};
    }
    std::erase_if(server.ends, [&](TimePoint it) { return it <= now_; });
    const auto here = static_cast<std::uint32_t>(server.ends.size());
    const std::uint32_t running = std::min(here, slots);
    return {.running = running, .waiting = here - running, .slots = slots};
  }

  void OnResponse(const ServerId& id,
                  AttemptResult result,
                  TimePoint sent_at,
                  TimePoint opened_at) {
    SimServer& server = Find(id);
    reachability_.OnAnswer(id, opened_at, now_);
    if (server.limit) {
      limits_.Set(id, *server.limit, now_);
    } else if (result != AttemptResult::kRejected) {
      limits_.Clear(id);
    }
    if (server.rest && result == AttemptResult::kRejected) {
      limits_.SetRest(id, now_ + *server.rest);
    }
    End(id, result, sent_at, Report(server));
  }

  void OnDeadline(const ServerId& id, TimePoint sent_at) {
    End(id,
        loads_.last_response(id) < sent_at ? AttemptResult::kBroken
                                           : AttemptResult::kCancelled,
        sent_at, std::nullopt);
  }

  void End(const ServerId& id,
           AttemptResult result,
           TimePoint sent_at,
           const std::optional<LoadReport>& report) {
    loads_.OnEnd(id, result,
                 reachability_.WasLostSince(sent_at)
                     ? std::nullopt
                     : std::optional(now_ - sent_at),
                 report, now_);
  }

  std::minstd_rand generator_;
  TimePoint now_ = kStart;
  TimePoint trouble_end_{};
  TimePoint next_check_ = kStart;
  Trouble common_trouble_ = Trouble::kNone;
  TimePoint common_until_{};
  std::vector<SimService> services_;
  std::vector<SimServer> servers_;
  std::size_t refused_in_trouble_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t events_added_ = 0;
  ServerDirectory directory_;
  ServerLoads loads_;
  ServerLimits limits_{1};
  ServerReachability reachability_;
  OwnershipView ownership_;
  DrainBound drain_bound_{milliseconds(2000)};
  ZoneEvacuations evacuations_{Duration(0)};
  // The entries are current at all times.
  EntriesStatus entries_{.current_at = kStart + std::chrono::hours(1)};
};

// Returns the number in an environment variable, or `otherwise`.
std::uint32_t FromEnvironment(const char* name, std::uint32_t otherwise) {
  const char* const text = std::getenv(name);
  return text == nullptr
             ? otherwise
             : static_cast<std::uint32_t>(std::strtoul(text, nullptr, 10));
}

// Returns the number of requests that were refused during the trouble.
std::size_t CheckSeed(std::uint32_t seed) {
  EstimatesSim sim(seed);
  sim.Run();
  for (const SimService& it : sim.services()) {
    INFO("GENTIANREACH_SEED="
         << seed << " " << it.service.name << " sent " << it.sent << " of "
         << it.arrived << ", time left " << it.time_left_after / milliseconds(1)
         << " ms, period " << it.period / milliseconds(1) << " ms");
    CHECK(it.arrived > 0);
    CHECK(it.sent * 10 >= it.arrived * 9);
  }
  return sim.refused_in_trouble();
}

TEST_CASE("requests are sent again within 15 seconds after any trouble") {
  const std::uint32_t seed = FromEnvironment("GENTIANREACH_SEED", 0);
  if (seed != 0) {
    CheckSeed(seed);
    return;
  }
  std::size_t refused = 0;
  const std::uint32_t seeds = FromEnvironment("GENTIANREACH_SEEDS", 15);
  for (std::uint32_t it = 1; it <= seeds; ++it) {
    refused += CheckSeed(it);
  }
  // The trouble is bad enough for requests to be refused.
  CHECK(refused > 0);
}

}  // namespace
}  // namespace gentianreach::entry
