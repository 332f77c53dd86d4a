#include "net/descriptor_limit.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <vector>

#include <doctest/doctest.h>

namespace gentianreach::net {
namespace {

TEST_CASE("a quarter of the descriptors is kept") {
  const DescriptorReserve reserve(1024);
  CHECK_FALSE(reserve.Contains(767));
  CHECK(reserve.Contains(768));
  CHECK_FALSE(reserve.IsHalfUsed(895));
  CHECK(reserve.IsHalfUsed(896));
}

TEST_CASE("the reserve is reached once all other descriptors are open") {
  constexpr int kLimit = 80;
  const DescriptorReserve reserve(kLimit);
  std::vector<int> open_descriptors;
  int fd = 0;
  do {
    CHECK_FALSE(reserve.IsReached());
    fd = open("/", O_PATH | O_CLOEXEC);
    REQUIRE(fd >= 0);
    open_descriptors.push_back(fd);
  } while (fd < kLimit - kLimit / 4 - 1);
  CHECK(reserve.IsReached());
  close(open_descriptors.front());
  CHECK_FALSE(reserve.IsReached());
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
