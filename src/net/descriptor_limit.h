// The process's limit of open file descriptors, and the part of them that is
// kept from callers.
#ifndef SRC_NET_DESCRIPTOR_LIMIT_H_
#define SRC_NET_DESCRIPTOR_LIMIT_H_

namespace gentianreach::net {

// Raises the limit of open descriptors as far as the system permits. Called
// once by `main`.
void RaiseDescriptorLimit();

// The part of the descriptors that is kept for the store, orders to servers,
// other daemons and operators. Connections of callers, and those to servers for
// their requests, get none of it.
//
// Relies on the kernel's rule that a new descriptor has the lowest free number.
class DescriptorReserve {
 public:
  // Keeps a quarter of `limit` descriptors.
  explicit DescriptorReserve(int limit);
  // The same with the limit of the process.
  DescriptorReserve();

  // Returns whether `fd`, which has just been opened, is part of the reserve.
  [[nodiscard]] bool Contains(int fd) const { return fd >= first_; }
  // Returns whether half of the reserve was in use when `fd` was opened.
  [[nodiscard]] bool IsHalfUsed(int fd) const { return fd >= middle_; }
  // Returns whether the next descriptor to be opened is part of the reserve.
  [[nodiscard]] bool IsReached() const;
  // Returns the limit.
  [[nodiscard]] int limit() const { return limit_; }

 private:
  const int limit_;
  // The lowest descriptor of the reserve, and of its upper half.
  const int first_;
  const int middle_;
};

}  // namespace gentianreach::net

#endif  // SRC_NET_DESCRIPTOR_LIMIT_H_
