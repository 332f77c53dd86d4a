#include "cell/permit.h"

#include <doctest/doctest.h>

namespace gentianreach::cell {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart{std::chrono::hours(1)};
constexpr ViewVersion kView{4};

Permit PermitOf(const std::vector<std::string>& members) {
  Permit permit;
  permit.SetTiming(800ms, 10s);
  permit.SetView(kView, members, "a");
  permit.OnStoreContact(kStart);
  return permit;
}

TEST_CASE("a permit lasts from the oldest of the newest n - f heartbeats") {
  Permit permit = PermitOf({"a", "b", "c", "d"});
  permit.OnSent(1, kStart);
  permit.OnSent(2, kStart + 100ms);
  permit.OnAccepted("b", kView, 2);
  CHECK_FALSE(permit.Valid(kStart));
  // One of four members may be lost, so two others have to accept.
  permit.OnAccepted("c", kView, 1);
  CHECK(permit.Deadline(kStart) == kStart + 800ms);
  permit.OnAccepted("d", kView, 2);
  CHECK(permit.Deadline(kStart) == kStart + 900ms);
}

TEST_CASE("acks of another view or from non-members do not extend a permit") {
  Permit permit = PermitOf({"a", "b"});
  permit.OnSent(1, kStart);
  permit.OnAccepted("b", ViewVersion(3), 1);
  permit.OnAccepted("x", kView, 1);
  CHECK_FALSE(permit.Valid(kStart));
  // A heartbeat of the older view does not count in the newer one.
  permit.SetView(kView.Next(), {"a", "b"}, "a");
  permit.OnAccepted("b", kView.Next(), 1);
  CHECK_FALSE(permit.Valid(kStart));
}

TEST_CASE("a permit ends one hold-over after the last store contact") {
  Permit permit = PermitOf({"a"});
  CHECK(permit.Valid(kStart + 9999ms));
  CHECK_FALSE(permit.Valid(kStart + 10s));
}

TEST_CASE("a daemon that is not a member has no permit") {
  Permit permit = PermitOf({"a", "b"});
  permit.OnSent(1, kStart);
  permit.OnAccepted("b", kView, 1);
  REQUIRE(permit.Valid(kStart));
  permit.SetView(kView.Next(), {"b", "c"}, "a");
  CHECK_FALSE(permit.Valid(kStart));
}

}  // namespace
}  // namespace gentianreach::cell
