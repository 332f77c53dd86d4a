// Randomized simulation of leaders and servers in virtual time, for tests.
// Orders are reordered, lost and executed late; grants go over connections,
// which end with the incarnation of the server; servers drain, disappear from
// discovery and restart, also at another address; discovery lists earlier
// incarnations; leaders take over while earlier ones are still active; leaders
// are killed while their orders are held up by a network partition.
#ifndef SRC_KEYSPACE_TESTING_ASSIGNER_SIMULATION_H_
#define SRC_KEYSPACE_TESTING_ASSIGNER_SIMULATION_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "keyspace/range_assigner.h"
#include "keyspace/testing/fake_key_server.h"

namespace gentianreach::keyspace::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr std::size_t kServerCount = 6;
inline constexpr Duration kLeaderTerm = seconds(15);
inline constexpr Duration kSecondTerm = seconds(4);
// How long a leader that does not learn of its replacement acts.
inline constexpr Duration kLeaderLease = seconds(12);
// An order may arrive this long after it was given up.
inline constexpr milliseconds kTransitTime{140};
inline constexpr milliseconds kReplyTime{2};
// How long a leader that is killed leads, and until the next one begins.
inline constexpr Duration kKilledTerm = seconds(11);
inline constexpr milliseconds kElectionTime{700};
// Time until a connection is established after the end of a partition.
inline constexpr milliseconds kReconnectTime{250};
// How long two servers may hold a key when orders arrive where no fence can be
// in time.
inline constexpr milliseconds kMaxOverlap{500};
// Within this time after the end of a partition no leader is killed, in the
// cases where two holders may overlap.
inline constexpr Duration kFenceTime = seconds(1);
// Orders on kept connections that are lost until a leader notices that it is
// cut off from a server.
inline constexpr int kKeptConnections = 3;

struct Faults {
  // Probability that an order has no reply and is executed seconds later.
  double late = 0;
  // Probability that an order takes up to 140 ms to arrive.
  double reordered = 0;
  // Probability that an order may arrive as late as when it is given up.
  double held_up = 0;
  bool second_leader = false;
  // The first leader loses the store, and the second one leads for kSecondTerm.
  bool third_leader = false;
  // Probability that a server restarts at another address.
  double readdressed = 0;
  // Probability per step that discovery lists an earlier incarnation for up to
  // 3 s.
  double earlier_listed = 0;
  // Probability per step that the table in the store becomes unreadable, and
  // that the latest leader then loses the store for up to 12 s. The first
  // leader loses it in the same way when the second one takes over.
  double wiped = 0;
  double store_lost = 0;
  // Leaders are killed. Their servers may be cut off for up to 9 s before, and
  // what the leaders had sent arrives up to 4 s after the end of that.
  bool killed = false;
  // With `killed`. Partitions last up to this long.
  Duration longest_cut = seconds(9);
  // What was held up arrives this long after the end of a partition or later.
  Duration earliest_arrival = milliseconds(400);
  Duration latest_arrival = seconds(4);
  // Discovery lists a server again up to this long after a partition or a
  // pause.
  Duration listed_late{};
  // Servers are paused instead of cut off.
  bool paused = false;
  // Two holders count after kMaxOverlap, late grants alone do not.
  bool overlaps = false;
  // Partitions and pauses end while nobody leads, too.
  bool leaderless = false;
  // Leaders are replaced every 0.5 to 6 s, and may act for as long as their
  // lease lasts. A new one learns at once that they have stopped, or never.
  bool replaced = false;
  // Probability that a leader that is replaced is killed shortly before.
  double replaced_killed = 0;
  // Probability per step that one leader and one server are cut off from each
  // other for up to 9 s.
  double link_cut = 0;
  // Probability per step that the loop of a leader is late, by up to 700 ms.
  double late_loop = 0;
  // Probability per step that the zone of a server is evacuated within up to 3
  // s, or no longer.
  double evacuated = 0;
};

class Simulation {
 public:
  Simulation(std::uint32_t seed, Faults faults)
      : random_(seed), faults_(faults) {
    for (std::size_t i = 0; i < kServerCount; ++i) {
      servers_[i].id = ServerId("s" + std::to_string(i));
      servers_[i].address = servers_[i].id.value() + ":1";
    }
  }

  void Run(Duration time) {
    StartLeader(now_);
    const TimePoint end = now_ + time;
    const TimePoint second_at = now_ + time / 2;
    kill_at_ = now_ + kKilledTerm;
    while (now_ < end) {
      Step();
      if (faults_.killed) {
        KillLeaders();
      }
      if (faults_.replaced) {
        ReplaceLeaders();
      }
      if (faults_.second_leader && leaders_.size() == 1 && now_ >= second_at) {
        // The first leader is active until its term ends.
        leaders_[0]->active_until = now_ + kLeaderTerm;
        leaders_[0]->store_lost = faults_.third_leader;
        if (faults_.store_lost > 0) {
          LoseStore(*leaders_[0]);
        }
        StartLeader(leaders_[0]->active_until);
      }
      if (faults_.third_leader && leaders_.size() == 2 &&
          now_ >= second_at + kSecondTerm) {
        leaders_[1]->active_until = now_;
        StartLeader(leaders_[0]->active_until);
      }
    }
  }

  [[nodiscard]] std::size_t violations() const { return violations_; }
  [[nodiscard]] const std::string& first_violation() const {
    return first_violation_;
  }
  [[nodiscard]] milliseconds longest_overlap() const {
    return std::chrono::floor<milliseconds>(longest_overlap_);
  }
  [[nodiscard]] std::size_t held_checks() const { return held_checks_; }
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
  using Holder = std::pair<ServerId, Incarnation>;

  // What a leader's connections to a server reach.
  struct Link {
    Incarnation incarnation;
    std::string address;
    // The incarnation was there before this token was allocated.
    Token lowest_token;
    // Orders that went into a partition since the link was established.
    int lost_orders = 0;
    // When the link is established again after that.
    TimePoint reconnects_at{};
  };
  struct Leader {
    RangeAssigner assigner{AssignerOptions{}};
    std::map<ServerId, Link> links;
    // Lowest token that no table of this leader has allocated.
    Token next_token;
    std::uint64_t revision = 0;
    TimePoint active_until = TimePoint::max();
    TimePoint previous_leader_until{};
    Epoch epoch;
    // Servers that the assigner knows not to be listed.
    std::set<ServerId> unlisted;
    bool begun = false;
    bool wrote_table = false;
    bool store_lost = false;
    TimePoint store_lost_until{};
    bool killed = false;
    // Its loop stands still until then.
    TimePoint late_until{};
    // It does not reach the server until then.
    std::map<ServerId, TimePoint> cut_until;
    // It learns that the leaders before it have stopped.
    bool is_told = false;
  };

  bool WithProbability(double p) {
    return std::bernoulli_distribution(p)(random_);
  }
  Duration RandomDuration(Duration low, Duration high) {
    return Duration(std::uniform_int_distribution<std::int64_t>(
        low.count(), high.count())(random_));
  }
  void Schedule(TimePoint at, std::function<void()> act) {
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
    if (wiped_) {
      leader.begun = false;
      Schedule(now_ + milliseconds(4),
               [this, &leader] { ReplaceTable(leader); });
      return;
    }
    leader.begun = leader.assigner.Begin(
        revision_ == 0 ? std::nullopt : std::optional(table_), leader.epoch,
        previous_leader_until, now_);
  }

  // Kills the leader at the end of its term and starts the next one.
  void KillLeaders() {
    if (leaders_.back()->active_until <= now_) {
      if (now_ >= leaders_.back()->active_until + kElectionTime) {
        kill_at_ = now_ + kKilledTerm;
        StartLeader(leaders_.back()->active_until);
      }
      return;
    }
    if (!cut_ && now_ + AssignerOptions{}.order_timeout >= kill_at_) {
      cut_ = true;
      for (FakeServer& it : servers_) {
        if (now_ >= it.cut_until && now_ >= it.paused_until &&
            WithProbability(0.5)) {
          (faults_.paused ? it.paused_until : it.cut_until) =
              now_ + RandomDuration(seconds(1), faults_.longest_cut);
        }
      }
    }
    if (now_ >= kill_at_) {
      cut_ = false;
      leaders_.back()->active_until = now_;
      leaders_.back()->killed = true;
      for (FakeServer& it : servers_) {
        it.listed = !(IsCut(it) || IsPaused(it)) || WithProbability(0.2);
        if (faults_.leaderless && IsCut(it) && WithProbability(0.5)) {
          it.cut_until = now_ + RandomDuration(Duration(0), kElectionTime);
        }
      }
    }
  }

  // Replaces the leader, which may be active until the end of its lease.
  void ReplaceLeaders() {
    if (replace_at_ == TimePoint{}) {
      replace_at_ = now_ + RandomDuration(milliseconds(500), seconds(6));
    }
    Leader& last = *leaders_.back();
    if (last.is_told && std::ranges::all_of(leaders_, [&](const auto& it) {
          return it.get() == &last || it->active_until <= now_;
        })) {
      last.is_told = false;
      last.assigner.OnPreviousLeadersEnded(now_);
    }
    if (now_ + kElectionTime >= replace_at_ && !last.killed &&
        last.active_until == TimePoint::max() && !kill_decided_) {
      kill_decided_ = true;
      if (WithProbability(faults_.replaced_killed)) {
        last.killed = true;
        last.active_until = now_;
      }
    }
    if (now_ < replace_at_) {
      return;
    }
    kill_decided_ = false;
    replace_at_ = now_ + RandomDuration(milliseconds(500), seconds(6));
    if (!last.killed) {
      last.active_until =
          now_ + (WithProbability(0.5)
                      ? RandomDuration(Duration(0), milliseconds(500))
                      : RandomDuration(Duration(0), kLeaderLease));
    }
    StartLeader(now_ + kLeaderLease);
    leaders_.back()->is_told = WithProbability(0.7);
  }

  [[nodiscard]] bool IsCut(const FakeServer& server) const {
    return now_ < server.cut_until;
  }
  [[nodiscard]] bool IsCut(const Leader& leader,
                           const FakeServer& server) const {
    const auto it = leader.cut_until.find(server.id);
    return IsCut(server) || (it != leader.cut_until.end() && now_ < it->second);
  }
  [[nodiscard]] bool IsConnectable(const Leader& leader,
                                   const FakeServer& server) const {
    return !IsCut(leader, server) && now_ >= server.connects_at;
  }
  [[nodiscard]] bool IsPaused(const FakeServer& server) const {
    return now_ < server.paused_until;
  }

  // The server is in touch again; discovery may learn so later.
  void ListAgain(FakeServer& server) {
    if (faults_.listed_late == Duration(0)) {
      server.listed = true;
    } else {
      server.listed_at =
          now_ + RandomDuration(Duration(0), faults_.listed_late);
    }
  }

  // A process that runs again reads what it has received, in any order.
  void EndPauses() {
    for (FakeServer& it : servers_) {
      if (now_ >= it.listed_at) {
        it.listed = true;
        it.listed_at = TimePoint::max();
      }
      if (it.paused_until == TimePoint{} || IsPaused(it)) {
        continue;
      }
      it.paused_until = {};
      ListAgain(it);
      for (const auto& read : std::exchange(it.received, {})) {
        Schedule(now_ + RandomDuration(Duration(0), milliseconds(10)), read);
      }
    }
  }

  // Ends partitions. While nobody leads, none ends: no leader could prevent
  // what the held-up orders do.
  void EndPartitions() {
    for (FakeServer& it : servers_) {
      if (it.cut_until == TimePoint{}) {
        continue;
      }
      if (!IsCut(it) && !faults_.leaderless &&
          (leaders_.back()->active_until <= now_ ||
           !leaders_.back()->wrote_table ||
           (faults_.overlaps && now_ + kFenceTime > kill_at_))) {
        it.cut_until = now_ + milliseconds(1);
      }
      if (IsCut(it)) {
        continue;
      }
      it.cut_until = {};
      if (faults_.overlaps) {
        it.connects_at = now_ + RandomDuration(Duration(0), kReconnectTime);
      }
      ListAgain(it);
      for (const auto& arrive : std::exchange(it.held_up, {})) {
        Arrive(
            it, arrive,
            RandomDuration(faults_.earliest_arrival, faults_.latest_arrival));
      }
    }
  }

  // What another partition holds up arrives after that.
  void Arrive(FakeServer& server,
              const std::function<void()>& arrive,
              Duration delay) {
    Schedule(now_ + delay, [this, &server, arrive] {
      if (faults_.overlaps && IsCut(server)) {
        server.held_up.push_back(arrive);
      } else {
        arrive();
      }
    });
  }

  void LoseStore(Leader& leader) {
    leader.store_lost_until = now_ + RandomDuration(seconds(1), seconds(12));
  }

  // The leader learns from its record whether it is the latest one.
  void ReplaceTable(Leader& leader) {
    if (&leader != leaders_.back().get() || now_ >= leader.active_until) {
      return;
    }
    if (now_ < leader.store_lost_until) {
      Schedule(leader.store_lost_until,
               [this, &leader] { ReplaceTable(leader); });
      return;
    }
    leader.begun = true;
    if (WithProbability(0.5) && leader.assigner.WriteAgain(now_)) {
      return;
    }
    // Copies of the table may be outdated.
    const bool has_copy = !tables_.empty() && WithProbability(0.8);
    leader.assigner.BeginWithoutTable(
        has_copy
            ? &tables_[tables_.size() - 1 -
                       random_() % std::min<std::size_t>(tables_.size(), 20)]
            : nullptr,
        leader.revision, Token(), leader.epoch, leader.previous_leader_until,
        now_);
  }

  void Step() {
    now_ += milliseconds(5);
    while (!events_.empty() && events_.top().at <= now_) {
      const auto act = events_.top().act;
      events_.pop();
      act();
    }
    InjectFaults();
    EndPartitions();
    EndPauses();
    for (const auto& it : leaders_) {
      PollLeader(*it);
    }
    Check();
  }

  void InjectFaults() {
    load_.Decay(now_);
    for (int i = 0; i < 2; ++i) {
      const bool hot = WithProbability(0.4);
      load_.Add(hot ? hot_range_start_ +
                          static_cast<std::uint32_t>(random_() % 200)
                    : static_cast<std::uint32_t>(random_() % kKeyCount));
    }
    if (WithProbability(0.001)) {
      hot_range_start_ =
          static_cast<std::uint32_t>(random_() % (kKeyCount - 200));
    }
    if (faults_.wiped > 0 && revision_ != 0 && WithProbability(faults_.wiped)) {
      wiped_ = true;
      ++revision_;
      if (WithProbability(faults_.store_lost)) {
        LoseStore(*leaders_.back());
      }
    }
    FakeServer& server = servers_[random_() % kServerCount];
    if (faults_.link_cut > 0 && WithProbability(faults_.link_cut)) {
      leaders_[leaders_.size() - 1 -
               random_() % std::min<std::size_t>(leaders_.size(), 3)]
          ->cut_until[server.id] =
          now_ + RandomDuration(milliseconds(100), seconds(9));
    }
    if (faults_.late_loop > 0 && WithProbability(faults_.late_loop)) {
      leaders_[leaders_.size() - 1 -
               random_() % std::min<std::size_t>(leaders_.size(), 3)]
          ->late_until =
          now_ + RandomDuration(milliseconds(50), milliseconds(700));
    }
    if (faults_.evacuated > 0 && WithProbability(faults_.evacuated)) {
      server.move_until = server.move_until == TimePoint::max()
                              ? now_ + RandomDuration(Duration(0), seconds(3))
                              : TimePoint::max();
    }
    if (WithProbability(0.0008)) {
      server.draining = !server.draining;
    }
    if (WithProbability(0.0008)) {
      server.listed = !server.listed;
    }
    if (faults_.earlier_listed > 0 && WithProbability(faults_.earlier_listed) &&
        server.earlier.id == server.id) {
      server.earlier_listed_until =
          now_ + RandomDuration(milliseconds(100), seconds(3));
    }
    if (WithProbability(0.0004)) {
      server.earlier = Listed(server);
      if (faults_.readdressed > 0 && WithProbability(faults_.readdressed)) {
        server.address = server.id.value() + ":" +
                         std::to_string(server.incarnation.value() + 1);
      }
      // A restarted server holds no keys and remembers no tokens.
      server.incarnation = server.incarnation.Next();
      server.highest_token = {};
      server.held_until = {};
      server.draining = false;
      server.listed = true;
      server.paused_until = {};
      server.received.clear();
      server.listed_at = TimePoint::max();
    }
  }

  static AssignerServer Listed(const FakeServer& server) {
    return {.id = server.id,
            .incarnation = server.incarnation,
            .address = server.address,
            .draining = server.draining,
            .move_until = server.move_until};
  }

  void PollLeader(Leader& leader) {
    if (now_ >= leader.active_until || !leader.begun ||
        now_ < leader.late_until) {
      return;
    }
    std::vector<AssignerServer> known;
    for (const FakeServer& it : servers_) {
      if (it.listed) {
        known.push_back(now_ < it.earlier_listed_until ? it.earlier
                                                       : Listed(it));
      }
    }
    leader.assigner.SetServers(known, now_);
    for (const AssignerServer& it : known) {
      if (it.address == Find(it.id).address &&
          IsConnectable(leader, Find(it.id))) {
        Connect(leader, Find(it.id));
      }
    }
    if (faults_.overlaps) {
      ReportUnlisted(leader);
      const std::set<std::string> unlisted = leader.assigner.FenceAddresses();
      for (const FakeServer& it : servers_) {
        if (!it.listed && unlisted.contains(it.address) &&
            IsConnectable(leader, it)) {
          Connect(leader, it);
        }
      }
    }
    for (const auto& it : leader.assigner.Poll(load_, now_)) {
      if (const auto* write = std::get_if<WriteTable>(&it)) {
        Write(leader, write->table);
      } else {
        Send(leader, std::get<SendOrder>(it));
      }
    }
  }

  // All daemons know which servers were listed.
  void ReportUnlisted(Leader& leader) {
    for (const FakeServer& it : servers_) {
      if (it.listed) {
        leader.unlisted.erase(it.id);
      } else if (leader.unlisted.insert(it.id).second) {
        leader.assigner.OnUnlisted(Listed(it), now_, now_);
      }
    }
  }

  // Connects a leader to a server, unless it is connected to its incarnation.
  Link& Connect(Leader& leader, const FakeServer& server) {
    Link& link = leader.links[server.id];
    if (link.lost_orders > 0 && link.reconnects_at == TimePoint{}) {
      link.reconnects_at = now_ + RandomDuration(Duration(0), kReconnectTime);
    }
    if (link.incarnation != server.incarnation ||
        link.address != server.address ||
        (link.lost_orders > 0 && now_ >= link.reconnects_at)) {
      link = {server.incarnation, server.address, leader.next_token};
      leader.assigner.OnConnected(server.address);
    }
    return link;
  }

  // The order goes into a partition. What a leader has sent when it is killed
  // arrives after the end of the partition.
  void SendIntoPartition(Leader& leader, const SendOrder& order) {
    FakeServer& server = Find(order.server);
    Link& link = leader.links[server.id];
    const bool written = order.kind == SendOrder::Kind::kGrant &&
                         link.incarnation == server.incarnation &&
                         link.lost_orders < kKeptConnections &&
                         order.token >= link.lowest_token;
    link.lost_orders += written ? 1 : 0;
    const Incarnation sent_to = server.incarnation;
    Schedule(order.deadline, [this, &leader, order, written, sent_to] {
      FakeServer& server = Find(order.server);
      if (!leader.killed) {
        Reply(leader, order.order,
              written ? OrderOutcome::kUnknown : OrderOutcome::kNotConnected);
      } else if (written && IsCut(leader, server)) {
        server.held_up.emplace_back([this, order, sent_to] {
          if (Find(order.server).incarnation == sent_to) {
            Execute(order, now_);
          }
        });
      }
    });
  }

  void Write(Leader& leader, const OwnershipTable& table) {
    leader.next_token = std::max(leader.next_token, table.next_token);
    if (leader.store_lost) {
      return;
    }
    if (now_ < leader.store_lost_until) {
      leader.assigner.OnWriteFailed(now_ + milliseconds(400));
      return;
    }
    Schedule(now_ + milliseconds(4), [this, &leader, table] {
      if (leader.revision != revision_) {
        leader.assigner.OnWriteFailed(now_);
        // The leader rereads the table even if another may have taken over.
        Begin(leader, leader.previous_leader_until);
        return;
      }
      table_ = table;
      wiped_ = false;
      if (faults_.wiped > 0) {
        tables_.push_back(table);
      }
      leader.revision = ++revision_;
      leader.wrote_table = true;
      leader.assigner.OnWritten(now_);
    });
  }

  void Send(Leader& leader, const SendOrder& order) {
    const TimePoint sent = now_;
    if (IsCut(leader, Find(order.server))) {
      SendIntoPartition(leader, order);
      return;
    }
    Duration transit_time =
        WithProbability(faults_.reordered)
            ? RandomDuration(milliseconds(1), kTransitTime)
            : RandomDuration(milliseconds(1), milliseconds(3));
    if (faults_.held_up > 0 && WithProbability(faults_.held_up)) {
      transit_time =
          RandomDuration(milliseconds(1), order.deadline - sent + kTransitTime);
    }
    const bool late = WithProbability(faults_.late);
    const bool grant = order.kind == SendOrder::Kind::kGrant;
    if (grant && Find(order.server).address == order.address &&
        order.token < Connect(leader, Find(order.server)).lowest_token) {
      Schedule(sent + kReplyTime, [this, &leader, order] {
        Reply(leader, order.order, OrderOutcome::kTokenOutdated);
      });
      return;
    }
    const Incarnation connected_to = Find(order.server).incarnation;
    const TimePoint arrives = sent + transit_time;
    const bool answered = !late && arrives + kReplyTime <= order.deadline;
    const Duration execution_delay =
        late ? RandomDuration(seconds(2), seconds(12)) : Duration(0);
    Schedule(arrives, [this, &leader, order, execution_delay, answered, grant,
                       connected_to] {
      const TimePoint arrived = now_;
      if (IsPaused(Find(order.server))) {
        Receive(leader, order, connected_to, answered);
        return;
      }
      if (Find(order.server).address != order.address) {
        Reply(leader, order.order, OrderOutcome::kConnectionRefused);
        return;
      }
      if (grant && Find(order.server).incarnation != connected_to) {
        // The connection ended with the process.
        Reply(leader, order.order, OrderOutcome::kUnknown);
        return;
      }
      if (execution_delay == Duration(0)) {
        const auto outcome = Execute(order, arrived);
        if (answered) {
          Schedule(now_ + kReplyTime, [this, &leader, order, outcome] {
            Reply(leader, order.order, outcome, "h");
          });
        }
        return;
      }
      // Orders that a process has delayed are lost when it ends.
      const Incarnation incarnation = Find(order.server).incarnation;
      Schedule(now_ + execution_delay, [this, order, arrived, incarnation] {
        if (Find(order.server).incarnation == incarnation) {
          Execute(order, arrived);
        }
      });
    });
    if (!answered) {
      Schedule(order.deadline, [this, &leader, order] {
        Reply(leader, order.order, OrderOutcome::kUnknown);
      });
    }
  }

  // Passes a reply on to the leader, once its loop runs.
  void Reply(Leader& leader,
             std::uint64_t order,
             OrderOutcome outcome,
             const std::string& handover = "") {
    if (now_ < leader.late_until) {
      Schedule(leader.late_until, [this, &leader, order, outcome, handover] {
        Reply(leader, order, outcome, handover);
      });
      return;
    }
    leader.assigner.OnOrderReply(order, outcome, handover, now_);
  }

  // The order waits in the receive buffer of a paused process. Its sender gives
  // it up at its deadline, unless it is killed before; what has been received
  // is read all the same.
  void Receive(Leader& leader,
               const SendOrder& order,
               Incarnation connected_to,
               bool gives_up) {
    if (Find(order.server).incarnation == connected_to) {
      Find(order.server).received.emplace_back([this, order, connected_to] {
        if (Find(order.server).incarnation == connected_to) {
          Execute(order, now_);
        }
      });
    }
    if (gives_up) {
      Schedule(order.deadline, [this, &leader, order] {
        Reply(leader, order.order, OrderOutcome::kUnknown);
      });
    }
  }

  FakeServer& Find(const ServerId& id) {
    return *std::find_if(servers_.begin(), servers_.end(),
                         [&](const FakeServer& it) { return it.id == id; });
  }

  OrderOutcome Execute(const SendOrder& order, TimePoint arrived) {
    FakeServer* it = &Find(order.server);
    const std::size_t first =
        (order.range.first + kSampleStep - 1) / kSampleStep;
    const std::size_t last = order.range.last / kSampleStep;
    if (order.kind == SendOrder::Kind::kRelease) {
      for (std::size_t i = first; i <= last; ++i) {
        if (it->highest_token[i] <= order.token) {
          it->highest_token[i] = order.token;
          it->held_until[i] = {};
        }
      }
      return OrderOutcome::kDone;
    }
    for (std::size_t i = first; i <= last; ++i) {
      if (it->highest_token[i] > order.token) {
        return OrderOutcome::kHigherToken;
      }
    }
    const TimePoint until = arrived + order.lease * 102 / 100;
    for (std::size_t i = first; i <= last; ++i) {
      if (!faults_.overlaps && until > now_ &&
          order.token < highest_tokens_[i]) {
        RecordViolation("grant with an outdated token", i);
      }
      it->highest_token[i] = order.token;
      if (until <= now_) {
        continue;
      }
      const Holder holder{it->id, it->incarnation};
      if (order.token == highest_tokens_[i] && holder != last_holders_[i]) {
        RecordViolation("grant with the token of another incarnation", i);
      }
      if (order.token >= highest_tokens_[i]) {
        highest_tokens_[i] = order.token;
        last_holders_[i] = holder;
      }
      it->held_until[i] = std::max(it->held_until[i], until);
    }
    return OrderOutcome::kDone;
  }

  void Check() {
    for (std::size_t i = 0; i < kSampledKeys; ++i) {
      const auto holders = std::count_if(
          servers_.begin(), servers_.end(),
          [&](const FakeServer& it) { return it.Holds(i, now_); });
      if (holders <= 1) {
        two_holders_since_[i] = now_;
      } else if (!faults_.overlaps ||
                 now_ > two_holders_since_[i] + kMaxOverlap) {
        RecordViolation("two holders", i);
      }
      longest_overlap_ =
          std::max(longest_overlap_, Duration(now_ - two_holders_since_[i]));
      ++checks_;
      held_checks_ += holders == 1 ? 1 : 0;
    }
  }

  void RecordViolation(const std::string& what, std::size_t sample) {
    if (violations_++ == 0) {
      first_violation_ =
          what + " of key " + std::to_string(sample * kSampleStep) + " at " +
          std::to_string((now_ - TimePoint{}) / milliseconds(1)) + " ms";
    }
  }

  std::mt19937 random_;
  const Faults faults_;
  TimePoint now_{seconds(100)};
  std::priority_queue<Event> events_;
  std::uint64_t last_event_ = 0;
  std::array<FakeServer, kServerCount> servers_;
  // The highest token of each key, and the incarnation that has taken it.
  std::array<Token, kSampledKeys> highest_tokens_{};
  std::array<Holder, kSampledKeys> last_holders_{};
  std::array<TimePoint, kSampledKeys> two_holders_since_{};
  Duration longest_overlap_{};
  std::vector<std::unique_ptr<Leader>> leaders_;
  OwnershipTable table_;
  std::uint64_t revision_ = 0;
  // The table in the store cannot be read.
  bool wiped_ = false;
  std::vector<OwnershipTable> tables_;
  TimePoint kill_at_{};
  TimePoint replace_at_{};
  // Whether the leader is killed has been decided.
  bool kill_decided_ = false;
  // Servers have been cut off for the end of this leader.
  bool cut_ = false;
  KeyLoad load_;
  std::uint32_t hot_range_start_ = 1000;
  std::size_t violations_ = 0;
  std::string first_violation_;
  std::size_t held_checks_ = 0;
  std::size_t checks_ = 0;
};

inline void CheckSeed(const Faults& faults, std::uint32_t seed) {
  Simulation simulation(seed, faults);
  simulation.Run(seconds(40));
  CAPTURE(seed);
  CAPTURE(simulation.first_violation());
  CAPTURE(simulation.longest_overlap().count());
  CHECK(simulation.violations() == 0);
  // Guards against a vacuous pass: keys are held more than half of the time. A
  // lost table costs a lease, and the wait for leaders that may be active; a
  // partition costs a lease, and the wait if the leader is replaced.
  const std::size_t share =
      faults.wiped > 0 || faults.killed || faults.replaced ? 4 : 2;
  CHECK(simulation.held_checks() * share > simulation.checks());
}

// Checks the seeds up to `seeds` and the `others`, or only GENTIANREACH_SEED if
// that is set.
inline void CheckSeeds(const Faults& faults,
                       std::uint32_t seeds,
                       const std::vector<std::uint32_t>& others = {}) {
  if (const char* const seed = std::getenv("GENTIANREACH_SEED")) {
    CheckSeed(faults,
              static_cast<std::uint32_t>(std::strtoul(seed, nullptr, 10)));
    return;
  }
  for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
    CheckSeed(faults, seed);
  }
  for (const std::uint32_t seed : others) {
    CheckSeed(faults, seed);
  }
}

}  // namespace gentianreach::keyspace::testing

#endif  // SRC_KEYSPACE_TESTING_ASSIGNER_SIMULATION_H_
