#include "keyspace/server_fences.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace gentianreach::keyspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(seconds(1000));
const TimePoint kRetryAt = kStart + milliseconds(400);
const TimePoint kGiveUpAt = kStart + seconds(60);
const ServerId kServer("a");
const std::string kAddress = "a:1";

// Returns whether the fence of kServer is due at `now`.
bool IsDue(ServerFences& fences, TimePoint now) {
  return !fences.TakeDue(now).empty();
}

TEST_CASE("a server that is connected is fenced once") {
  ServerFences fences;
  fences.OnConnected(kServer, kAddress, kGiveUpAt);
  CHECK(fences.next_at() <= kStart);
  const auto due = fences.TakeDue(kStart);
  REQUIRE(due.size() == 1);
  CHECK(due[0].server == kServer);
  CHECK(due[0].address == kAddress);
  fences.OnSent(kServer, {1, 2}, kRetryAt);
  CHECK(fences.IsSending(kServer));
  CHECK(fences.OnReply(1, ServerFences::Reply::kDone) == kServer);
  CHECK(fences.IsSending(kServer));
  CHECK(fences.OnReply(2, ServerFences::Reply::kDone) == kServer);
  CHECK_FALSE(fences.IsSending(kServer));
  CHECK_FALSE(IsDue(fences, kStart + seconds(10)));
  CHECK(fences.next_at() == TimePoint::max());
}

TEST_CASE("a fence without a response is repeated") {
  ServerFences fences;
  fences.OnConnected(kServer, kAddress, kGiveUpAt);
  fences.OnSent(kServer, {1, 2}, kRetryAt);
  fences.OnReply(1, ServerFences::Reply::kDone);
  fences.OnReply(2, ServerFences::Reply::kUnknown);
  CHECK_FALSE(IsDue(fences, kRetryAt - milliseconds(1)));
  CHECK(fences.next_at() == kRetryAt);
  CHECK(IsDue(fences, kRetryAt));
}

TEST_CASE("a server whose lease is over is fenced until it responds") {
  ServerFences fences;
  fences.OnLeaseOver(kServer, kAddress, kGiveUpAt);
  CHECK(IsDue(fences, kStart));
  fences.OnSent(kServer, {1}, kRetryAt);
  fences.OnReply(1, ServerFences::Reply::kUnknown);
  CHECK_FALSE(IsDue(fences, kRetryAt - milliseconds(1)));
  CHECK(fences.Addresses().contains(kAddress));
  SUBCASE("also when it is connected") {
    fences.OnConnected(kAddress);
    CHECK(IsDue(fences, kRetryAt));
  }
  SUBCASE("or its time is over") {
    CHECK(IsDue(fences, kGiveUpAt - milliseconds(1)));
    CHECK_FALSE(IsDue(fences, kGiveUpAt));
    CHECK(fences.Addresses().empty());
  }
  SUBCASE("or its process has ended") {
    fences.Remove(kServer);
    CHECK(fences.Addresses().empty());
  }
}

// Guards against fences without a pause: connections that are accepted and then
// reset.
TEST_CASE("a server that is connected over and over is not fenced more often") {
  ServerFences fences;
  fences.OnConnected(kServer, kAddress, kGiveUpAt);
  fences.OnSent(kServer, {1}, kRetryAt);
  fences.OnConnected(kServer, kAddress, kGiveUpAt);
  fences.OnReply(1, ServerFences::Reply::kUnknown);
  fences.OnConnected(kServer, kAddress, kGiveUpAt);
  CHECK_FALSE(IsDue(fences, kRetryAt - milliseconds(1)));
  CHECK(IsDue(fences, kRetryAt));
}

TEST_CASE("a fence that was sent without a connection is repeated on one") {
  ServerFences fences;
  fences.OnLeaseOver(kServer, kAddress, kGiveUpAt);
  fences.OnSent(kServer, {1}, kRetryAt);
  fences.OnConnected(kAddress);
  CHECK(fences.next_at() <= kStart);
  CHECK(IsDue(fences, kStart));
  fences.OnSent(kServer, {2}, kRetryAt);
  SUBCASE("and no more when it has been answered") {
    CHECK(fences.OnReply(2, ServerFences::Reply::kDone) == kServer);
    CHECK(fences.IsSending(kServer));
    CHECK(fences.OnReply(1, ServerFences::Reply::kUnknown) == kServer);
    CHECK_FALSE(fences.IsSending(kServer));
    CHECK_FALSE(IsDue(fences, kRetryAt));
  }
  SUBCASE("and after the usual time from then on") {
    fences.OnConnected(kAddress);
    CHECK_FALSE(IsDue(fences, kRetryAt - milliseconds(1)));
    CHECK(IsDue(fences, kRetryAt));
  }
}

TEST_CASE("a fence with orders on their way needs no further orders") {
  ServerFences fences;
  fences.OnLeaseOver(kServer, kAddress, kGiveUpAt);
  fences.OnSent(kServer, {1}, kRetryAt);
  fences.OnConnected(kAddress);
  fences.OnSent(kServer, {}, kRetryAt);
  CHECK(fences.Addresses().empty());
  CHECK(fences.IsSending(kServer));
  CHECK(fences.OnReply(1, ServerFences::Reply::kUnknown) == kServer);
  CHECK_FALSE(fences.IsSending(kServer));
}

TEST_CASE("a server without keys of others needs no orders") {
  ServerFences fences;
  fences.OnLeaseOver(kServer, kAddress, kGiveUpAt);
  fences.OnSent(kServer, {}, kRetryAt);
  CHECK_FALSE(IsDue(fences, kStart));
  CHECK(fences.Addresses().empty());
}

TEST_CASE("an order that belongs to no fence is not known") {
  ServerFences fences;
  CHECK_FALSE(fences.OnReply(1, ServerFences::Reply::kDone).has_value());
}

}  // namespace
}  // namespace gentianreach::keyspace
