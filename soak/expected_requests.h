// The requests that each daemon is expected to serve, and which of them are
// still to be asked for.
#ifndef SOAK_EXPECTED_REQUESTS_H_
#define SOAK_EXPECTED_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "gentianreach/time.h"

namespace gentianreach::soak {

// Properties of the requests for one route.
struct RequestKind {
  std::string path_prefix;
  bool keyed = false;
  bool idempotent = true;
  // The version of the configuration that the request probes, 0 for one that
  // all versions serve; set for probes only.
  std::optional<std::uint64_t> config_version;
};

// What a request asks for: a route, and a key if the route is keyed.
struct RequestTarget {
  RequestKind kind;
  std::optional<std::uint32_t> key;

  // Returns the path prefix, followed by the key if there is one.
  [[nodiscard]] std::string name() const;
};

class ExpectedRequests {
 public:
  // Expects each of `daemons` daemons to serve each kind and each key to a
  // request that is sent at `from` or later. Replaces earlier expectations.
  void Expect(std::size_t daemons,
              const std::vector<RequestKind>& kinds,
              const std::vector<std::uint32_t>& keys,
              TimePoint from);
  // Returns what to ask `daemon` for next, all of what it has not served in
  // turn; std::nullopt if it has served everything.
  [[nodiscard]] std::optional<RequestTarget> Next(std::size_t daemon);
  // Reports that `daemon` served a request that was sent at `sent`.
  void OnSuccess(std::size_t daemon,
                 const RequestTarget& target,
                 TimePoint sent);

  [[nodiscard]] bool AllServed() const;
  // Returns a description of what has not been served.
  [[nodiscard]] std::string DescribeUnserved() const;

 private:
  struct Unserved {
    RequestTarget target;
    // How often Next() returned it.
    int asked = 0;
  };

  // By daemon. Next() takes the first and puts it last.
  std::vector<std::deque<Unserved>> unserved_;
  TimePoint from_{};
};

}  // namespace gentianreach::soak

#endif  // SOAK_EXPECTED_REQUESTS_H_
