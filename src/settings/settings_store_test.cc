#include "settings/settings_store.h"

#include <doctest/doctest.h>

#include "store/fake_store.h"

namespace gentianreach::settings {
namespace {

using store::FakeStore;
using Fault = store::FakeStore::Fault;

constexpr TimePoint kDeadline{std::chrono::seconds(10)};

ChangeRequest SetRequest(std::string path,
                         std::string value,
                         std::string write_id) {
  ChangeRequest request;
  request.path = std::move(path);
  request.value = std::move(value);
  request.write_id = std::move(write_id);
  request.author = "ana";
  return request;
}

ChangeRequest ApplyRequest(std::string text, std::string write_id) {
  ChangeRequest request;
  request.text = std::move(text);
  request.file = "a.ini";
  request.write_id = std::move(write_id);
  return request;
}

// Polls once and makes the call. Returns the call, if there was one.
std::optional<store::Call> PollOnce(SettingsChange* change,
                                    FakeStore* store,
                                    TimePoint* now,
                                    Fault fault = Fault::kNone) {
  *now = std::max(*now, change->RetryAt());
  auto call = change->Poll(*now);
  if (call) {
    change->OnReply(store->Make(*call, fault), *now);
  }
  return call;
}

// Returns the result of the whole change. `fault` is injected into the first
// `times` writes of the current version.
ChangeResult Run(ChangeRequest request,
                 FakeStore* store,
                 Fault fault = Fault::kNone,
                 int times = 0) {
  SettingsChange change(std::move(request), kDeadline);
  TimePoint now{};
  while (!change.result()) {
    now = std::max(now, change.RetryAt());
    const auto call = change.Poll(now);
    if (!call) {
      continue;
    }
    const bool injected = call->kind == store::CallKind::kWrite &&
                          call->name == kCurrentName && times-- > 0;
    change.OnReply(store->Make(*call, injected ? fault : Fault::kNone), now);
  }
  return *change.result();
}

std::string TextOf(FakeStore* store) {
  return Decode(store->Bytes(std::string(kCurrentName)))->text;
}

TEST_CASE("an accepted change becomes the current version") {
  FakeStore store;
  CHECK(Run(ApplyRequest("[limits]\n", "1"), &store).outcome ==
        ChangeOutcome::kAccepted);
  const auto result =
      Run(SetRequest("limits/max_header", "32KiB", "2"), &store);
  CHECK(result.outcome == ChangeOutcome::kAccepted);
  CHECK(result.version == 2);
  REQUIRE(result.changes.size() == 1);
  CHECK(result.changes[0] ==
        Difference{"limits/max_header", std::nullopt, "32KiB"});
  CHECK(TextOf(&store) == "[limits]\nmax_header = 32KiB\n");
}

TEST_CASE("an invalid text is reported with its errors and not written") {
  FakeStore store;
  const auto result = Run(ApplyRequest("[limit]\n", "1"), &store);
  CHECK(result.outcome == ChangeOutcome::kInvalid);
  CHECK(result.errors.size() == 1);
  CHECK_FALSE(store.Contains(std::string(kCurrentName)));
}

TEST_CASE("a dry run writes nothing") {
  FakeStore store;
  auto request = ApplyRequest("[limits]\n", "1");
  request.dry_run = true;
  const auto result = Run(request, &store);
  CHECK(result.outcome == ChangeOutcome::kWouldAccept);
  CHECK(result.changes.size() == 1);
  CHECK(store.revision() == 0);
}

TEST_CASE(
    "a change whose reply was lost is applied once and reported as accepted") {
  for (const Fault fault : {Fault::kReplyLost, Fault::kRequestLost}) {
    FakeStore store;
    const auto result = Run(ApplyRequest("[limits]\n", "1"), &store, fault, 3);
    CHECK(result.outcome == ChangeOutcome::kAccepted);
    CHECK(result.version == 1);
  }
}

TEST_CASE(
    "a write without a reply is found in the history after later changes") {
  FakeStore store;
  TimePoint now{};
  SettingsChange change(ApplyRequest("[limits]\n", "1"), kDeadline);
  while (true) {
    const auto call = PollOnce(&change, &store, &now, Fault::kNone);
    if (call && call->kind == store::CallKind::kRead) {
      break;
    }
  }
  PollOnce(&change, &store, &now, Fault::kReplyLost);
  REQUIRE_FALSE(change.result());
  for (int i = 0; i < 3; ++i) {
    const auto id = "other" + std::to_string(i);
    const auto value = std::to_string(i + 2) + "KiB";
    CHECK(Run(SetRequest("limits/max_header", value, id), &store).outcome ==
          ChangeOutcome::kAccepted);
  }
  while (!change.result()) {
    PollOnce(&change, &store, &now);
  }
  CHECK(change.result()->outcome == ChangeOutcome::kAccepted);
  CHECK(change.result()->version == 1);
  CHECK(TextOf(&store) == "[limits]\nmax_header = 4KiB\n");
}

TEST_CASE("an unavailable store and a lost request give different outcomes") {
  FakeStore store;
  CHECK(Run(ApplyRequest("[limits]\n", "1"), &store, Fault::kDown, 1000)
            .outcome == ChangeOutcome::kUnavailable);
  CHECK(Run(ApplyRequest("[limits]\n", "2"), &store, Fault::kRequestLost, 1000)
            .outcome == ChangeOutcome::kUnknown);
}

TEST_CASE(
    "the second of two concurrent changes to a key gets both differences") {
  FakeStore store;
  Run(ApplyRequest("[limits]\nmax_header = 1KiB\n", "1"), &store);
  Run(SetRequest("limits/max_header", "2KiB", "2"), &store);
  auto request = ApplyRequest("[limits]\nmax_header = 3KiB\n", "3");
  request.base = 1;
  request.merge = true;
  const auto result = Run(request, &store);
  CHECK(result.outcome == ChangeOutcome::kConflict);
  CHECK(result.mine ==
        std::vector{Difference{"limits/max_header", "1KiB", "3KiB"}});
  CHECK(result.theirs ==
        std::vector{Difference{"limits/max_header", "1KiB", "2KiB"}});
  CHECK(result.conflicts == std::vector<std::string>{"limits"});
  CHECK(TextOf(&store) == "[limits]\nmax_header = 2KiB\n");
}

TEST_CASE("changes to different branches are merged only on request") {
  FakeStore store;
  Run(ApplyRequest("[limits]\n[cell]\n", "1"), &store);
  Run(SetRequest("limits/max_header", "2KiB", "2"), &store);
  auto request = ApplyRequest("[limits]\n[cell]\nrenewal = 300ms\n", "3");
  request.base = 1;
  CHECK(Run(request, &store).outcome == ChangeOutcome::kConflict);
  request.merge = true;
  const auto result = Run(request, &store);
  CHECK(result.outcome == ChangeOutcome::kAccepted);
  CHECK(result.merged);
  CHECK(result.changes ==
        std::vector{Difference{"cell/renewal", std::nullopt, "300ms"}});
  CHECK(TextOf(&store) ==
        "[limits]\nmax_header = 2KiB\n[cell]\nrenewal = 300ms\n");
}

TEST_CASE("restoring an earlier version creates a new version") {
  FakeStore store;
  Run(ApplyRequest("[limits]\nmax_header = 1KiB\n", "1"), &store);
  Run(SetRequest("limits/max_header", "2KiB", "2"), &store);
  ChangeRequest request;
  request.restore = 1;
  request.write_id = "3";
  const auto result = Run(request, &store);
  CHECK(result.outcome == ChangeOutcome::kAccepted);
  CHECK(result.version == 3);
  CHECK(TextOf(&store) == "[limits]\nmax_header = 1KiB\n");
  request.restore = 9;
  CHECK(Run(request, &store).outcome == ChangeOutcome::kNoVersion);
}

}  // namespace
}  // namespace gentianreach::settings
