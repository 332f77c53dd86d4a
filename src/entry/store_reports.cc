#include "entry/store_reports.h"

#include <algorithm>

namespace gentianreach::entry {

void StoreReports::OnMembers(const std::vector<std::string>& addresses,
                             TimePoint now) {
  for (const std::string& it : addresses) {
    voters_[it].named_at = now;
  }
  std::erase_if(voters_, [now](const auto& it) {
    return now >= it.second.named_at + kVoteTime;
  });
  while (voters_.size() > kMaxVoters) {
    voters_.erase(std::ranges::min_element(
        voters_, {}, [](const auto& it) { return it.second.named_at; }));
  }
}

void StoreReports::OnReport(const std::string& address,
                            bool calls_fail,
                            TimePoint at) {
  const auto it = voters_.find(address);
  if (it != voters_.end()) {
    it->second.failed_at = calls_fail ? at : TimePoint{};
  }
}

bool StoreReports::DoMostCallsFail(bool own_calls_fail, TimePoint now) const {
  const std::size_t daemons = voters_.size() + 1;
  std::size_t failing = own_calls_fail ? 1 : 0;
  for (const auto& [address, it] : voters_) {
    failing += now < it.failed_at + kReportTime ? 1 : 0;
  }
  return 2 * failing > daemons;
}

std::vector<std::string> StoreReports::Voters() const {
  std::vector<std::string> addresses;
  for (const auto& [address, it] : voters_) {
    addresses.push_back(address);
  }
  return addresses;
}

}  // namespace gentianreach::entry
