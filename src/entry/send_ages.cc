#include "entry/send_ages.h"

#include <algorithm>
#include <utility>

namespace gentianreach::entry {

void SendAges::Record(std::string_view source, Duration age) {
  auto it = counts_.find(source);
  if (it == counts_.end()) {
    it = counts_.try_emplace(std::string(source)).first;
  }
  const auto bin = std::ranges::lower_bound(kLimits, age) - kLimits.begin();
  ++it->second[static_cast<std::size_t>(bin)];
}

std::string SendAges::Take() {
  std::string text;
  for (const auto& [source, counts] : std::exchange(counts_, {})) {
    for (std::size_t i = 0; i < counts.size(); ++i) {
      if (counts[i] == 0) {
        continue;
      }
      text += text.empty() ? "" : ",";
      text += source;
      text += i < kLimits.size() ? "<=" + std::to_string(kLimits[i].count())
                                 : ">" + std::to_string(kLimits.back().count());
      text += ":" + std::to_string(counts[i]);
    }
  }
  return text;
}

}  // namespace gentianreach::entry
