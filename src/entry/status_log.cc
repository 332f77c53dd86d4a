#include "entry/status_log.h"

#include <chrono>
#include <string>

#include "base/log.h"

namespace gentianreach::entry {
namespace {

constexpr Duration kStoreCallsPeriod = std::chrono::minutes(1);
constexpr Duration kSendAgesPeriod = std::chrono::seconds(5);

}  // namespace

void StatusLog::Start(TimePoint now) {
  store_calls_due_ = now + kStoreCallsPeriod;
  send_ages_due_ = now + kSendAgesPeriod;
}

void StatusLog::Poll(TimePoint now) {
  if (now >= store_calls_due_) {
    store_calls_due_ = now + kStoreCallsPeriod;
    LogStoreCalls();
  }
  if (now >= send_ages_due_) {
    send_ages_due_ = now + kSendAgesPeriod;
    LogSendAges();
  }
}

void StatusLog::LogStoreCalls() const {
  std::string counts;
  for (const auto& [kind_and_call, n] : platform_.store_call_counts()) {
    counts += counts.empty() ? "" : ",";
    counts += ToString(kind_and_call.first);
    counts += "_";
    counts += ToString(kind_and_call.second);
    counts += ":" + std::to_string(n);
  }
  Log(LogLevel::kInfo, "store_calls",
      {{"total", platform_.store_calls()}, {"counts", counts}});
}

void StatusLog::LogSendAges() {
  const std::string counts = send_ages_.Take();
  if (!counts.empty()) {
    Log(LogLevel::kInfo, "send_ages", {{"counts", counts}});
  }
}

}  // namespace gentianreach::entry
