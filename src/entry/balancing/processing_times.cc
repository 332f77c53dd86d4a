#include "entry/balancing/processing_times.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace gentianreach::entry {
namespace {

using SecondsDuration = std::chrono::duration<double>;

// Weight of a new sample in the averages over servers.
constexpr double kAverageWeight = 0.02;
// The same for what is learned of routes. With a higher weight, routes that
// take the same time would differ by chance now and then.
constexpr double kLearnedWeight = 0.005;
// Processing time assumed before any server has answered.
constexpr double kInitialProcessingS = 0.1;
// Time constant with which a server's processing time decays to the average,
// and a higher average to kInitialProcessingS. Otherwise servers that once
// looked too slow for every request would never get another one.
constexpr SecondsDuration kProcessingDecayTime{5};
// Time after a sample during which the average does not decay, longer than the
// usual time between two samples.
constexpr Duration kAverageHoldTime = std::chrono::seconds(2);
// Samples of a route or service before its average is used.
constexpr std::uint32_t kMinSamples = 20;
// Routes that differ by less are not told apart: the average of a server then
// serves as well.
constexpr double kSeparatingFactor = 1.25;
// Standard errors by which routes must differ by more than the factor, so that
// they are not told apart by chance.
constexpr double kMinStandardErrors = 3;
// Time after which a route without samples is dropped, such as one that the
// configuration no longer has.
constexpr Duration kUnusedTime = std::chrono::minutes(10);

double Decay(Duration age) {
  return std::exp(-SecondsDuration(age) / kProcessingDecayTime);
}

}  // namespace

void UsualTime::Add(double seconds, TimePoint now, double min_weight) {
  if (seconds_ == 0) {
    seconds_ = seconds;
    level_ = seconds;
    learned_ = seconds;
  } else {
    const double average = Get(now);
    // Rare samples weigh more, so that they do not hold up the average.
    const double weight = std::clamp(1 - Decay(now - at_), min_weight,
                                     std::max(min_weight, kLatencyWeight));
    seconds_ = average + weight * (seconds - average);
    level_ += weight * (seconds - level_);
    weight_ = std::max(kLearnedWeight, 1.0 / (samples_ + 1));
    const double difference = seconds - learned_;
    learned_ += weight_ * difference;
    variance_ = (1 - weight_) * (variance_ + weight_ * difference * difference);
  }
  at_ = now;
  ++samples_;
}

double UsualTime::Get(TimePoint now) const {
  if (seconds_ == 0) {
    return kInitialProcessingS;
  }
  // A lower average stays: it refuses nothing.
  const double target = std::min(kInitialProcessingS, seconds_);
  return target +
         (seconds_ - target) *
             Decay(std::max(now - at_ - kAverageHoldTime, Duration(0)));
}

double ProcessingTimes::Add(const ServerId& server,
                            const RequestKind& kind,
                            double seconds,
                            TimePoint now) {
  ServerTimes& times = servers_[server];
  const double before = Seconds(times, now);
  times.seconds = times.seconds == 0
                      ? seconds
                      : before + kLatencyWeight * (seconds - before);
  times.at = now;
  average_.Add(seconds, now, kAverageWeight);
  const double ratio = MixRatio(kind);
  if (!kind.service.empty()) {
    AddToService(times, kind, seconds, now);
  }
  return seconds * ratio;
}

void ProcessingTimes::AddToService(ServerTimes& server,
                                   const RequestKind& kind,
                                   double seconds,
                                   TimePoint now) {
  const auto known = services_.find(kind.service);
  if (known == services_.end() ||
      (!kind.route.empty() && !known->second.routes.contains(kind.route))) {
    DropUnused(now);
  }
  ServiceTimes& service =
      services_.try_emplace(std::string(kind.service)).first->second;
  UsualTime* const usual =
      kind.route.empty()
          ? &service.mix
          : &service.routes.try_emplace(std::string(kind.route)).first->second;
  // At first the average is that of all samples.
  const auto add = [&](UsualTime& to) {
    to.Add(seconds, now, std::max(kAverageWeight, 1.0 / (to.samples() + 1)));
  };
  if (usual->samples() >= kMinSamples && usual->learned() > 0) {
    const double sample = seconds / usual->learned();
    const double usual_now = usual->level() / usual->learned();
    const double before = usual_now + (server.relative - usual_now) *
                                          Decay(now - server.relative_at);
    server.relative = server.relative == 0
                          ? sample
                          : before + kLatencyWeight * (sample - before);
    server.relative_at = now;
  }
  add(service.mix);
  if (usual != &service.mix) {
    add(*usual);
    service.separated = RoutesDiffer(service);
  }
}

double ProcessingTimes::Get(const ServerId& server,
                            const RequestKind& kind,
                            TimePoint now) const {
  const auto it = servers_.find(server);
  if (const ServiceTimes* service = FindSeparated(kind.service)) {
    const UsualTime& usual = UsualOf(*service, kind.route);
    const double seconds = usual.Get(now);
    if (it == servers_.end() || it->second.relative == 0) {
      return seconds;
    }
    return seconds + (usual.learned() * it->second.relative - seconds) *
                         Decay(now - it->second.relative_at);
  }
  return it == servers_.end() ? Average(now) : Seconds(it->second, now);
}

double ProcessingTimes::MixRatio(const RequestKind& kind) const {
  const ServiceTimes* service = FindSeparated(kind.service);
  if (service == nullptr) {
    return 1;
  }
  const double usual = UsualOf(*service, kind.route).learned();
  return usual > 0 ? service->mix.learned() / usual : 1;
}

const ProcessingTimes::ServiceTimes* ProcessingTimes::FindSeparated(
    std::string_view service) const {
  const auto it = services_.find(service);
  return it == services_.end() || !it->second.separated ? nullptr : &it->second;
}

const UsualTime& ProcessingTimes::UsualOf(const ServiceTimes& service,
                                          std::string_view route) {
  const auto it = service.routes.find(route);
  return it == service.routes.end() || it->second.samples() < kMinSamples
             ? service.mix
             : it->second;
}

bool ProcessingTimes::RoutesDiffer(const ServiceTimes& service) {
  const UsualTime* shortest = nullptr;
  const UsualTime* longest = nullptr;
  for (const auto& [route, it] : service.routes) {
    if (it.samples() < kMinSamples) {
      continue;
    }
    if (shortest == nullptr || it.learned() < shortest->learned()) {
      shortest = &it;
    }
    if (longest == nullptr || it.learned() > longest->learned()) {
      longest = &it;
    }
  }
  if (shortest == longest) {
    return false;
  }
  const double excess =
      longest->learned() - kSeparatingFactor * shortest->learned();
  const double variance =
      longest->ErrorVariance() +
      kSeparatingFactor * kSeparatingFactor * shortest->ErrorVariance();
  return excess > 0 && excess >= kMinStandardErrors * std::sqrt(variance);
}

double ProcessingTimes::Seconds(const ServerTimes& server,
                                TimePoint now) const {
  const double average = Average(now);
  return server.seconds == 0
             ? average
             : average + (server.seconds - average) * Decay(now - server.at);
}

void ProcessingTimes::DropUnused(TimePoint now) {
  for (auto& [name, service] : services_) {
    std::erase_if(service.routes, [&](const auto& it) {
      return now - it.second.latest_at() > kUnusedTime;
    });
    service.separated = RoutesDiffer(service);
  }
  std::erase_if(services_, [&](const auto& it) {
    return now - it.second.mix.latest_at() > kUnusedTime;
  });
}

}  // namespace gentianreach::entry
