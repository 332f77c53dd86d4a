// Instances that are cut off from the store crash and start again under their
// id, while daemons still reach them. See review/*/claim.txt.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kDaemons = 3;
constexpr int kInstances = 10;
constexpr int kCutInstances = 2;        // A fifth.
constexpr std::int64_t kCutMs = 6000;
constexpr std::int64_t kPauseMs = 9000;  // From the end of a cut to the next.
// From the crash to the next start, if nobody listens at the instance's address
// meanwhile, and if nothing answers there.
constexpr std::int64_t kDownMs = 1000;
constexpr std::int64_t kSilentMs = 2000;
constexpr int kRounds = 6;

}  // namespace

int main(int argc, char** argv) {
  Case it(argc, argv);
  Store store;
  Judge judge;
  if (!store.Start()) {
    return kCouldNotRun;
  }
  store.Put("config", "main",
            Config(1, {{"/record/", "ogledi", true, 1500, 2, 600}},
                   {{"ogledi", true}}));
  std::vector<std::unique_ptr<Instance>> instances;
  for (int i = 0; i < kInstances; ++i) {
    char id[20];
    std::snprintf(id, sizeof(id), "i-%02d", i + 1);
    instances.push_back(std::make_unique<Instance>(
        store, judge,
        InstanceOptions{.id = id,
                        .service = "ogledi",
                        .keyed = true,
                        .slots = 6,
                        .queue = 24,
                        .work_ms = 100,
                        .heartbeat_ms = 1500,
                        .body_bytes = 400}));
    if (!instances.back()->Start()) {
      return kCouldNotRun;
    }
  }
  Bounds bounds;
  bounds.heartbeat_ms = 1500;
  Fleet fleet(store, kDaemons, bounds, it.temporary);
  if (!fleet.StartAll() || !fleet.WaitReady(15000)) {
    SAY("the daemons are not ready");
    return kCouldNotRun;
  }
  Sleep(7000);
  std::atomic<bool> stop{false};
  std::atomic<int> answered{0};
  std::vector<std::thread> clients;
  for (std::size_t c = 0; c < 9; ++c) {
    clients.emplace_back([&, c] {
      std::mt19937 generator(static_cast<unsigned>(c));
      Client client(fleet.Front(c % fleet.size()));
      while (!stop) {
        const Reply reply =
            client.Send({.path = "/record/1",
                         .id = NewId(),
                         .deadline_ms = 1500,
                         .key = static_cast<int>(generator() % kKeys)});
        answered += reply.status == 200 ? 1 : 0;
        Sleep(50);
      }
    });
  }
  Sleep(2000);
  for (int round = 0; round < kRounds; ++round) {
    const bool silent = round % 2 == 1;
    const std::int64_t down = silent ? kSilentMs : kDownMs;
    std::vector<Instance*> cut;
    for (int i = 0; i < kCutInstances; ++i) {
      const int n = (round * kCutInstances + i) % kInstances;
      cut.push_back(instances[static_cast<std::size_t>(n)].get());
    }
    if (it.trouble) {
      SAY("%s and %s are cut off from the store, crash%s, and start again "
          "after %lld ms",
          cut[0]->id().c_str(), cut[1]->id().c_str(),
          silent ? " silently" : "", static_cast<long long>(down));
      for (Instance* instance : cut) {
        instance->cut_from_store = true;
      }
      Sleep(300);
      for (Instance* instance : cut) {
        silent ? instance->StopSilently() : instance->Stop();
      }
      Sleep(down);
      for (Instance* instance : cut) {
        instance->Start();
      }
      Sleep(kCutMs - down - 300);
      for (Instance* instance : cut) {
        instance->cut_from_store = false;
      }
    }
    Sleep(it.trouble ? kPauseMs : 4000);
  }
  stop = true;
  for (auto& client : clients) {
    client.join();
  }
  const Lock lock(judge.mutex);
  for (const std::string& text : judge.owner_violations) {
    SAY("OWNER: %s", text.c_str());
  }
  SAY("%d requests answered, %zu violations", answered.load(),
      judge.owner_violations.size());
  if (answered == 0) {
    return kCouldNotRun;
  }
  const bool broken = !judge.owner_violations.empty();
  SAY("rule OWNER: %s", broken ? "BROKEN" : "held");
  return broken ? kBroken : kHeld;
}
