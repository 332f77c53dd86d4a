#include "gentianreach/check.h"

#include <cstdio>
#include <cstdlib>

namespace gentianreach::internal {

void FailCheck(const char* condition, const char* file, int line) {
  std::fprintf(stderr,
               "level=fatal event=invariant_failed at=%s:%d check=\"%s\"\n",
               file, line, condition);
  std::abort();
}

}  // namespace gentianreach::internal
