// The range assigner under random faults; see assigner_simulation.h.
#include "keyspace/testing/assigner_simulation.h"

#include <chrono>

#include <doctest/doctest.h>

namespace gentianreach::keyspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::CheckSeeds;

TEST_CASE("a key never has two holders when all orders arrive in order") {
  CheckSeeds({}, 15);
}

TEST_CASE("a key never has two holders when orders are reordered") {
  CheckSeeds({.reordered = 0.3}, 15);
}

TEST_CASE("a key never has two holders when orders are executed late") {
  CheckSeeds({.late = 0.3, .reordered = 0.2}, 15);
}

TEST_CASE(
    "a key never has two holders when orders of a killed leader arrive after a "
    "partition") {
  CheckSeeds({.killed = true}, 40);
}

TEST_CASE(
    "a key has two holders for 0.5 s at most when a leader succeeds one that "
    "left servers unfenced") {
  CheckSeeds({.killed = true, .longest_cut = seconds(26), .overlaps = true},
             40);
}

TEST_CASE(
    "a key has two holders for 0.5 s at most when a server that was left "
    "unfenced is listed late") {
  CheckSeeds({.killed = true,
              .longest_cut = seconds(26),
              .listed_late = seconds(5),
              .overlaps = true},
             40);
}

TEST_CASE(
    "a key has two holders for 0.5 s at most when orders arrive before the "
    "first connection after a partition") {
  CheckSeeds({.killed = true,
              .longest_cut = seconds(26),
              .earliest_arrival = Duration(0),
              .latest_arrival = milliseconds(300),
              .overlaps = true},
             40);
}

TEST_CASE(
    "a key has two holders for 0.5 s at most when a paused server reads orders "
    "of a killed leader") {
  CheckSeeds({.killed = true, .paused = true, .overlaps = true}, 40);
}

TEST_CASE(
    "a key has two holders for 0.5 s at most when a server that was paused is "
    "listed late") {
  CheckSeeds({.killed = true,
              .longest_cut = seconds(20),
              .listed_late = seconds(5),
              .paused = true,
              .overlaps = true},
             40);
}

TEST_CASE(
    "a key never has two holders while zones are evacuated and leaders "
    "change") {
  CheckSeeds({.late = 0.15,
              .reordered = 0.2,
              .held_up = 0.1,
              .second_leader = true,
              .third_leader = true,
              .evacuated = 0.001},
             15);
}

TEST_CASE(
    "a key never has two holders when orders arrive as late as their "
    "deadline") {
  // In the other seeds, servers restarted while orders were on their way.
  CheckSeeds({.late = 0.1, .reordered = 0.2, .held_up = 0.2}, 15,
             {940, 1492, 2590, 2727, 2861, 5264, 5458});
}

TEST_CASE(
    "a key never has two holders when orders of two leaders are held up") {
  CheckSeeds(
      {.late = 0.1, .reordered = 0.2, .held_up = 0.2, .second_leader = true},
      15);
}

TEST_CASE(
    "a key never has two holders while a leader before the last is active") {
  CheckSeeds({.late = 0.15,
              .reordered = 0.2,
              .held_up = 0.1,
              .second_leader = true,
              .third_leader = true},
             15, {5086, 5319, 5472, 5942, 6383});
}

TEST_CASE("a key never has two holders while two leaders are active") {
  CheckSeeds({.late = 0.15, .reordered = 0.2, .second_leader = true}, 15);
}

TEST_CASE(
    "a key never has two holders while discovery is behind at a change of "
    "leader") {
  CheckSeeds({.late = 0.15,
              .reordered = 0.2,
              .held_up = 0.1,
              .second_leader = true,
              .third_leader = true,
              .earlier_listed = 0.01},
             15);
}

TEST_CASE(
    "a key never has two holders while servers restart at other addresses") {
  CheckSeeds({.late = 0.15,
              .reordered = 0.2,
              .second_leader = true,
              .readdressed = 0.5,
              .earlier_listed = 0.002},
             15);
}

TEST_CASE("a key never has two holders while leaders replace each other") {
  CheckSeeds({.late = 0.05,
              .reordered = 0.1,
              .held_up = 0.1,
              .replaced = true,
              .link_cut = 0.01,
              .late_loop = 0.01},
             15);
}

TEST_CASE(
    "a key has two holders for 0.5 s at most while leaders that replace each "
    "other are killed") {
  CheckSeeds({.reordered = 0.1,
              .overlaps = true,
              .replaced = true,
              .replaced_killed = 0.5,
              .link_cut = 0.01},
             15);
}

TEST_CASE(
    "a key has two holders for 0.5 s at most when a server is cut off again "
    "soon after a partition") {
  // In these seeds, the server is connected while its fence is on its way.
  CheckSeeds({.killed = true,
              .longest_cut = seconds(26),
              .earliest_arrival = Duration(0),
              .latest_arrival = milliseconds(300),
              .overlaps = true,
              .leaderless = true},
             0, {86, 168, 265, 312});
}

TEST_CASE("a key never has two holders when the table becomes unreadable") {
  CheckSeeds(
      {.late = 0.15, .reordered = 0.2, .wiped = 0.0004, .store_lost = 0.3}, 15);
}

TEST_CASE(
    "a key never has two holders when the table becomes unreadable while two "
    "leaders are active") {
  CheckSeeds({.late = 0.15,
              .reordered = 0.2,
              .held_up = 0.1,
              .second_leader = true,
              .wiped = 0.0004,
              .store_lost = 0.3},
             15);
}

TEST_CASE(
    "a key never has two holders when the table becomes unreadable while a "
    "leader before the last is active") {
  CheckSeeds({.late = 0.15,
              .reordered = 0.2,
              .held_up = 0.1,
              .second_leader = true,
              .third_leader = true,
              .wiped = 0.0004,
              .store_lost = 0.3},
             15);
}

}  // namespace
}  // namespace gentianreach::keyspace
