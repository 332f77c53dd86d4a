// The lease of one backend server, as one daemon knows it.
//
// Times in orders are on the server's own clock, based on its last response. If
// a response with clock value c arrived at t1, the server read its clock at t1
// or earlier. A lease until c + L therefore ends at most L, extended by the
// clock drift, after t1, no matter how late the order arrives.
#ifndef SRC_CELL_SERVER_LEASE_H_
#define SRC_CELL_SERVER_LEASE_H_

#include "gentianreach/cell_agent.h"
#include "gentianreach/ids.h"
#include "gentianreach/time.h"

namespace gentianreach::cell {

// Deadline of an order that the server may process at any time, such as a
// probe.
inline constexpr ServerTime kNoOrderDeadline{
    std::chrono::milliseconds(std::int64_t{1} << 52)};

class ServerLease {
 public:
  // Handles the response to an order sent at `sent`. It is ignored if the
  // response to an order sent later has already arrived.
  void OnReply(const ServerReply& reply, TimePoint sent, TimePoint now);

  // Returns whether any response has arrived.
  [[nodiscard]] bool HasReply() const {
    return contact_time_ != TimePoint::min();
  }
  // Returns the send time of the latest order that has a response.
  [[nodiscard]] TimePoint contact_time() const { return contact_time_; }
  [[nodiscard]] const ServerReply& last_reply() const { return last_reply_; }

  // Returns the arrival time of the response on which the latest extension is
  // based.
  [[nodiscard]] TimePoint extension_base() const { return extension_base_; }

  // Returns whether the lease was valid as of the last response.
  [[nodiscard]] bool Live() const {
    return HasReply() && last_reply_.lease_until > last_reply_.clock;
  }
  // Returns the remaining lease time as of the last response.
  [[nodiscard]] Duration Remaining() const {
    return last_reply_.lease_until - last_reply_.clock;
  }

  // Makes `order` extend the lease until `lease` after the last response, and
  // expire with the permit. A response and a valid permit are required.
  void Extend(ServerOrder& order,
              Duration lease,
              TimePoint permit_deadline,
              double drift);

  // Makes `order` expire with the permit without extending the lease.
  void SetDeadline(ServerOrder& order,
                   Duration lease,
                   TimePoint permit_deadline,
                   double drift) const;

  TimePoint next_order = TimePoint::min();
  // Not used.
  TimePoint next_at_once = TimePoint::min();

 private:
  ServerReply last_reply_;
  TimePoint contact_time_ = TimePoint::min();
  TimePoint received_ = TimePoint::min();
  TimePoint extension_base_ = TimePoint::min();
};

}  // namespace gentianreach::cell

#endif  // SRC_CELL_SERVER_LEASE_H_
