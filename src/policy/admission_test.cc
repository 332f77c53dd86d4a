#include "policy/admission.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace gentianreach {
namespace {

using settings::Priority;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

using FixedAdmission = Admission<FixedLimiter>;

QueuedRequest MakeRequest(std::uint64_t id,
                          Priority priority = Priority::Normal,
                          std::uint64_t caller = 0,
                          Duration time_left = seconds(10)) {
  return {id, caller, priority, kStart + time_left};
}

// Returns an admission with one slot, occupied by request 1.
FixedAdmission MakeFullAdmission(AdmissionOptions options = {}) {
  FixedAdmission admission(options, FixedLimiter(1));
  REQUIRE(admission.Offer(MakeRequest(1), kStart).state ==
          AdmissionState::kSend);
  return admission;
}

std::uint64_t FinishAndGetNextSent(FixedAdmission& admission,
                                   std::uint64_t running) {
  admission.Finish(running, AttemptEnd::kAnswered, kStart + milliseconds(10));
  const auto decisions = admission.Poll(kStart + milliseconds(10));
  REQUIRE(decisions.size() == 1);
  REQUIRE(decisions[0].state == AdmissionState::kSend);
  return decisions[0].request;
}

TEST_CASE("a request whose deadline the queue cannot meet is refused at once") {
  FixedAdmission admission = MakeFullAdmission();
  for (std::uint64_t id = 2; id < 10; ++id) {
    REQUIRE(admission.Offer(MakeRequest(id), kStart).state ==
            AdmissionState::kQueued);
  }
  const auto late = admission.Offer(
      MakeRequest(10, Priority::Normal, 0, milliseconds(50)), kStart);
  CHECK(late.state == AdmissionState::kRefused);
  CHECK(late.reason == Reason::kDeadline);
  const auto in_time = admission.Offer(
      MakeRequest(11, Priority::Normal, 0, milliseconds(150)), kStart);
  CHECK(in_time.state == AdmissionState::kQueued);
}

TEST_CASE("a queued request is refused shortly before its deadline") {
  FixedAdmission admission = MakeFullAdmission();
  static_cast<void>(admission.Offer(
      MakeRequest(2, Priority::Normal, 0, milliseconds(50)), kStart));
  const auto due = admission.NextDeadline(kStart);
  REQUIRE(due);
  CHECK(*due < kStart + milliseconds(50));
  const auto decisions = admission.Poll(*due);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].reason == Reason::kDeadline);
}

TEST_CASE("requests of higher priority are sent first") {
  FixedAdmission admission = MakeFullAdmission();
  static_cast<void>(admission.Offer(MakeRequest(2, Priority::Low), kStart));
  static_cast<void>(admission.Offer(MakeRequest(3, Priority::Normal), kStart));
  static_cast<void>(admission.Offer(MakeRequest(4, Priority::High), kStart));
  CHECK(FinishAndGetNextSent(admission, 1) == 4);
  CHECK(FinishAndGetNextSent(admission, 4) == 3);
  CHECK(FinishAndGetNextSent(admission, 3) == 2);
}

TEST_CASE("a full queue sheds the lowest priority to admit a higher one") {
  FixedAdmission admission = MakeFullAdmission({.max_queued = 2});
  static_cast<void>(admission.Offer(MakeRequest(2, Priority::Normal), kStart));
  static_cast<void>(admission.Offer(MakeRequest(3, Priority::Low), kStart));
  CHECK(admission.Offer(MakeRequest(4, Priority::High), kStart).state ==
        AdmissionState::kQueued);
  const auto decisions = admission.Poll(kStart);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].request == 3);
  CHECK(decisions[0].reason == Reason::kOverload);
  CHECK(admission.Offer(MakeRequest(5, Priority::Low), kStart).state ==
        AdmissionState::kRefused);
}

TEST_CASE("callers of the same priority are served round-robin") {
  FixedAdmission admission = MakeFullAdmission();
  for (std::uint64_t id = 2; id < 8; ++id)
    static_cast<void>(
        admission.Offer(MakeRequest(id, Priority::Normal, 1), kStart));
  static_cast<void>(
      admission.Offer(MakeRequest(8, Priority::Normal, 2), kStart));
  CHECK(FinishAndGetNextSent(admission, 1) == 2);
  CHECK(FinishAndGetNextSent(admission, 2) == 8);
  CHECK(FinishAndGetNextSent(admission, 8) == 3);
}

TEST_CASE("a full queue sheds requests of the caller with the most queued") {
  FixedAdmission admission = MakeFullAdmission({.max_queued = 3});
  for (std::uint64_t id = 2; id < 5; ++id)
    static_cast<void>(
        admission.Offer(MakeRequest(id, Priority::Normal, 1), kStart));
  CHECK(admission.Offer(MakeRequest(5, Priority::Normal, 1), kStart).state ==
        AdmissionState::kRefused);
  CHECK(admission.Offer(MakeRequest(6, Priority::Normal, 2), kStart).state ==
        AdmissionState::kQueued);
  const auto decisions = admission.Poll(kStart);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].request == 4);
}

TEST_CASE("the retry time grows with the queue length") {
  FixedAdmission admission = MakeFullAdmission({.max_queued = 20});
  const TimePoint empty = admission.RetryAt(kStart);
  for (std::uint64_t id = 2; id < 22; ++id)
    static_cast<void>(admission.Offer(MakeRequest(id), kStart));
  const auto refused = admission.Offer(MakeRequest(30), kStart);
  CHECK(refused.state == AdmissionState::kRefused);
  CHECK(refused.retry_at >= empty + milliseconds(200));
}

TEST_CASE("a request whose expected wait exceeds max_wait is refused") {
  FixedAdmission admission = MakeFullAdmission({.max_wait = milliseconds(100)});
  std::uint64_t id = 2;
  while (admission.Offer(MakeRequest(id), kStart).state ==
         AdmissionState::kQueued)
    ++id;
  CHECK(admission.queued() == 10);
}

TEST_CASE("a cancelled queued request is never sent") {
  FixedAdmission admission = MakeFullAdmission();
  static_cast<void>(admission.Offer(MakeRequest(2), kStart));
  static_cast<void>(admission.Offer(MakeRequest(3), kStart));
  CHECK(admission.Cancel(2));
  CHECK_FALSE(admission.Cancel(2));
  CHECK(FinishAndGetNextSent(admission, 1) == 3);
}

TEST_CASE("an attempt that the server shed frees its slot") {
  FixedAdmission admission = MakeFullAdmission();
  static_cast<void>(admission.Offer(MakeRequest(2), kStart));
  admission.Finish(1, AttemptEnd::kShed, kStart);
  CHECK(admission.Poll(kStart).size() == 1);
  CHECK(admission.in_flight() == 1);
}

}  // namespace
}  // namespace gentianreach
