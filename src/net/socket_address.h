// Socket addresses written as "IP:port".
#ifndef SRC_NET_SOCKET_ADDRESS_H_
#define SRC_NET_SOCKET_ADDRESS_H_

#include <gio/gio.h>

#include <string_view>

#include "base/glib_ptr.h"

namespace gentianreach::net {

// Returns the parsed form of "IP:port" ("[IP]:port" for IPv6), or null.
[[nodiscard]] GObjectPtr<GSocketAddress> ParseSocketAddress(
    std::string_view address);

}  // namespace gentianreach::net

#endif  // SRC_NET_SOCKET_ADDRESS_H_
