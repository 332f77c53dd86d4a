#include "policy/picker.h"

#include <algorithm>
#include <cmath>

namespace gentianreach {
namespace {

constexpr double kMinWarmUpWeight = 0.05;
constexpr double kSampleWeight = 0.1;
// The weight of a load report declines with its age and is zero from this age
// on.
constexpr Duration kReportLifetime = std::chrono::seconds(2);
// Without new samples, the difference between a server's latency and the
// typical one halves in this time, so that a brief slowdown has no lasting
// effect.
constexpr Duration kLatencyHalfLife = std::chrono::seconds(2);
// Time for which a server that has shed a request is assumed to be full.
constexpr Duration kShedPenaltyTime = std::chrono::milliseconds(200);
constexpr double kShedCostFactor = 4;
// A load report and the measured latency contradict each other if they differ
// by more than this factor.
constexpr double kContradictionFactor = 3;
constexpr double kSlowLatencyFactor = 3;
constexpr double kMinSlownessSeconds = 0.002;
constexpr std::uint32_t kMinSamples = 10;
constexpr std::uint32_t kMaxConsecutiveFailures = 5;
// A server is ejected once it was slow after this many consecutive attempts.
// When a whole service becomes slow, the first server to respond looks slow
// only once.
constexpr std::uint32_t kMaxConsecutiveSlow = 5;
constexpr double kMaxFailureShare = 0.5;
// Ejections are extended at random by up to this share, so that the daemons do
// not all return to the server at the same time.
constexpr double kMaxEjectionJitter = 0.1;
constexpr std::uint32_t kMaxDoublings = 10;

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
    server.shed_penalty_until = now + kShedPenaltyTime;
    return;
  }
  // The ejection already accounts for attempts sent before it.
  if (now < server.ejected_until)
    return;
  if (end == AttemptEnd::kAnswered)
    AddLatencySample(server, latency, now);
  RecordOutcome(server, end == AttemptEnd::kFailed);
  server.consecutive_slow =
      IsSlow(id, server) ? server.consecutive_slow + 1 : 0;
  if (!IsFailing(server) && server.consecutive_slow < kMaxConsecutiveSlow)
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

double Picker::WarmUpWeight(const ServerId& server, TimePoint now) const {
  const auto it = servers_.find(server);
  return it == servers_.end() ? kMinWarmUpWeight
                              : WarmUpWeight(it->second, now);
}

double Picker::WarmUpWeight(const Server& server, TimePoint now) const {
  if (now >= server.cold_until)
    return 1;
  const double left =
      ToSeconds(server.cold_until - now) / ToSeconds(options_.warm_up);
  return std::clamp(1 - left, kMinWarmUpWeight, 1.0);
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
    candidates.push_back({&id, &server, WarmUpWeight(server, now)});
  }
  return candidates;
}

// Returns the index of a random candidate other than `except`, weighted by the
// candidates' weights.
std::size_t Picker::Draw(const std::vector<Candidate>& candidates,
                         std::size_t except) {
  double sum = 0;
  for (std::size_t n = 0; n < candidates.size(); ++n) {
    if (n != except)
      sum += candidates[n].weight;
  }
  double left = std::uniform_real_distribution<double>(0, sum)(random_);
  std::size_t drawn = except == 0 ? 1 : 0;
  for (std::size_t n = 0; n < candidates.size(); ++n) {
    if (n == except)
      continue;
    drawn = n;
    left -= candidates[n].weight;
    if (left < 0)
      break;
  }
  return drawn;
}

// Returns the median of the servers' latencies in seconds, or 0 if no latency
// is known.
double Picker::TypicalLatency() const {
  std::vector<double> latencies;
  for (const auto& [id, server] : servers_) {
    if (server.responses > 0)
      latencies.push_back(server.latency_s);
  }
  return MedianOf(std::move(latencies));
}

// Returns the expected response time of the server, up to a constant factor.
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
  const double full = now < server.shed_penalty_until ? kShedCostFactor : 1;
  return (server.outstanding + 1 + LoadFromOthers(server, now)) * latency *
         full;
}

// Returns the number of other daemons' requests at the server, according to its
// last load report and discounted by the age of that report.
double Picker::LoadFromOthers(const Server& server, TimePoint now) const {
  if (!server.report || Contradicts(server, server.report->load))
    return 0;
  const double freshness =
      1 - ToSeconds(now - server.report->at) / ToSeconds(kReportLifetime);
  if (freshness <= 0)
    return 0;
  const ServerLoad& load = server.report->load;
  const double total = static_cast<double>(load.in_flight) + load.queued;
  return std::max(0.0, total - server.report->own_outstanding) * freshness;
}

// Returns whether the latency measured by this daemon is inconsistent with the
// reported load.
bool Picker::Contradicts(const Server& server, const ServerLoad& load) const {
  if (server.responses < kMinSamples || load.service_time <= Duration::zero())
    return false;
  const double turns = (static_cast<double>(load.in_flight) + load.queued) /
                       std::max(load.slots, 1U);
  const double expected = ToSeconds(load.service_time) * std::max(1.0, turns);
  return server.latency_s >
             kContradictionFactor * expected + kMinSlownessSeconds ||
         server.latency_s * kContradictionFactor + kMinSlownessSeconds <
             expected;
}

void Picker::AddLatencySample(Server& server, Duration latency, TimePoint now) {
  const double seconds = ToSeconds(latency);
  ++server.responses;
  server.latency_at = now;
  // The first samples are averaged with equal weights.
  const double weight = std::max(kSampleWeight, 1.0 / server.responses);
  server.latency_s += weight * (seconds - server.latency_s);
}

void Picker::RecordOutcome(Server& server, bool failed) {
  ++server.attempts;
  server.consecutive_failures = failed ? server.consecutive_failures + 1 : 0;
  server.failure_share +=
      kSampleWeight * ((failed ? 1 : 0) - server.failure_share);
}

bool Picker::IsFailing(const Server& server) const {
  return server.consecutive_failures >= kMaxConsecutiveFailures ||
         (server.attempts >= kMinSamples &&
          server.failure_share >= kMaxFailureShare);
}

// Compares with the median of the other servers, so that no server is ejected
// when the whole service is slow.
bool Picker::IsSlow(const ServerId& id, const Server& server) const {
  if (server.responses < kMinSamples)
    return false;
  std::vector<double> others;
  for (const auto& [other_id, other] : servers_) {
    if (other_id == id || other.responses < kMinSamples)
      continue;
    others.push_back(other.latency_s);
  }
  if (others.size() < 2)
    return false;
  const double median = MedianOf(std::move(others));
  return server.latency_s > kSlowLatencyFactor * median &&
         server.latency_s > median + kMinSlownessSeconds;
}

// Returns whether one more server may be ejected. Leaving servers are not
// counted because they get no new requests anyway.
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
  if (now >= server.ejections_reset_at)
    server.ejections = 0;
  const double doublings = std::exp2(std::min(server.ejections, kMaxDoublings));
  const double jitter = std::uniform_real_distribution<double>(
      1, 1 + kMaxEjectionJitter)(random_);
  const auto time =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          ToSeconds(options_.initial_ejection) * doublings * jitter));
  ++server.ejections;
  server.ejected_until = now + std::min(time, options_.max_ejection);
  server.ejections_reset_at = server.ejected_until + options_.max_ejection;
  server.cold_until = server.ejected_until + options_.warm_up;
  // Statistics start over when the server returns.
  server.responses = 0;
  server.latency_s = 0;
  server.attempts = 0;
  server.consecutive_failures = 0;
  server.consecutive_slow = 0;
  server.failure_share = 0;
}

}  // namespace gentianreach
