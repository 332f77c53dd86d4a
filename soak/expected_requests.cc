#include "soak/expected_requests.h"

#include <algorithm>
#include <utility>

namespace gentianreach::soak {

std::string RequestTarget::name() const {
  return key ? kind.path_prefix + std::to_string(*key) : kind.path_prefix;
}

void ExpectedRequests::Expect(std::size_t daemons,
                              const std::vector<RequestKind>& kinds,
                              const std::vector<std::uint32_t>& keys,
                              TimePoint from) {
  from_ = from;
  std::deque<Unserved> all;
  for (const RequestKind& kind : kinds) {
    if (!kind.keyed) {
      all.push_back({{kind, std::nullopt}});
      continue;
    }
    for (const std::uint32_t key : keys) {
      all.push_back({{kind, key}});
    }
  }
  unserved_.assign(daemons, all);
}

std::optional<RequestTarget> ExpectedRequests::Next(std::size_t daemon) {
  if (daemon >= unserved_.size() || unserved_[daemon].empty()) {
    return std::nullopt;
  }
  std::deque<Unserved>& unserved = unserved_[daemon];
  Unserved next = std::move(unserved.front());
  unserved.pop_front();
  ++next.asked;
  unserved.push_back(std::move(next));
  return unserved.back().target;
}

void ExpectedRequests::OnSuccess(std::size_t daemon,
                                 const RequestTarget& target,
                                 TimePoint sent) {
  if (sent < from_ || daemon >= unserved_.size()) {
    return;
  }
  std::erase_if(unserved_[daemon], [&](const Unserved& it) {
    return it.target.name() == target.name();
  });
}

bool ExpectedRequests::AllServed() const {
  return std::ranges::all_of(unserved_,
                             [](const auto& it) { return it.empty(); });
}

std::string ExpectedRequests::DescribeUnserved() const {
  std::size_t n = 0;
  std::string first;
  for (std::size_t i = 0; i < unserved_.size(); ++i) {
    if (n == 0 && !unserved_[i].empty()) {
      const Unserved& it = unserved_[i].front();
      first = it.target.name() + " by d" + std::to_string(i) + ", asked for " +
              std::to_string(it.asked) + " times by its probe";
    }
    n += unserved_[i].size();
  }
  return n == 0 ? "nothing" : std::to_string(n) + " of them, first " + first;
}

}  // namespace gentianreach::soak
