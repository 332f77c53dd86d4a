// Clients, instances and store for a request that crashes every instance that
// begins to run it and that its client sends again and again.
//
//   killer_request MODE FOLDER PROGRAM RECORD
//
// MODE "split": the request's route is split over three services.
// MODE "dark": the instance's machine falls silent when it crashes.
#include "rig.h"

namespace {

using namespace rig;

constexpr int kDaemons = 3;
constexpr double kStability = 3;
constexpr int kMostRetries = 3;
constexpr double kLength = 45;
const std::string kPath = "/feed/notes/refresh";
const std::string kKiller = "caller-7";

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    return kCouldNotRun;
  }
  const std::string mode = argv[1];
  const std::string folder = argv[2];
  Record record(argv[4]);
  Store store;
  const bool split = mode == "split";
  Instance::dark() = mode == "dark";
  const std::vector<std::string> services =
      split ? std::vector<std::string>{"feed-a", "feed-b", "feed-c"}
            : std::vector<std::string>{"feed-a"};
  std::vector<std::pair<std::string, std::uint64_t>> parts;
  for (const std::string& it : services) {
    parts.emplace_back(it, split && it == services.front() ? 34 : 33);
  }
  store.Put(
      "config", "main",
      Config(1, services,
             json::array({Rule("r-feed", "/feed/", "unsafe", parts, 1200)})));
  Instance::crashes() = [](const Message& it) {
    return it.second == kPath && it.Get("authorization") == kKiller;
  };
  std::vector<std::unique_ptr<Instance>> instances;
  for (const std::string& it : services) {
    for (int i = 0; i < (split ? 4 : 9); ++i) {
      instances.push_back(
          std::make_unique<Instance>(store, record, it, i, 0.03));
    }
  }
  Fleet fleet(folder, argv[3], store, kDaemons);
  if (!fleet.AwaitReady(10)) {
    record.Line("the daemons did not become ready");
    fleet.Exit(kCouldNotRun);
  }
  Sleep(kStability + 1);
  const double begin = Now();
  std::atomic<int> served = 0, asked = 0;
  std::atomic<int> number = 0;
  const auto ask = [&](const Daemon& daemon, const std::string& path,
                       const std::string& caller) {
    const std::string id =
        (caller == kKiller ? "k" : "q") + std::to_string(++number);
    record.Line("sent", id, path, "caller", caller, "to", daemon.name());
    const Answer it =
        Ask(daemon.caller(),
            Request("POST", path, id, 2000, caller, "refresh=all"), 3);
    record.Line("answer", id, it.status, it.stamp);
    return it.status;
  };
  std::vector<std::thread> clients;
  for (int i = 0; i < 6; ++i) {
    clients.emplace_back([&, i] {
      while (Now() < begin + kLength) {
        const std::string path = "/feed/notes/" + std::to_string(number.load());
        ++asked;
        served += ask(*fleet.daemons[static_cast<std::size_t>(i) % kDaemons],
                      path, "caller-" + std::to_string(100 + i)) == 200
                      ? 1
                      : 0;
        Sleep(0.3);
      }
    });
  }
  if (HasTrouble()) {
    // The killer's client, at any machine.
    for (int i = 0; Now() < begin + kLength; ++i) {
      ask(*fleet.daemons[static_cast<std::size_t>(i) % kDaemons], kPath,
          kKiller);
      Sleep(2.5);
    }
  }
  for (auto& it : clients) {
    it.join();
  }
  const bool all_run = fleet.AllRun();
  // The retries that reached instances later than `stabilityMs` after the third
  // crash. One that reached two instances counts once.
  double third = 1e9;
  int crashes = 0;
  std::set<std::string> late;
  for (const Run& it : Instance::Runs()) {
    if (it.caller != kKiller || it.path != kPath) {
      continue;
    }
    if (++crashes == 3) {
      third = it.at;
    }
    if (it.at > third + kStability) {
      late.insert(it.id);
    }
  }
  record.Line("third crash at", third, "crashes", crashes,
              "retries that reached instances later than 3 s after it",
              late.size(), "allowed", kMostRetries);
  record.Line("other requests", asked.load(), "served", served.load());
  std::printf(
      "mode %s: crashes %d, late retries %zu of %d allowed; others served %d "
      "of %d\n",
      mode.c_str(), crashes, late.size(), kMostRetries, served.load(),
      asked.load());
  const bool broken = static_cast<int>(late.size()) > kMostRetries;
  fleet.Exit(!all_run ? kCouldNotRun : broken ? kBroken : kHeld);
}
