#include "net/descriptor_limit.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <limits>

#include "base/log.h"

namespace gentianreach::net {
namespace {

// One of this many descriptors is kept.
constexpr int kReservedFraction = 4;

int ProcessLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return std::numeric_limits<int>::max();
  }
  return static_cast<int>(
      std::min<rlim_t>(limit.rlim_cur, std::numeric_limits<int>::max()));
}

}  // namespace

void RaiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == limit.rlim_max) {
    return;
  }
  limit.rlim_cur = limit.rlim_max;
  if (setrlimit(RLIMIT_NOFILE, &limit) != 0) {
    Log(LogLevel::kWarning, "descriptor_limit_unchanged",
        {{"limit", ProcessLimit()}, {"error", errno}});
  }
}

DescriptorReserve::DescriptorReserve(int limit)
    : limit_(limit),
      first_(limit - limit / kReservedFraction),
      middle_(limit - limit / kReservedFraction / 2) {}

DescriptorReserve::DescriptorReserve() : DescriptorReserve(ProcessLimit()) {}

bool DescriptorReserve::IsReached() const {
  const int fd = open("/", O_PATH | O_CLOEXEC);
  if (fd >= 0) {
    close(fd);
  }
  return fd < 0 || Contains(fd);
}

}  // namespace gentianreach::net
