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
// Keeps the time of the next token within the range of TimePoint.
constexpr Seconds kLongestWait{3600};

}  // namespace

std::optional<double> ParseLimit(std::string_view text) {
  const auto limit = ParseDecimal(text);
  return limit && std::isfinite(*limit) ? limit : std::nullopt;
}

void ServerLimits::SetMembers(std::uint32_t senders,
                              std::uint32_t members,
                              TimePoint now) {
  senders = std::max(1U, senders);
  members = std::max(senders, members);
  if (senders == members_ && members == warmup_members_) {
    return;
  }
  for (Buckets* buckets : {&buckets_, &warmups_}) {
    for (auto& [server, it] : *buckets) {
      Refill(it, now);
    }
  }
  members_ = senders;
  warmup_members_ = members;
}

ServerLimits::Bucket& ServerLimits::Find(Buckets& buckets,
                                         const ServerId& server,
                                         TimePoint now) {
  const auto [it, added] = buckets.try_emplace(server);
  if (added) {
    it->second.tokens = std::uniform_real_distribution<double>()(generator_);
    it->second.updated_at = now;
  }
  return it->second;
}

bool ServerLimits::Set(const ServerId& server,
                       double per_second,
                       TimePoint now) {
  const bool known = buckets_.contains(server);
  Bucket& bucket = Find(buckets_, server, now);
  if (known && bucket.limit == per_second) {
    return false;
  }
  Refill(bucket, now);
  bucket.limit = per_second;
  return true;
}

bool ServerLimits::SetWarmup(const ServerId& server,
                             double per_second,
                             TimePoint until,
                             TimePoint now) {
  const bool was_cold = WarmupRate(server, now).has_value();
  if (per_second <= 0) {
    warmups_.erase(server);
    return false;
  }
  if (until <= now && !was_cold) {
    return false;
  }
  Bucket& bucket = Find(warmups_, server, now);
  Refill(bucket, now);
  bucket.limit = per_second;
  bucket.cold_until = until;
  return !was_cold;
}

std::optional<double> ServerLimits::WarmupRate(const ServerId& server,
                                               TimePoint now) const {
  const auto it = warmups_.find(server);
  return it == warmups_.end() || now >= it->second.cold_until
             ? std::nullopt
             : std::optional(it->second.limit);
}

std::size_t ServerLimits::CountCold(TimePoint now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      warmups_, [&](const auto& it) { return it.second.cold_until > now; }));
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
  warmups_.erase(server);
  rests_.erase(server);
}

std::size_t ServerLimits::CountResting(TimePoint now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      rests_, [&](const auto& it) { return it.second > now; }));
}

void ServerLimits::OnSent(const ServerId& server, TimePoint now) {
  for (Buckets* buckets : {&buckets_, &warmups_}) {
    const auto it = buckets->find(server);
    if (it == buckets->end() || it->second.cold_until.value_or(now) < now) {
      continue;
    }
    Refill(it->second, now);
    it->second.tokens -= 1;
  }
}

TimePoint ServerLimits::NextSend(const ServerId& server, TimePoint now) const {
  TimePoint next = now;
  if (const auto rest = rests_.find(server); rest != rests_.end()) {
    next = std::max(next, rest->second);
  }
  if (const auto it = buckets_.find(server); it != buckets_.end()) {
    next = std::max(next, NextToken(it->second, now));
  }
  if (const auto it = warmups_.find(server); it != warmups_.end()) {
    next = std::max(
        next, std::min(NextToken(it->second, now), *it->second.cold_until));
  }
  return next;
}

TimePoint ServerLimits::NextToken(const Bucket& bucket, TimePoint now) const {
  const Seconds wait((1 - TokensAt(bucket, now)) / Rate(bucket));
  return now + std::chrono::ceil<Duration>(
                   std::clamp(wait, Seconds(0), kLongestWait));
}

double ServerLimits::Rate(const Bucket& bucket) const {
  return bucket.cold_until ? bucket.limit * kWarmupShare / warmup_members_
                           : std::max(bucket.limit, kMinimumRate) / members_;
}

double ServerLimits::TokensAt(const Bucket& bucket, TimePoint now) const {
  const double rate = Rate(bucket);
  const double tokens =
      bucket.tokens + Seconds(now - bucket.updated_at).count() * rate;
  if (!bucket.cold_until) {
    return std::min(std::max(1.0, rate * kBurstTime.count()), tokens);
  }
  const double capacity = 1 + rate * Seconds(kWarmupTokenLife).count();
  // Each token that lapses makes room for a new one.
  return tokens < capacity ? tokens
                           : capacity - 1 + std::fmod(tokens - capacity, 1.0);
}

void ServerLimits::Refill(Bucket& bucket, TimePoint now) const {
  bucket.tokens = TokensAt(bucket, now);
  bucket.updated_at = now;
}

}  // namespace gentianreach::entry
