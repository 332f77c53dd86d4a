// Addresses for programs that have to know each other's before any is open.
#ifndef STANDINS_LOOPBACK_BLOCK_H_
#define STANDINS_LOOPBACK_BLOCK_H_

#include <unistd.h>

#include <string>

namespace gentianreach::standins {

// Returns the first three numbers of a block of loopback addresses, like
// "127.70.3.", that no other process of the machine is likely to use. Ports in
// it can be chosen freely.
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
