// Counts of sent requests by the age of the server entries that decided them.
#ifndef SRC_ENTRY_SEND_AGES_H_
#define SRC_ENTRY_SEND_AGES_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "gentianreach/time.h"

namespace gentianreach::entry {

// Collects what one log line tells about the sends of a period. The metrics
// have the same as histograms, but only since the start of the process.
class SendAges {
 public:
  // Counts a request sent by entries that are `age` old and came from `source`.
  void Record(std::string_view source, Duration age);
  // Returns the counts since the last call and resets them: for each source the
  // number of sends up to each limit of the age in milliseconds, as
  // "leader<=1000:12,leader>2500:3". Empty if nothing was sent.
  [[nodiscard]] std::string Take();

 private:
  // Upper limits of the ages that are told apart.
  static constexpr std::array<std::chrono::milliseconds, 5> kLimits = {
      std::chrono::milliseconds(500), std::chrono::milliseconds(1000),
      std::chrono::milliseconds(1500), std::chrono::milliseconds(2000),
      std::chrono::milliseconds(2500)};

  // By source; the last count is for ages above all limits.
  std::map<std::string,
           std::array<std::uint64_t, kLimits.size() + 1>,
           std::less<>>
      counts_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_SEND_AGES_H_
