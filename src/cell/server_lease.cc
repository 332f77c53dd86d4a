#include "cell/server_lease.h"

#include <algorithm>

#include "cell/stretch.h"
#include "gentianreach/check.h"

namespace gentianreach::cell {

void ServerLease::OnReply(const ServerReply& reply,
                          TimePoint sent,
                          TimePoint now) {
  if (sent < contact_time_) {
    return;
  }
  last_reply_ = reply;
  contact_time_ = sent;
  received_ = now;
}

void ServerLease::Extend(ServerOrder& order,
                         Duration lease,
                         TimePoint permit_deadline,
                         double drift) {
  SetDeadline(order, lease, permit_deadline, drift);
  order.until =
      last_reply_.clock + std::chrono::floor<std::chrono::milliseconds>(lease);
  order.deadline = std::min(order.deadline, order.until);
  extension_base_ = std::max(extension_base_, received_);
}

void ServerLease::SetDeadline(ServerOrder& order,
                              Duration lease,
                              TimePoint permit_deadline,
                              double drift) const {
  GENTIANREACH_CHECK(HasReply());
  GENTIANREACH_CHECK(permit_deadline > received_);
  const Duration authority = Shrink(permit_deadline - received_, drift);
  order.deadline =
      last_reply_.clock +
      std::chrono::floor<std::chrono::milliseconds>(std::min(authority, lease));
  order.until = order.deadline;
  order.incarnation = last_reply_.incarnation;
}

}  // namespace gentianreach::cell
