#include "daemon/request_log.h"

#include <doctest/doctest.h>

namespace gentianreach {
namespace {

proxy::RequestRecord Record(const std::string& id, std::uint64_t hash) {
  proxy::RequestRecord record;
  record.id = id;
  record.service = ServiceName("boats");
  record.key = KeyHash(hash);
  return record;
}

TEST_CASE("a full log overwrites the oldest requests") {
  RequestLog log(3);
  for (const char* it : {"a", "b", "c", "d"}) {
    log.Add(Record(it, 1));
  }
  CHECK(log.FindId("a").empty());
  const auto found = log.FindKey(ServiceName("boats"), KeyHash(1));
  REQUIRE(found.size() == 3);
  CHECK(found.at(0).id == "d");
  CHECK(found.at(2).id == "b");
}

TEST_CASE("FindKey matches both the service and the key hash") {
  RequestLog log(3);
  log.Add(Record("a", 1));
  CHECK(log.FindKey(ServiceName("catalogue"), KeyHash(1)).empty());
  CHECK(log.FindKey(ServiceName("boats"), KeyHash(2)).empty());
}

}  // namespace
}  // namespace gentianreach
