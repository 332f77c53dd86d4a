// Clients, instances and store for a configuration that grows by many routes,
// each split over two services by weights in parts per million.
//
//   split_weights_stall FOLDER PROGRAM RECORD
//
// WEIGHTS=percent writes the same shares in hundredths, to compare.
#include "rig.h"

namespace {

using namespace rig;

constexpr int kDaemons = 3;
constexpr int kClients = 24;
constexpr int kTimeoutMs = 1000;
constexpr int kNewRoutes = 1400;
constexpr double kGrace = 0.5;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    return kCouldNotRun;
  }
  const char* weights = std::getenv("WEIGHTS");
  const bool percent = weights != nullptr && std::string(weights) == "percent";
  Record record(argv[3]);
  Store store;
  const std::vector<std::string> services = {"listing-a", "listing-b"};
  const json own =
      Rule("r-browse", "/browse/", "safe", {{"listing-a", 1}}, kTimeoutMs);
  store.Put("config", "main", Config(1, services, json::array({own})));
  std::vector<std::unique_ptr<Instance>> instances;
  for (const std::string& it : services) {
    for (int i = 0; i < 6; ++i) {
      instances.push_back(
          std::make_unique<Instance>(store, record, it, i, 0.05));
    }
  }
  Fleet fleet(argv[1], argv[2], store, kDaemons);
  if (!fleet.AwaitReady(10)) {
    record.Line("the daemons did not become ready");
    fleet.Exit(kCouldNotRun);
  }
  Sleep(4);
  const double begin = Now();
  const double end = begin + 26;
  std::mutex mutex;
  int asked = 0, served = 0, at_timeout = 0, later = 0, missed_checks = 0;
  double longest = 0, longest_check = 0;
  std::atomic<int> number = 0;
  std::vector<std::thread> threads;
  for (int i = 0; i < kClients; ++i) {
    threads.emplace_back([&, i] {
      const Daemon& daemon =
          *fleet.daemons[static_cast<std::size_t>(i) % kDaemons];
      while (Now() < end) {
        const std::string id = "q" + std::to_string(++number);
        record.Line("sent", id, "to", daemon.name());
        const Answer it = Ask(daemon.caller(),
                              Request("GET", "/browse/" + id, id, 5000,
                                      "caller-" + std::to_string(i)),
                              12);
        const double took = it.at - it.sent_at;
        record.Line("answer", id, it.status, "after", took);
        {
          const std::lock_guard lock(mutex);
          ++asked;
          served += it.status == 200 ? 1 : 0;
          at_timeout += took > kTimeoutMs / 1000.0 ? 1 : 0;
          later += took > kTimeoutMs / 1000.0 + kGrace ? 1 : 0;
          longest = std::max(longest, took);
        }
        Sleep(0.2);
      }
    });
  }
  // The balancer's checks, once a second.
  for (const auto& daemon : fleet.daemons) {
    threads.emplace_back([&, it = daemon.get()] {
      while (Now() < end) {
        const double at = Now();
        const bool ready = IsReady(*it);
        if (!ready) {
          record.Line("not ready:", it->name());
        }
        {
          const std::lock_guard lock(mutex);
          missed_checks += ready ? 0 : 1;
          longest_check = std::max(longest_check, Now() - at);
        }
        Sleep(1);
      }
    });
  }
  if (HasTrouble()) {
    SleepUntil(begin + 5);
    json rules = json::array({own});
    for (int i = 0; i < kNewRoutes; ++i) {
      const std::string name = "r-grown-" + std::to_string(i);
      rules.push_back(Rule(
          name, "/grown/" + std::to_string(i) + "/", "safe",
          percent
              ? std::vector<std::pair<std::string, std::uint64_t>>{{"listing-a",
                                                                    99},
                                                                   {"listing-b",
                                                                    1}}
              : std::vector<std::pair<std::string, std::uint64_t>>{{"listing-a",
                                                                    990000},
                                                                   {"listing-b",
                                                                    10000}},
          kTimeoutMs));
    }
    const json config = Config(2, services, rules);
    store.Put("config", "main", config);
    record.Line("configuration r2 acknowledged,", kNewRoutes, "routes more,",
                config.dump().size(), "bytes");
  }
  for (auto& it : threads) {
    it.join();
  }
  const bool all_run = fleet.AllRun();
  record.Line("asked", asked, "served", served, "unanswered at timeoutMs",
              at_timeout, "and half a second later", later);
  record.Line("longest answer", longest, "s; missed readiness checks",
              missed_checks, "longest", longest_check, "s");
  std::printf(
      "asked %d, served %d; unanswered at timeoutMs %d, of these half a second "
      "later %d; longest %.1f s; missed readiness checks %d\n",
      asked, served, at_timeout, later, longest, missed_checks);
  // A few slow answers are no finding.
  const bool broken = later > 5 && 2 * later > at_timeout;
  fleet.Exit(!all_run ? kCouldNotRun : broken ? kBroken : kHeld);
}
