#include "entry/balancing/ownership_view.h"

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

keyspace::OwnershipTable TableOf(const char* server) {
  keyspace::OwnershipTable table;
  table.ranges.push_back(
      {{0, keyspace::kKeyCount - 1}, {ServerId(server), {}, Token(3)}, {}});
  return table;
}

// The store's revision counter may go back; see StoreWatcher.
TEST_CASE("a table of a lower revision takes the place of the known one") {
  OwnershipView view;
  CHECK(view.Put("s", 290, TableOf("a")));
  CHECK_FALSE(view.Put("s", 291, TableOf("a")));
  CHECK(view.Put("s", 12, TableOf("b")));
  CHECK(view.revision("s") == 12);
  CHECK(*view.Find("s") == TableOf("b"));
}

}  // namespace
}  // namespace gentianreach::entry
