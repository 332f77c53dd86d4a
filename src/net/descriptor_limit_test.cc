#include "net/descriptor_limit.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <vector>

#include <doctest/doctest.h>

namespace gentianreach::net {
namespace {

TEST_CASE("callers get half of the descriptors, a quarter is kept") {
  const DescriptorLimit limit(1024);
  CHECK_FALSE(limit.IsBeyondCallers(511));
  CHECK(limit.IsBeyondCallers(512));
  CHECK_FALSE(limit.IsInReserve(767));
  CHECK(limit.IsInReserve(768));
}

TEST_CASE("the reserve is reached once all other descriptors are open") {
  constexpr int kLimit = 80;
  const DescriptorLimit limit(kLimit);
  std::vector<int> open_descriptors;
  int fd = 0;
  do {
    CHECK_FALSE(limit.IsReserveReached());
    fd = open("/", O_PATH | O_CLOEXEC);
    REQUIRE(fd >= 0);
    open_descriptors.push_back(fd);
  } while (fd < kLimit - kLimit / 4 - 1);
  CHECK(limit.IsReserveReached());
  close(open_descriptors.front());
  CHECK_FALSE(limit.IsReserveReached());
  open_descriptors.erase(open_descriptors.begin());
  for (const int it : open_descriptors) {
    close(it);
  }
}

TEST_CASE("the soft limit of descriptors is raised to the hard one") {
  rlimit limit{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
  const rlim_t before = limit.rlim_cur;
  limit.rlim_cur = before / 2;
  REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
  RaiseDescriptorLimit();
  REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
  CHECK(limit.rlim_cur == limit.rlim_max);
  limit.rlim_cur = before;
  setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace
}  // namespace gentianreach::net
