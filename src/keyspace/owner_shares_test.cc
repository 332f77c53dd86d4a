#include "keyspace/owner_shares.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

#include <doctest/doctest.h>

namespace gentianreach::keyspace {
namespace {

constexpr double kCapacity = 5;

// Two servers that own half of the keys each.
OwnershipTable Table() {
  OwnershipTable table;
  table.ranges = {
      {{0, kKeyCount / 2 - 1}, {ServerId("a"), Incarnation(1), Token(1)}, {}},
      {{kKeyCount / 2, kKeyCount - 1},
       {ServerId("b"), Incarnation(1), Token(2)},
       {}}};
  return table;
}

std::vector<Candidate> Candidates() {
  return {{ServerId("a"), Incarnation(1), kCapacity},
          {ServerId("b"), Incarnation(1), kCapacity}};
}

void AddRequests(KeyLoad& load, std::uint32_t key, double per_second) {
  const double n = per_second * KeyLoad::kTimeConstant.count();
  for (int i = 0; i < static_cast<int>(n); ++i) {
    load.Add(key);
  }
}

TEST_CASE("servers that keep up admit all requests") {
  KeyLoad load;
  AddRequests(load, 1, kCapacity);
  CHECK(FindOwnerShares(Table(), Candidates(), load).empty());
}

TEST_CASE("a server admits what it can answer") {
  KeyLoad load;
  AddRequests(load, 1, 4 * kCapacity);
  AddRequests(load, kKeyCount - 1, kCapacity / 2);
  const auto shares = FindOwnerShares(Table(), Candidates(), load);
  REQUIRE(shares.size() == 1);
  CHECK(shares[0].server == ServerId("a"));
  CHECK(shares[0].share > 0.15);
  CHECK(shares[0].share < 0.25);
}

// A server with a queue that is asked for a hot key by many daemons, none of
// which knows its queue.
class HotServer {
 public:
  // Plays `requests` requests per second, of which `share` are sent, and
  // returns how many a second are answered within the objective.
  static double Play(double requests, double share) {
    constexpr std::size_t kSlots = 3;
    constexpr std::size_t kQueue = 12;
    constexpr double kPlayedS = 200;
    constexpr double kWorkS = 0.57;
    constexpr double kObjectiveS = 1.5;
    std::mt19937 random(1);
    std::exponential_distribution<double> gap(requests);
    std::bernoulli_distribution admitted(share);
    std::lognormal_distribution<double> work(std::log(kWorkS), 0.3);
    // When each slot is free, and when the waiting requests start.
    std::array<double, kSlots> free_at{};
    std::deque<double> starts;
    double now = 0;
    int in_time = 0;
    while (now < kPlayedS) {
      now += gap(random);
      while (!starts.empty() && starts.front() <= now) {
        starts.pop_front();
      }
      if (!admitted(random) || starts.size() >= kQueue) {
        continue;
      }
      const auto slot = std::min_element(free_at.begin(), free_at.end());
      const double start = std::max(now, *slot);
      *slot = start + work(random);
      starts.push_back(start);
      in_time += *slot <= now + kObjectiveS ? 1 : 0;
    }
    return in_time / kPlayedS;
  }
};

TEST_CASE("callers of a hot key get more answers in time by shares") {
  constexpr double kRequests = 20;
  KeyLoad load;
  AddRequests(load, 1, kRequests);
  const auto shares = FindOwnerShares(Table(), Candidates(), load);
  REQUIRE(shares.size() == 1);
  const double with = HotServer::Play(kRequests, shares[0].share);
  const double without = HotServer::Play(kRequests, 1);
  CHECK(with > kCapacity / 2);
  CHECK(with > 4 * without);
}

}  // namespace
}  // namespace gentianreach::keyspace
