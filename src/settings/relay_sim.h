// Simulation of the settings relays of several daemons over a fake store and a
// fake network in virtual time, for tests and benchmarks.
#ifndef SRC_SETTINGS_RELAY_SIM_H_
#define SRC_SETTINGS_RELAY_SIM_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "gentianreach/check.h"
#include "peer/frame_codec.h"
#include "settings/settings_relay.h"
#include "settings/stored_version.h"
#include "store/fake_store.h"

namespace gentianreach::settings {

class RelaySim {
 public:
  static constexpr std::size_t kCellSize = 12;

  struct Daemon {
    DaemonId id;
    std::unique_ptr<SettingsRelay> relay;
    int incarnation = 0;
    // Network partition: daemons of different groups cannot reach each other.
    int group = 0;
    bool reaches_store = true;
    TimePoint paused_until;
    // Highest version that was ever active, over all incarnations.
    std::uint64_t highest_active = 0;
    std::uint64_t store_calls = 0;
    std::uint64_t bytes = 0;
  };

  RelaySim(std::size_t daemons, unsigned seed) : random_(seed) {
    daemons_.resize(daemons);
    for (std::size_t i = 0; i < daemons; ++i) {
      daemons_[i].id = DaemonId("d" + std::to_string(10000 + i));
      Start(i);
    }
  }

  RelaySim(const RelaySim&) = delete;
  RelaySim& operator=(const RelaySim&) = delete;

  // Writes the next version, of about `bytes` bytes, to the store.
  void Accept(std::size_t bytes = 0) {
    stored::SettingsVersionT next;
    next.number = accepted_.size() + 1;
    next.text = "[limits]\n" + std::string(bytes, '#') +
                "\nmax_caller_connections = " + std::to_string(next.number) +
                "\n";
    next.digest = DigestOf(next.text);
    next.write_id = std::to_string(next.number);
    accepted_.push_back(next.text);
    store::Call call{store::CallKind::kWrite, std::string(kCurrentName)};
    if (next.number > 1) {
      call.expected = store_.Make({store::CallKind::kRead, call.name}).version;
    }
    call.bytes = Encode(next);
    GENTIANREACH_CHECK(store_.Make(call).status == store::Status::kOk);
    CompleteWatches();
  }

  // Replaces a daemon by a new incarnation without any state, as on a new VM.
  void Restart(std::size_t i) {
    ++daemons_[i].incarnation;
    Start(i);
  }

  void RunFor(Duration duration) {
    const TimePoint end = now_ + duration;
    while (!events_.empty() && events_.begin()->first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = end;
  }

  // Returns whether the newest accepted version is active on every daemon.
  [[nodiscard]] bool AllCurrent() const {
    return std::ranges::all_of(daemons_, [&](const Daemon& it) {
      return it.relay->active_version() &&
             it.relay->active_version()->number == accepted_.size();
    });
  }

  [[nodiscard]] std::uint64_t ActiveVersion(std::size_t i) const {
    const auto& version = daemons_[i].relay->active_version();
    return version ? version->number : 0;
  }
  [[nodiscard]] std::uint64_t accepted() const { return accepted_.size(); }
  [[nodiscard]] std::vector<Daemon>& daemons() { return daemons_; }
  [[nodiscard]] TimePoint now() const { return now_; }
  void set_store_down(bool down) { store_down_ = down; }
  void set_store_delay(Duration delay) { store_delay_ = delay; }
  // Loses one in `loss` messages and store calls at random; 0 loses none.
  void set_loss(int loss) { loss_ = loss; }

 private:
  struct Watch {
    std::size_t daemon;
    int incarnation;
    store::Call call;
  };

  [[nodiscard]] int PickBelow(int bound) {
    return std::uniform_int_distribution<int>(0, bound - 1)(random_);
  }

  void Start(std::size_t i) {
    Daemon& it = daemons_[i];
    it.relay = std::make_unique<SettingsRelay>(it.id, random_(), now_);
    std::vector<DaemonId> cell;
    std::vector<DaemonId> others;
    for (std::size_t k = 0; k < daemons_.size(); ++k) {
      const bool same = k / kCellSize == i / kCellSize;
      (same ? cell : others).emplace_back("d" + std::to_string(10000 + k));
    }
    it.relay->SetMembers(std::move(cell), std::move(others));
    ScheduleTick(i, it.incarnation,
                 std::chrono::milliseconds(1 + PickBelow(100)));
  }

  void ScheduleTick(std::size_t i, int incarnation, Duration in) {
    ScheduleAt(i, incarnation, now_ + in, [this, i, incarnation] {
      daemons_[i].relay->Tick(now_);
      ScheduleTick(i, incarnation, SettingsRelay::kTickInterval);
    });
  }

  // Runs `action` on a daemon at `when`, unless the daemon is replaced before.
  // A paused daemon runs it when it resumes.
  void ScheduleAt(std::size_t i,
                  int incarnation,
                  TimePoint when,
                  std::function<void()> action) {
    events_.emplace(when, [this, i, incarnation, action = std::move(action)] {
      Daemon& it = daemons_[i];
      if (it.incarnation != incarnation) {
        return;
      }
      if (now_ < it.paused_until) {
        ScheduleAt(i, incarnation, it.paused_until, action);
        return;
      }
      action();
      ProcessOutput(i);
    });
  }

  // Sends a daemon's outgoing messages, makes its store call, and checks that
  // its active version is an accepted one and never decreases.
  void ProcessOutput(std::size_t i) {
    Daemon& it = daemons_[i];
    for (RelayMessage& message : it.relay->TakeOutgoing()) {
      Send(i, std::move(message));
    }
    if (auto call = it.relay->PollStore(now_)) {
      ++it.store_calls;
      CallStore(i, *std::move(call));
    }
    const auto& version = it.relay->active_version();
    if (!version) {
      return;
    }
    GENTIANREACH_CHECK(version->number >= it.highest_active);
    GENTIANREACH_CHECK(version->number <= accepted_.size());
    GENTIANREACH_CHECK(version->text == accepted_[version->number - 1]);
    it.highest_active = version->number;
  }

  void Send(std::size_t from, RelayMessage message) {
    const FrameSender sender{"cell", daemons_[from].id, 1};
    daemons_[from].bytes += EncodeFrame(sender, message.message).size();
    const auto to = static_cast<std::size_t>(
        std::stoi(message.to.value().substr(1)) - 10000);
    const bool partitioned = daemons_[from].group != daemons_[to].group;
    if (partitioned || (loss_ != 0 && PickBelow(loss_) == 0)) {
      return;
    }
    const TimePoint when =
        now_ + std::chrono::microseconds(500 + PickBelow(2500));
    auto shared =
        std::make_shared<peer::MessageUnion>(std::move(message.message));
    ScheduleAt(to, daemons_[to].incarnation, when, [this, from, to, shared] {
      daemons_[to].relay->OnMessage(daemons_[from].id, *shared, now_);
    });
  }

  void CallStore(std::size_t i, store::Call call) {
    const int incarnation = daemons_[i].incarnation;
    const bool fails = store_down_ || !daemons_[i].reaches_store ||
                       (loss_ != 0 && PickBelow(loss_) == 0);
    if (fails) {
      ReplyAt(i, incarnation, now_ + std::chrono::milliseconds(200), {});
      return;
    }
    store::Reply reply = store_.Make(call);
    if (call.kind == store::CallKind::kWatch && reply.names.empty()) {
      const TimePoint end = call.deadline;
      const std::uint64_t number = ++last_watch_;
      watches_[number] = {i, incarnation, std::move(call)};
      events_.emplace(end, [this, number] { CompleteWatch(number); });
      return;
    }
    ReplyAt(i, incarnation, now_ + store_delay_, std::move(reply));
  }

  void ReplyAt(std::size_t i,
               int incarnation,
               TimePoint when,
               store::Reply reply) {
    ScheduleAt(i, incarnation, when, [this, i, reply = std::move(reply)] {
      daemons_[i].relay->OnStoreReply(reply, now_);
    });
  }

  void CompleteWatch(std::uint64_t number) {
    const auto it = watches_.find(number);
    if (it == watches_.end()) {
      return;
    }
    const Watch watch = it->second;
    watches_.erase(it);
    const bool reached = !store_down_ && daemons_[watch.daemon].reaches_store;
    ReplyAt(watch.daemon, watch.incarnation, now_ + store_delay_,
            reached ? store_.Make(watch.call) : store::Reply{});
  }

  void CompleteWatches() {
    while (!watches_.empty()) {
      CompleteWatch(watches_.begin()->first);
    }
  }

  std::mt19937 random_;
  TimePoint now_{std::chrono::hours(1)};
  std::vector<Daemon> daemons_;
  store::FakeStore store_;
  std::vector<std::string> accepted_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::map<std::uint64_t, Watch> watches_;
  std::uint64_t last_watch_ = 0;
  bool store_down_ = false;
  Duration store_delay_ = std::chrono::milliseconds(3);
  int loss_ = 0;
};

}  // namespace gentianreach::settings

#endif  // SRC_SETTINGS_RELAY_SIM_H_
