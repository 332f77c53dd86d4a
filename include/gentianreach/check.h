// Invariants that hold in release builds too.
#ifndef INCLUDE_GENTIANREACH_CHECK_H_
#define INCLUDE_GENTIANREACH_CHECK_H_

namespace gentianreach::internal {

// Prints the failed invariant and ends the process.
[[noreturn]] void FailCheck(const char* condition, const char* file, int line);

}  // namespace gentianreach::internal

// Ends the process where `condition` does not hold. A process that has lost an
// invariant must not go on: its peers treat it as lost, which they survive.
#define GENTIANREACH_CHECK(condition) \
  ((condition)                        \
       ? static_cast<void>(0)         \
       : ::gentianreach::internal::FailCheck(#condition, __FILE__, __LINE__))

#endif  // INCLUDE_GENTIANREACH_CHECK_H_
