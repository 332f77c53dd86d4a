#include "entry/server_choice.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <random>

#include "entry/request_rules.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

// How long the owner of keys is still used after it has announced to leave: its
// keys have usually moved by then. Servers may expect nothing after two
// seconds.
constexpr Duration kLongestUseOfDraining = milliseconds(1500);
// Random part of the latencies that are compared, so that daemons with the
// same view do not all choose the same server.
constexpr double kChoiceNoise = 0.15;

// A server in another zone is taken when it is faster by this factor: what
// crosses zones is paid for.
constexpr double kOtherZoneFactor = 1.5;

// Servers of a large service of which the best is chosen. Daemons that all
// chose from all servers would all choose the same few.
constexpr std::size_t kSampleSize = 8;
// Those of them that are in the daemon's own zone, where there are as many.
constexpr std::size_t kNearSample = 6;

std::minstd_rand& Generator() {
  static std::minstd_rand generator{std::random_device{}()};
  return generator;
}

double Noise() {
  return std::uniform_real_distribution<double>(1,
                                                1 + kChoiceNoise)(Generator());
}

// Returns up to kSampleSize servers, most of them of `zone` where it has
// enough.
std::vector<const routing::BackendServer*> Sample(
    const std::vector<const routing::BackendServer*>& servers,
    const ZoneName& zone) {
  std::vector<const routing::BackendServer*> near;
  std::vector<const routing::BackendServer*> far;
  for (const routing::BackendServer* it : servers) {
    (it->zone == zone ? near : far).push_back(it);
  }
  std::vector<const routing::BackendServer*> sample;
  std::sample(near.begin(), near.end(), std::back_inserter(sample), kNearSample,
              Generator());
  std::sample(far.begin(), far.end(), std::back_inserter(sample),
              kSampleSize - sample.size(), Generator());
  return sample;
}

ServerChoice Admit(const ChoiceRequest& request,
                   const routing::BackendServer& server,
                   const ServerLoads& loads,
                   TimePoint now) {
  const Duration expected = loads.ExpectedLatency(server, now);
  const Duration longest = LongestLatency(
      request.route, loads.ProcessingTime(server, now), request.time_left);
  if (expected > longest || !loads.HasRoom(server, now)) {
    return {.reason = Reason::kOverload,
            .retry_after =
                std::max<Duration>(expected - longest, kRejectedRetryAfter)};
  }
  return {.server = &server};
}

ServerChoice ChooseOwner(const ChoiceRequest& request,
                         const ServerDirectory& directory,
                         const ServerLoads& loads,
                         const OwnershipView& ownership,
                         TimePoint now) {
  const keyspace::OwnershipTable* table = ownership.Find(request.service.name);
  if (table == nullptr) {
    return {.reason = Reason::kNoOwner, .retry_after = kNotReadyRetryAfter};
  }
  const keyspace::OwnedRange& range = table->Find(*request.key);
  const routing::BackendServer* server = directory.Find(range.owner.server);
  const bool known =
      server != nullptr && server->incarnation == range.owner.incarnation;
  const bool leaves = known && server->draining &&
                      now > server->draining_since + kLongestUseOfDraining;
  if (range.moving() || !known || leaves) {
    return {.reason = Reason::kNoOwner,
            .retry_after = kNotReadyRetryAfter,
            .wait = true};
  }
  if (loads.IsAvoided(server->id, now)) {
    // Its queue is full, or it is gone: more requests would only be lost.
    return {.reason = Reason::kOverload, .retry_after = kRejectedRetryAfter};
  }
  return Admit(request, *server, loads, now);
}

// Returns how little a server is to be preferred.
double Score(const ChoiceRequest& request,
             const routing::BackendServer& server,
             const ServerLoads& loads,
             TimePoint now) {
  const bool is_near = server.zone == request.zone;
  return std::chrono::duration<double>(loads.ExpectedLatency(server, now))
             .count() *
         (1 + loads.Utilization(server, now)) *
         loads.FailurePenalty(server.id, now) *
         (is_near ? 1 : kOtherZoneFactor) * Noise();
}

ServerChoice ChooseAny(const ChoiceRequest& request,
                       const ServerDirectory& directory,
                       const ServerLoads& loads,
                       TimePoint now) {
  std::vector<const routing::BackendServer*> sound;
  std::vector<const routing::BackendServer*> avoided;
  for (const auto& [id, it] : directory.servers()) {
    if (it.service != request.service.name || it.draining ||
        std::find(request.tried.begin(), request.tried.end(), id) !=
            request.tried.end()) {
      continue;
    }
    (loads.IsAvoided(id, now) ? avoided : sound).push_back(&it);
  }
  const auto& servers = sound.empty() ? avoided : sound;
  if (servers.empty()) {
    return {.reason = Reason::kNoServer, .retry_after = kNotReadyRetryAfter};
  }
  const routing::BackendServer* best = nullptr;
  double best_score = std::numeric_limits<double>::max();
  for (const routing::BackendServer* it : Sample(servers, request.zone)) {
    const double score = Score(request, *it, loads, now);
    if (score < best_score) {
      best_score = score;
      best = it;
    }
  }
  return Admit(request, *best, loads, now);
}

}  // namespace

ServerChoice ChooseServer(const ChoiceRequest& request,
                          const ServerDirectory& directory,
                          const ServerLoads& loads,
                          const OwnershipView& ownership,
                          TimePoint now) {
  return request.service.keyed
             ? ChooseOwner(request, directory, loads, ownership, now)
             : ChooseAny(request, directory, loads, now);
}

}  // namespace gentianreach::entry
