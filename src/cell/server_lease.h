// One backend server's lease as one daemon knows it.
//
// Orders name points on the server's own clock, taken from its last answer. An
// answer with clock value c that arrived here at t1 was read no later than t1,
// so a lease until c + L ends no later than L (stretched by the drift) after
// t1, however late the order that carries it arrives.
#ifndef SRC_CELL_SERVER_LEASE_H_
#define SRC_CELL_SERVER_LEASE_H_

#include "gentianreach/cell_agent.h"
#include "gentianreach/ids.h"
#include "gentianreach/time.h"

namespace gentianreach::cell {

// Marks a probe that the server may answer at any time.
inline constexpr ServerTime kNoOrderDeadline{
    std::chrono::milliseconds(std::int64_t{1} << 52)};

class ServerLease {
 public:
  // Takes an answer to an order sent at `sent`. Responses overtaken by a later
  // one are ignored.
  void OnReply(const ServerReply& reply, TimePoint sent, TimePoint now);

  // Returns whether there was any answer.
  [[nodiscard]] bool Known() const { return answered_ != TimePoint::min(); }
  // Returns when the last answered order was sent.
  [[nodiscard]] TimePoint answered() const { return answered_; }
  [[nodiscard]] const ServerReply& last() const { return last_; }

  // Returns when the answer arrived on which the latest extension is built.
  [[nodiscard]] TimePoint extension_base() const { return extension_base_; }

  // Returns whether the lease stood when the server answered last.
  [[nodiscard]] bool Live() const {
    return Known() && last_.lease_until > last_.clock;
  }
  // Returns what was left of the lease when the server answered last.
  [[nodiscard]] Duration Remaining() const {
    return last_.lease_until - last_.clock;
  }

  // Makes `order` extend the lease by `lease` from the last answer and expire
  // with the permit. Needs an answer and a valid permit.
  void Extend(ServerOrder& order,
              Duration lease,
              TimePoint permit_deadline,
              double drift);

  // Makes `order` expire with the permit without extending the lease.
  void Limit(ServerOrder& order,
             Duration lease,
             TimePoint permit_deadline,
             double drift) const;

  // When the next periodic order is due.
  TimePoint next_order = TimePoint::min();
  // Until when no order beyond the periodic ones is sent.
  TimePoint next_at_once = TimePoint::min();

 private:
  ServerReply last_;
  TimePoint answered_ = TimePoint::min();
  TimePoint received_ = TimePoint::min();
  TimePoint extension_base_ = TimePoint::min();
};

}  // namespace gentianreach::cell

#endif  // SRC_CELL_SERVER_LEASE_H_
