#include "entry/balancing/hedge_policy.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace gentianreach::entry {
namespace {

namespace bh = boost::histogram;

using Seconds = std::chrono::duration<double>;

// Bins of equal width on a logarithmic scale: a bin ends 8 % above its start.
constexpr unsigned kBinCount = 128;
constexpr double kMinSeconds = 0.001;
constexpr double kMaxSeconds = 20;
// A window ends after this time if it has enough responses by then, and after
// the longest time in any case: an older quantile tells nothing.
constexpr Duration kWindow = std::chrono::seconds(10);
constexpr Duration kMaxWindow = std::chrono::seconds(60);
// The quantile is computed once in this time, since it takes a pass over the
// bins.
constexpr Duration kQuantileAge = std::chrono::milliseconds(100);
// Second attempts that may be made at once after a time without any. A few are
// enough for a server that stalls with several requests; more would arrive
// together at the others.
constexpr double kMaxTokens = 4;
// Second attempts leave this share of the retry budget to retries.
constexpr double kBudgetLeft = 0.5;
// How long a service counts as short of capacity after a refused request,
// whatever the estimates say of single servers.
constexpr Duration kShortage = std::chrono::seconds(1);
// An attempt without a second one is looked at again after this part of the
// time that it has taken, but not at once.
constexpr int kRecheckDivisor = 4;
constexpr Duration kMinRecheck = std::chrono::milliseconds(10);
// Servers without a free slot that are passed over in the choice of a server.
constexpr int kMaxChoices = 4;

}  // namespace

std::string_view ToString(HedgeRefusal refusal) {
  switch (refusal) {
    case HedgeRefusal::kNone:
      return "none";
    case HedgeRefusal::kNoQuantile:
      return "no_quantile";
    case HedgeRefusal::kShare:
      return "share";
    case HedgeRefusal::kRetryBudget:
      return "retry_budget";
    case HedgeRefusal::kNoCapacity:
      return "no_capacity";
    case HedgeRefusal::kPath:
      return "path";
    case HedgeRefusal::kStopping:
      return "stopping";
    case HedgeRefusal::kNoConnection:
      return "no_connection";
  }
  return "unknown";
}

HedgePolicy::HedgePolicy(HedgeOptions options) : options_(std::move(options)) {}

bool HedgePolicy::Covers(const std::string& service) const {
  return options_.share > 0 && (options_.services.empty() ||
                                std::ranges::find(options_.services, service) !=
                                    options_.services.end());
}

void HedgePolicy::OnRequest(const std::string& service) {
  if (Covers(service)) {
    double& tokens = tokens_[service];
    tokens = std::min(tokens + options_.share, kMaxTokens);
  }
}

void HedgePolicy::OnShortage(const std::string& service, TimePoint now) {
  if (Covers(service)) {
    short_until_[service] = now + kShortage;
  }
}

void HedgePolicy::OnResponse(const RequestKind& kind,
                             Duration latency,
                             TimePoint now) {
  const std::pair key{std::string(kind.service), std::string(kind.route)};
  if (!Covers(key.first)) {
    return;
  }
  auto it = responses_.find(key);
  if (it == responses_.end()) {
    it = responses_
             .emplace(key, Responses{.current = NewWindow(now),
                                     .previous = NewWindow(now)})
             .first;
  }
  Rotate(it->second, now);
  Window& window = it->second.current;
  window.histogram(Seconds(latency).count());
  ++window.responses;
}

std::optional<Duration> HedgePolicy::Delay(const RequestKind& kind,
                                           TimePoint now) {
  const auto it =
      responses_.find({std::string(kind.service), std::string(kind.route)});
  if (it == responses_.end()) {
    return std::nullopt;
  }
  Responses& responses = it->second;
  Rotate(responses, now);
  if (!responses.delay || now - responses.computed_at >= kQuantileAge) {
    responses.delay = Quantile(responses);
    responses.computed_at = now;
  }
  return responses.delay;
}

Duration HedgePolicy::RecheckDelay(Duration elapsed) {
  return std::max<Duration>(elapsed / kRecheckDivisor, kMinRecheck);
}

HedgePolicy::Window HedgePolicy::NewWindow(TimePoint now) {
  return {.histogram = bh::make_histogram(
              bh::axis::regular<double, bh::axis::transform::log>(
                  kBinCount, kMinSeconds, kMaxSeconds)),
          .begun_at = now};
}

void HedgePolicy::Rotate(Responses& responses, TimePoint now) {
  const Duration age = now - responses.current.begun_at;
  if (age < kWindow ||
      (age < kMaxWindow && responses.current.responses < kMinResponses)) {
    return;
  }
  responses.previous = std::exchange(responses.current, NewWindow(now));
  if (age >= 2 * kMaxWindow) {
    responses.previous = NewWindow(now);
  }
  responses.delay.reset();
}

std::optional<Duration> HedgePolicy::Quantile(
    const Responses& responses) const {
  const Window& current = responses.current;
  const Window& previous = responses.previous;
  const std::uint32_t total = current.responses + previous.responses;
  if (total < kMinResponses) {
    return std::nullopt;
  }
  const double wanted = total * options_.quantile;
  double count = 0;
  for (auto&& bin : bh::indexed(current.histogram, bh::coverage::all)) {
    const double in_bin =
        static_cast<double>(*bin) +
        static_cast<double>(previous.histogram.at(bin.index()));
    if (count + in_bin < wanted) {
      count += in_bin;
      continue;
    }
    // The first and the last bin have no bounds of their own.
    const double lower = std::max(bin.bin().lower(), 0.0);
    const double upper = std::min(bin.bin().upper(), kMaxSeconds);
    const double share = in_bin > 0 ? (wanted - count) / in_bin : 1;
    const double seconds =
        upper <= lower ? kMaxSeconds : lower + (upper - lower) * share;
    return std::chrono::round<Duration>(Seconds(seconds));
  }
  return std::chrono::round<Duration>(Seconds(kMaxSeconds));
}

HedgeRefusal HedgePolicy::Check(const std::string& service,
                                RetryBudget& budget,
                                TimePoint now) const {
  if (const auto it = short_until_.find(service);
      it != short_until_.end() && now < it->second) {
    return HedgeRefusal::kNoCapacity;
  }
  const auto it = tokens_.find(service);
  if (it == tokens_.end() || it->second < 1) {
    return HedgeRefusal::kShare;
  }
  return budget.Left(now) > budget.limit() * kBudgetLeft &&
                 budget.Left(now) >= 1
             ? HedgeRefusal::kNone
             : HedgeRefusal::kRetryBudget;
}

HedgeRefusal HedgePolicy::TryTake(const std::string& service,
                                  RetryBudget& budget,
                                  TimePoint now) {
  const HedgeRefusal refusal = Check(service, budget, now);
  if (refusal != HedgeRefusal::kNone) {
    return refusal;
  }
  if (!budget.TryRetry(now)) {
    return HedgeRefusal::kRetryBudget;
  }
  tokens_[service] -= 1;
  return HedgeRefusal::kNone;
}

ServerChoice ChooseSecond(const ChoiceRequest& request,
                          const KnownServers& known,
                          TimePoint now) {
  std::vector<ServerId> passed_over = request.tried;
  for (int i = 0; i < kMaxChoices; ++i) {
    const ServerChoice choice =
        ChooseServer({.route = request.route,
                      .service = request.service,
                      .key = request.key,
                      .tried = passed_over,
                      .time_left = request.time_left,
                      .zone = request.zone,
                      .zone_crossing = request.zone_crossing},
                     known, now);
    if (choice.server == nullptr) {
      return choice;
    }
    const routing::BackendServer& server = *choice.server;
    const double requests = known.loads.Utilization(server, now) * server.slots;
    if (now >= server.warm_at && requests + 1 <= server.slots &&
        !known.loads.IsAvoided(server.id, now)) {
      return choice;
    }
    passed_over.push_back(server.id);
  }
  return {.reason = Reason::kOverload, .retry_after = kRejectedRetryAfter};
}

}  // namespace gentianreach::entry
