// A draining instance hands out a handover with wrong bytes. See
// review/6/claim.txt and review/7/claim.txt.
//
// Usage: handover FOLDER cut|bytes
#include "scene.h"

int main(int argc, char** argv) {
  if (argc < 3) {
    return 2;
  }
  const bool cut = std::string(argv[2]) == "cut";
  scene::Scene it(argv[1], 3);
  it.AddService("catalogue", true);
  it.AddRoute("/catalogue/", "catalogue", "safe");
  it.PutConfig();
  for (std::size_t i = 0; i < 6; ++i) {
    it.AddInstance("i-" + std::to_string(i + 1), {.service = "catalogue",
                                                  .zone = scene::Scene::Zone(i),
                                                  .keyed = true,
                                                  .slots = 6,
                                                  .work_s = 0.08});
  }
  // The spoiled answers of the faulty instance: the handover in its answer to a
  // release has lost its second half, or one of its bytes has changed.
  std::atomic<int> spoiled = 0;
  scene::Instance& faulty = *it.instances.front();
  if (scene::HasTrouble()) {
    faulty.spoil = [&](const scene::Message& request, std::string answer) {
      constexpr const char* kHeader = "Gentianreach-Handover: ";
      const auto at = answer.find(kHeader);
      // At most 1 in 50 of its answers, as the pages say.
      if (request.target != "/api/release" || at == std::string::npos ||
          static_cast<std::size_t>(spoiled + 1) * 50 > faulty.answers()) {
        return answer;
      }
      ++spoiled;
      const auto value = at + strlen(kHeader);
      if (cut) {
        answer.erase(value + 8, 8);
      } else {
        answer[value + 3] = '\xc5';
      }
      RECORD("instance %s spoils its answer to a release (%d of %zu answers)",
             faulty.id().c_str(), spoiled.load(), faulty.answers());
      return answer;
    };
  }
  it.StartDaemons();
  it.StartClients(36, 0.02, [](std::mt19937& random) {
    const long key = static_cast<long>(random() % 65536);
    return std::pair("/catalogue/" + std::to_string(key), key);
  });
  scene::Sleep(10);
  faulty.Drain();
  scene::Sleep(6);
  faulty.End();
  scene::Sleep(9);
  it.stop = true;
  scene::Sleep(1.2);

  const auto attempts = it.Attempts();
  const auto served =
      std::count_if(attempts.begin(), attempts.end(),
                    [](const auto& a) { return a.status == 200; });
  // LOST: requests on kept connections that a sound instance ran and whose
  // connection was closed without an answer.
  std::set<std::string> ran;
  for (const auto& instance : it.instances) {
    if (instance.get() == &faulty) {
      continue;
    }
    for (const auto& run : instance->Runs()) {
      ran.insert(run.request);
    }
  }
  std::map<std::string, int> lost;
  for (const auto& a : attempts) {
    if (a.status == 0 && a.closed && a.kept && ran.contains(a.id)) {
      ++lost[a.daemon];
      RECORD("LOST: %s on a kept connection to %s, which an instance ran",
             a.id.c_str(), a.daemon.c_str());
    }
  }
  const int owner = it.CountOwnerBreaks();
  int ends = 0;
  for (const auto& daemon : it.daemons) {
    ends += daemon->ended_by_itself();
  }
  const bool lost_broken = std::any_of(
      lost.begin(), lost.end(), [](const auto& a) { return a.second > 3; });
  printf(
      "%zu requests, %zd served; spoiled answers: %d of %zu; OWNER breaks: %d; "
      "daemons ended by themselves: %d; LOST by daemon:",
      attempts.size(), static_cast<std::ptrdiff_t>(served), spoiled.load(),
      faulty.answers(), owner, ends);
  for (const auto& [name, n] : lost) {
    printf(" %s %d", name.c_str(), n);
  }
  printf("\n");
  if (served == 0 || (scene::HasTrouble() && spoiled == 0)) {
    it.Finish(2);
  }
  it.Finish((cut ? owner > 0 : lost_broken) ? 1 : 0);
}
