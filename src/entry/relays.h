// Daemons that forward requests for one that has lost its path to the servers.
#ifndef SRC_ENTRY_RELAYS_H_
#define SRC_ENTRY_RELAYS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"

namespace gentianreach::entry {

// A daemon that reaches the servers.
struct Relay {
  std::string name;
  std::string address;  // "IP:port" at which it takes forwarded requests.
  ZoneName zone;

  bool operator==(const Relay&) const = default;
};

// Returns up to `n` of the `candidates` for the daemon `member` in `zone`: up
// to half of them from its own zone, if there are as many, and the others from
// any zone. Different daemons get different relays, so that all relays get
// about equally many.
[[nodiscard]] std::vector<Relay> SelectRelays(
    const std::vector<Relay>& candidates,
    const std::string& member,
    const ZoneName& zone,
    std::size_t n);

// How a forwarded request ended at its relay.
enum class RelayResult : std::uint8_t {
  kAnswered,   // With a response or a refusal that concerns the request.
  kUnable,     // The relay cannot forward requests now.
  kFailed,     // No connection, no response or an invalid one.
  kCancelled,  // Cancelled by this daemon or the caller.
};

// Returns the name of the result in metrics.
[[nodiscard]] std::string_view ToString(RelayResult result);

// The relays of this daemon and its requests at them. A relay that fails is
// not used for a while.
class Relays {
 public:
  // Replaces the relays; from now on they are known.
  void Set(std::vector<Relay> relays) {
    relays_ = std::move(relays);
    known_ = true;
  }
  // The relays are not known any more.
  void Reset() {
    relays_.clear();
    known_ = false;
  }
  [[nodiscard]] bool known() const { return known_; }
  // Returns the relay with the fewest requests of this daemon, preferably in
  // `zone`, that is not among `tried`; null if there is none.
  [[nodiscard]] const Relay* Choose(const ZoneName& zone,
                                    const std::vector<std::string>& tried,
                                    TimePoint now) const;
  // Records the start and the end of a request at the relay `name`.
  void OnSent(const std::string& name);
  void OnEnd(const std::string& name, RelayResult result, TimePoint now);
  // Returns when the relay last answered a request; TimePoint{}: never.
  [[nodiscard]] TimePoint last_answer(const std::string& name) const;
  [[nodiscard]] std::size_t size() const { return relays_.size(); }

 private:
  struct State {
    std::uint32_t requests = 0;
    TimePoint last_answer{};
    TimePoint avoided_until{};
  };

  std::vector<Relay> relays_;
  bool known_ = false;
  // By name.
  std::map<std::string, State> states_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_RELAYS_H_
