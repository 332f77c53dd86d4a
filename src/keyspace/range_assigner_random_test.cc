// Random runs of leaders and servers in virtual time. Orders are reordered,
// lost, and carried out late; servers drain, vanish and start again; a second
// leader takes over while the first still acts.
#include "keyspace/range_assigner.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace gentianreach::keyspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kServers = 6;
constexpr std::uint32_t kSampleStep = 512;  // Keys that are checked.
constexpr std::size_t kSamples = kKeyCount / kSampleStep;
constexpr Duration kAuthority = seconds(15);

// A server that obeys tokens and leases, and carries out what reaches it.
struct FakeServer {
  ServerId id;
  Incarnation incarnation{1};
  bool listed = true;
  bool draining = false;
  std::array<Token, kSamples> seen{};
  std::array<TimePoint, kSamples> held_until{};

  [[nodiscard]] bool Holds(std::size_t sample, TimePoint now) const {
    return held_until[sample] > now;
  }
};

struct Faults {
  double late = 0;       // Orders without an answer, carried out seconds later.
  double reordered = 0;  // Orders that take up to 300 ms.
  bool second_leader = false;
};

class World {
 public:
  World(std::uint32_t seed, Faults faults) : random_(seed), faults_(faults) {
    for (std::size_t i = 0; i < kServers; ++i) {
      servers_[i].id = ServerId("s" + std::to_string(i));
    }
  }

  void Run(Duration time) {
    StartLeader(now_);
    const TimePoint end = now_ + time;
    const TimePoint second_at = now_ + time / 2;
    bool second = false;
    while (now_ < end) {
      Step();
      if (faults_.second_leader && !second && now_ >= second_at) {
        second = true;
        StartLeader(now_ + kAuthority);
        // The first one acts until its authority ends.
        leaders_[0]->acts_until = now_ + kAuthority;
      }
    }
  }

  [[nodiscard]] std::size_t violations() const { return violations_; }
  [[nodiscard]] const std::string& first_violation() const { return first_; }
  [[nodiscard]] std::size_t served_checks() const { return served_; }
  [[nodiscard]] std::size_t checks() const { return checks_; }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> act;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Leader {
    RangeAssigner assigner{AssignerOptions{}};
    std::uint64_t revision = 0;
    TimePoint acts_until = TimePoint::max();
    TimePoint previous_leader_until{};
    Epoch epoch;
    bool begun = false;
  };

  bool Chance(double p) { return std::bernoulli_distribution(p)(random_); }
  Duration Between(Duration low, Duration high) {
    return Duration(std::uniform_int_distribution<std::int64_t>(
        low.count(), high.count())(random_));
  }
  void At(TimePoint at, std::function<void()> act) {
    events_.push({at, ++last_event_, std::move(act)});
  }

  void StartLeader(TimePoint previous_leader_until) {
    leaders_.push_back(std::make_unique<Leader>());
    leaders_.back()->epoch = Epoch(leaders_.size());
    Begin(*leaders_.back(), previous_leader_until);
  }
  void Begin(Leader& leader, TimePoint previous_leader_until) {
    leader.revision = revision_;
    leader.previous_leader_until = previous_leader_until;
    leader.begun = leader.assigner.Begin(
        revision_ == 0 ? std::nullopt : std::optional(table_), leader.epoch,
        previous_leader_until, now_);
  }

  void Step() {
    now_ += milliseconds(5);
    while (!events_.empty() && events_.top().at <= now_) {
      const auto act = events_.top().act;
      events_.pop();
      act();
    }
    Disturb();
    for (const auto& it : leaders_) {
      Drive(*it);
    }
    Check();
  }

  void Disturb() {
    load_.Decay(now_);
    for (int i = 0; i < 2; ++i) {
      const bool hot = Chance(0.4);
      load_.Add(hot ? hot_at_ + static_cast<std::uint32_t>(random_() % 200)
                    : static_cast<std::uint32_t>(random_() % kKeyCount));
    }
    if (Chance(0.001)) {
      hot_at_ = static_cast<std::uint32_t>(random_() % (kKeyCount - 200));
    }
    FakeServer& server = servers_[random_() % kServers];
    if (Chance(0.0008)) {
      server.draining = !server.draining;
    }
    if (Chance(0.0008)) {
      server.listed = !server.listed;
    }
    if (Chance(0.0004)) {
      // Another incarnation: it holds nothing and knows no token.
      server.incarnation = server.incarnation.Next();
      server.seen = {};
      server.held_until = {};
      server.draining = false;
      server.listed = true;
    }
  }

  void Drive(Leader& leader) {
    if (now_ >= leader.acts_until || !leader.begun) {
      return;
    }
    std::vector<AssignerServer> known;
    for (const FakeServer& it : servers_) {
      if (it.listed) {
        known.push_back(
            {it.id, it.incarnation, it.id.value() + ":1", it.draining, 1});
      }
    }
    leader.assigner.SetServers(known, now_);
    for (const auto& it : leader.assigner.Poll(load_, now_)) {
      if (const auto* write = std::get_if<WriteTable>(&it)) {
        Write(leader, write->table);
      } else {
        Send(leader, std::get<SendOrder>(it));
      }
    }
  }

  void Write(Leader& leader, const OwnershipTable& table) {
    At(now_ + milliseconds(4), [this, &leader, table] {
      if (leader.revision != revision_) {
        leader.assigner.OnWriteFailed(now_);
        // It reads again, although another may have taken the lead.
        Begin(leader, leader.previous_leader_until);
        return;
      }
      table_ = table;
      leader.revision = ++revision_;
      leader.assigner.OnWritten(now_);
    });
  }

  void Send(Leader& leader, const SendOrder& order) {
    const TimePoint sent = now_;
    const Duration way = Chance(faults_.reordered)
                             ? Between(milliseconds(1), milliseconds(140))
                             : Between(milliseconds(1), milliseconds(3));
    const bool late = Chance(faults_.late);
    const TimePoint arrives = sent + way;
    const Duration waits =
        late ? Between(seconds(2), seconds(12)) : Duration(0);
    At(arrives, [this, &leader, order, waits] {
      const TimePoint arrived = now_;
      if (waits == Duration(0)) {
        const auto outcome = CarryOut(order, arrived);
        At(now_ + milliseconds(2), [this, &leader, order, outcome] {
          leader.assigner.OnOrderReply(order.order, outcome, "h", now_);
        });
        return;
      }
      // What a process has put off ends with the process.
      const Incarnation incarnation = Find(order.server).incarnation;
      At(now_ + waits, [this, order, arrived, incarnation] {
        if (Find(order.server).incarnation == incarnation) {
          CarryOut(order, arrived);
        }
      });
    });
    if (late) {
      At(order.deadline, [this, &leader, order] {
        leader.assigner.OnOrderReply(order.order, OrderOutcome::kUnknown, "",
                                     now_);
      });
    }
  }

  FakeServer& Find(const ServerId& id) {
    return *std::find_if(servers_.begin(), servers_.end(),
                         [&](const FakeServer& it) { return it.id == id; });
  }

  OrderOutcome CarryOut(const SendOrder& order, TimePoint arrived) {
    FakeServer* it = &Find(order.server);
    const std::size_t first =
        (order.range.first + kSampleStep - 1) / kSampleStep;
    const std::size_t last = order.range.last / kSampleStep;
    if (order.kind == SendOrder::Kind::kRelease) {
      for (std::size_t i = first; i <= last; ++i) {
        if (it->seen[i] <= order.token) {
          it->held_until[i] = {};
        }
      }
      return OrderOutcome::kDone;
    }
    for (std::size_t i = first; i <= last; ++i) {
      if (it->seen[i] > order.token) {
        return OrderOutcome::kHigherToken;
      }
    }
    const TimePoint until = arrived + order.lease * 102 / 100;
    for (std::size_t i = first; i <= last; ++i) {
      if (until > now_ && order.token < highest_[i]) {
        Violation("token", i);
      }
      it->seen[i] = order.token;
      if (until > now_) {
        highest_[i] = std::max(highest_[i], order.token);
        it->held_until[i] = std::max(it->held_until[i], until);
      }
    }
    return OrderOutcome::kDone;
  }

  void Check() {
    for (std::size_t i = 0; i < kSamples; ++i) {
      const auto holders = std::count_if(
          servers_.begin(), servers_.end(),
          [&](const FakeServer& it) { return it.Holds(i, now_); });
      if (holders > 1) {
        Violation("two holders", i);
      }
      ++checks_;
      served_ += holders == 1 ? 1 : 0;
    }
  }

  void Violation(const std::string& what, std::size_t sample) {
    if (violations_++ == 0) {
      first_ = what + " of key " + std::to_string(sample * kSampleStep) +
               " at " + std::to_string((now_ - TimePoint{}) / milliseconds(1)) +
               " ms";
    }
  }

  std::mt19937 random_;
  const Faults faults_;
  TimePoint now_{seconds(100)};
  std::priority_queue<Event> events_;
  std::uint64_t last_event_ = 0;
  std::array<FakeServer, kServers> servers_;
  std::array<Token, kSamples> highest_{};
  std::vector<std::unique_ptr<Leader>> leaders_;
  OwnershipTable table_;
  std::uint64_t revision_ = 0;
  KeyLoad load_;
  std::uint32_t hot_at_ = 1000;
  std::size_t violations_ = 0;
  std::string first_;
  std::size_t served_ = 0;
  std::size_t checks_ = 0;
};

void CheckRuns(const Faults& faults, std::uint32_t seeds) {
  for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
    World world(seed, faults);
    world.Run(seconds(40));
    CAPTURE(seed);
    CAPTURE(world.first_violation());
    CHECK(world.violations() == 0);
    // Owners are found: keys are held for most of the time.
    CHECK(world.served_checks() * 2 > world.checks());
  }
}

TEST_CASE("a key never has two holders when all orders arrive in order") {
  CheckRuns({}, 15);
}

TEST_CASE("a key never has two holders when orders overtake each other") {
  CheckRuns({.reordered = 0.3}, 15);
}

TEST_CASE("a key never has two holders when orders are carried out late") {
  CheckRuns({.late = 0.3, .reordered = 0.2}, 15);
}

TEST_CASE("a key never has two holders while two leaders act") {
  CheckRuns({.late = 0.15, .reordered = 0.2, .second_leader = true}, 15);
}

}  // namespace
}  // namespace gentianreach::keyspace
