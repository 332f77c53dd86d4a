// Concurrent changes by several operators in a store that fails, loses requests
// and replies, and applies some writes late.
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>

#include "settings/document.h"
#include "settings/settings_store.h"
#include "store/fake_store.h"

namespace gentianreach::settings {
namespace {

using Fault = store::FakeStore::Fault;

constexpr int kOperators = 4;
constexpr int kSteps = 3000;
constexpr TimePoint kStart{std::chrono::hours(1)};

struct Operator {
  ChangeRequest request;
  SettingsChange change;
};

// Several operators, each making one change after another, concurrently.
class OperatorsRun {
 public:
  explicit OperatorsRun(unsigned seed) : random_(seed) {}

  void Run() {
    for (int i = 0; i < kOperators; ++i) {
      operators_.push_back(Begin(i));
    }
    for (int step = 0; step < kSteps; ++step) {
      now_ += std::chrono::milliseconds(PickBelow(40));
      ApplyDelayedWrite(false);
      Step(PickBelow(kOperators));
    }
    while (!delayed_writes_.empty()) {
      ApplyDelayedWrite(true);
    }
    CheckOutcomes();
  }

  int accepted = 0;
  int conflicts = 0;
  int unknown = 0;

 private:
  int PickBelow(int bound) {
    return std::uniform_int_distribution<int>(0, bound - 1)(random_);
  }

  Operator Begin(int index) {
    ChangeRequest request;
    // Two branches, so that concurrent changes are sometimes to the same branch
    // and sometimes to different ones.
    request.path = index % 2 == 0 ? "limits/max_header" : "services/a/slots";
    request.value =
        std::to_string(2 + PickBelow(8)) + (index % 2 == 0 ? "KiB" : "");
    request.merge = PickBelow(2) == 0;
    request.write_id = std::to_string(++last_id_);
    return {request, SettingsChange(request, now_ + std::chrono::seconds(3))};
  }

  void Step(int index) {
    Operator& it = operators_[index];
    if (it.change.result()) {
      outcomes_[it.request.write_id] = *it.change.result();
      it = Begin(index);
    }
    const auto call = it.change.Poll(now_);
    if (!call) {
      return;
    }
    it.change.OnReply(Make(*call), now_);
  }

  store::Reply Make(const store::Call& call) {
    const bool write = call.kind == store::CallKind::kWrite;
    if (write && PickBelow(10) == 0) {
      delayed_writes_.push_back(call);
      return {store::Status::kUnknown};
    }
    const int roll = PickBelow(12);
    const Fault fault = roll == 0   ? Fault::kDown
                        : roll == 1 ? Fault::kRequestLost
                        : roll == 2 ? Fault::kReplyLost
                                    : Fault::kNone;
    return Record(call, fault);
  }

  // Makes the call and records every version of the settings that is accepted.
  store::Reply Record(const store::Call& call, Fault fault) {
    const std::uint64_t before = store_.revision();
    store::Reply reply = store_.Make(call, fault);
    if (store_.revision() != before && call.name == kCurrentName) {
      versions_.push_back(*Decode(call.bytes));
    }
    return reply;
  }

  void ApplyDelayedWrite(bool always) {
    if (delayed_writes_.empty() || (!always && PickBelow(8) != 0)) {
      return;
    }
    const store::Call call = delayed_writes_.front();
    delayed_writes_.pop_front();
    Record(call, Fault::kNone);
  }

  void CheckOutcomes() {
    std::map<std::string, int> times;
    for (std::size_t i = 0; i < versions_.size(); ++i) {
      REQUIRE(versions_[i].number == i + 1);
      ++times[versions_[i].write_id];
    }
    for (const auto& [id, result] : outcomes_) {
      const int count = times.contains(id) ? times[id] : 0;
      CHECK(count <= 1);
      switch (result.outcome) {
        case ChangeOutcome::kAccepted:
          ++accepted;
          CHECK(count == 1);
          CHECK(versions_[result.version - 1].write_id == id);
          break;
        case ChangeOutcome::kUnknown:
          ++unknown;
          break;
        case ChangeOutcome::kConflict:
          ++conflicts;
          [[fallthrough]];
        default:
          CHECK(count == 0);
      }
    }
    CheckNoChangeLost();
  }

  // Checks that every version changes only the key that its change set.
  void CheckNoChangeLost() {
    for (std::size_t i = 1; i < versions_.size(); ++i) {
      const auto changes = Compare(versions_[i - 1].text, versions_[i].text);
      const auto keys = std::ranges::count_if(
          changes, [](const Difference& it) { return it.path[0] != '['; });
      CHECK(keys <= 1);
    }
  }

  std::mt19937 random_;
  TimePoint now_ = kStart;
  store::FakeStore store_;
  std::vector<Operator> operators_;
  std::deque<store::Call> delayed_writes_;
  std::vector<stored::SettingsVersionT> versions_;
  std::map<std::string, ChangeResult> outcomes_;
  int last_id_ = 0;
};

TEST_CASE(
    "reported outcomes match the store under concurrent changes and faults") {
  int accepted = 0;
  int conflicts = 0;
  int unknown = 0;
  for (unsigned seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    OperatorsRun run(seed);
    run.Run();
    accepted += run.accepted;
    conflicts += run.conflicts;
    unknown += run.unknown;
  }
  // The runs must have covered these outcomes.
  CHECK(accepted > 100);
  CHECK(conflicts > 10);
  CHECK(unknown > 0);
}

}  // namespace
}  // namespace gentianreach::settings
