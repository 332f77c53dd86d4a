// What the demonstration writes down, for its check: one line of text per
// request, per run and per event. Times are CLOCK_BOOTTIME, so that the lines
// of all processes of one machine can be compared.
#ifndef STANDINS_DEMO_OUTCOME_H_
#define STANDINS_DEMO_OUTCOME_H_

#include <chrono>
#include <cstdint>
#include <istream>
#include <ostream>
#include <string>

#include "gentianreach/time.h"

namespace gentianreach::standins {

// What became of one request, as its caller saw it. No text is empty.
struct DemoOutcome {
  std::string path;  // Of this request alone.
  std::string key;   // SERVICE/KEY; "-" for a service without keys.
  bool idempotent = false;
  // The daemon's verdict; "not-sent" where no daemon was reached, "no-answer"
  // where the connection ended without one.
  std::string verdict = "no-answer";
  std::string reason = "-";  // Of a verdict other than "answered".
  std::uint32_t status = 0;
  std::string server = "-";  // Who answered.
  bool whole = false;        // The answer is whole and the request's own.
  TimePoint started;
  TimePoint finished;
};

// A run of a request on a backend server, written as it was committed.
struct DemoRun {
  std::string path;
  std::string server;
  std::uint64_t key_hash = 0;  // 0: a service without keys.
  std::uint64_t token = 0;
  TimePoint started;
  TimePoint committed;
};

// A server was killed or frozen.
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
             << it.server << ' ' << it.whole << ' '
             << it.started.time_since_epoch().count() << ' '
             << it.finished.time_since_epoch().count() << '\n';
}

inline std::istream& operator>>(std::istream& in, DemoOutcome& it) {
  in >> it.path >> it.key >> it.idempotent >> it.verdict >> it.reason >>
      it.status >> it.server >> it.whole;
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
