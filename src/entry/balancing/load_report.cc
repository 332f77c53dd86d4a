#include "entry/balancing/load_report.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <system_error>

namespace gentianreach::entry {
namespace {

constexpr std::size_t kRequiredFigures = 3;
constexpr double kUsualSlowdown = 100;

// Returns whether `text` consists of decimal figures of any length, separated
// by commas.
bool AreFigures(std::string_view text) {
  bool in_figure = false;
  for (const char it : text) {
    const bool is_digit = it >= '0' && it <= '9';
    if (!is_digit && (it != ',' || !in_figure)) {
      return false;
    }
    in_figure = is_digit;
  }
  return in_figure;
}

}  // namespace

std::optional<LoadReport> ParseLoadReport(std::string_view text) {
  std::array<std::uint32_t, kRequiredFigures + 1> numbers{};
  const char* at = text.data();
  const char* const last = text.data() + text.size();
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    if (i == kRequiredFigures && at == last) {
      break;
    }
    if (i > 0 && (at == last || *at++ != ',')) {
      return std::nullopt;
    }
    const auto [end, ec] = std::from_chars(at, last, numbers[i]);
    if (ec != std::errc()) {
      return std::nullopt;
    }
    at = end;
  }
  if (at != last &&
      (*at != ',' || !AreFigures(text.substr(
                         static_cast<std::size_t>(at - text.data()) + 1)))) {
    return std::nullopt;
  }
  LoadReport report{numbers[0], numbers[1], numbers[2]};
  if (numbers[kRequiredFigures] > 0) {
    report.slowdown = numbers[kRequiredFigures] / kUsualSlowdown;
  }
  return report;
}

}  // namespace gentianreach::entry
