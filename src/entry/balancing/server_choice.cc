#include "entry/balancing/server_choice.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <optional>
#include <random>

#include "entry/request_rules.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

// Largest random increase of a score, so that daemons with the same data
// do not all choose the same server.
constexpr double kScoreJitter = 0.15;

// A server in another availability zone is chosen only if it is faster by this
// factor, since traffic between zones costs money.
constexpr double kOtherZoneFactor = 1.5;

// Number of randomly sampled servers among which the best is chosen. If every
// daemon compared all servers, all daemons would choose the same few.
constexpr std::size_t kSampleSize = 8;
// How many of them are from the daemon's own zone, if it has that many.
constexpr std::size_t kLocalSampleSize = 6;

// Returns the random number generator of the process.
std::minstd_rand& Generator() {
  static std::minstd_rand generator{std::random_device{}()};
  return generator;
}

double ScoreJitter() {
  return std::uniform_real_distribution<double>(1,
                                                1 + kScoreJitter)(Generator());
}

// Returns up to kSampleSize random servers, up to kLocalSampleSize of them in
// `zone`.
std::vector<const routing::BackendServer*> Sample(
    const std::vector<const routing::BackendServer*>& servers,
    const ZoneName& zone) {
  std::vector<const routing::BackendServer*> local;
  std::vector<const routing::BackendServer*> remote;
  for (const routing::BackendServer* it : servers) {
    (it->zone == zone ? local : remote).push_back(it);
  }
  std::vector<const routing::BackendServer*> sample;
  std::sample(local.begin(), local.end(), std::back_inserter(sample),
              kLocalSampleSize, Generator());
  std::sample(remote.begin(), remote.end(), std::back_inserter(sample),
              kSampleSize - sample.size(), Generator());
  return sample;
}

// Returns until when requests may be written to `server`.
TimePoint SendUntil(const routing::BackendServer& server,
                    const KnownServers& known) {
  return std::min(known.drain_bound.SendUntil(server, known.entries),
                  known.evacuations.SendUntil(server.zone));
}

// Returns until when servers of the service may get requests for their keys if
// all that do not drain are in evacuated zones; nullopt if there are others or
// none at all.
std::optional<TimePoint> EvacuatedFrom(const ChoiceRequest& request,
                                       const KnownServers& known) {
  std::optional<TimePoint> latest;
  for (const routing::BackendServer* it :
       known.directory.OfService(request.service.name)) {
    if (it->draining) {
      continue;
    }
    if (!known.evacuations.IsEvacuated(it->zone)) {
      return std::nullopt;
    }
    const TimePoint until = known.evacuations.SendUntil(it->zone);
    latest = std::max(latest.value_or(until), until);
  }
  return latest;
}

// Returns `server`, or a refusal if it is full or could not respond in time.
ServerChoice Admit(const ChoiceRequest& request,
                   const routing::BackendServer& server,
                   const KnownServers& known,
                   TimePoint now) {
  const ServerLoads& loads = known.loads;
  const Duration expected =
      loads.ExpectedLatency(server, now, request.route.name);
  const Duration max_latency = MaxExpectedLatency(
      request.route, loads.ProcessingTime(server, now, request.route.name),
      request.time_left);
  if (expected > max_latency || !loads.HasRoom(server, now)) {
    return {.reason = Reason::kOverload,
            .retry_after = std::max<Duration>(expected - max_latency,
                                              kRejectedRetryAfter)};
  }
  return {.server = &server, .send_until = SendUntil(server, known)};
}

// Returns the refusal of a request that no server takes before `next_send` by
// their limits and the rests that they ask for.
ServerChoice RefuseOverLimit(TimePoint next_send, TimePoint now) {
  return {
      .reason = Reason::kOverLimit,
      .retry_after = std::max<Duration>(next_send - now, kRejectedRetryAfter)};
}

// Returns the refusal of a request whose key has no owner that may get it.
// `server` is the owner, or null if it is not known.
ServerChoice RefuseWithoutOwner(const ChoiceRequest& request,
                                const routing::BackendServer* server,
                                const KnownServers& known,
                                TimePoint now) {
  const auto service_until = EvacuatedFrom(request, known);
  const TimePoint owner_until = server != nullptr
                                    ? known.evacuations.SendUntil(server->zone)
                                    : service_until.value_or(TimePoint::max());
  const bool evacuated = now >= owner_until;
  if (evacuated && service_until) {
    return {.reason = Reason::kEvacuated, .retry_after = kNotReadyRetryAfter};
  }
  // Without the store, keys do not move.
  return {.reason = Reason::kNoOwner,
          .retry_after = kNotReadyRetryAfter,
          .wait = !(evacuated && known.entries.store_lost)};
}

// Returns the owner of the key of a request for a keyed service.
ServerChoice ChooseOwner(const ChoiceRequest& request,
                         const KnownServers& known,
                         TimePoint now) {
  const keyspace::OwnershipTable* table =
      known.ownership.Find(request.service.name);
  if (table == nullptr) {
    return {.reason = Reason::kNoOwner, .retry_after = kNotReadyRetryAfter};
  }
  const keyspace::OwnedRange& range = table->Find(*request.key);
  const routing::BackendServer* server =
      known.directory.Find(range.owner.server);
  const bool is_listed =
      server != nullptr && server->incarnation == range.owner.incarnation;
  const bool ended = is_listed && now >= SendUntil(*server, known);
  if (range.moving() || !is_listed || ended) {
    return RefuseWithoutOwner(request, server, known, now);
  }
  if (known.loads.IsAvoided(server->id, now)) {
    // The owner is overloaded or gone: more requests would only be lost.
    return {.reason = Reason::kOverload, .retry_after = kRejectedRetryAfter};
  }
  const TimePoint next_send = known.limits.NextSend(server->id, now);
  if (next_send > now) {
    return RefuseOverLimit(next_send, now);
  }
  return Admit(request, *server, known, now);
}

// Returns the score of a server; the lowest score is best.
double Score(const ChoiceRequest& request,
             const routing::BackendServer& server,
             const ServerLoads& loads,
             TimePoint now) {
  const bool costs_factor =
      request.zone_crossing == Duration(0) && server.zone != request.zone;
  return std::chrono::duration<double>(
             loads.ExpectedLatency(server, now, request.route.name))
             .count() *
         (1 + loads.Utilization(server, now)) *
         loads.FailurePenalty(server.id, now) *
         (costs_factor ? kOtherZoneFactor : 1) * ScoreJitter();
}

// Returns the server with the lowest score, or null if there is none.
const routing::BackendServer* Best(
    const std::vector<const routing::BackendServer*>& servers,
    const ChoiceRequest& request,
    const ServerLoads& loads,
    TimePoint now) {
  const routing::BackendServer* best = nullptr;
  double best_score = std::numeric_limits<double>::max();
  for (const routing::BackendServer* it : servers) {
    const double score = Score(request, *it, loads, now);
    if (score < best_score) {
      best_score = score;
      best = it;
    }
  }
  return best;
}

// Returns the best server where crossing zones costs time: the best of the own
// zone that has a free slot and meets the objective; otherwise the best of
// another zone, if it answers sooner although the crossing costs time.
const routing::BackendServer* BestByCrossing(
    const std::vector<const routing::BackendServer*>& servers,
    const ChoiceRequest& request,
    const ServerLoads& loads,
    TimePoint now) {
  // A request that fails at a server takes longer, as it is sent again.
  const auto latency = [&](const routing::BackendServer& it) {
    return loads.ExpectedLatency(it, now, request.route.name) *
           loads.FailurePenalty(it.id, now);
  };
  std::vector<const routing::BackendServer*> good;
  std::vector<const routing::BackendServer*> local;
  std::vector<const routing::BackendServer*> remote;
  for (const routing::BackendServer* it : servers) {
    if (it->zone != request.zone) {
      remote.push_back(it);
      continue;
    }
    local.push_back(it);
    if (loads.HasFreeSlot(*it, now) &&
        latency(*it) <= request.route.latency_objective) {
      good.push_back(it);
    }
  }
  if (!good.empty()) {
    return Best(good, request, loads, now);
  }
  const auto* const near = Best(local, request, loads, now);
  const auto* const far = Best(remote, request, loads, now);
  if (near == nullptr || far == nullptr) {
    return near == nullptr ? far : near;
  }
  return latency(*far) + request.zone_crossing < latency(*near) ? far : near;
}

// Returns the best server for a request without a key. Servers that are avoided
// after failures are used only if there are no others.
ServerChoice ChooseAny(const ChoiceRequest& request,
                       const KnownServers& known,
                       TimePoint now) {
  std::vector<const routing::BackendServer*> healthy;
  std::vector<const routing::BackendServer*> avoided;
  // The earliest time at which a limited or resting server takes a request.
  TimePoint next_send = TimePoint::max();
  for (const routing::BackendServer* it :
       known.directory.OfService(request.service.name)) {
    if (it->draining ||
        std::find(request.tried.begin(), request.tried.end(), it->id) !=
            request.tried.end() ||
        known.evacuations.IsEvacuated(it->zone)) {
      continue;
    }
    if (const TimePoint at = known.limits.NextSend(it->id, now); at > now) {
      next_send = std::min(next_send, at);
      continue;
    }
    (known.loads.IsAvoided(it->id, now) ? avoided : healthy).push_back(it);
  }
  const auto& servers = healthy.empty() ? avoided : healthy;
  if (servers.empty() && next_send != TimePoint::max()) {
    return RefuseOverLimit(next_send, now);
  }
  if (servers.empty()) {
    return {.reason = EvacuatedFrom(request, known) ? Reason::kEvacuated
                                                    : Reason::kNoServer,
            .retry_after = kNotReadyRetryAfter};
  }
  const auto sample = Sample(servers, request.zone);
  const routing::BackendServer* const best =
      request.zone_crossing > Duration(0)
          ? BestByCrossing(sample, request, known.loads, now)
          : Best(sample, request, known.loads, now);
  return Admit(request, *best, known, now);
}

}  // namespace

ServerChoice ChooseServer(const ChoiceRequest& request,
                          const KnownServers& known,
                          TimePoint now) {
  if (now >= known.drain_bound.EntriesUntil(known.entries)) {
    return {.reason = Reason::kOutdated, .retry_after = kNotReadyRetryAfter};
  }
  return request.service.keyed ? ChooseOwner(request, known, now)
                               : ChooseAny(request, known, now);
}

void SeedChoices(std::uint32_t seed) {
  Generator().seed(seed);
}

}  // namespace gentianreach::entry
