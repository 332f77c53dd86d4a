// The configuration grows by many routes and then changes in quick succession.
// See review/8/claim.txt.
//
// Usage: config_history FOLDER
#include "scene.h"

namespace {

// `limits.memoryMb` of the small deployments.
constexpr double kMemoryMb = 260;
// Routes that one growth of the configuration adds, how often it grows, and the
// changes of the configuration: series of 25 at 0.06 s.
constexpr int kRoutesMore = 350;
constexpr int kGrowths = 4;
constexpr int kStorms = 9;
constexpr int kChangesPerStorm = 25;
constexpr double kStormGap = 0.06;

// Returns the memory of a daemon that no file backs, in MB; 0 before the
// process runs the daemon's program.
double MemoryMb(pid_t pid) {
  std::ifstream comm("/proc/" + std::to_string(pid) + "/comm");
  std::string program;
  std::getline(comm, program);
  if (program.rfind("gentianreach", 0) != 0) {
    return 0;
  }
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("RssAnon:", 0) == 0) {
      return strtod(line.c_str() + 8, nullptr) / 1024;
    }
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    return 2;
  }
  scene::Scene it(argv[1], 3);
  it.AddService("catalogue", true);
  it.AddService("orders", false);
  it.AddRoute("/catalogue/", "catalogue", "safe");
  it.AddRoute("/orders/", "orders", "unsafe");
  it.PutConfig();
  for (std::size_t i = 0; i < 6; ++i) {
    it.AddInstance("i-" + std::to_string(i + 1), {.service = "catalogue",
                                                  .zone = scene::Scene::Zone(i),
                                                  .keyed = true,
                                                  .work_s = 0.1});
    it.AddInstance("o-" + std::to_string(i + 1), {.service = "orders",
                                                  .zone = scene::Scene::Zone(i),
                                                  .slots = 12,
                                                  .work_s = 0.25});
  }
  it.StartDaemons();
  it.StartClients(18, 0.05, [](std::mt19937& random) {
    const long key = static_cast<long>(random() % 65536);
    return std::pair("/catalogue/" + std::to_string(key), key);
  });
  it.StartClients(
      54, 0.02,
      [](std::mt19937& random) {
        return std::pair("/orders/" + std::to_string(random()), -1L);
      },
      "POST");
  // The platform kills a process that exceeds its memory.
  std::atomic<int> killed = 0;
  std::map<std::string, double> peak;
  std::mutex mutex;
  std::thread([&] {
    while (true) {
      for (const auto& daemon : it.daemons) {
        const double mb = MemoryMb(daemon->pid());
        const std::lock_guard lock(mutex);
        double& most = peak[daemon->name()];
        most = std::max(most, mb);
        if (mb > kMemoryMb) {
          ++killed;
          RECORD("daemon %s has %.0f MB of %.0f: the platform kills it",
                 daemon->name().c_str(), mb, kMemoryMb);
          daemon->Signal(SIGKILL);
          scene::Sleep(0.05);
        }
      }
      scene::Sleep(0.02);
    }
  }).detach();
  scene::Sleep(5);
  int version = 5;
  const auto put = [&] {
    ++version;
    it.config["configVersion"] = "r" + std::to_string(version);
    it.PutConfig();
    RECORD("the operator writes r%d: %zu bytes", version,
           it.config.dump().size());
  };
  if (scene::HasTrouble()) {
    for (int growth = 0; growth < kGrowths; ++growth) {
      for (int i = 0; i < kRoutesMore; ++i) {
        it.AddRoute("/more" + std::to_string(growth * kRoutesMore + i) + "/",
                    "orders", "safe");
      }
      put();
      scene::Sleep(3);
    }
    for (int storm = 0; storm < kStorms; ++storm) {
      for (int i = 0; i < kChangesPerStorm; ++i) {
        auto& rule = it.config["listeners"].back()["rules"][0];
        rule["action"]["timeoutMs"] = 1000 + version;
        put();
        scene::Sleep(kStormGap);
      }
      scene::Sleep(3);
    }
  } else {
    scene::Sleep(40);
  }
  scene::Sleep(4);
  it.stop = true;
  scene::Sleep(1.5);

  // LOST: requests on kept connections that an instance ran and whose
  // connection was closed without an answer.
  std::set<std::string> ran;
  for (const auto& instance : it.instances) {
    for (const auto& run : instance->Runs()) {
      ran.insert(run.request);
    }
  }
  const auto attempts = it.Attempts();
  std::map<std::string, int> lost;
  std::ptrdiff_t served = 0;
  for (const auto& a : attempts) {
    served += a.status == 200 ? 1 : 0;
    if (a.status == 0 && a.closed && a.kept && ran.contains(a.id)) {
      ++lost[a.daemon];
      RECORD("LOST: %s %s on a kept connection to %s, which an instance ran",
             a.id.c_str(), a.path.c_str(), a.daemon.c_str());
    }
  }
  int ends = 0;
  for (const auto& daemon : it.daemons) {
    ends += daemon->ended_by_itself();
  }
  printf("%zu requests, %zd served; %d versions of at most %zu bytes;",
         attempts.size(), served, version - 5, it.config.dump().size());
  for (const auto& [name, mb] : peak) {
    printf(" %s: %.0f MB at most;", name.c_str(), mb);
  }
  printf(" killed for memory: %d; ended otherwise: %d; LOST by daemon:",
         killed.load(), ends);
  for (const auto& [name, n] : lost) {
    printf(" %s %d", name.c_str(), n);
  }
  printf("\n");
  if (served == 0) {
    it.Finish(2);
  }
  const bool broken = std::any_of(lost.begin(), lost.end(),
                                  [](const auto& a) { return a.second > 3; });
  it.Finish(broken ? 1 : 0);
}
