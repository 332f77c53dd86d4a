#include "entry/balancing/server_directory.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

const TimePoint kNow = TimePoint(std::chrono::seconds(50));

routing::BackendServer Server(const char* id, bool draining = false) {
  routing::BackendServer server;
  server.id = ServerId(id);
  server.draining = draining;
  return server;
}

TEST_CASE("a removed entry is gone at once unless removals are deferred") {
  ServerDirectory directory;
  directory.Put(Server("a"), kNow);
  directory.Remove(ServerId("a"), kNow);
  CHECK(directory.Find(ServerId("a")) == nullptr);
}

TEST_CASE("a removed server is known by its last entry until it is listed") {
  ServerDirectory directory;
  routing::BackendServer server = Server("a");
  server.address = "127.0.0.1:1";
  directory.Put(server, kNow);
  CHECK(directory.removed().empty());
  directory.Remove(ServerId("a"), kNow);
  REQUIRE(directory.removed().contains(ServerId("a")));
  CHECK(directory.removed().at(ServerId("a")).server.address == "127.0.0.1:1");
  CHECK(directory.removed().at(ServerId("a")).at == kNow);
  directory.Put(server, kNow);
  CHECK(directory.removed().empty());
}

TEST_CASE(
    "a deferred removal takes effect later unless the entry is written again") {
  ServerDirectory directory;
  directory.Put(Server("a"), kNow);
  directory.Put(Server("b"), kNow);
  CHECK(directory.SetRemovalsDeferred(true, kNow).empty());
  CHECK(directory.RemoveOthers({}, kNow).size() == 2);
  CHECK(directory.Find(ServerId("a")) != nullptr);
  CHECK(directory.deferred_removals().contains(ServerId("a")));
  directory.Put(Server("b"), kNow);
  CHECK_FALSE(directory.deferred_removals().contains(ServerId("b")));
  CHECK(directory.SetRemovalsDeferred(false, kNow) == std::set{ServerId("a")});
  CHECK(directory.Find(ServerId("a")) == nullptr);
  CHECK(directory.Find(ServerId("b")) != nullptr);
  CHECK(directory.deferred_removals().empty());
}

TEST_CASE(
    "a draining server is removed at once even if removals are deferred") {
  ServerDirectory directory;
  directory.Put(Server("a", true), kNow);
  directory.SetRemovalsDeferred(true, kNow);
  directory.Remove(ServerId("a"), kNow);
  CHECK(directory.Find(ServerId("a")) == nullptr);
}

TEST_CASE("draining_since keeps the time of the first draining entry") {
  ServerDirectory directory;
  directory.Put(Server("a", true), kNow);
  directory.Put(Server("a", true), kNow + std::chrono::seconds(1));
  CHECK(directory.Find(ServerId("a"))->draining_since == kNow);
}

TEST_CASE("a server that states that it leaves drains until it starts again") {
  const TimePoint later = kNow + std::chrono::seconds(1);
  ServerDirectory directory;
  routing::BackendServer server = Server("a");
  server.incarnation = Incarnation(1);
  directory.Put(server, kNow);
  CHECK(directory.MarkLeaving(server.id, Incarnation(1), kNow));
  CHECK_FALSE(directory.MarkLeaving(server.id, Incarnation(1), later));
  // Its entry does not say so, or says so later, or expires and comes back.
  directory.Put(server, later);
  CHECK(directory.Find(server.id)->draining);
  server.draining = true;
  directory.Put(server, later);
  CHECK(directory.Find(server.id)->draining_since == kNow);
  directory.Remove(server.id, kNow);
  server.draining = false;
  directory.Put(server, later);
  CHECK(directory.Find(server.id)->draining);
  server.incarnation = Incarnation(2);
  directory.Put(server, later);
  CHECK_FALSE(directory.Find(server.id)->draining);
}

TEST_CASE("a late statement of an earlier incarnation has no effect") {
  ServerDirectory directory;
  routing::BackendServer server = Server("a");
  server.incarnation = Incarnation(2);
  directory.Put(server, kNow);
  CHECK_FALSE(directory.MarkLeaving(server.id, Incarnation(1), kNow));
  CHECK_FALSE(directory.Find(server.id)->draining);
  CHECK_FALSE(directory.MarkLeaving(ServerId("b"), Incarnation(1), kNow));
}

routing::BackendServer Report(std::uint64_t incarnation,
                              std::optional<std::uint64_t> number,
                              bool draining = false) {
  routing::BackendServer server = Server("a", draining);
  server.incarnation = Incarnation(incarnation);
  server.report_number = number;
  server.reported_at = kNow;
  return server;
}

TEST_CASE("an older report of a server does not end its draining") {
  ServerDirectory directory;
  CHECK(directory.Put(Report(1, 4), kNow));
  CHECK(directory.Put(Report(1, 6, true), kNow));
  CHECK_FALSE(directory.Put(Report(1, 5), kNow));
  CHECK(directory.Find(ServerId("a"))->draining);
}

TEST_CASE("an older report does not bring a removed server back") {
  ServerDirectory directory;
  directory.Put(Report(1, 6, true), kNow);
  directory.Remove(ServerId("a"), kNow);
  CHECK_FALSE(directory.Put(Report(1, 5), kNow));
  CHECK(directory.Find(ServerId("a")) == nullptr);
  CHECK(directory.Put(Report(2, 1), kNow));
  CHECK(directory.Find(ServerId("a")) != nullptr);
}

// Guards against a server that is ignored for good once its clock was set back.
TEST_CASE("a lower incarnation counts if it still reports much later") {
  ServerDirectory directory;
  directory.Put(Report(2, 1), kNow);
  routing::BackendServer server = Report(1, 1);
  server.reported_at = kNow + std::chrono::seconds(20);
  CHECK_FALSE(directory.Put(server, kNow));
  server.reported_at = kNow + std::chrono::seconds(40);
  CHECK(directory.Put(server, kNow));
  CHECK(directory.Find(server.id)->incarnation == Incarnation(1));
}

TEST_CASE("a report of an earlier incarnation does not replace a later one") {
  ServerDirectory directory;
  directory.Put(Report(2, 1), kNow);
  CHECK_FALSE(directory.Put(Report(1, 9), kNow));
  CHECK(directory.Find(ServerId("a"))->incarnation == Incarnation(2));
}

TEST_CASE("a server whose entry drains does so until it starts again") {
  ServerDirectory directory;
  directory.Put(Report(1, std::nullopt, true), kNow);
  directory.Put(Report(1, std::nullopt), kNow + std::chrono::seconds(1));
  CHECK(directory.Find(ServerId("a"))->draining);
  CHECK(directory.Find(ServerId("a"))->draining_since == kNow);
  directory.Put(Report(2, 1), kNow + std::chrono::seconds(1));
  CHECK_FALSE(directory.Find(ServerId("a"))->draining);
}

TEST_CASE("reports that cannot be ordered count") {
  ServerDirectory directory;
  directory.Put(Report(1, 4), kNow);
  // The state changed, the number did not.
  CHECK(directory.Put(Report(1, 4, true), kNow));
  // The number or the incarnation is unknown.
  CHECK(directory.Put(Report(1, std::nullopt), kNow));
  CHECK(directory.Put(Report(0, 9), kNow));
  CHECK(directory.Put(Report(0, 1), kNow));
}

}  // namespace
}  // namespace gentianreach::entry
