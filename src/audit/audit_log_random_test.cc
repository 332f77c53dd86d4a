// Several writers append concurrently to a store that fails, loses requests and
// replies, and applies some writes late. Each entry must be in the trail
// exactly once.
#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <random>

#include "audit/audit_log.h"
#include "store/fake_store.h"

namespace gentianreach::audit {
namespace {

using Fault = store::FakeStore::Fault;

constexpr int kWriters = 3;
constexpr int kSteps = 2500;

class AppendRun {
 public:
  explicit AppendRun(unsigned seed) : random_(seed) {
    for (int i = 0; i < kWriters; ++i) {
      writers_.emplace_back("w" + std::to_string(i));
    }
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      now_ += std::chrono::milliseconds(PickBelow(50));
      AddEntries(PickBelow(kWriters));
      Step(PickBelow(kWriters), true);
      ApplyDelayedWrite();
    }
    while (Pending()) {
      now_ += std::chrono::seconds(3);
      for (int i = 0; i < kWriters; ++i) {
        Step(i, false);
      }
    }
    Check();
  }

 private:
  int PickBelow(int bound) {
    return std::uniform_int_distribution<int>(0, bound - 1)(random_);
  }

  void AddEntries(int index) {
    for (int i = PickBelow(4); i > 0; --i) {
      Entry entry;
      entry.kind = "drain";
      entry.key = std::to_string(++added_);
      writers_[index].Add(std::move(entry));
    }
  }

  void Step(int index, bool faults) {
    const auto call = writers_[index].Poll(now_);
    if (!call) {
      return;
    }
    const int roll = faults ? PickBelow(10) : 9;
    if (roll == 0 && call->kind == store::CallKind::kWrite) {
      delayed_writes_.push_back(*call);
      writers_[index].OnReply({store::Status::kUnknown}, now_);
      return;
    }
    const Fault fault = roll == 1   ? Fault::kDown
                        : roll == 2 ? Fault::kRequestLost
                        : roll == 3 ? Fault::kReplyLost
                                    : Fault::kNone;
    writers_[index].OnReply(store_.Make(*call, fault), now_);
  }

  void ApplyDelayedWrite() {
    if (delayed_writes_.empty() || PickBelow(6) != 0) {
      return;
    }
    store_.Make(delayed_writes_.front());
    delayed_writes_.pop_front();
  }

  [[nodiscard]] bool Pending() const {
    return std::ranges::any_of(
        writers_, [](const AuditAppender& it) { return it.pending() > 0; });
  }

  void Check() {
    std::vector<Segment> segments;
    std::map<std::string, int> seen;
    for (std::uint64_t i = 0; store_.Contains(SegmentName(i)); ++i) {
      segments.push_back(*Decode(store_.Bytes(SegmentName(i))));
      for (const auto& it : segments.back().entries) {
        ++seen[it->key];
      }
    }
    CHECK(Verify(segments).empty());
    CHECK(segments.size() > 3);
    CHECK(seen.size() == static_cast<std::size_t>(added_));
    CHECK(std::ranges::all_of(seen,
                              [](const auto& it) { return it.second == 1; }));
  }

  std::mt19937 random_;
  TimePoint now_{std::chrono::hours(1)};
  store::FakeStore store_;
  std::deque<AuditAppender> writers_;
  std::deque<store::Call> delayed_writes_;
  int added_ = 0;
};

TEST_CASE("each entry is in the trail once despite store faults") {
  for (unsigned seed = 1; seed <= 15; ++seed) {
    CAPTURE(seed);
    AppendRun(seed).Run();
  }
}

}  // namespace
}  // namespace gentianreach::audit
