#include "keyspace/renewal_pacer.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace gentianreach::keyspace {
namespace {

// Renewals that are sent at the same time, so that the assigner need not be
// polled for each of them.
constexpr std::ptrdiff_t kBatchSize = 8;

}  // namespace

std::vector<std::size_t> RenewalPacer::Take(std::vector<DueRenewal> due,
                                            std::size_t range_count,
                                            TimePoint now) {
  std::vector<std::size_t> taken;
  if (due.empty() || now < next_at_) {
    return taken;
  }
  const auto n = std::min(std::ssize(due), kBatchSize);
  std::partial_sort(due.begin(), due.begin() + n, due.end(),
                    [](const DueRenewal& a, const DueRenewal& b) {
                      return std::tie(a.due_at, a.range) <
                             std::tie(b.due_at, b.range);
                    });
  for (auto it = due.begin(); it != due.begin() + n; ++it) {
    taken.push_back(it->range);
  }
  // A caller that is late by up to one batch catches up.
  const Duration spacing =
      Duration(spread_) / static_cast<std::int64_t>(range_count);
  next_at_ = std::max(next_at_, now - kBatchSize * spacing) + n * spacing;
  return taken;
}

}  // namespace gentianreach::keyspace
