// Instances send second copies of some answers, late, while one daemon, the
// leader, has lost its path to some of them. See review/*/claim.txt.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kDaemons = 12;
constexpr int kInstances = 32;
// Under a fifth; the leader, one of twelve machines, loses its path to them.
constexpr int kCutInstances = 6;
constexpr std::int64_t kCutMs = 7000;
// Six in ten instances send 3 in 100 answers twice, for 5 s.
constexpr int kGarblers = 19;
constexpr double kExtraShare = 0.03;
constexpr std::int64_t kGarbleLeadMs = 2500;  // Before the end of the cut.
constexpr std::int64_t kGarbleMs = 5000;
constexpr std::int64_t kPauseMs = 2700;  // From the end of the cut to the next.
constexpr int kRounds = 9;

}  // namespace

int main(int argc, char** argv) {
  Case it(argc, argv);
  Store store;
  Judge judge;
  if (!store.Start()) {
    return kCouldNotRun;
  }
  store.Put("config", "main",
            Config(1, {{"/book/", "ogledi", false, 1500, 2, 500}},
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
                        .work_ms = 40,
                        .body_bytes = 400}));
    if (!instances.back()->Start()) {
      return kCouldNotRun;
    }
  }
  Bounds bounds;
  bounds.budget_slack = 64;
  Fleet fleet(store, kDaemons, bounds, it.temporary);
  if (!fleet.StartAll() || !fleet.WaitReady(15000)) {
    SAY("the daemons are not ready");
    return kCouldNotRun;
  }
  Sleep(6000);
  const int leader = fleet.Leader(store);
  if (leader < 0) {
    SAY("no leader");
    return kCouldNotRun;
  }
  SAY("%s leads", fleet.Name(static_cast<std::size_t>(leader)).c_str());

  struct Sent {
    std::string id;
    int status = 0;
    bool complete = false;
  };
  std::mutex mutex;
  std::vector<Sent> all;
  std::atomic<bool> stop{false};
  // The key that the clients of each instance ask for; it changes when keys
  // move.
  const auto key_of = [&](Instance& instance) {
    const auto life = instance.life();
    const Lock lock(judge.mutex);
    for (int key = 0; key < kKeys; ++key) {
      if (life->fence[static_cast<std::size_t>(key)] != 0) {
        return key;
      }
    }
    return -1;
  };
  std::vector<std::thread> clients;
  std::vector<int> keys;
  for (int c = 0; c < kCutInstances; ++c) {
    keys.push_back(key_of(*instances[static_cast<std::size_t>(c)]));
  }
  for (std::size_t d = 0; d < fleet.size(); ++d) {
    if (static_cast<int>(d) == leader) {
      continue;
    }
    for (int c = 0; c < kCutInstances; ++c) {
      clients.emplace_back([&, d, c] {
        Client client(fleet.Front(d));
        while (!stop) {
          const std::string id = NewId();
          const Reply reply =
              client.Send({.method = "POST",
                           .path = "/book/1",
                           .id = id,
                           .deadline_ms = 1500,
                           .key = keys[static_cast<std::size_t>(c)],
                           .body = "viewing"});
          {
            const Lock lock(mutex);
            all.push_back({id, reply.status, reply.complete});
          }
          Sleep(reply.status == 200 ? 150 : 10);
        }
      });
    }
  }
  const auto garble = [&](double share) {
    for (int i = 0; i < kGarblers; ++i) {
      instances[static_cast<std::size_t>(i)]->extra_share = share;
    }
  };
  for (int round = 0; round < kRounds; ++round) {
    if (it.trouble) {
      SAY("the leader loses its path to %d instances for %lld ms",
          kCutInstances, static_cast<long long>(kCutMs));
      for (int c = 0; c < kCutInstances; ++c) {
        instances[static_cast<std::size_t>(c)]->drops_orders = true;
      }
    }
    if (it.trouble) {
      Sleep(kCutMs - kGarbleLeadMs);
      garble(kExtraShare);
      Sleep(kGarbleLeadMs);
    } else {
      Sleep(1500);
    }
    for (int c = 0; c < kCutInstances; ++c) {
      instances[static_cast<std::size_t>(c)]->drops_orders = false;
    }
    if (it.trouble) {
      Sleep(kGarbleMs - kGarbleLeadMs);
      garble(0);
      Sleep(kPauseMs - (kGarbleMs - kGarbleLeadMs));
    } else {
      Sleep(500);
    }
  }
  stop = true;
  for (auto& client : clients) {
    client.join();
  }
  Sleep(1000);
  int refused_and_ran = 0;
  int twice = 0;
  int answered = 0;
  int refused = 0;
  for (const Sent& sent : all) {
    const int runs = judge.CountRuns(sent.id);
    const bool refusal = sent.complete && (sent.status == 429 ||
                                           sent.status == 503 ||
                                           sent.status == 408 ||
                                           sent.status == 421);
    answered += sent.status == 200 ? 1 : 0;
    refused += refusal ? 1 : 0;
    twice += runs > 1 ? 1 : 0;
    if (refusal && runs > 0) {
      ++refused_and_ran;
      SAY("%s was answered %d and has run", sent.id.c_str(), sent.status);
    }
  }
  int answers = 0;
  int extras = 0;
  for (const auto& instance : instances) {
    answers += instance->answers;
    extras += instance->extras;
  }
  SAY("%zu requests: %d answered, %d refused; %d of %d answers of instances "
      "sent twice",
      all.size(), answered, refused, extras, answers);
  SAY("%d refused and run, %d run twice", refused_and_ran, twice);
  if (answered == 0) {
    return kCouldNotRun;
  }
  const bool broken = refused_and_ran > 0 || twice > 0;
  SAY("rules REFUSED and TWICE: %s", broken ? "BROKEN" : "held");
  return broken ? kBroken : kHeld;
}
