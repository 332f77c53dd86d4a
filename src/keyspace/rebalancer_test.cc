#include "keyspace/rebalancer.h"

#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace gentianreach::keyspace {
namespace {

Candidate Server(const std::string& id, double capacity = 1) {
  return {ServerId(id), Incarnation(1), capacity};
}

OwnershipTable TableOf(const std::vector<Transfer>& parts) {
  OwnershipTable table;
  for (const Transfer& it : parts) {
    table.ranges.push_back(
        {it.range, {it.server, it.incarnation, Token(1)}, {}});
  }
  return table;
}

// A load of `requests` spread over `range`.
void Spread(KeyLoad& load, const KeyRange& range, int requests) {
  for (int i = 0; i < requests; ++i) {
    const auto offset = std::uint64_t{range.width()} *
                        static_cast<std::uint64_t>(i) /
                        static_cast<std::uint64_t>(requests);
    load.Add(range.first + static_cast<std::uint32_t>(offset));
  }
}

double LoadOf(const OwnershipTable& table,
              const std::string& id,
              const KeyLoad& load) {
  double sum = 0;
  for (const OwnedRange& it : table.ranges) {
    sum += it.owner.server == ServerId(id) ? load.In(it.range) : 0;
  }
  return sum;
}

// Applies transfers until none is proposed.
int Settle(OwnershipTable& table,
           const std::vector<Candidate>& servers,
           const KeyLoad& load) {
  int moves = 0;
  while (true) {
    const auto transfers = Rebalance(table, servers, load, 1);
    if (transfers.empty()) {
      return moves;
    }
    const Transfer* transfer = &transfers[0];
    REQUIRE(++moves < 100);
    std::vector<OwnedRange> ranges;
    for (const OwnedRange& it : table.ranges) {
      if (!it.range.Contains(transfer->range.first)) {
        ranges.push_back(it);
        continue;
      }
      OwnedRange part = it;
      if (it.range.first < transfer->range.first) {
        part.range = {it.range.first, transfer->range.first - 1};
        ranges.push_back(part);
      }
      ranges.push_back(
          {transfer->range, {transfer->server, Incarnation(1), Token(2)}, {}});
      if (it.range.last > transfer->range.last) {
        part.range = {transfer->range.last + 1, it.range.last};
        ranges.push_back(part);
      }
    }
    table.ranges = ranges;
  }
}

TEST_CASE("all keys are divided in proportion to capacity") {
  const auto parts =
      DivideAll({Server("a", 1), Server("b", 2), Server("c", 1)});
  REQUIRE(parts.size() == 3);
  CHECK(parts[0].range == KeyRange{0, 16383});
  CHECK(parts[1].range == KeyRange{16384, 49151});
  CHECK(parts[2].range == KeyRange{49152, 65535});
}

TEST_CASE("an even load stays where it is") {
  const std::vector<Candidate> servers = {Server("a"), Server("b"),
                                          Server("c")};
  const auto table = TableOf(DivideAll(servers));
  KeyLoad load;
  Spread(load, {0, kKeyCount - 1}, 30000);
  CHECK(Rebalance(table, servers, load, 5).empty());
}

TEST_CASE("hot keys that lie together are spread by moving few keys") {
  const std::vector<Candidate> servers = {Server("a"), Server("b"), Server("c"),
                                          Server("d")};
  auto table = TableOf(DivideAll(servers));
  KeyLoad load;
  Spread(load, {0, kKeyCount - 1}, 600);
  Spread(load, {1000, 1199}, 400);
  CHECK(LoadOf(table, "a", load) > 500);
  const int moves = Settle(table, servers, load);
  CHECK(moves > 0);
  for (const char* it : {"a", "b", "c", "d"}) {
    CHECK(LoadOf(table, it, load) < 1.4 * 250);
  }
  double moved = 0;
  for (const OwnedRange& it : table.ranges) {
    moved += it.owner.token == Token(2) ? it.range.width() : 0;
  }
  CHECK(moved / kKeyCount < 0.05);
}

TEST_CASE("the owner of one very hot key keeps little else") {
  const std::vector<Candidate> servers = {Server("a"), Server("b"), Server("c"),
                                          Server("d")};
  auto table = TableOf(DivideAll(servers));
  KeyLoad load;
  Spread(load, {0, kKeyCount - 1}, 2000);
  Spread(load, {5000, 5000}, 1500);
  Settle(table, servers, load);
  // The key alone has more than a fair share; the rest of a's 500 has moved.
  CHECK(LoadOf(table, "a", load) < 1700);
}

TEST_CASE("one round spreads a hot spot over many servers") {
  std::vector<Candidate> servers;
  servers.reserve(40);
  for (int i = 0; i < 40; ++i) {
    servers.push_back(Server("s" + std::to_string(i)));
  }
  const auto table = TableOf(DivideAll(servers));
  KeyLoad load;
  Spread(load, {0, kKeyCount - 1}, 4000);
  Spread(load, {1000, 1199}, 2000);
  const auto transfers = Rebalance(table, servers, load, 12);
  CHECK(transfers.size() == 12);
  double moved = 0;
  for (const Transfer& it : transfers) {
    moved += load.In(it.range);
  }
  // About a server's fair share each.
  CHECK(moved > 12 * 50);
}

TEST_CASE("a slow server keeps less than a fast one") {
  const std::vector<Candidate> servers = {Server("slow", 1), Server("fast", 3)};
  auto table = TableOf({{{0, 32767}, ServerId("slow"), Incarnation(1)},
                        {{32768, 65535}, ServerId("fast"), Incarnation(1)}});
  KeyLoad load;
  Spread(load, {0, kKeyCount - 1}, 60000);
  Settle(table, servers, load);
  CHECK(LoadOf(table, "slow", load) * 2 < LoadOf(table, "fast", load));
}

TEST_CASE("a new server gets a part of the load") {
  const std::vector<Candidate> servers = {Server("a"), Server("b"),
                                          Server("new")};
  auto table = TableOf(DivideAll({Server("a"), Server("b")}));
  KeyLoad load;
  Spread(load, {0, kKeyCount - 1}, 3000);
  Spread(load, {500, 540}, 1000);
  Settle(table, servers, load);
  CHECK(LoadOf(table, "new", load) > 400);
}

TEST_CASE("a single hot key is not passed back and forth") {
  const std::vector<Candidate> servers = {Server("a"), Server("b")};
  auto table = TableOf(DivideAll(servers));
  KeyLoad load;
  Spread(load, {0, kKeyCount - 1}, 200);
  Spread(load, {7, 7}, 1000);
  CHECK(Settle(table, servers, load) < 20);
}

TEST_CASE("the keys of a lost server go to several others, all of them") {
  const std::vector<Candidate> servers = {Server("a"), Server("b"),
                                          Server("c")};
  const auto table =
      TableOf({{{0, 19999}, ServerId("a"), Incarnation(1)},
               {{20000, 39999}, ServerId("b"), Incarnation(1)},
               {{40000, 49999}, ServerId("c"), Incarnation(1)},
               {{50000, 65535}, ServerId("lost"), Incarnation(1)}});
  KeyLoad load;
  Spread(load, {0, kKeyCount - 1}, 6000);
  const auto transfers = Rehome({50000, 65535}, table, servers, load);
  std::uint32_t next = 50000;
  std::map<ServerId, int> receivers;
  for (const Transfer& it : transfers) {
    CHECK(it.range.first == next);
    next = it.range.last + 1;
    ++receivers[it.server];
  }
  CHECK(next == kKeyCount);
  CHECK(receivers.size() > 1);
}

TEST_CASE("too few requests are no reason to move anything") {
  const std::vector<Candidate> servers = {Server("a"), Server("b")};
  const auto table = TableOf(DivideAll(servers));
  KeyLoad load;
  Spread(load, {10, 12}, 15);
  CHECK(Rebalance(table, servers, load, 5).empty());
}

}  // namespace
}  // namespace gentianreach::keyspace
