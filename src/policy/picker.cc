#include "policy/picker.h"

#include <algorithm>
#include <cmath>

namespace gentianreach {
namespace {

constexpr double kLeastWarmth = 0.05;
constexpr double kSampleWeight = 0.1;
// A report counts less with age and not at all after this time.
constexpr Duration kReportLife = std::chrono::seconds(2);
// Time in which what sets a server's latency apart from the others' halves
// without a new sample, so that one bad moment is not held against it.
constexpr Duration kLatencyHalfLife = std::chrono::seconds(2);
// Time for which a server that shed is held to be full.
constexpr Duration kShedPause = std::chrono::milliseconds(200);
constexpr double kShedCost = 4;
// A report and the own latency contradict each other from this factor on.
constexpr double kLieFactor = 3;
constexpr double kSlowFactor = 3;
constexpr double kLeastSlownessSeconds = 0.002;
constexpr std::uint32_t kEnoughSamples = 10;
constexpr std::uint32_t kFailuresInRow = 5;
// Responses after each of which a server must be the slow one. When a service
// turns slow as a whole, the server that answers first is slow only once.
constexpr std::uint32_t kSlowInRow = 5;
constexpr double kFailureShare = 0.5;
// Ejection times of the daemons differ by up to this share, so that they do
// not all try the server again at the same moment.
constexpr double kJitter = 0.1;
constexpr std::uint32_t kMostDoublings = 10;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double MedianOf(std::vector<double> values) {
  if (values.empty())
    return 0;
  const auto middle = values.begin() + std::ssize(values) / 2;
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

Picker::Picker(PickerOptions options, std::uint64_t seed)
    : options_(options), random_(seed) {}

void Picker::Add(const ServerId& server, bool cold, TimePoint now) {
  const auto [it, added] = servers_.try_emplace(server);
  if (added && cold)
    it->second.cold_until = now + options_.warm_up;
}

void Picker::Remove(const ServerId& server) {
  servers_.erase(server);
}

void Picker::SetLeaving(const ServerId& server, bool leaving) {
  const auto it = servers_.find(server);
  if (it != servers_.end())
    it->second.leaving = leaving;
}

void Picker::OnReport(const ServerId& server,
                      const ServerLoad& load,
                      TimePoint now) {
  const auto it = servers_.find(server);
  if (it == servers_.end())
    return;
  it->second.report = Report{load, now, it->second.outstanding};
}

std::optional<ServerId> Picker::Pick(std::span<const ServerId> tried,
                                     TimePoint now) {
  std::vector<Candidate> candidates = Candidates(tried, false, now);
  if (candidates.empty())
    candidates = Candidates(tried, true, now);
  if (candidates.empty())
    return std::nullopt;
  if (candidates.size() == 1)
    return *candidates.front().id;
  const std::size_t first = Draw(candidates, candidates.size());
  const std::size_t second = Draw(candidates, first);
  const double typical = TypicalLatency();
  const double first_cost = Cost(*candidates[first].server, typical, now);
  const double second_cost = Cost(*candidates[second].server, typical, now);
  return *candidates[second_cost < first_cost ? second : first].id;
}

void Picker::OnSent(const ServerId& server) {
  const auto it = servers_.find(server);
  if (it != servers_.end())
    ++it->second.outstanding;
}

void Picker::OnEnd(const ServerId& id,
                   AttemptEnd end,
                   Duration latency,
                   TimePoint now) {
  const auto it = servers_.find(id);
  if (it == servers_.end())
    return;
  Server& server = it->second;
  if (server.outstanding > 0)
    --server.outstanding;
  if (end == AttemptEnd::kCancelled)
    return;
  if (end == AttemptEnd::kShed) {
    server.full_until = now + kShedPause;
    return;
  }
  // What was sent before the ejection has been judged by it.
  if (now < server.ejected_until)
    return;
  if (end == AttemptEnd::kAnswered)
    Sample(server, latency, now);
  CountFailure(server, end == AttemptEnd::kFailed);
  server.slow_in_row = IsSlow(id, server) ? server.slow_in_row + 1 : 0;
  if (!IsFailing(server) && server.slow_in_row < kSlowInRow)
    return;
  if (MayEject(now))
    Eject(server, now);
}

std::vector<ServerId> Picker::Ejected(TimePoint now) const {
  std::vector<ServerId> ejected;
  for (const auto& [id, server] : servers_) {
    if (now < server.ejected_until)
      ejected.push_back(id);
  }
  return ejected;
}

std::optional<TimePoint> Picker::EjectedUntil(const ServerId& server,
                                              TimePoint now) const {
  const auto it = servers_.find(server);
  if (it == servers_.end() || now >= it->second.ejected_until)
    return std::nullopt;
  return it->second.ejected_until;
}

double Picker::Warmth(const ServerId& server, TimePoint now) const {
  const auto it = servers_.find(server);
  return it == servers_.end() ? kLeastWarmth : Warmth(it->second, now);
}

double Picker::Warmth(const Server& server, TimePoint now) const {
  if (now >= server.cold_until)
    return 1;
  const double left =
      ToSeconds(server.cold_until - now) / ToSeconds(options_.warm_up);
  return std::clamp(1 - left, kLeastWarmth, 1.0);
}

std::vector<Picker::Candidate> Picker::Candidates(
    std::span<const ServerId> tried,
    bool with_ejected,
    TimePoint now) const {
  std::vector<Candidate> candidates;
  for (const auto& [id, server] : servers_) {
    if (server.leaving)
      continue;
    if (!with_ejected && now < server.ejected_until)
      continue;
    if (std::find(tried.begin(), tried.end(), id) != tried.end())
      continue;
    candidates.push_back({&id, &server, Warmth(server, now)});
  }
  return candidates;
}

// Returns the index of a candidate other than `except`, drawn in proportion to
// the warmth.
std::size_t Picker::Draw(const std::vector<Candidate>& candidates,
                         std::size_t except) {
  double sum = 0;
  for (std::size_t n = 0; n < candidates.size(); ++n) {
    if (n != except)
      sum += candidates[n].warmth;
  }
  double left = std::uniform_real_distribution<double>(0, sum)(random_);
  std::size_t drawn = except == 0 ? 1 : 0;
  for (std::size_t n = 0; n < candidates.size(); ++n) {
    if (n == except)
      continue;
    drawn = n;
    left -= candidates[n].warmth;
    if (left < 0)
      break;
  }
  return drawn;
}

// Returns the median of the servers' latencies in seconds, 0 where none is
// known.
double Picker::TypicalLatency() const {
  std::vector<double> latencies;
  for (const auto& [id, server] : servers_) {
    if (server.responses > 0)
      latencies.push_back(server.latency_s);
  }
  return MedianOf(std::move(latencies));
}

// Returns the time in which the server would answer, up to a constant factor.
double Picker::Cost(const Server& server,
                    double typical_s,
                    TimePoint now) const {
  double latency = typical_s;
  if (server.responses > 0) {
    const double age = ToSeconds(now - server.latency_at);
    latency += (server.latency_s - typical_s) *
               std::exp2(-age / ToSeconds(kLatencyHalfLife));
  }
  if (latency <= 0)
    latency = 1;
  const double full = now < server.full_until ? kShedCost : 1;
  return (server.outstanding + 1 + ForeignLoad(server, now)) * latency * full;
}

// Returns how many requests of others the server has by its last report.
double Picker::ForeignLoad(const Server& server, TimePoint now) const {
  if (!server.report || Contradicts(server, server.report->load))
    return 0;
  const double freshness =
      1 - ToSeconds(now - server.report->at) / ToSeconds(kReportLife);
  if (freshness <= 0)
    return 0;
  const ServerLoad& load = server.report->load;
  const double total = static_cast<double>(load.in_flight) + load.queued;
  return std::max(0.0, total - server.report->own) * freshness;
}

// Returns whether the latency seen by own requests cannot be that of a server
// with the load reported.
bool Picker::Contradicts(const Server& server, const ServerLoad& load) const {
  if (server.responses < kEnoughSamples ||
      load.service_time <= Duration::zero())
    return false;
  const double turns = (static_cast<double>(load.in_flight) + load.queued) /
                       std::max(load.slots, 1U);
  const double expected = ToSeconds(load.service_time) * std::max(1.0, turns);
  return server.latency_s > kLieFactor * expected + kLeastSlownessSeconds ||
         server.latency_s * kLieFactor + kLeastSlownessSeconds < expected;
}

void Picker::Sample(Server& server, Duration latency, TimePoint now) {
  const double seconds = ToSeconds(latency);
  ++server.responses;
  server.latency_at = now;
  // The first samples weigh as in a plain mean.
  const double weight = std::max(kSampleWeight, 1.0 / server.responses);
  server.latency_s += weight * (seconds - server.latency_s);
}

void Picker::CountFailure(Server& server, bool failed) {
  ++server.attempts;
  server.failures_in_row = failed ? server.failures_in_row + 1 : 0;
  server.failure_share +=
      kSampleWeight * ((failed ? 1 : 0) - server.failure_share);
}

bool Picker::IsFailing(const Server& server) const {
  return server.failures_in_row >= kFailuresInRow ||
         (server.attempts >= kEnoughSamples &&
          server.failure_share >= kFailureShare);
}

// Compares with the median of the others, so that a service that is slow as a
// whole loses no server.
bool Picker::IsSlow(const ServerId& id, const Server& server) const {
  if (server.responses < kEnoughSamples)
    return false;
  std::vector<double> others;
  for (const auto& [other_id, other] : servers_) {
    if (other_id == id || other.responses < kEnoughSamples)
      continue;
    others.push_back(other.latency_s);
  }
  if (others.size() < 2)
    return false;
  const double median = MedianOf(std::move(others));
  return server.latency_s > kSlowFactor * median &&
         server.latency_s > median + kLeastSlownessSeconds;
}

// Returns whether one more server may be put aside. Leaving servers count for
// nothing: they take no work anyway.
bool Picker::MayEject(TimePoint now) const {
  std::size_t present = 0;
  std::size_t ejected = 0;
  for (const auto& [id, server] : servers_) {
    if (server.leaving)
      continue;
    ++present;
    if (now < server.ejected_until)
      ++ejected;
  }
  if (options_.eject_share <= 0 || present < 2)
    return false;
  const auto share = static_cast<std::size_t>(options_.eject_share *
                                              static_cast<double>(present));
  return ejected < std::min(std::max<std::size_t>(share, 1), present - 1);
}

void Picker::Eject(Server& server, TimePoint now) {
  if (now >= server.forgiven_at)
    server.ejections = 0;
  const double doublings =
      std::exp2(std::min(server.ejections, kMostDoublings));
  const double jitter =
      std::uniform_real_distribution<double>(1, 1 + kJitter)(random_);
  const auto time =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          ToSeconds(options_.first_ejection) * doublings * jitter));
  ++server.ejections;
  server.ejected_until = now + std::min(time, options_.longest_ejection);
  server.forgiven_at = server.ejected_until + options_.longest_ejection;
  server.cold_until = server.ejected_until + options_.warm_up;
  // It is judged anew when it comes back.
  server.responses = 0;
  server.latency_s = 0;
  server.attempts = 0;
  server.failures_in_row = 0;
  server.slow_in_row = 0;
  server.failure_share = 0;
}

}  // namespace gentianreach
