// Another writer leaves an entry in the store whose text holds half of a
// UTF-16 pair. Then an instance drains. See review/*/claim.txt.
#include "rig.h"

using namespace rig;

namespace {

// After the store has accepted the drain: the instance exits, and the clients
// stop.
constexpr std::int64_t kExitMs = 6000;
constexpr std::int64_t kEndMs = 8000;
// A final fault: all daemons are killed. recoverS of the site.
constexpr std::int64_t kDownMs = 1000;
constexpr std::int64_t kRecoverMs = 15000;
constexpr int kLastRequests = 60;

}  // namespace

int main(int argc, char** argv) {
  Case it(argc, argv);
  Store store;
  Judge judge;
  if (!store.Start()) {
    return kCouldNotRun;
  }
  store.Put("config", "main",
            Config(1, {{"/orders/", "orders", false, 1500, 2, 500}},
                   {{"orders", false}}));
  std::vector<std::unique_ptr<Instance>> instances;
  for (int i = 0; i < 4; ++i) {
    instances.push_back(std::make_unique<Instance>(
        store, judge,
        InstanceOptions{.id = "i-" + std::to_string(i + 1),
                        .service = "orders",
                        .work_ms = 160}));
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
  Sleep(2000);
  std::atomic<bool> stop{false};
  std::atomic<int> answered{0};
  std::vector<std::thread> clients;
  for (std::size_t i = 0; i < 4 * fleet.size(); ++i) {
    clients.emplace_back([&, i] {
      Client client(fleet.Front(i % fleet.size()));
      while (!stop) {
        const Reply reply = client.Send({.method = "POST",
                                         .path = "/orders/1",
                                         .id = NewId(),
                                         .deadline_ms = 1200,
                                         .body = "box"});
        answered += reply.complete && reply.status == 200 ? 1 : 0;
        Sleep(120);
      }
    });
  }
  Sleep(3000);
  if (it.trouble) {
    // Valid JSON; the name of the service was cut in the middle of an emoji.
    store.PutText("servers", "stock-tool-7",
                  "{\"address\":\"127.0.0.1:9\",\"info\":{\"service\":"
                  "\"stock \\ud83d\",\"zone\":\"zone-1\",\"slots\":1}}");
    SAY("another writer has written the entry stock-tool-7");
  }
  Sleep(3000);
  Instance& leaving = *instances[0];
  const std::int64_t accepted = leaving.Drain();
  SAY("the store has accepted that %s drains", leaving.id().c_str());
  Sleep(kExitMs);
  leaving.Stop();
  Sleep(kEndMs - kExitMs);
  stop = true;
  for (auto& client : clients) {
    client.join();
  }
  int before = 0;
  int late = 0;
  std::int64_t last = 0;
  for (const std::int64_t at : leaving.Arrivals()) {
    before += at < accepted ? 1 : 0;
    late += at > accepted + bounds.drain_ms ? 1 : 0;
    last = std::max(last, at);
  }
  int cut = 0;
  {
    const Lock lock(judge.mutex);
    for (const Run& run : judge.runs) {
      cut += run.instance == leaving.id() && run.cut ? 1 : 0;
    }
  }
  SAY("%d orders that %s was working on were lost when it exited", cut,
      leaving.id().c_str());
  SAY("%d requests answered; %s got %d before it drained, %d later than %d ms "
      "after that, the last one after %lld ms",
      answered.load(), leaving.id().c_str(), before, late, bounds.drain_ms,
      static_cast<long long>(last - accepted));
  if (before == 0) {
    return kCouldNotRun;
  }
  SAY("rule DRAIN: %s", late > 0 ? "BROKEN" : "held");

  SAY("all daemons are killed");
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    fleet.Kill(i);
  }
  Sleep(kDownMs);
  if (!fleet.StartAll()) {
    return kCouldNotRun;
  }
  Sleep(kRecoverMs);
  int served = 0;
  for (int i = 0; i < kLastRequests; ++i) {
    Client client(fleet.Front(static_cast<std::size_t>(i) % fleet.size()));
    const Reply reply = client.Send({.method = "POST",
                                     .path = "/orders/1",
                                     .id = NewId(),
                                     .deadline_ms = 1200,
                                     .body = "box"});
    served += reply.complete && reply.status == 200 ? 1 : 0;
    Sleep(30);
  }
  SAY("%lld ms after their start, %d of %d requests are served",
      static_cast<long long>(kRecoverMs), served, kLastRequests);
  const bool recovered = served * 4 >= kLastRequests;
  SAY("rule RECOVER: %s", recovered ? "held" : "BROKEN");
  return late > 0 || !recovered ? kBroken : kHeld;
}
