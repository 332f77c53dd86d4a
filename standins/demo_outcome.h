// Records that the demonstration writes for demo_check: one line of text per
// request, run and event. Times are CLOCK_BOOTTIME, so that records of all
// processes on a machine can be compared.
#ifndef STANDINS_DEMO_OUTCOME_H_
#define STANDINS_DEMO_OUTCOME_H_

#include <chrono>
#include <cstdint>
#include <istream>
#include <ostream>
#include <string>

#include "gentianreach/time.h"

namespace gentianreach::standins {

// Outcome of one request as its caller saw it. No string is empty, since fields
// are separated by spaces.
struct DemoOutcome {
  std::string path;  // Unique for each request.
  std::string key;   // SERVICE/KEY; "-" for a service without keys.
  bool idempotent = false;
  // The daemon's verdict; "not-sent" if no daemon was reached, "no-answer" if
  // the connection ended without a response.
  std::string verdict = "no-answer";
  std::string reason = "-";  // Set unless "answered".
  std::uint32_t status = 0;
  std::string server = "-";  // Server that answered.
  bool complete = false;     // Complete response to this request.
  TimePoint started;
  TimePoint finished;
};

// A run of a request on a backend server, written when it commits.
struct DemoRun {
  std::string path;
  std::string server;
  std::uint64_t key_hash = 0;  // 0 for a service without keys.
  std::uint64_t token = 0;
  TimePoint started;
  TimePoint committed;
};

// A fault injected into a server, such as a kill or a freeze.
struct DemoEvent {
  std::string what;
  std::string server;
  TimePoint at;
};

namespace internal {

inline std::istream& ReadTime(std::istream& in, TimePoint& time) {
  std::int64_t count = 0;
  in >> count;
  time = TimePoint(std::chrono::nanoseconds(count));
  return in;
}

}  // namespace internal

inline std::ostream& operator<<(std::ostream& out, const DemoOutcome& it) {
  return out << it.path << ' ' << it.key << ' ' << it.idempotent << ' '
             << it.verdict << ' ' << it.reason << ' ' << it.status << ' '
             << it.server << ' ' << it.complete << ' '
             << it.started.time_since_epoch().count() << ' '
             << it.finished.time_since_epoch().count() << '\n';
}

inline std::istream& operator>>(std::istream& in, DemoOutcome& it) {
  in >> it.path >> it.key >> it.idempotent >> it.verdict >> it.reason >>
      it.status >> it.server >> it.complete;
  internal::ReadTime(in, it.started);
  return internal::ReadTime(in, it.finished);
}

inline std::ostream& operator<<(std::ostream& out, const DemoRun& it) {
  return out << it.path << ' ' << it.server << ' ' << it.key_hash << ' '
             << it.token << ' ' << it.started.time_since_epoch().count() << ' '
             << it.committed.time_since_epoch().count() << '\n';
}

inline std::istream& operator>>(std::istream& in, DemoRun& it) {
  in >> it.path >> it.server >> it.key_hash >> it.token;
  internal::ReadTime(in, it.started);
  return internal::ReadTime(in, it.committed);
}

inline std::istream& operator>>(std::istream& in, DemoEvent& it) {
  in >> it.what >> it.server;
  return internal::ReadTime(in, it.at);
}

}  // namespace gentianreach::standins

#endif  // STANDINS_DEMO_OUTCOME_H_
