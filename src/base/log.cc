#include "base/log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <climits>
#include <iostream>
#include <ostream>
#include <streambuf>

#include <boost/date_time/posix_time/posix_time_types.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

namespace gentianreach {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};

// A longer value is cut, so that it does not displace the others of a line,
// which is written as a whole up to PIPE_BUF.
constexpr std::size_t kMaxValueBytes = 1024;
constexpr std::string_view kCutMark = "...";

std::atomic<std::uint64_t> dropped_lines = 0;
std::atomic<LogLevel> lowest_level = LogLevel::kDebug;

bool NeedsQuotes(std::string_view value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
           return c <= ' ' || c == '"' || c == '=' || c == '\x7f';
         });
}

void AppendValue(std::string& line, std::string_view value) {
  if (value.size() > kMaxValueBytes) {
    // Not in the middle of a UTF-8 character.
    std::size_t end = kMaxValueBytes - kCutMark.size();
    while (end > 0 &&
           (static_cast<unsigned char>(value[end]) & 0xC0U) == 0x80) {
      --end;
    }
    AppendValue(line, std::string(value.substr(0, end)).append(kCutMark));
    return;
  }
  if (!NeedsQuotes(value)) {
    line += value;
    return;
  }
  line += '"';
  for (const char it : value) {
    if (it == '"' || it == '\\') {
      line += '\\';
      line += it;
      continue;
    }
    // Control characters would allow a value to forge a log line.
    line += static_cast<unsigned char>(it) < ' ' ? ' ' : it;
  }
  line += '"';
}

// Writes complete lines to standard output and drops those that would block.
class NonBlockingBuffer : public std::streambuf {
 protected:
  std::streamsize xsputn(const char* data, std::streamsize n) override {
    pending_.append(data, static_cast<std::size_t>(n));
    return n;
  }
  int_type overflow(int_type c) override {
    if (c != traits_type::eof()) {
      pending_.push_back(traits_type::to_char_type(c));
    }
    return traits_type::not_eof(c);
  }
  int sync() override {
    pollfd out{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    // A writable pipe accepts this many bytes without blocking.
    pending_.resize(std::min<std::size_t>(pending_.size(), PIPE_BUF));
    if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0 ||
        write(STDOUT_FILENO, pending_.data(), pending_.size()) < 0) {
      dropped_lines.fetch_add(1, std::memory_order_relaxed);
    }
    pending_.clear();
    return 0;
  }

 private:
  std::string pending_;
};

std::ostream& OutputStream() {
  static NonBlockingBuffer buffer;
  static std::ostream stream(&buffer);
  return stream;
}

void Write(LogLevel level, const std::string& line) {
  thread_local boost::log::sources::severity_logger<int> logger;
  BOOST_LOG_SEV(logger, static_cast<int>(level))
      << "level=" << kLevelNames.at(static_cast<std::size_t>(level)) << " "
      << line;
}

}  // namespace

std::uint64_t DroppedLogLines() {
  return dropped_lines.load(std::memory_order_relaxed);
}

void InitLogging(LogLevel threshold, LogTarget target) {
  lowest_level.store(threshold, std::memory_order_relaxed);
  namespace expr = boost::log::expressions;
  boost::log::add_common_attributes();
  boost::log::add_console_log(
      target == LogTarget::kStandardOutput ? OutputStream() : std::clog,
      boost::log::keywords::auto_flush = true,
      boost::log::keywords::format =
          (expr::stream << "time="
                        << expr::format_date_time<boost::posix_time::ptime>(
                               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                        << " " << expr::smessage));
  boost::log::core::get()->set_filter(expr::attr<int>("Severity") >=
                                      static_cast<int>(threshold));
}

bool IsLogged(LogLevel level) {
  return level >= lowest_level.load(std::memory_order_relaxed);
}

void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields) {
  Write(level, FormatFields(event, fields));
}

void LogPairs(LogLevel level,
              std::string_view event,
              const std::vector<std::pair<std::string, std::string>>& fields) {
  std::vector<LogField> list;
  list.reserve(fields.size());
  for (const auto& [key, value] : fields) {
    list.emplace_back(key, value);
  }
  Write(level, FormatFields(event, list));
}

std::optional<LogLevel> ParseLogLevel(std::string_view name) {
  const auto* it = std::find(kLevelNames.begin(), kLevelNames.end(), name);
  if (it == kLevelNames.end()) {
    return std::nullopt;
  }
  return static_cast<LogLevel>(it - kLevelNames.begin());
}

std::string FormatFields(std::string_view event,
                         std::span<const LogField> fields) {
  std::string line = "event=";
  AppendValue(line, event);
  for (const LogField& it : fields) {
    line += ' ';
    line += it.key();
    line += '=';
    AppendValue(line, it.value());
  }
  return line;
}

}  // namespace gentianreach
