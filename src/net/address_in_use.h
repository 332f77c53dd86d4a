// Whether a local address can be listened at.
#ifndef SRC_NET_ADDRESS_IN_USE_H_
#define SRC_NET_ADDRESS_IN_USE_H_

#include <cstdint>
#include <string>

namespace gentianreach::net {

enum class Transport : std::uint8_t { kTcp, kUdp };

// Returns whether another socket prevents TcpSocket::Listen() or
// UdpSocket::Open() at `address` ("IP:port").
[[nodiscard]] bool IsAddressInUse(const std::string& address,
                                  Transport transport);

}  // namespace gentianreach::net

#endif  // SRC_NET_ADDRESS_IN_USE_H_
