// Simulation of how the server entries reach the daemons of a fleet, in virtual
// time, for tests.
#ifndef SRC_ENTRY_FLEET_COPIES_SIM_H_
#define SRC_ENTRY_FLEET_COPIES_SIM_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "entry/balancing/ownership_view.h"
#include "entry/balancing/server_choice.h"
#include "entry/balancing/server_directory.h"
#include "entry/balancing/server_limits.h"
#include "entry/balancing/server_loads.h"
#include "entry/copy_source.h"
#include "entry/succession.h"
#include "routing/routing_config.h"

namespace gentianreach::entry {

// What a member uses to learn of changes. Each can fail by itself.
enum class Hop : std::uint8_t { kHeartbeat, kMirror, kLeader, kPeer, kStore };
inline constexpr std::size_t kHops = 5;

// What happens to the messages of a hop.
enum class HopFault : std::uint8_t {
  kNone,
  kLossy,    // Some get no response.
  kSilent,   // None gets a response.
  kSlow,     // Responses take up to kMaxSlowness longer.
  kRefused,  // All are answered with an error at once.
};

// Member 0 leads all the time and reaches the store; so do the other members
// unless the hops of a member are given faults. The decisions are those of the
// daemon's own classes; what is simulated are the messages and their timeouts,
// and the loops of the daemons, which may be late.
//
// Every member keeps sending requests to servers, some of which drain. The
// simulation records the sends that reach a server later than it may rely on.
class FleetCopiesSim {
 public:
  struct Options {
    std::size_t members = 12;
    // Time after which a server that drains gets no more requests.
    std::chrono::milliseconds drain{2000};
    // Time within which a change of the configuration takes effect.
    std::chrono::milliseconds config_apply{2000};
    // How late the loops of the members may be.
    std::chrono::milliseconds max_loop_delay{20};
    // The store turns the leader away while the faults last, and no other
    // member takes the lead.
    bool leader_loses_store = false;
    // The store answers nobody while the faults last, so that it acknowledges
    // no drains either.
    bool store_is_lost = false;
    unsigned seed = 1;
  };

  // What the members did while the faults lasted.
  struct Result {
    std::uint64_t sends = 0;
    // Sends that reached a server too late.
    std::uint64_t late_sends = 0;
    Duration latest{};
    // Requests refused since the entries were outdated.
    std::uint64_t refused = 0;
  };

  explicit FleetCopiesSim(const Options& options)
      : options_(options),
        drain_bound_(options.drain),
        random_(options.seed),
        hello_period_(
            HeartbeatPeriod(static_cast<std::uint32_t>(options.members),
                            drain_bound_.max_entries_age())) {
    for (std::size_t i = 0; i < options.members; ++i) {
      members_.push_back(std::make_unique<Member>(options_, drain_bound_));
      AddServers(*members_.back());
    }
    PlanMirrors();
    PlanDrains();
  }

  // Sets the fault of a hop of member `index` from kFaultsBegin to kFaultsEnd.
  void SetFault(std::size_t index, Hop hop, HopFault fault) {
    members_[index]->faults[static_cast<std::size_t>(hop)] = fault;
  }

  Result Run() {
    At(kStart, [this] { WatchAsLeader(false); });
    for (std::size_t i = 1; i < members_.size(); ++i) {
      At(kStart + RandomDelay(hello_period_), [this, i] { SendHello(i); });
    }
    for (std::size_t i = 0; i < members_.size(); ++i) {
      NameMembers(i);
      At(kStart + RandomDelay(kHousekeepingPeriod), [this, i] { Check(i); });
      At(kStart + RandomDelay(kSendPeriod), [this, i] { SendRequest(i); });
    }
    while (!events_.empty() && events_.begin()->first < kEnd) {
      auto node = events_.extract(events_.begin());
      now_ = node.key();
      node.mapped()();
    }
    return result_;
  }

 private:
  using milliseconds = std::chrono::milliseconds;
  using seconds = std::chrono::seconds;

  static constexpr TimePoint kStart = TimePoint(seconds(1000));
  static constexpr TimePoint kFaultsBegin = kStart + seconds(4);
  static constexpr TimePoint kFaultsEnd = kStart + seconds(14);
  static constexpr TimePoint kEnd = kStart + seconds(18);
  static constexpr std::size_t kServers = 40;
  static constexpr std::size_t kZones = 5;
  static constexpr std::uint32_t kKeysPerServer =
      keyspace::kKeyCount / kServers;
  // Times of the daemon; see member_link.cc, entry_daemon.cc, store_copies.cc
  // and store_watcher.cc.
  static constexpr milliseconds kHousekeepingPeriod{100};
  static constexpr milliseconds kMirrorHeadStart{100};
  static constexpr milliseconds kMirrorTimeout{400};
  static constexpr milliseconds kMirrorAvoidance{3000};
  static constexpr milliseconds kRelayTimeout{1200};
  static constexpr milliseconds kPeerTimeout{300};
  static constexpr milliseconds kPeerPollPeriod{200};
  static constexpr std::size_t kPolledPeers = 2;
  static constexpr std::size_t kPolledPeersOfReader = 4;
  static constexpr milliseconds kListTimeout{1500};
  static constexpr milliseconds kProbeTimeout{450};
  static constexpr milliseconds kBatchDelay{200};
  static constexpr milliseconds kRetryDelay{400};
  // The world around it.
  static constexpr milliseconds kSendPeriod{100};
  static constexpr milliseconds kNetworkDelay{2};
  static constexpr milliseconds kMaxSlowness{1400};
  static constexpr double kLossRate = 0.5;
  // A member with a tenth of a processor takes this long to read all entries.
  static constexpr milliseconds kMaxListTime{300};

  struct Member {
    Member(const Options& options, const DrainBound& bound)
        : chooser(std::min<Duration>(options.config_apply,
                                     bound.max_entries_age())) {}

    [[nodiscard]] HopFault FaultOf(Hop hop) const {
      return faults[static_cast<std::size_t>(hop)];
    }

    std::array<HopFault, kHops> faults{};
    CopySourceChooser chooser;
    ServerDirectory directory;
    ServerLoads loads;
    ServerLimits limits{1};
    CopySource source = CopySource::kLeader;
    // Number of drains that the copy contains.
    std::size_t drains = 0;
    TimePoint current_at = kStart;
    TimePoint leader_last_seen = kStart;
    std::uint32_t rank = 0;
    std::optional<std::size_t> mirror;
    TimePoint mirror_avoided_until{};
    TimePoint polled_at{};
    bool fetching = false;
    bool reading_store = false;
    // When a call of the store last failed.
    TimePoint store_failed_at{};
    // When the store last answered a member, as far as this one has heard.
    TimePoint store_answered_at{};
    // Addresses in the order in which they are asked.
    std::vector<std::string> peers_to_ask;
    milliseconds list_time{20};
  };

  // What the leader's heartbeats tell of its copies.
  struct Status {
    std::size_t drains = 0;
    TimePoint current_at;
    bool store_lost = false;
    bool most_lost_store = false;
    TimePoint sent_at{};
  };

  void At(TimePoint time, std::function<void()> fn) {
    events_.emplace(time, std::move(fn));
  }
  Duration RandomDelay(Duration max) {
    return Duration(
        std::uniform_int_distribution<std::int64_t>(0, max.count())(random_));
  }
  // Returns when the loop of a member gets to what is due now.
  TimePoint LoopTime() { return now_ + RandomDelay(options_.max_loop_delay); }

  static std::string ServerName(std::size_t number) {
    return "s" + std::to_string(number);
  }
  static routing::BackendServer Server(std::size_t number, bool draining) {
    routing::BackendServer server;
    server.id = ServerId(ServerName(number));
    server.incarnation = Incarnation(1);
    server.service = number % 2 == 0 ? "plain" : "keyed";
    server.zone = ZoneName("z" + std::to_string(number % kZones));
    server.slots = 3;
    server.draining = draining;
    return server;
  }

  void AddServers(Member& member) {
    for (std::size_t i = 0; i < kServers; ++i) {
      member.directory.Put(Server(i, false), kStart);
    }
    member.list_time =
        milliseconds(20) +
        std::chrono::duration_cast<milliseconds>(RandomDelay(kMaxListTime));
  }

  void PlanMirrors() {
    std::vector<SuccessionMember> known;
    for (std::size_t i = 1; i < members_.size(); ++i) {
      known.push_back({std::to_string(i),
                       ZoneName("z" + std::to_string(i % kZones)),
                       i <= 3 * kZones ? 0.5 : 0.1});
    }
    const Succession plan = PlanSuccession(known);
    for (std::size_t rank = 0; rank < plan.order.size(); ++rank) {
      const std::size_t it = plan.order[rank];
      members_[it + 1]->rank = static_cast<std::uint32_t>(rank);
      if (plan.mirrors[it]) {
        members_[it + 1]->mirror = *plan.mirrors[it] + 1;
      }
      if (rank < CopySourceChooser::kReaders) {
        peers_.push_back(it + 1);
      }
    }
  }

  // All servers but two of each kind drain, one after the other.
  void PlanDrains() {
    for (std::size_t i = 0; i < kServers; ++i) {
      ready_.push_back(i);
      acks_.push_back(TimePoint::max());
    }
    std::shuffle(ready_.begin(), ready_.end(), random_);
    const TimePoint begin = options_.store_is_lost ? kFaultsEnd : kFaultsBegin;
    for (std::size_t i = 0; i + 4 < kServers; ++i) {
      drains_.push_back(begin + RandomDelay(kFaultsEnd + seconds(2) - begin));
    }
    std::sort(drains_.begin(), drains_.end());
    for (std::size_t i = 0; i < drains_.size(); ++i) {
      acks_[ready_[i]] = drains_[i];
    }
  }

  // Returns how many drains the store had acknowledged at `time`.
  [[nodiscard]] std::size_t DrainsAt(TimePoint time) const {
    return static_cast<std::size_t>(
        std::upper_bound(drains_.begin(), drains_.end(), time) -
        drains_.begin());
  }

  // Returns when a watch of `member` that begins now sees a change.
  [[nodiscard]] TimePoint NextChange(const Member& member) const {
    return member.drains < drains_.size()
               ? std::max(drains_[member.drains], now_)
               : TimePoint::max();
  }

  [[nodiscard]] HopFault FaultOf(const Member& member, Hop hop) const {
    const bool faulty = now_ >= kFaultsBegin && now_ < kFaultsEnd;
    if (faulty && hop == Hop::kStore && options_.store_is_lost) {
      return HopFault::kSilent;
    }
    return faulty ? member.FaultOf(hop) : HopFault::kNone;
  }
  // Returns the time until the response to a message of `member`, or nullopt if
  // there is none.
  std::optional<Duration> ResponseTime(const Member& member,
                                       Hop hop,
                                       Duration usual) {
    switch (FaultOf(member, hop)) {
      case HopFault::kNone:
        return usual;
      case HopFault::kLossy:
        return std::bernoulli_distribution(kLossRate)(random_)
                   ? std::nullopt
                   : std::optional<Duration>(usual);
      case HopFault::kSilent:
        return std::nullopt;
      case HopFault::kSlow:
        return usual + RandomDelay(kMaxSlowness);
      case HopFault::kRefused:
        return std::nullopt;
    }
    return usual;
  }

  // Sends a message that is answered or times out, as the loop of the sender
  // sees it.
  void Call(const Member& member,
            Hop hop,
            Duration usual,
            Duration timeout,
            std::function<void(bool answered)> done) {
    const auto time = ResponseTime(member, hop, usual);
    const bool answered = time && *time < timeout;
    const Duration refused_after =
        FaultOf(member, hop) == HopFault::kRefused ? kNetworkDelay : timeout;
    At(now_ + (answered ? *time : refused_after) +
           RandomDelay(options_.max_loop_delay),
       [done = std::move(done), answered] { done(answered); });
  }

  // Applies the copy of another process with `drains` drains.
  void Apply(Member& member, std::size_t drains) {
    for (std::size_t i = member.drains; i < drains; ++i) {
      member.directory.Put(Server(ready_[i], true), member.current_at);
    }
    member.drains = std::max(member.drains, drains);
  }
  static void ConfirmCurrent(Member& member, TimePoint at) {
    member.current_at = std::max(member.current_at, at);
  }

  static void HearOfAnswer(Member& member, TimePoint at) {
    member.store_answered_at = std::max(member.store_answered_at, at);
  }

  void WatchAsLeader(bool changed_before) {
    Member& leader = *members_[0];
    const TimePoint sent = now_;
    const bool faulty = now_ >= kFaultsBegin && now_ < kFaultsEnd;
    if (faulty && (options_.leader_loses_store || options_.store_is_lost)) {
      At(now_ + kShortWatchWait + kProbeTimeout, [this] {
        members_[0]->store_failed_at = now_;
        leader_lost_store_ = true;
        ScheduleHeartbeats();
        WatchAsLeader(false);
      });
      return;
    }
    leader_lost_store_ = false;
    const Duration wait =
        changed_before ? kShortWatchWait / 2 : kShortWatchWait;
    const TimePoint end = std::min(NextChange(leader), sent + wait);
    const bool changed = end < sent + wait;
    At(end + kNetworkDelay, [this, sent, wait, changed] {
      Member& member = *members_[0];
      HearOfAnswer(member, now_);
      Apply(member, DrainsAt(now_ - kNetworkDelay / 2));
      ConfirmCurrent(member, changed ? sent : sent + wait);
      if (changed) {
        ScheduleHeartbeats();
      }
      At(now_ + (changed ? kBatchDelay : milliseconds(0)),
         [this, changed] { WatchAsLeader(changed); });
    });
  }

  [[nodiscard]] Status LeaderStatus() const {
    const Member& leader = *members_[0];
    return {leader.drains, leader.current_at, leader_lost_store_,
            HaveMostLostStore(leader), now_};
  }

  static StoreContact ContactOf(const Member& member) {
    return {member.current_at, member.store_failed_at,
            member.store_answered_at};
  }
  [[nodiscard]] bool HaveMostLostStore(const Member& member) const {
    return member.chooser.DoMostReportLoss(ContactOf(member), now_);
  }

  // The leader tells of a change: first the mirrors and the members without
  // one, later the others.
  void ScheduleHeartbeats() {
    if (heartbeats_due_ > now_) {
      return;
    }
    heartbeats_due_ = std::max(now_, next_heartbeats_);
    At(heartbeats_due_, [this] {
      next_heartbeats_ =
          now_ + std::max<Duration>(milliseconds(40),
                                    milliseconds(2) * members_.size());
      heartbeats_due_ = {};
      SendHeartbeats(false, LeaderStatus());
      At(now_ + kMirrorHeadStart, [this, status = LeaderStatus()] {
        mirrored_status_ = status;
        SendHeartbeats(true, status);
      });
    });
  }
  void SendHeartbeats(bool mirrored, Status status) {
    for (std::size_t i = 1; i < members_.size(); ++i) {
      if (members_[i]->mirror.has_value() == mirrored) {
        SendHeartbeat(i, status);
      }
    }
  }
  void SendHeartbeat(std::size_t index, Status status) {
    const auto time =
        ResponseTime(*members_[index], Hop::kHeartbeat, kNetworkDelay);
    if (time) {
      At(now_ + *time + RandomDelay(options_.max_loop_delay),
         [this, index, status] { OnHeartbeat(index, status); });
    }
  }
  // The response to a Hello.
  void SendHello(std::size_t index) {
    At(LoopTime() + hello_period_, [this, index] { SendHello(index); });
    const Status status = LeaderStatus();
    const bool told = mirrored_status_.drains == status.drains;
    SendHeartbeat(index,
                  !members_[index]->mirror || told ? status : mirrored_status_);
  }

  void OnHeartbeat(std::size_t index, Status status) {
    Member& member = *members_[index];
    member.leader_last_seen = now_;
    member.chooser.OnLeaderHeartbeat(status.store_lost, now_);
    if (status.most_lost_store) {
      member.chooser.OnMajorityStated(status.sent_at);
    } else {
      member.chooser.OnNoMajorityStated();
    }
    NameMembers(index);
    HearOfAnswer(member, status.current_at);
    if (member.drains >= status.drains) {
      ConfirmCurrent(member, status.current_at);
      return;
    }
    if (std::exchange(member.fetching, true)) {
      return;
    }
    if (!member.mirror || now_ < member.mirror_avoided_until) {
      FetchFrom(member, *members_[0], Hop::kLeader, kRelayTimeout, status, {});
      return;
    }
    FetchFrom(member, *members_[*member.mirror], Hop::kMirror, kMirrorTimeout,
              status, [this, &member, status] {
                member.mirror_avoided_until = now_ + kMirrorAvoidance;
                FetchFrom(member, *members_[0], Hop::kLeader, kRelayTimeout,
                          status, {});
              });
  }
  // Fetches the changes from another member; calls `otherwise` if it has failed
  // to.
  void FetchFrom(Member& member,
                 const Member& source,
                 Hop hop,
                 Duration timeout,
                 Status status,
                 std::function<void()> otherwise) {
    Call(member, hop, 2 * kNetworkDelay + member.list_time / 10, timeout,
         [this, &member, &source, status,
          otherwise = std::move(otherwise)](bool answered) {
           if (answered) {
             Apply(member, source.drains);
           }
           if (answered && member.drains >= status.drains) {
             ConfirmCurrent(member, status.current_at);
           } else if (otherwise) {
             otherwise();
             return;
           }
           member.fetching = false;
         });
  }

  static std::string AddressOf(std::size_t index) {
    return std::to_string(index);
  }
  // Tells member `index` of the leader and the members that it names.
  void NameMembers(std::size_t index) {
    std::vector<std::string> named;
    if (index != 0) {
      named.push_back(AddressOf(0));
    }
    for (const std::size_t it : peers_) {
      if (it != index) {
        named.push_back(AddressOf(it));
      }
    }
    members_[index]->chooser.OnMembers(named, now_);
  }

  // The housekeeping of a member.
  void Check(std::size_t index) {
    Member& member = *members_[index];
    At(LoopTime() + kHousekeepingPeriod, [this, index] { Check(index); });
    const bool leads = index == 0;
    if (leads) {
      NameMembers(index);
    }
    member.source = member.chooser.Choose(
        {.leads = leads,
         .leader_last_seen = member.leader_last_seen,
         .rank = member.rank,
         .heartbeat_period = hello_period_,
         .members = static_cast<std::uint32_t>(members_.size())},
        kStart, member.current_at, now_);
    if (member.chooser.AsksPeers() &&
        now_ >= member.polled_at + kPeerPollPeriod) {
      PollPeers(member);
    }
    if (member.source == CopySource::kStore && !leads) {
      ReadStore(member, true);
    }
  }

  void PollPeers(Member& member) {
    member.polled_at = now_;
    const std::vector<std::string> peers = member.chooser.Reporters();
    if (!std::ranges::is_permutation(peers, member.peers_to_ask)) {
      member.peers_to_ask = peers;
      std::shuffle(member.peers_to_ask.begin(), member.peers_to_ask.end(),
                   random_);
    }
    const bool calls_fail = member.store_failed_at > member.current_at;
    const std::size_t n = calls_fail && member.chooser.is_reader()
                              ? kPolledPeersOfReader
                              : kPolledPeers;
    for (std::size_t i = 0; i < std::min(n, peers.size()); ++i) {
      const std::string address = member.peers_to_ask.front();
      std::rotate(member.peers_to_ask.begin(), member.peers_to_ask.begin() + 1,
                  member.peers_to_ask.end());
      const Member& peer = *members_[std::stoul(address)];
      const Hop hop = &peer == members_[0].get() ? Hop::kLeader : Hop::kPeer;
      Call(
          member, hop, 2 * kNetworkDelay, kPeerTimeout,
          [this, &member, &peer, hop, address, asked_at = now_](bool answered) {
            if (answered) {
              OnPeerStatus(member, peer, hop, address, asked_at);
            }
          });
    }
  }
  void OnPeerStatus(Member& member,
                    const Member& peer,
                    Hop hop,
                    const std::string& address,
                    TimePoint asked_at) {
    member.chooser.OnReport(address, peer.store_failed_at > peer.current_at,
                            asked_at);
    if (HaveMostLostStore(peer)) {
      member.chooser.OnMajorityStated(asked_at);
    }
    const Status status{peer.drains, std::min(peer.current_at, asked_at)};
    HearOfAnswer(member, std::min(peer.store_answered_at, asked_at));
    if (member.drains >= status.drains) {
      ConfirmCurrent(member, status.current_at);
      return;
    }
    if (!std::exchange(member.fetching, true)) {
      FetchFrom(member, peer, hop, kMirrorTimeout, status, {});
    }
  }

  // Lists the store, and watches it as long as that is the source.
  void ReadStore(Member& member, bool list) {
    if (std::exchange(member.reading_store, true)) {
      return;
    }
    const TimePoint sent = now_;
    const Duration wait =
        list ? Duration(0) : Duration(member.chooser.EntriesWatchWait());
    const TimePoint end = std::min(NextChange(member), sent + wait);
    const bool changed = end < sent + wait;
    const Duration usual =
        kNetworkDelay + (list ? Duration(member.list_time) : end - sent);
    const bool probes = member.chooser.leader_lost_store() ||
                        member.store_failed_at > member.store_answered_at;
    const Duration timeout = probes ? kProbeTimeout
                             : list ? kListTimeout
                                    : wait + milliseconds(700);
    Call(member, Hop::kStore, usual, timeout,
         [this, &member, sent, wait, changed](bool answered) {
           member.reading_store = false;
           if (answered) {
             HearOfAnswer(member, now_);
             Apply(member,
                   DrainsAt(changed ? now_ - kNetworkDelay : sent + wait));
             ConfirmCurrent(member, changed ? sent : sent + wait);
           } else {
             member.store_failed_at = now_;
           }
           const Duration pause = !answered ? kRetryDelay
                                  : changed ? kBatchDelay
                                            : milliseconds(0);
           At(now_ + pause, [this, &member, answered] {
             if (member.source == CopySource::kStore) {
               ReadStore(member, !answered);
             }
           });
         });
  }

  void SendRequest(std::size_t index) {
    Member& member = *members_[index];
    At(LoopTime() + kSendPeriod, [this, index] { SendRequest(index); });
    const auto key =
        std::uniform_int_distribution<std::uint32_t>(0, kServers - 1)(random_);
    const bool keyed = key % 2 == 1;
    const ServerChoice choice = Choose(member, keyed, key * kKeysPerServer);
    if (choice.server != nullptr) {
      OnSent(choice.server->id);
    }
    result_.refused += choice.reason == Reason::kOutdated ? 1 : 0;
  }

  ServerChoice Choose(const Member& member, bool keyed, std::uint32_t key) {
    static const routing::Route route = [] {
      routing::Route it;
      it.timeout = seconds(2);
      it.latency_objective = milliseconds(600);
      return it;
    }();
    static const routing::Service plain{.name = "plain"};
    static const routing::Service keyed_service{.name = "keyed", .keyed = true};
    static const OwnershipView ownership = Ownership();
    static const std::vector<ServerId> tried;
    static const ZoneName zone("z0");
    static const ZoneEvacuations no_evacuations{Duration(0)};
    return ChooseServer(
        {.route = route,
         .service = keyed ? keyed_service : plain,
         .key = key,
         .tried = tried,
         .time_left = seconds(2),
         .zone = zone},
        {member.directory, member.loads, member.limits, ownership, drain_bound_,
         EntriesOf(member), no_evacuations},
        now_);
  }

  [[nodiscard]] EntriesStatus EntriesOf(const Member& member) const {
    return {.current_at = member.current_at,
            .store_lost = member.chooser.IsStoreLost(ContactOf(member), now_),
            .store_answered_at = member.store_answered_at};
  }

  // Each server owns the keys that follow the multiple of kKeysPerServer with
  // its number.
  static OwnershipView Ownership() {
    keyspace::OwnershipTable table;
    for (std::size_t i = 0; i < kServers; ++i) {
      const auto first = static_cast<std::uint32_t>(i) * kKeysPerServer;
      const auto last = i + 1 == kServers ? keyspace::kKeyCount - 1
                                          : first + kKeysPerServer - 1;
      table.ranges.push_back(
          {{first, last},
           {ServerId(ServerName(i)), Incarnation(1), Token(1)},
           {}});
    }
    OwnershipView view;
    view.Put("keyed", 1, std::move(table));
    return view;
  }

  void OnSent(const ServerId& server) {
    ++result_.sends;
    const auto number = std::stoul(server.value().substr(1));
    const TimePoint arrival = now_ + kNetworkDelay;
    if (arrival <= acks_[number] || arrival - acks_[number] <= options_.drain) {
      return;
    }
    ++result_.late_sends;
    result_.latest =
        std::max<Duration>(result_.latest, arrival - acks_[number]);
  }

  const Options options_;
  const DrainBound drain_bound_;
  std::mt19937 random_;
  std::multimap<TimePoint, std::function<void()>> events_;
  TimePoint now_ = kStart;
  const std::chrono::milliseconds hello_period_;
  std::vector<std::unique_ptr<Member>> members_;
  // The members that others may ask for copies.
  std::vector<std::size_t> peers_;
  // The servers in the order in which they drain; the last ones do not.
  std::vector<std::size_t> ready_;
  // When the store acknowledges the drains, in this order and by server.
  std::vector<TimePoint> drains_;
  std::vector<TimePoint> acks_;
  TimePoint heartbeats_due_{};
  TimePoint next_heartbeats_{};
  Status mirrored_status_{0, kStart};
  bool leader_lost_store_ = false;
  Result result_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_FLEET_COPIES_SIM_H_
