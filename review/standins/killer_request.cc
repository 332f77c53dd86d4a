// One caller's request crashes each instance that begins to run it, while
// other callers ask for the same page. See review/*/claim.txt.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kDaemons = 3;
constexpr int kInstances = 8;
constexpr std::int64_t kBackMs = 2500;       // From a crash to the next start.
constexpr std::int64_t kStabilityMs = 3000;  // stabilityMs of the site.
constexpr std::int64_t kAgainMs = 2500;      // The request comes again.
const char* const kCaller = "caller-13";
const char* const kPath = "/browse/1";

}  // namespace

int main(int argc, char** argv) {
  Case it(argc, argv);
  const bool alone = std::getenv("ALONE") != nullptr;
  Store store;
  Judge judge;
  if (!store.Start()) {
    return kCouldNotRun;
  }
  store.Put("config", "main",
            Config(1,
                   {{"/browse/", "katalog", true, 1500, 2, 500},
                    {"/order/", "katalog", false, 1500, 2, 500}},
                   {{"katalog", false}}));
  std::mutex mutex;
  std::vector<std::int64_t> arrivals;  // Of the request at instances.
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::thread> restarts;
  for (int i = 0; i < kInstances; ++i) {
    instances.push_back(std::make_unique<Instance>(
        store, judge,
        InstanceOptions{.id = "i-" + std::to_string(i + 1),
                        .service = "katalog",
                        .slots = 6,
                        .work_ms = 60}));
    Instance* instance = instances.back().get();
    instance->crashes_on = [&, instance](const Message& request) {
      if (request.Header("Authorization") !=
          std::string("Bearer ") + kCaller) {
        return false;
      }
      const Lock lock(mutex);
      arrivals.push_back(Now());
      restarts.emplace_back([instance] {
        Sleep(kBackMs);
        instance->Start();
      });
      return true;
    };
    if (!instance->Start()) {
      return kCouldNotRun;
    }
  }
  Fleet fleet(store, kDaemons, Bounds{}, it.temporary);
  if (!fleet.StartAll() || !fleet.WaitReady(15000)) {
    SAY("the daemons are not ready");
    return kCouldNotRun;
  }
  Sleep(5000);
  std::atomic<bool> stop{false};
  std::atomic<int> answered{0};
  std::atomic<int> lost{0};
  std::vector<std::thread> clients;
  for (std::size_t c = 0; c < 6; ++c) {
    clients.emplace_back([&, c] {
      Client client(fleet.Front(c % fleet.size()));
      while (!stop) {
        const Reply reply =
            client.Send({.path = alone ? "/browse/2" : kPath,
                         .id = NewId(),
                         .deadline_ms = 1500,
                         .caller = "caller-" + std::to_string(c)});
        answered += reply.status == 200 ? 1 : 0;
        lost += reply.status != 200 ? 1 : 0;
        Sleep(150);
      }
    });
  }
  // Orders of other callers at the same instances.
  for (std::size_t c = 0; c < 6; ++c) {
    clients.emplace_back([&, c] {
      Client client(fleet.Front(c % fleet.size()));
      while (!stop) {
        const std::string id = "order-" + NewId();
        client.Send({.method = "POST",
                     .path = "/order/1",
                     .id = id,
                     .deadline_ms = 1500,
                     .body = "box",
                     .caller = "caller-" + std::to_string(c)});
        Sleep(50);
      }
    });
  }
  Sleep(2000);
  std::thread killer([&] {
    std::size_t n = 0;
    while (!stop && it.trouble) {
      // At any machine; the client repeats a failed one once.
      for (int attempt = 0; attempt < 2; ++attempt) {
        Client client(fleet.Front(n++ % fleet.size()));
        const Reply reply = client.Send({.path = kPath,
                                         .id = NewId(),
                                         .deadline_ms = 1500,
                                         .caller = kCaller});
        if (reply.status == 200) {
          break;
        }
        Sleep(200);
      }
      Sleep(kAgainMs);
    }
  });
  Sleep(45000);
  stop = true;
  killer.join();
  for (auto& client : clients) {
    client.join();
  }
  for (auto& restart : restarts) {
    restart.join();
  }
  int late = 0;
  for (const std::int64_t at : arrivals) {
    late += arrivals.size() >= 3 && at > arrivals[2] + kStabilityMs ? 1 : 0;
  }
  int orders = 0;
  {
    const Lock lock(judge.mutex);
    for (const Run& run : judge.runs) {
      orders += run.cut && run.id.rfind("order-", 0) == 0 &&
                        arrivals.size() >= 3 &&
                        run.began > arrivals[2] + kStabilityMs
                    ? 1
                    : 0;
    }
  }
  SAY("%d orders of other callers that instances were working on were lost in "
      "these late crashes",
      orders);
  SAY("%d requests of other callers for the page answered, %d not", answered.load(),
      lost.load());
  SAY("the request has crashed %zu instances; %d of the arrivals were later "
      "than %lld ms after the third crash",
      arrivals.size(), late, static_cast<long long>(kStabilityMs));
  if (answered == 0 || (it.trouble && arrivals.empty())) {
    return kCouldNotRun;
  }
  SAY("rule BUDGET: %s", late > 3 ? "BROKEN" : "held");
  return late > 3 ? kBroken : kHeld;
}
