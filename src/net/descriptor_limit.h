// The process's limit of open file descriptors, and the parts of them that are
// kept from callers.
#ifndef SRC_NET_DESCRIPTOR_LIMIT_H_
#define SRC_NET_DESCRIPTOR_LIMIT_H_

namespace gentianreach::net {

// Raises the limit of open descriptors as far as the system permits. Called
// once by `main`.
void RaiseDescriptorLimit();

// Divides the descriptors: callers' connections get half of them at most, and
// together with those to servers for their requests three quarters. The last
// quarter, the reserve, is for the store, orders to servers, other daemons and
// operators.
//
// Relies on the kernel's rule that a new descriptor has the lowest free number.
class DescriptorLimit {
 public:
  explicit DescriptorLimit(int limit) : limit_(limit) {}
  // The same with the limit of the process.
  DescriptorLimit();

  // Returns whether callers' connections had their share when `fd` was opened.
  [[nodiscard]] bool IsBeyondCallers(int fd) const { return fd >= limit_ / 2; }
  // Returns whether `fd` is part of the reserve.
  [[nodiscard]] bool IsInReserve(int fd) const {
    return fd >= limit_ - limit_ / 4;
  }
  // Returns whether the next descriptor to be opened is part of the reserve.
  [[nodiscard]] bool IsReserveReached() const;
  // Returns the limit.
  [[nodiscard]] int limit() const { return limit_; }

 private:
  const int limit_;
};

}  // namespace gentianreach::net

#endif  // SRC_NET_DESCRIPTOR_LIMIT_H_
