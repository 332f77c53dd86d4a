// Parsers of IP addresses and of socket addresses written as "IP:port".
#ifndef SRC_NET_SOCKET_ADDRESS_H_
#define SRC_NET_SOCKET_ADDRESS_H_

#include <gio/gio.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "base/glib_ptr.h"

namespace gentianreach::net {

// Returns the socket address with the IPv4 or IPv6 address `ip`, or null if
// `ip` is no IP address. An IPv6 address has no brackets.
[[nodiscard]] GObjectPtr<GSocketAddress> ParseIpAddress(const std::string& ip,
                                                        std::uint16_t port = 0);

// Returns the parsed form of "IP:port" ("[IP]:port" for IPv6), or null.
[[nodiscard]] GObjectPtr<GSocketAddress> ParseSocketAddress(
    std::string_view address);

// Returns the IP address in `address`, or an empty string if there is none.
[[nodiscard]] std::string IpText(GSocketAddress* address);

}  // namespace gentianreach::net

#endif  // SRC_NET_SOCKET_ADDRESS_H_
