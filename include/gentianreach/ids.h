// Strong types for identifiers and counters that are sent between processes.
#ifndef INCLUDE_GENTIANREACH_IDS_H_
#define INCLUDE_GENTIANREACH_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace gentianreach {

// A monotonically increasing counter, with a distinct type for each `Tag`. Zero
// means "none yet".
template <typename Tag>
class Counter {
 public:
  constexpr Counter() = default;
  explicit constexpr Counter(std::uint64_t value) : value_(value) {}

  [[nodiscard]] constexpr std::uint64_t value() const { return value_; }
  // Returns the counter that follows this one.
  [[nodiscard]] constexpr Counter Next() const { return Counter(value_ + 1); }
  constexpr auto operator<=>(const Counter&) const = default;

 private:
  std::uint64_t value_ = 0;
};

// Number of the term of a cell's elected assigner. Never reused.
using Epoch = Counter<struct EpochTag>;
// Fencing token of a grant. Increases with every change of owner in a cell.
using Token = Counter<struct TokenTag>;
// Version of a cell's list of daemons.
using ViewVersion = Counter<struct ViewVersionTag>;
// Version of an object in the platform's store.
using ObjectVersion = Counter<struct ObjectVersionTag>;
// Lease generation of a backend server in a cell. A fenced generation is never
// renewed again.
using LeaseGeneration = Counter<struct LeaseGenerationTag>;
// Distinguishes successive runs of one backend server or daemon process; chosen
// by that process.
using Incarnation = Counter<struct IncarnationTag>;

// A string identifier, with a distinct type for each `Tag`.
template <typename Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string value) : value_(std::move(value)) {}

  [[nodiscard]] const std::string& value() const { return value_; }
  [[nodiscard]] bool empty() const { return value_.empty(); }
  auto operator<=>(const Name&) const = default;

 private:
  std::string value_;
};

using ServerId = Name<struct ServerIdTag>;
using DaemonId = Name<struct DaemonIdTag>;
using ServiceName = Name<struct ServiceNameTag>;
using ZoneName = Name<struct ZoneNameTag>;

}  // namespace gentianreach

template <typename Tag>
struct std::hash<gentianreach::Counter<Tag>> {
  std::size_t operator()(const gentianreach::Counter<Tag>& it) const {
    return std::hash<std::uint64_t>()(it.value());
  }
};

template <typename Tag>
struct std::hash<gentianreach::Name<Tag>> {
  std::size_t operator()(const gentianreach::Name<Tag>& it) const {
    return std::hash<std::string>()(it.value());
  }
};

#endif  // INCLUDE_GENTIANREACH_IDS_H_
