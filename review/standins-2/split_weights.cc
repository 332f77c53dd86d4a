// Routes are split by weights in parts per million. See review/9/claim.txt.
//
// Usage: split_weights FOLDER
#include "scene.h"

namespace {

constexpr int kTimeoutMs = 1000;
// The deadline of the clients.
constexpr int kDeadlineMs = 5000;
// Routes that one growth of the configuration adds, how often it grows, and
// the changes that follow.
constexpr int kRoutesMore = 350;
constexpr int kGrowths = 4;
constexpr int kChanges = 3;
constexpr double kBetweenChanges = 7;

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    return 2;
  }
  scene::Scene it(argv[1], 3);
  const std::vector<std::string> services = {"orders", "catalogue", "feed"};
  for (const std::string& service : services) {
    it.AddService(service, false);
  }
  it.AddRoute("/orders/", "orders", "unsafe", kTimeoutMs);
  it.PutConfig();
  for (std::size_t i = 0; i < 9; ++i) {
    it.AddInstance("i-" + std::to_string(i + 1),
                   {.service = services[i % 3],
                    .zone = scene::Scene::Zone(i / 3),
                    .slots = 12,
                    .work_s = 0.05});
  }
  it.StartDaemons();
  it.StartClients(
      24, 0.1,
      [](std::mt19937& random) {
        return std::pair("/orders/" + std::to_string(random()), -1L);
      },
      "POST", kDeadlineMs);
  scene::Sleep(5);
  int version = 5;
  const auto put = [&] {
    ++version;
    it.config["configVersion"] = "r" + std::to_string(version);
    it.PutConfig();
    RECORD("the operator writes r%d: %zu bytes", version,
           it.config.dump().size());
    scene::Sleep(kBetweenChanges);
  };
  const int unit = scene::HasTrouble() ? 10000 : 1;
  for (int growth = 0; growth < kGrowths; ++growth) {
    for (int i = 0; i < kRoutesMore; ++i) {
      const int n = growth * kRoutesMore + i;
      it.AddRoute("/more" + std::to_string(n) + "/", "orders", "safe");
      auto& action = it.config["listeners"].back()["rules"][0]["action"];
      action.erase("service");
      // 90, 9 and 1 in 100, or the same in parts per million, not rounded.
      const int odd = scene::HasTrouble() ? n : 0;
      action["trafficSplit"] = {
          {{"service", services[0]}, {"weight", 90 * unit - odd}},
          {{"service", services[1]}, {"weight", 9 * unit + odd}},
          {{"service", services[2]}, {"weight", unit + odd % 7}}};
    }
    put();
  }
  for (int change = 0; change < kChanges; ++change) {
    auto& rule = it.config["listeners"][0]["rules"][0];
    rule["action"]["maxAttempts"] = 1 + change % 2;
    put();
  }
  it.stop = true;
  scene::Sleep(kDeadlineMs / 1000.0 + 0.5);

  // CONFIG: of the requests that are still unanswered at their route's
  // timeoutMs, those that have no answer half a second later.
  const auto attempts = it.Attempts();
  std::map<std::string, std::pair<int, int>> late;
  std::map<std::string, double> longest;
  std::ptrdiff_t served = 0;
  int unanswered = 0;
  int still = 0;
  for (const auto& a : attempts) {
    served += a.status == 200 ? 1 : 0;
    const double took = a.ended - a.sent;
    longest[a.daemon] = std::max(longest[a.daemon], took);
    if (took <= kTimeoutMs / 1000.0) {
      continue;
    }
    ++unanswered;
    if (took > kTimeoutMs / 1000.0 + 0.5) {
      ++still;
      RECORD("CONFIG: %s at %s was answered after %.3f s", a.id.c_str(),
             a.daemon.c_str(), took);
    }
  }
  printf(
      "%zu requests, %zd served; unanswered after %d ms: %d, half a second "
      "later: %d; longest wait:",
      attempts.size(), served, kTimeoutMs, unanswered, still);
  for (const auto& [name, s] : longest) {
    printf(" %s %.2f s", name.c_str(), s);
  }
  printf("\n");
  if (served == 0) {
    it.Finish(2);
  }
  it.Finish(still >= 8 && still * 2 > unanswered ? 1 : 0);
}
