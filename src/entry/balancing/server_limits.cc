#include "entry/balancing/server_limits.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "entry/request_rules.h"

namespace gentianreach::entry {
namespace {

using Seconds = std::chrono::duration<double>;

// How much of the limit may be sent at once after a pause.
constexpr Seconds kBurstTime{1};
// Requests per second that all daemons together send at least, since only a
// response tells that a limit has ended.
constexpr double kMinimumRate = 0.5;

}  // namespace

std::optional<double> ParseLimit(std::string_view text) {
  const auto limit = ParseDecimal(text);
  return limit && std::isfinite(*limit) ? limit : std::nullopt;
}

void ServerLimits::SetMembers(std::uint32_t members, TimePoint now) {
  if (members == members_) {
    return;
  }
  for (auto& [server, it] : buckets_) {
    Refill(it, now);
  }
  members_ = std::max(1U, members);
}

bool ServerLimits::Set(const ServerId& server,
                       double per_second,
                       TimePoint now) {
  const auto [it, added] = buckets_.try_emplace(server);
  Bucket& bucket = it->second;
  if (added) {
    bucket.tokens = std::uniform_real_distribution<double>()(generator_);
    bucket.updated_at = now;
  } else if (bucket.limit == per_second) {
    return false;
  }
  Refill(bucket, now);
  bucket.limit = per_second;
  return true;
}

bool ServerLimits::Clear(const ServerId& server) {
  return buckets_.erase(server) > 0;
}

void ServerLimits::SetRest(const ServerId& server, TimePoint until) {
  TimePoint& end = rests_[server];
  end = std::max(end, until);
}

void ServerLimits::Forget(const ServerId& server) {
  buckets_.erase(server);
  rests_.erase(server);
}

std::size_t ServerLimits::CountResting(TimePoint now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      rests_, [&](const auto& it) { return it.second > now; }));
}

void ServerLimits::OnSent(const ServerId& server, TimePoint now) {
  const auto it = buckets_.find(server);
  if (it == buckets_.end()) {
    return;
  }
  Refill(it->second, now);
  it->second.tokens -= 1;
}

TimePoint ServerLimits::NextSend(const ServerId& server, TimePoint now) const {
  TimePoint next = now;
  if (const auto rest = rests_.find(server); rest != rests_.end()) {
    next = std::max(next, rest->second);
  }
  const auto it = buckets_.find(server);
  if (it == buckets_.end()) {
    return next;
  }
  const Seconds wait((1 - TokensAt(it->second, now)) / Rate(it->second));
  return std::max(
      next, now + std::chrono::ceil<Duration>(std::max(wait, Seconds(0))));
}

double ServerLimits::Rate(const Bucket& bucket) const {
  return std::max(bucket.limit, kMinimumRate) / members_;
}

double ServerLimits::TokensAt(const Bucket& bucket, TimePoint now) const {
  const double rate = Rate(bucket);
  const double capacity = std::max(1.0, rate * kBurstTime.count());
  return std::min(
      capacity,
      bucket.tokens + Seconds(now - bucket.updated_at).count() * rate);
}

void ServerLimits::Refill(Bucket& bucket, TimePoint now) const {
  bucket.tokens = TokensAt(bucket, now);
  bucket.updated_at = now;
}

}  // namespace gentianreach::entry
