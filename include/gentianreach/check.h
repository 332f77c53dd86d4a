// Invariant checks that are also enabled in release builds.
#ifndef INCLUDE_GENTIANREACH_CHECK_H_
#define INCLUDE_GENTIANREACH_CHECK_H_

namespace gentianreach::internal {

// Prints the failed condition and aborts the process.
[[noreturn]] void FailCheck(const char* condition, const char* file, int line);

}  // namespace gentianreach::internal

// Aborts the process if `condition` is false. A process with a broken invariant
// must not continue; its peers tolerate its crash.
#define GENTIANREACH_CHECK(condition) \
  ((condition)                        \
       ? static_cast<void>(0)         \
       : ::gentianreach::internal::FailCheck(#condition, __FILE__, __LINE__))

#endif  // INCLUDE_GENTIANREACH_CHECK_H_
