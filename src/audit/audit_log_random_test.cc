// Several writers append at once while the store fails, loses answers and lets
// writes take effect late: each entry stands in the trail exactly once.
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
constexpr int kTurns = 2500;

class AppendRun {
 public:
  explicit AppendRun(unsigned seed) : random_(seed) {
    for (int i = 0; i < kWriters; ++i) {
      writers_.emplace_back("w" + std::to_string(i));
    }
  }

  void Run() {
    for (int turn = 0; turn < kTurns; ++turn) {
      now_ += std::chrono::milliseconds(Pick(50));
      AddSome(Pick(kWriters));
      Step(Pick(kWriters), true);
      LandLateWrite();
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
  int Pick(int bound) {
    return std::uniform_int_distribution<int>(0, bound - 1)(random_);
  }

  void AddSome(int who) {
    for (int i = Pick(4); i > 0; --i) {
      Entry entry;
      entry.kind = "drain";
      entry.key = std::to_string(++added_);
      writers_[who].Add(std::move(entry));
    }
  }

  void Step(int who, bool faults) {
    const auto call = writers_[who].Poll(now_);
    if (!call) {
      return;
    }
    const int dice = faults ? Pick(10) : 9;
    if (dice == 0 && call->kind == store::CallKind::kWrite) {
      late_.push_back(*call);
      writers_[who].OnReply({store::Status::kUnknown}, now_);
      return;
    }
    const Fault fault = dice == 1   ? Fault::kDown
                        : dice == 2 ? Fault::kLostBefore
                        : dice == 3 ? Fault::kLostAfterwards
                                    : Fault::kNone;
    writers_[who].OnReply(store_.Make(*call, fault), now_);
  }

  void LandLateWrite() {
    if (late_.empty() || Pick(6) != 0) {
      return;
    }
    store_.Make(late_.front());
    late_.pop_front();
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
  std::deque<store::Call> late_;
  int added_ = 0;
};

TEST_CASE("every entry stands in the trail exactly once") {
  for (unsigned seed = 1; seed <= 15; ++seed) {
    CAPTURE(seed);
    AppendRun(seed).Run();
  }
}

}  // namespace
}  // namespace gentianreach::audit
