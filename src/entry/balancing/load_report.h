// The load that a server reports with its responses.
#ifndef SRC_ENTRY_BALANCING_LOAD_REPORT_H_
#define SRC_ENTRY_BALANCING_LOAD_REPORT_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace gentianreach::entry {

struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  // By which factor work currently takes longer on the server's machine than
  // usual; nullopt if the server does not say.
  std::optional<double> slowdown{};
};

// Returns the report in "running,waiting,slots" form, which may be followed by
// ",slowdown" in percent (100: as usual; 0: unknown) and then by more decimal
// figures, which are ignored. Returns nullopt if `text` has any other form.
[[nodiscard]] std::optional<LoadReport> ParseLoadReport(std::string_view text);

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_BALANCING_LOAD_REPORT_H_
