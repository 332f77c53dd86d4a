#include "policy/quarantine.h"

#include <doctest/doctest.h>

#include <string>

namespace gentianreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Fingerprint kCrashing{666};
constexpr Fingerprint kHarmless{1};
const ServerId kFirst("s1");
const ServerId kSecond("s2");
const ServerId kThird("s3");
constexpr Incarnation kIncarnation{10};

// Sends the request and simulates that the server crashes while running it.
void CrashServer(Quarantine& quarantine,
                 Fingerprint fingerprint,
                 const ServerId& server,
                 TimePoint now) {
  quarantine.OnSent(1'000, fingerprint, server, kIncarnation, now);
  quarantine.OnConnectionLost(1'000, now);
  quarantine.OnServerGone(server, kIncarnation, now);
}

void Exchange(Quarantine& from, Quarantine& to, TimePoint now) {
  if (const auto update = from.TakeUpdate())
    to.Merge(*update, now);
}

TEST_CASE("fingerprints differ if any part of the request differs") {
  const ServiceName boats("boats");
  const Fingerprint one = MakeFingerprint(boats, "GET", "/a", DigestBody("x"));
  CHECK(one == MakeFingerprint(boats, "GET", "/a", DigestBody("x")));
  CHECK(one != MakeFingerprint(boats, "GET", "/a", DigestBody("y")));
  CHECK(one != MakeFingerprint(boats, "GET", "/ab", DigestBody("x")));
  CHECK(one != MakeFingerprint(boats, "PUT", "/a", DigestBody("x")));
  CHECK(one !=
        MakeFingerprint(ServiceName("intake"), "GET", "/a", DigestBody("x")));
  CHECK(MakeFingerprint(boats, "GET", "/a", 0) !=
        MakeFingerprint(boats, "GET/", "a", 0));
}

TEST_CASE("a refused connection confirms another daemon's suspicion") {
  Quarantine observer({});
  Quarantine other({});
  for (const ServerId& server : {kFirst, kSecond}) {
    observer.OnSent(1, kCrashing, server, kIncarnation, kStart);
    observer.OnConnectionLost(1, kStart);
  }
  Exchange(observer, other, kStart);
  CHECK(other.Check(kCrashing, kThird, kStart) == QuarantineState::kWait);
  other.OnServerRefused(kThird, kStart + seconds(1));
  CHECK(other.Check(kCrashing, kThird, kStart) == QuarantineState::kWait);
  other.OnServerRefused(kFirst, kStart + seconds(1));
  CHECK(other.Check(kCrashing, kThird, kStart) == QuarantineState::kWait);
  other.OnServerRefused(kSecond, kStart + seconds(1));
  CHECK(other.Check(kCrashing, kThird, kStart) == QuarantineState::kRefused);
}

TEST_CASE("a request is refused after it has crashed two servers") {
  Quarantine quarantine({});
  CrashServer(quarantine, kCrashing, kFirst, kStart);
  CHECK(quarantine.Check(kCrashing, kSecond, kStart) ==
        QuarantineState::kAllowed);
  CrashServer(quarantine, kCrashing, kSecond, kStart);
  CHECK(quarantine.Check(kCrashing, kThird, kStart) ==
        QuarantineState::kRefused);
  CHECK(quarantine.Check(kHarmless, kThird, kStart) ==
        QuarantineState::kAllowed);
}

TEST_CASE("strikes of different daemons add up, and one loss counts once") {
  Quarantine a({});
  Quarantine b({});
  CrashServer(a, kCrashing, kFirst, kStart);
  CrashServer(b, kCrashing, kFirst, kStart);
  Exchange(a, b, kStart);
  CHECK(b.Check(kCrashing, kSecond, kStart) == QuarantineState::kAllowed);
  CrashServer(a, kCrashing, kSecond, kStart);
  Exchange(a, b, kStart);
  CHECK(b.Check(kCrashing, kThird, kStart) == QuarantineState::kRefused);
}

TEST_CASE("two incarnations of one server count as two crashes") {
  Quarantine quarantine({});
  CrashServer(quarantine, kCrashing, kFirst, kStart);
  quarantine.OnSent(1, kCrashing, kFirst, Incarnation(11), kStart);
  quarantine.OnConnectionLost(1, kStart);
  quarantine.OnServerGone(kFirst, Incarnation(11), kStart);
  CHECK(quarantine.Check(kCrashing, kFirst, kStart) ==
        QuarantineState::kRefused);
}

TEST_CASE("a suspicion is sent to other daemons before it is confirmed") {
  Quarantine a({});
  Quarantine b({});
  CrashServer(a, kCrashing, kFirst, kStart);
  Exchange(a, b, kStart);
  a.OnSent(1, kCrashing, kSecond, kIncarnation, kStart);
  a.OnConnectionLost(1, kStart);
  Exchange(a, b, kStart);
  CHECK(b.Check(kCrashing, kThird, kStart) == QuarantineState::kWait);
  a.OnServerGone(kSecond, kIncarnation, kStart);
  Exchange(a, b, kStart);
  CHECK(b.Check(kCrashing, kThird, kStart) == QuarantineState::kRefused);
}

TEST_CASE("a server that froze leaves no crash report") {
  Quarantine quarantine({});
  quarantine.OnSent(1, kHarmless, kFirst, kIncarnation, kStart);
  quarantine.OnAborted(1);
  quarantine.OnServerGone(kFirst, kIncarnation, kStart + seconds(5));
  CHECK(quarantine.List(kStart + seconds(5)).empty());
}

TEST_CASE("a response of the same incarnation withdraws the suspicion") {
  Quarantine a({});
  Quarantine b({});
  a.OnSent(1, kHarmless, kFirst, kIncarnation, kStart);
  a.OnConnectionLost(1, kStart);
  CrashServer(b, kHarmless, kSecond, kStart);
  Exchange(a, b, kStart);
  REQUIRE(b.Check(kHarmless, kThird, kStart) == QuarantineState::kWait);
  const TimePoint later = kStart + milliseconds(5);
  a.OnServerAlive(kFirst, kIncarnation, kStart + milliseconds(1), later);
  Exchange(a, b, later);
  CHECK(b.Check(kHarmless, kThird, later) == QuarantineState::kAllowed);
}

TEST_CASE("a response to a request sent before the loss proves nothing") {
  Quarantine quarantine({});
  quarantine.OnSent(1, kCrashing, kFirst, kIncarnation, kStart);
  quarantine.OnConnectionLost(1, kStart);
  quarantine.OnServerAlive(kFirst, kIncarnation, kStart - milliseconds(1),
                           kStart + milliseconds(1));
  quarantine.OnServerGone(kFirst, kIncarnation, kStart + milliseconds(2));
  CHECK(quarantine.List(kStart + milliseconds(2)).size() == 1);
}

TEST_CASE("a new incarnation proves the crash of the previous one") {
  Quarantine quarantine({});
  quarantine.OnSent(1, kCrashing, kFirst, kIncarnation, kStart);
  quarantine.OnConnectionLost(1, kStart);
  quarantine.OnServerAlive(kFirst, Incarnation(11), kStart, kStart);
  CHECK(quarantine.List(kStart).size() == 1);
}

TEST_CASE("a connection loss noticed after the server is gone counts") {
  Quarantine quarantine({});
  quarantine.OnSent(1, kCrashing, kFirst, kIncarnation, kStart);
  quarantine.OnServerGone(kFirst, kIncarnation, kStart);
  quarantine.OnConnectionLost(1, kStart + milliseconds(1));
  CHECK(quarantine.List(kStart + milliseconds(1)).size() == 1);
}

TEST_CASE("a response clears a harmless request sent beside a crashing one") {
  Quarantine a({});
  Quarantine b({});
  CrashServer(a, kHarmless, kFirst, kStart);
  Exchange(a, b, kStart);
  a.OnSent(1, kHarmless, kSecond, kIncarnation, kStart);
  a.OnAnswered(1, kStart);
  Exchange(a, b, kStart);
  CrashServer(b, kHarmless, kThird, kStart);
  CHECK(b.Check(kHarmless, kFirst, kStart) == QuarantineState::kAllowed);
  // A late report of the cleared crash has no effect.
  CrashServer(a, kHarmless, kFirst, kStart);
  CHECK(a.List(kStart).empty());
}

TEST_CASE("suspected requests run one at a time") {
  Quarantine quarantine({});
  CrashServer(quarantine, kCrashing, kFirst, kStart);
  CrashServer(quarantine, kHarmless, kFirst, kStart);
  quarantine.OnSent(1, kHarmless, kSecond, kIncarnation, kStart);
  CHECK(quarantine.Check(kCrashing, kSecond, kStart) == QuarantineState::kWait);
  CHECK(quarantine.Check(kHarmless, kThird, kStart) == QuarantineState::kWait);
  CHECK(quarantine.Check(kCrashing, kThird, kStart) ==
        QuarantineState::kAllowed);
  quarantine.OnAnswered(1, kStart);
  CHECK(quarantine.Check(kCrashing, kSecond, kStart) ==
        QuarantineState::kAllowed);
}

TEST_CASE("a refusal expires even if it was copied by a snapshot") {
  Quarantine a({});
  CrashServer(a, kCrashing, kFirst, kStart);
  CrashServer(a, kCrashing, kSecond, kStart);
  const TimePoint late = kStart + minutes(9);
  Quarantine b({});
  b.Merge(a.Snapshot(late), late);
  CHECK(b.Check(kCrashing, kThird, late) == QuarantineState::kRefused);
  const TimePoint end = kStart + minutes(10);
  CHECK(a.Check(kCrashing, kThird, end) == QuarantineState::kAllowed);
  CHECK(b.Check(kCrashing, kThird, end) == QuarantineState::kAllowed);
}

TEST_CASE("an operator lists a refusal and lifts it at all daemons") {
  Quarantine a({});
  Quarantine b({});
  CrashServer(a, kCrashing, kFirst, kStart);
  CrashServer(a, kCrashing, kSecond, kStart);
  Exchange(a, b, kStart);
  const auto entries = b.List(kStart);
  REQUIRE(entries.size() == 1);
  CHECK(entries[0].refused);
  CHECK(entries[0].servers.size() == 2);
  CHECK(entries[0].expires_at == kStart + minutes(10));
  CHECK(b.Lift(kCrashing, kStart));
  Exchange(b, a, kStart);
  CHECK(a.Check(kCrashing, kThird, kStart) == QuarantineState::kAllowed);
  CHECK_FALSE(b.Lift(kCrashing, kStart));
}

TEST_CASE("the record that expires first is evicted at capacity") {
  Quarantine quarantine({.capacity = 2});
  for (std::uint64_t n = 1; n <= 3; ++n)
    CrashServer(quarantine, Fingerprint{n}, kFirst, kStart + seconds(n));
  CHECK(quarantine.List(kStart + seconds(3)).size() == 2);
  CHECK(quarantine.List(kStart + seconds(3))[0].fingerprint == Fingerprint{2});
}

}  // namespace
}  // namespace gentianreach
