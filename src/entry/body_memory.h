// Limits the memory for request bodies.
#ifndef SRC_ENTRY_BODY_MEMORY_H_
#define SRC_ENTRY_BODY_MEMORY_H_

#include <cstdint>

namespace gentianreach::entry {

// The memory that the bodies of all requests of a daemon may take together.
// Bodies are held until their requests end, so that without a limit many large
// uploads at the same time would exhaust the memory of a small VM.
class BodyMemory {
 public:
  // `limit` is in bytes.
  explicit BodyMemory(std::uint64_t limit) : limit_(limit) {}

  // Reserves `bytes`. Returns false, without effect, if they are not free.
  [[nodiscard]] bool Reserve(std::uint64_t bytes) {
    if (bytes > limit_ - used_) {
      return false;
    }
    used_ += bytes;
    return true;
  }
  // Returns reserved bytes.
  void Release(std::uint64_t bytes) { used_ -= bytes; }
  [[nodiscard]] std::uint64_t used() const { return used_; }

 private:
  const std::uint64_t limit_;
  std::uint64_t used_ = 0;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_BODY_MEMORY_H_
