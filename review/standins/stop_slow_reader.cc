// Clients on slow lines read their answers while their daemon is stopped by
// SIGTERM. See review/*/claim.txt.
#include "rig.h"

using namespace rig;

namespace {

constexpr std::size_t kAnswerBytes = 100 * 1000;
constexpr std::int64_t kBytesPerSecond = 50 * 1000;
constexpr std::int64_t kDeadlineMs = 5000;
constexpr int kClients = 6;

struct Outcome {
  std::string id;
  std::int64_t sent = 0;
  std::int64_t ended = 0;
  std::size_t received = 0;
  bool complete = false;
  bool reset = false;
};

// Sends one request and reads the answer at kBytesPerSecond.
Outcome ReadSlowly(const Address& front) {
  Outcome outcome;
  outcome.id = NewId();
  const int fd = ConnectTo(front, 8 * 1024);
  outcome.sent = Now();
  RECORD("client sends %s GET /browse/ to %s", outcome.id.c_str(),
         front.Text().c_str());
  if (fd < 0 ||
      !SendAll(fd, RequestText({.path = "/browse/1",
                                .id = outcome.id,
                                .deadline_ms = kDeadlineMs}))) {
    outcome.ended = Now();
    return outcome;
  }
  Reader reader(fd);
  reader.chunk = 2500;
  std::int64_t next = Now();
  reader.pace = [&] {
    SleepUntil(next);
    next = std::max(next, Now() - 200) + 1000 * 2500 / kBytesPerSecond;
  };
  Message answer;
  outcome.complete = reader.Read(&answer, Now() + kDeadlineMs) &&
                     answer.body.size() == kAnswerBytes;
  outcome.received = reader.received;
  outcome.reset = reader.closed_by_reset;
  outcome.ended = Now();
  close(fd);
  RECORD("client has got %s: '%s', %zu bytes, %s, after %lld ms",
         outcome.id.c_str(), answer.start.c_str(), outcome.received,
         outcome.complete ? "complete"
         : outcome.reset  ? "RESET before its end"
                          : "ENDED before its end",
         static_cast<long long>(outcome.ended - outcome.sent));
  return outcome;
}

}  // namespace

int main(int argc, char** argv) {
  Case it(argc, argv);
  Store store;
  Judge judge;
  if (!store.Start()) {
    return kCouldNotRun;
  }
  store.Put("config", "main",
            Config(1, {{"/browse/", "katalog", true, 6000, 2, 2000}},
                   {{"katalog", false}}));
  std::vector<std::unique_ptr<Instance>> instances;
  for (int i = 0; i < 4; ++i) {
    instances.push_back(std::make_unique<Instance>(
        store, judge,
        InstanceOptions{.id = "i-" + std::to_string(i + 1),
                        .service = "katalog",
                        .slots = 6,
                        .work_ms = 100,
                        .body_bytes = kAnswerBytes}));
    if (!instances.back()->Start()) {
      return kCouldNotRun;
    }
  }
  const Bounds bounds;
  Fleet fleet(store, 3, bounds, it.temporary);
  if (!fleet.StartAll() || !fleet.WaitReady(15000)) {
    SAY("the daemons are not ready");
    return kCouldNotRun;
  }
  Sleep(5000);
  const std::int64_t stopped = Now();
  if (it.trouble) {
    fleet.Signal(0, SIGTERM);
    SAY("daemon %s gets SIGTERM", fleet.Name(0).c_str());
  }
  std::vector<Outcome> outcomes(kClients);
  std::vector<std::thread> threads;
  for (int i = 0; i < kClients; ++i) {
    threads.emplace_back([&, i] {
      // New connections while the balancer has not taken the machine out yet.
      SleepUntil(stopped + 1300 + 200 * i);
      outcomes[static_cast<std::size_t>(i)] = ReadSlowly(fleet.Front(0));
    });
  }
  std::int64_t exited = 0;
  while (Now() < stopped + 1000 * bounds.grace_s + 1000) {
    if (exited == 0 && fleet.HasEnded(0)) {
      exited = Now();
      SAY("daemon %s has exited %lld ms after the SIGTERM",
          fleet.Name(0).c_str(), static_cast<long long>(exited - stopped));
    }
    Sleep(10);
  }
  for (auto& thread : threads) {
    thread.join();
  }
  int broken = 0;
  int complete = 0;
  for (const Outcome& o : outcomes) {
    const int runs = judge.CountRuns(o.id);
    SAY("%s sent at +%lld ms: ran %d time(s), %zu bytes, %s", o.id.c_str(),
        static_cast<long long>(o.sent - stopped), runs, o.received,
        o.complete ? "complete" : "NOT COMPLETE");
    complete += o.complete ? 1 : 0;
    // Passed on to an instance, which worked 100 ms on it; ended without a
    // complete answer before the deadline and the route's timeout.
    broken += runs > 0 && !o.complete && o.ended - o.sent < kDeadlineMs - 200
                  ? 1
                  : 0;
  }
  SAY("%d of %d answers complete, %d cut off", complete, kClients, broken);
  if (complete == 0 && broken == 0) {
    return kCouldNotRun;
  }
  SAY("rule LOST: %s", broken > 0 ? "BROKEN" : "held");
  return broken > 0 ? kBroken : kHeld;
}
