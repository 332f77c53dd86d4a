// Clients on slow lines read their answers while their daemon is stopped by
// SIGTERM. See review/*/claim.txt.
#include "rig.h"

using namespace rig;

namespace {

constexpr std::size_t kAnswerBytes = 100 * 1000;
constexpr std::int64_t kBytesPerSecond = 50 * 1000;
constexpr std::size_t kReadBytes = 2500;
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

// Reads an answer at kBytesPerSecond. The connection is open already and has
// carried a request before.
Outcome ReadSlowly(int fd) {
  Outcome outcome;
  outcome.id = NewId();
  outcome.sent = Now();
  RECORD("client sends %s GET /browse/2", outcome.id.c_str());
  if (!SendAll(fd, RequestText({.path = "/browse/2",
                                .id = outcome.id,
                                .deadline_ms = kDeadlineMs}))) {
    outcome.ended = Now();
    return outcome;
  }
  Reader reader(fd);
  reader.chunk = kReadBytes;
  std::int64_t next = Now();
  reader.pace = [&] {
    SleepUntil(next);
    next = std::max(next, Now() - 200) +
           1000 * static_cast<std::int64_t>(kReadBytes) / kBytesPerSecond;
  };
  Message answer;
  outcome.complete = reader.Read(&answer, Now() + kDeadlineMs) &&
                     answer.body.size() == kAnswerBytes;
  outcome.received = reader.received;
  outcome.reset = reader.closed_by_reset;
  outcome.ended = Now();
  RECORD("client has got %s: '%s', %zu bytes, %s, after %lld ms",
         outcome.id.c_str(), answer.start.c_str(), outcome.received,
         outcome.complete ? "complete"
         : outcome.reset  ? "RESET before its end"
                          : "ENDED before its end",
         static_cast<long long>(outcome.ended - outcome.sent));
  return outcome;
}

// Opens a connection with a small window and makes a first request on it.
int OpenKept(const Address& front) {
  const int fd = ConnectTo(front, 8 * 1024);
  if (fd < 0 || !SendAll(fd, RequestText({.path = "/browse/1",
                                          .id = NewId(),
                                          .deadline_ms = kDeadlineMs}))) {
    return -1;
  }
  Reader reader(fd);
  Message answer;
  return reader.Read(&answer, Now() + kDeadlineMs) ? fd : -1;
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
  std::vector<int> kept;
  for (int i = 0; i < kClients; ++i) {
    kept.push_back(OpenKept(fleet.Front(0)));
    if (kept.back() < 0) {
      SAY("no answer before the stop");
      return kCouldNotRun;
    }
  }
  const std::int64_t stopped = Now();
  if (it.trouble) {
    fleet.Signal(0, SIGTERM);
    SAY("daemon %s gets SIGTERM", fleet.Name(0).c_str());
  }
  std::vector<Outcome> outcomes(kClients);
  std::vector<std::thread> threads;
  for (int i = 0; i < kClients; ++i) {
    threads.emplace_back([&, i] {
      const auto n = static_cast<std::size_t>(i);
      SleepUntil(stopped + 1300 + 200 * i);
      outcomes[n] = ReadSlowly(kept[n]);
      close(kept[n]);
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
