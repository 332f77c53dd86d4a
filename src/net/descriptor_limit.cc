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

DescriptorLimit::DescriptorLimit() : DescriptorLimit(ProcessLimit()) {}

bool DescriptorLimit::IsReserveReached() const {
  const int fd = open("/", O_PATH | O_CLOEXEC);
  if (fd < 0) {
    return errno == EMFILE || errno == ENFILE;
  }
  close(fd);
  return IsInReserve(fd);
}

}  // namespace gentianreach::net
