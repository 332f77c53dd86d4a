#include "entry/server_limits.h"

#include <charconv>
#include <cmath>

namespace gentianreach::entry {

std::optional<double> ParseLimit(std::string_view text) {
  double limit = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), limit);
  if (ec != std::errc() || end != text.data() + text.size() ||
      !std::isfinite(limit) || std::signbit(limit)) {
    return std::nullopt;
  }
  return limit;
}

bool ServerLimits::Set(const ServerId& server, double per_second) {
  const auto [it, added] = limits_.try_emplace(server, per_second);
  const bool news = added || it->second != per_second;
  it->second = per_second;
  return news;
}

bool ServerLimits::Clear(const ServerId& server) {
  return limits_.erase(server) > 0;
}

}  // namespace gentianreach::entry
