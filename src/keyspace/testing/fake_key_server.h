// A server that enforces tokens and leases, for tests in virtual time.
#ifndef SRC_KEYSPACE_TESTING_FAKE_KEY_SERVER_H_
#define SRC_KEYSPACE_TESTING_FAKE_KEY_SERVER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "keyspace/range_assigner.h"

namespace gentianreach::keyspace::testing {

// Every 512th key is checked.
inline constexpr std::uint32_t kSampleStep = 512;
inline constexpr std::size_t kSampledKeys = kKeyCount / kSampleStep;
// A server that enforces tokens and leases and executes every order it gets.
struct FakeServer {
  ServerId id;
  Incarnation incarnation{1};
  std::string address;
  // What discovery listed before the last restart, and until when it does so
  // again.
  AssignerServer earlier;
  TimePoint earlier_listed_until{};
  // No leader reaches the server until then.
  TimePoint cut_until{};
  // The orders of killed leaders that the partition holds up.
  std::vector<std::function<void()>> held_up;
  // No leader connects to the server before, after a partition.
  TimePoint connects_at{};
  // The process is paused until then; what it has received waits.
  TimePoint paused_until{};
  std::vector<std::function<void()>> received;
  // Discovery lists the server again then, after a partition or a pause.
  TimePoint listed_at = TimePoint::max();
  bool listed = true;
  bool draining = false;
  // See AssignerServer.
  TimePoint move_until = TimePoint::max();
  std::array<Token, kSampledKeys> highest_token{};
  std::array<TimePoint, kSampledKeys> held_until{};

  [[nodiscard]] bool Holds(std::size_t sample, TimePoint now) const {
    return held_until[sample] > now;
  }
};

}  // namespace gentianreach::keyspace::testing

#endif  // SRC_KEYSPACE_TESTING_FAKE_KEY_SERVER_H_
