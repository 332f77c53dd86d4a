// A request that crashes the instances that run it comes again while the
// machines are stopped and started in turn. See review/10/claim.txt.
//
// Usage: poison FOLDER
#include "scene.h"

namespace {

constexpr std::size_t kMachines = 8;
constexpr double kStability = 3;
// Time until a crashed instance is back, with a new id, and until the entry of
// the one before has lapsed.
constexpr double kBackAfter = 3;
constexpr double kLapseAfter = 3 * scene::kHeartbeat;
// Time between two attempts of the client of the request.
constexpr double kComesAgainAfter = 1.5;
// Rolls of all machines, `gap_s` of each, and the time after each.
constexpr int kRolls = 2;
constexpr double kRollGap = 2;
constexpr double kRollPause = 20;
constexpr const char* kPath = "/orders/poison";

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    return 2;
  }
  scene::Scene it(argv[1], kMachines);
  it.AddService("orders", false);
  it.AddRoute("/orders/", "orders", "unsafe");
  it.PutConfig();
  std::mutex mutex;
  std::vector<scene::Run> crashes;
  std::atomic<int> last_instance = 0;
  std::function<void()> start = [&] {
    const int n = ++last_instance;
    scene::Instance& instance =
        it.AddInstance("o-" + std::to_string(n),
                       {.service = "orders",
                        .zone = scene::Scene::Zone(static_cast<std::size_t>(n)),
                        .work_s = 0.05});
    instance.crashes = [&](const scene::Run& run) {
      if (run.path != kPath) {
        return false;
      }
      const std::lock_guard lock(mutex);
      crashes.push_back(run);
      return true;
    };
    instance.on_crash = [&, id = instance.id()] {
      std::thread([&, id] {
        scene::Sleep(kLapseAfter);
        it.store->Remove("servers", id);
        scene::Sleep(kBackAfter - kLapseAfter);
        start();
      }).detach();
    };
  };
  for (int i = 0; i < 9; ++i) {
    start();
  }
  it.StartDaemons();
  it.StartClients(
      16, 0.1,
      [](std::mt19937& random) {
        return std::pair("/orders/" + std::to_string(random()), -1L);
      },
      "POST");
  std::thread([&] {
    std::mt19937 random(7);
    scene::Sleep(2);
    while (!it.stop) {
      scene::Daemon& daemon = *it.daemons[random() % kMachines];
      if (const auto stream = scene::Connect(daemon.front())) {
        const scene::Attempt attempt =
            it.Ask(*stream, daemon, "POST", kPath, -1, 1000, "two boxes");
        const std::lock_guard lock(it.mutex);
        it.attempts.push_back(attempt);
      }
      scene::Sleep(kComesAgainAfter);
    }
  }).detach();
  scene::Sleep(14);
  for (int roll = 0; roll < kRolls; ++roll) {
    for (const auto& daemon : it.daemons) {
      if (scene::HasTrouble()) {
        daemon->Signal(SIGTERM);
      }
      scene::Sleep(kRollGap);
    }
    scene::Sleep(kRollPause);
  }
  it.stop = true;
  scene::Sleep(1.5);

  std::map<std::string, std::string> sender;
  for (const auto& attempt : it.Attempts()) {
    sender[attempt.id] = attempt.daemon;
  }
  const std::lock_guard lock(mutex);
  std::size_t in_touch = 0;
  for (std::size_t i = 0; i < crashes.size(); ++i) {
    const scene::Run& run = crashes[i];
    const auto daemon = std::find_if(
        it.daemons.begin(), it.daemons.end(),
        [&](const auto& d) { return d->name() == sender[run.request]; });
    const bool counts = i >= 3 && run.at > crashes[2].at + kStability &&
                        daemon != it.daemons.end() &&
                        (*daemon)->IsInTouch(run.at);
    in_touch += counts ? 1 : 0;
    RECORD("crash %zu: %s at %.3f, sent by %s%s", i + 1, run.request.c_str(),
           run.at, sender[run.request].c_str(),
           counts ? ", which is in touch: BUDGET" : "");
  }
  printf(
      "%zu requests; %zu crashes, %zu of them in retries by machines in "
      "touch later than 3 s after the third\n",
      it.Attempts().size(), crashes.size(), in_touch);
  if (crashes.size() < 3) {
    it.Finish(2);
  }
  it.Finish(in_touch > 3 ? 1 : 0);
}
