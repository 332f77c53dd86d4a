// Randomized tests of the policies under load and faults, in virtual time.
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

// Returns the result of a simulation with the limiter of the data path.
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

// Slots and connections of one customer's backend servers.
struct ServerSize {
  std::uint32_t slots;
  std::uint32_t connections;
};
constexpr ServerSize kSizes[] = {{3, 100}, {6, 65}};

TEST_CASE(
    "goodput at three times the load is at least 95 % of that at full load") {
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
        const ModelResult overload =
            RunModel(size.slots, size.connections, options);
        CHECK(overload.Goodput() >= 0.95 * full.Goodput());
        CheckRetries(full, options);
        CheckRetries(overload, options);
      }
    }
  }
}

TEST_CASE("goodput does not collapse under a retry storm from callers") {
  ModelOptions options{.seed = 12};
  const ModelResult full = RunModel(3, 100, options);
  options.load = 3;
  options.caller_retries = 3;
  const ModelResult storm = RunModel(3, 100, options);
  CHECK(storm.offers > 3 * storm.requests);
  CHECK(storm.Goodput() >= 0.95 * full.Goodput());
  CheckRetries(storm, options);
}

TEST_CASE("overload sheds requests of lower priority first") {
  const ModelResult overload = RunModel(3, 100, {.load = 1.5, .seed = 13});
  const auto share = [&](std::size_t priority) {
    return static_cast<double>(overload.answered_by_priority[priority]) /
           static_cast<double>(overload.offers_by_priority[priority]);
  };
  CHECK(share(0) > share(1));
  CHECK(share(1) > share(2));
  CHECK(share(0) > 0.9);
}

TEST_CASE(
    "random failures never eject all servers nor select a leaving server") {
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
      const bool will_leave = leaving.size() < 9 && !leaving.contains(server);
      if (will_leave)
        leaving.insert(server);
      if (!will_leave)
        leaving.erase(server);
      picker.SetLeaving(ServerId(std::to_string(server)), will_leave);
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

// Quarantines of several daemons. ExchangeUpdates() delivers their updates
// before the next request; in production, the daemon delays the response to the
// caller to achieve the same.
class QuarantineGroup {
 public:
  explicit QuarantineGroup(int daemons) {
    for (int n = 0; n < daemons; ++n)
      daemons_.push_back(std::make_unique<Quarantine>(QuarantineOptions{}));
  }
  Quarantine& At(std::size_t n) { return *daemons_[n]; }
  std::size_t size() const { return daemons_.size(); }
  void ExchangeUpdates(TimePoint now) {
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

TEST_CASE(
    "a crashing request crashes at most two servers and no others are "
    "refused") {
  constexpr std::uint64_t kCrashingRequests = 50;
  std::mt19937_64 random(16);
  QuarantineGroup quarantines(8);
  std::vector<std::uint64_t> incarnations(20, 1);
  std::vector<int> crashes(kCrashingRequests, 0);
  std::uint64_t attempt = 0;
  std::uint64_t refused_harmless = 0;
  TimePoint now = kStart;
  for (int n = 0; n < 200'000; ++n) {
    now += std::chrono::microseconds(100);
    const std::size_t s = random() % incarnations.size();
    const ServerId server("s" + std::to_string(s));
    // Harmless requests in flight beside the one that may crash the server.
    std::vector<std::pair<std::uint64_t, Quarantine*>> concurrent;
    for (int k = 0; k < 2; ++k) {
      Quarantine& daemon = quarantines.At(random() % quarantines.size());
      const Fingerprint harmless{1'000 + random() % 10'000};
      const QuarantineState state = daemon.Check(harmless, server, now);
      if (state == QuarantineState::kRefused)
        ++refused_harmless;
      if (state != QuarantineState::kAllowed)
        continue;
      daemon.OnSent(++attempt, harmless, server, Incarnation(incarnations[s]),
                    now);
      concurrent.emplace_back(attempt, &daemon);
    }
    Quarantine& daemon = quarantines.At(random() % quarantines.size());
    const std::uint64_t crashing = random() % (100 * kCrashingRequests);
    bool crashed = false;
    if (crashing < kCrashingRequests &&
        daemon.Check(Fingerprint{crashing}, server, now) ==
            QuarantineState::kAllowed) {
      daemon.OnSent(++attempt, Fingerprint{crashing}, server,
                    Incarnation(incarnations[s]), now);
      daemon.OnConnectionLost(attempt, now);
      REQUIRE(++crashes[crashing] <= 2);
      crashed = true;
    }
    for (const auto& [id, owner] : concurrent) {
      if (crashed)
        owner->OnConnectionLost(id, now);
      if (!crashed)
        owner->OnAnswered(id, now);
    }
    if (crashed) {
      daemon.OnServerGone(server, Incarnation(incarnations[s]), now);
      for (const auto& [id, owner] : concurrent)
        owner->OnServerGone(server, Incarnation(incarnations[s]), now);
      ++incarnations[s];
    }
    quarantines.ExchangeUpdates(now);
  }
  CHECK(refused_harmless == 0);
  CHECK(std::count(crashes.begin(), crashes.end(), 2) > 40);
}

TEST_CASE(
    "dead connections are detected in time and live ones are never closed") {
  constexpr std::uint64_t kConnections = 20;
  std::mt19937_64 random(17);
  ProgressWatch watch({});
  std::vector<std::uint64_t> open;
  std::set<std::uint64_t> dead;
  std::set<std::uint64_t> busy;
  std::map<std::uint64_t, TimePoint> last_progress;
  std::uint64_t last_id = 0;
  int detected = 0;
  TimePoint now = kStart;
  for (int n = 0; n < 200'000; ++n) {
    now += milliseconds(1);
    while (open.size() < kConnections) {
      open.push_back(++last_id);
      watch.OnOpened(last_id, now);
      last_progress[last_id] = now;
    }
    // Occasionally the state of several connections is lost at once.
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
      last_progress[id] = now;
    } else if (busy.contains(id) && !dead.contains(id)) {
      watch.OnIdle(id, now - last_progress[id], now);
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
        CHECK(now - last_progress[it.connection] <= milliseconds(1'100));
      std::erase(open, it.connection);
      busy.erase(it.connection);
      ++detected;
    }
  }
  CHECK(detected > 100);
}

}  // namespace
}  // namespace gentianreach
