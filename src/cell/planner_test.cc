#include "cell/planner.h"

#include <doctest/doctest.h>

namespace gentianreach::cell {
namespace {

void AddServer(Record& record,
               const std::string& id,
               std::uint64_t generation) {
  auto server = std::make_unique<stored::ServerT>();
  server->id = id;
  server->service = "boats";
  server->incarnation = 100;
  server->generation = generation;
  record.servers.push_back(std::move(server));
}

// Returns a record with one range, owned by s0 and moving to s1.
Record MovingRecord() {
  Record record;
  record.epoch = 1;
  record.assigner = "a";
  record.view = 1;
  record.members.push_back(std::make_unique<stored::MemberT>());
  record.members.back()->daemon = "a";
  AddServer(record, "s0", 1);
  AddServer(record, "s1", 2);
  AddServer(record, "s2", 3);
  auto range = std::make_unique<stored::RangeT>();
  range->service = "boats";
  range->last = ~std::uint64_t{0};
  range->owner = "s0";
  range->token = 4;
  range->moving_to = "s1";
  range->moving_token = 5;
  record.ranges.push_back(std::move(range));
  record.next_token = 6;
  return record;
}

PlanInput InputOf(const Record& record) {
  PlanInput input;
  input.self = "a";
  input.may_remove_members = true;
  input.may_fence = true;
  for (const auto& it : record.servers) {
    input.servers[it->id] = {
        .silent = false, .reachable = true, .incarnation = Incarnation(100)};
  }
  return input;
}

TEST_CASE("a move in progress is unchanged while both servers respond") {
  const Record record = MovingRecord();
  CHECK_FALSE(MakePlan(record, InputOf(record)));
}

TEST_CASE("a completed move is recorded with the token of its grant") {
  const Record record = MovingRecord();
  PlanInput input = InputOf(record);
  input.completed_moves = {5};
  const auto plan = MakePlan(record, input);
  REQUIRE(plan);
  CHECK(plan->record.ranges[0]->owner == "s1");
  CHECK(plan->record.ranges[0]->token == 5);
  CHECK(plan->record.ranges[0]->moving_to.empty());
}

TEST_CASE(
    "a range returns from a lost new owner only after its leases expire") {
  Record record = MovingRecord();
  record.servers[1]->state = stored::ServerState::Fenced;
  PlanInput input = InputOf(record);
  input.servers["s1"] = {.silent = true};
  CHECK_FALSE(MakePlan(record, input));
  input.servers["s1"].leases_expired = true;
  const auto plan = MakePlan(record, input);
  REQUIRE(plan);
  CHECK(plan->record.ranges[0]->owner == "s0");
  CHECK(plan->record.ranges[0]->token == 6);
}

TEST_CASE("a new incarnation gets no ranges until the old leases expire") {
  Record record = MovingRecord();
  record.servers[0]->state = stored::ServerState::Fenced;
  PlanInput input = InputOf(record);
  input.servers["s0"].incarnation = Incarnation(101);
  CHECK_FALSE(MakePlan(record, input));
  input.servers["s0"].leases_expired = true;
  const auto plan = MakePlan(record, input);
  REQUIRE(plan);
  CHECK(plan->record.servers[0]->state == stored::ServerState::Live);
  CHECK(plan->record.servers[0]->generation == 6);
  CHECK(plan->record.servers[0]->incarnation == 101);
}

TEST_CASE("the same incarnation of a fenced server is renewed at once") {
  Record record = MovingRecord();
  record.servers[0]->state = stored::ServerState::Fenced;
  const auto plan = MakePlan(record, InputOf(record));
  REQUIRE(plan);
  CHECK(plan->record.servers[0]->state == stored::ServerState::Live);
  CHECK(plan->record.ranges[0]->token == 4);
}

TEST_CASE("a silent server is fenced only if allowed and with a successor") {
  Record record = MovingRecord();
  PlanInput input = InputOf(record);
  input.servers["s0"] = {.silent = true};
  input.may_fence = false;
  CHECK_FALSE(MakePlan(record, input));
  input.may_fence = true;
  const auto plan = MakePlan(record, input);
  REQUIRE(plan);
  CHECK(plan->record.servers[0]->state == stored::ServerState::Fenced);
  CHECK(plan->record.ranges[0]->owner == "s0");
  input.servers["s1"] = {.silent = true};
  input.servers["s2"] = {.silent = true};
  CHECK_FALSE(MakePlan(record, input));
}

}  // namespace
}  // namespace gentianreach::cell
