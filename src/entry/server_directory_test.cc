#include "entry/server_directory.h"

#include <chrono>

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
  directory.Remove(ServerId("a"));
  CHECK(directory.Find(ServerId("a")) == nullptr);
}

TEST_CASE(
    "a deferred removal takes effect later unless the entry is written again") {
  ServerDirectory directory;
  directory.Put(Server("a"), kNow);
  directory.Put(Server("b"), kNow);
  CHECK_FALSE(directory.SetRemovalsDeferred(true));
  directory.RemoveOthers({});
  CHECK(directory.Find(ServerId("a")) != nullptr);
  directory.Put(Server("b"), kNow);
  CHECK(directory.SetRemovalsDeferred(false));
  CHECK(directory.Find(ServerId("a")) == nullptr);
  CHECK(directory.Find(ServerId("b")) != nullptr);
}

TEST_CASE(
    "a draining server is removed at once even if removals are deferred") {
  ServerDirectory directory;
  directory.Put(Server("a", true), kNow);
  directory.SetRemovalsDeferred(true);
  directory.Remove(ServerId("a"));
  CHECK(directory.Find(ServerId("a")) == nullptr);
}

TEST_CASE("draining_since keeps the time of the first draining entry") {
  ServerDirectory directory;
  directory.Put(Server("a", true), kNow);
  directory.Put(Server("a", true), kNow + std::chrono::seconds(1));
  CHECK(directory.Find(ServerId("a"))->draining_since == kNow);
}

}  // namespace
}  // namespace gentianreach::entry
