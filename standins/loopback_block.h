// Loopback addresses for programs that must know each other's addresses before
// they start.
#ifndef STANDINS_LOOPBACK_BLOCK_H_
#define STANDINS_LOOPBACK_BLOCK_H_

#include <unistd.h>

#include <string>

namespace gentianreach::standins {

// Returns the prefix of a block of 256 loopback addresses, such as "127.70.3.",
// that other processes on the machine are unlikely to use. All ports of these
// addresses are expected to be free.
inline std::string LoopbackBlock() {
  // Up to 32,000 process ids map to different blocks.
  constexpr int kFirstNet = 64;
  constexpr int kNets = 128;
  constexpr int kBlocks = 250;
  const int pid = static_cast<int>(getpid());
  return "127." + std::to_string(kFirstNet + pid % kNets) + "." +
         std::to_string(pid / kNets % kBlocks) + ".";
}

}  // namespace gentianreach::standins

#endif  // STANDINS_LOOPBACK_BLOCK_H_
