// Structured logs: one line of key=value pairs per event.
//
//   InitLogging(LogLevel::kInfo);
//   Log(LogLevel::kInfo, "lease_renewed", {{"server", id}, {"ms", 12}});
//
// writes  time=... level=info event=lease_renewed server=s1 ms=12
#ifndef SRC_BASE_LOG_H_
#define SRC_BASE_LOG_H_

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gentianreach/time.h"

namespace gentianreach {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

// A key and its value. The value is quoted if it contains white space, quotes,
// equals signs or control characters.
class LogField {
 public:
  LogField(std::string_view key, std::string_view value)
      : key_(key), value_(value) {}
  LogField(std::string_view key, const char* value)
      : key_(key), value_(value) {}
  LogField(std::string_view key, const std::string& value)
      : key_(key), value_(value) {}
  LogField(std::string_view key, bool value)
      : key_(key), value_(value ? "true" : "false") {}
  template <typename N>
  requires(std::integral<N> || std::floating_point<N>)
      LogField(std::string_view key, N value)
      : key_(key), value_(std::to_string(value)) {}

  [[nodiscard]] std::string_view key() const { return key_; }
  [[nodiscard]] std::string_view value() const { return value_; }

 private:
  std::string_view key_;
  std::string value_;
};

// Returns the whole milliseconds from `begin` to `end`, for a field; 0 if `end`
// is not later.
[[nodiscard]] inline std::int64_t MillisecondsBetween(TimePoint begin,
                                                      TimePoint end) {
  const Duration elapsed = std::max(Duration(0), end - begin);
  return elapsed / std::chrono::milliseconds(1);
}

// The destination of log lines.
enum class LogTarget : std::uint8_t {
  kStandardError,
  // Standard output without blocking: a line that cannot be written at once is
  // dropped and counted by DroppedLogLines().
  kStandardOutput,
};

// Enables logging of events at or above `threshold`. Called once by `main`.
void InitLogging(LogLevel threshold,
                 LogTarget target = LogTarget::kStandardError);

// Returns the number of lines that were dropped so far.
[[nodiscard]] std::uint64_t DroppedLogLines();

// Returns whether events of `level` are logged. Check this before building the
// fields of an event on a hot path.
[[nodiscard]] bool IsLogged(LogLevel level);

// Logs an event. Thread-safe.
void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields);

// Logs an event whose fields are not known at compile time.
void LogPairs(LogLevel level,
              std::string_view event,
              const std::vector<std::pair<std::string, std::string>>& fields);

// Returns the level named "debug", "info", "warning" or "error".
[[nodiscard]] std::optional<LogLevel> ParseLogLevel(std::string_view name);

// Returns the fields as one line, without time and level.
[[nodiscard]] std::string FormatFields(std::string_view event,
                                       std::span<const LogField> fields);
[[nodiscard]] inline std::string FormatFields(
    std::string_view event,
    std::initializer_list<LogField> fields) {
  return FormatFields(event, std::span(fields.begin(), fields.size()));
}

}  // namespace gentianreach

#endif  // SRC_BASE_LOG_H_
