#include "keyspace/renewal_pacer.h"

#include <cstdint>
#include <iterator>

namespace gentianreach::keyspace {
namespace {

// Renewals that are sent at the same time, so that the assigner need not be
// polled for each of them.
constexpr std::int64_t kBatchSize = 8;

}  // namespace

void RenewalPacer::Reset(std::size_t range_count) {
  range_count_ = range_count;
  waiting_.Reset(range_count);
}

std::vector<std::size_t> RenewalPacer::Take(TimePoint now) {
  if (now < next_at_) {
    return {};
  }
  std::vector<std::size_t> taken = waiting_.TakeDue(now, kBatchSize);
  if (taken.empty()) {
    return taken;
  }
  // A caller that is late by up to one batch catches up.
  const Duration spacing =
      Duration(spread_) / static_cast<std::int64_t>(range_count_);
  next_at_ = std::max(next_at_, now - kBatchSize * spacing) +
             std::ssize(taken) * spacing;
  return taken;
}

}  // namespace gentianreach::keyspace
