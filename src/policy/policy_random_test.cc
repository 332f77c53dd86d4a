// The policies under random load and faults, in virtual time.
#include <doctest/doctest.h>

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "policy/admission_model.h"
#include "policy/picker.h"
#include "policy/progress_watch.h"
#include "policy/quarantine.h"

namespace gentianreach {
namespace {

using internal::AdmissionModel;
using internal::ModelOptions;
using internal::ModelResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

// Runs the limiter that the data path uses.
ModelResult RunModel(std::uint32_t slots,
                     std::uint32_t connections,
                     ModelOptions options) {
  options.slots = slots;
  options.server_queue = 2 * slots;
  const ReactiveLimiter limiter(
      {.connections = connections, .daemons = options.daemons});
  return AdmissionModel(options, limiter).Run();
}

void CheckRetries(const ModelResult& result, const ModelOptions& options) {
  const double floor = (3 + 6) * options.daemons;
  CHECK(static_cast<double>(result.retries) <=
        0.1 * static_cast<double>(result.offers) + floor);
}

// Slots and connections of one customer's servers.
struct ServerSize {
  std::uint32_t slots;
  std::uint32_t connections;
};
constexpr ServerSize kSizes[] = {{3, 100}, {6, 65}};

TEST_CASE("three times the load leaves 95 % of the goodput") {
  for (const ServerSize& size : kSizes) {
    for (const double skew : {0.0, 0.7}) {
      for (const std::uint32_t daemons : {8U, 12U}) {
        CAPTURE(size.slots);
        CAPTURE(skew);
        CAPTURE(daemons);
        ModelOptions options{.daemons = daemons, .skew = skew, .seed = 11};
        const ModelResult full =
            RunModel(size.slots, size.connections, options);
        options.load = 3;
        const ModelResult over =
            RunModel(size.slots, size.connections, options);
        CHECK(over.Goodput() >= 0.95 * full.Goodput());
        CheckRetries(full, options);
        CheckRetries(over, options);
      }
    }
  }
}

TEST_CASE("a retry storm from callers does not collapse the goodput") {
  ModelOptions options{.seed = 12};
  const ModelResult full = RunModel(3, 100, options);
  options.load = 3;
  options.caller_retries = 3;
  const ModelResult storm = RunModel(3, 100, options);
  CHECK(storm.offers > 3 * storm.requests);
  CHECK(storm.Goodput() >= 0.95 * full.Goodput());
  CheckRetries(storm, options);
}

TEST_CASE("overload is shed from the lowest priority up") {
  const ModelResult over = RunModel(3, 100, {.load = 1.5, .seed = 13});
  const auto share = [&](std::size_t priority) {
    return static_cast<double>(over.answered_by_priority[priority]) /
           static_cast<double>(over.offers_by_priority[priority]);
  };
  CHECK(share(0) > share(1));
  CHECK(share(1) > share(2));
  CHECK(share(0) > 0.9);
}

TEST_CASE(
    "random failures never empty a service nor send to a leaving server") {
  std::mt19937_64 random(14);
  Picker picker({.eject_share = 0.5}, 15);
  std::set<int> leaving;
  TimePoint now = kStart;
  for (int n = 0; n < 10; ++n)
    picker.Add(ServerId(std::to_string(n)), n % 2 == 0, now);
  for (int n = 0; n < 300'000; ++n) {
    now += milliseconds(random() % 20);
    if (random() % 1'000 == 0) {
      const int server = static_cast<int>(random() % 10);
      const bool leaves = leaving.size() < 9 && !leaving.contains(server);
      if (leaves)
        leaving.insert(server);
      if (!leaves)
        leaving.erase(server);
      picker.SetLeaving(ServerId(std::to_string(server)), leaves);
    }
    const auto picked = picker.Pick({}, now);
    REQUIRE(picked);
    const int server = std::stoi(picked->value());
    REQUIRE_FALSE(leaving.contains(server));
    REQUIRE(picker.Ejected(now).size() < 10);
    picker.OnSent(*picked);
    const bool fails = random() % 10 < static_cast<std::uint64_t>(server);
    picker.OnEnd(*picked, fails ? AttemptEnd::kFailed : AttemptEnd::kAnswered,
                 milliseconds(random() % 50), now);
  }
}

// Daemons whose updates reach each other before the next request, as the hold
// of the caller's answer sees to.
class Fleet {
 public:
  explicit Fleet(int daemons) {
    for (int n = 0; n < daemons; ++n)
      daemons_.push_back(std::make_unique<Quarantine>(QuarantineOptions{}));
  }
  Quarantine& At(std::size_t n) { return *daemons_[n]; }
  std::size_t size() const { return daemons_.size(); }
  void Spread(TimePoint now) {
    for (const auto& from : daemons_) {
      const auto update = from->TakeUpdate();
      if (!update)
        continue;
      for (const auto& to : daemons_) {
        if (to != from)
          to->Merge(*update, now);
      }
    }
  }

 private:
  std::vector<std::unique_ptr<Quarantine>> daemons_;
};

TEST_CASE("each killer takes down two servers at most and innocents live on") {
  constexpr std::uint64_t kKillers = 50;
  std::mt19937_64 random(16);
  Fleet fleet(8);
  std::vector<std::uint64_t> lives(20, 1);
  std::vector<int> losses(kKillers, 0);
  std::uint64_t attempt = 0;
  std::uint64_t refused_innocents = 0;
  TimePoint now = kStart;
  for (int n = 0; n < 200'000; ++n) {
    now += std::chrono::microseconds(100);
    const std::size_t s = random() % lives.size();
    const ServerId server("s" + std::to_string(s));
    // Innocents are in flight beside the request that may kill.
    std::vector<std::pair<std::uint64_t, Quarantine*>> beside;
    for (int k = 0; k < 2; ++k) {
      Quarantine& daemon = fleet.At(random() % fleet.size());
      const Fingerprint innocent{1'000 + random() % 10'000};
      const QuarantineState state = daemon.Check(innocent, server, now);
      if (state == QuarantineState::kRefused)
        ++refused_innocents;
      if (state != QuarantineState::kAllowed)
        continue;
      daemon.OnSent(++attempt, innocent, server, Incarnation(lives[s]), now);
      beside.emplace_back(attempt, &daemon);
    }
    Quarantine& daemon = fleet.At(random() % fleet.size());
    const std::uint64_t killer = random() % (100 * kKillers);
    bool killed = false;
    if (killer < kKillers && daemon.Check(Fingerprint{killer}, server, now) ==
                                 QuarantineState::kAllowed) {
      daemon.OnSent(++attempt, Fingerprint{killer}, server,
                    Incarnation(lives[s]), now);
      daemon.OnConnectionLost(attempt, now);
      REQUIRE(++losses[killer] <= 2);
      killed = true;
    }
    for (const auto& [id, owner] : beside) {
      if (killed)
        owner->OnConnectionLost(id, now);
      if (!killed)
        owner->OnAnswered(id, now);
    }
    if (killed) {
      daemon.OnServerGone(server, Incarnation(lives[s]), now);
      for (const auto& [id, owner] : beside)
        owner->OnServerGone(server, Incarnation(lives[s]), now);
      ++lives[s];
    }
    fleet.Spread(now);
  }
  CHECK(refused_innocents == 0);
  CHECK(std::count(losses.begin(), losses.end(), 2) > 40);
}

TEST_CASE("dead connections are found in time and no live one is condemned") {
  constexpr std::uint64_t kConnections = 20;
  std::mt19937_64 random(17);
  ProgressWatch watch({});
  std::vector<std::uint64_t> open;
  std::set<std::uint64_t> dead;
  std::set<std::uint64_t> busy;
  std::map<std::uint64_t, TimePoint> last;
  std::uint64_t last_id = 0;
  int found = 0;
  TimePoint now = kStart;
  for (int n = 0; n < 200'000; ++n) {
    now += milliseconds(1);
    while (open.size() < kConnections) {
      open.push_back(++last_id);
      watch.OnOpened(last_id, now);
      last[last_id] = now;
    }
    // Now and then something forgets several connections at once.
    if (random() % 5'000 == 0) {
      for (const std::uint64_t id : open) {
        if (random() % 3 == 0)
          dead.insert(id);
      }
    }
    const std::uint64_t id = open[random() % open.size()];
    if (!busy.contains(id) && watch.IsUsable(id)) {
      watch.OnBusy(id, now);
      busy.insert(id);
      last[id] = now;
    } else if (busy.contains(id) && !dead.contains(id)) {
      watch.OnIdle(id, now - last[id], now);
      busy.erase(id);
    }
    for (const ProgressAction& it : watch.Poll(now)) {
      if (it.kind == ProgressActionKind::kProbeServer)
        watch.OnServerAnswered(now);
      if (it.kind == ProgressActionKind::kVerify &&
          !dead.contains(it.connection))
        watch.OnVerified(it.connection, true, now);
      if (it.kind != ProgressActionKind::kDead)
        continue;
      REQUIRE(dead.contains(it.connection));
      if (busy.contains(it.connection))
        CHECK(now - last[it.connection] <= milliseconds(1'100));
      std::erase(open, it.connection);
      busy.erase(it.connection);
      ++found;
    }
  }
  CHECK(found > 100);
}

}  // namespace
}  // namespace gentianreach
