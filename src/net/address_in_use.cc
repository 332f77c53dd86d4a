#include "net/address_in_use.h"

#include <gio/gio.h>

#include "base/glib_ptr.h"
#include "net/socket_address.h"

namespace gentianreach::net {

bool IsAddressInUse(const std::string& address, Transport transport) {
  const auto parsed = ParseSocketAddress(address);
  if (!parsed) {
    return false;
  }
  const bool is_tcp = transport == Transport::kTcp;
  const auto socket = GObjectPtr<GSocket>::Adopt(g_socket_new(
      g_socket_address_get_family(parsed.get()),
      is_tcp ? G_SOCKET_TYPE_STREAM : G_SOCKET_TYPE_DATAGRAM,
      is_tcp ? G_SOCKET_PROTOCOL_TCP : G_SOCKET_PROTOCOL_UDP, nullptr));
  GError* raw_error = nullptr;
  if (!socket || g_socket_bind(socket.get(), parsed.get(),
                               is_tcp ? TRUE : FALSE, &raw_error) != 0) {
    return false;
  }
  const GErrorPtr error(raw_error);
  return g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_ADDRESS_IN_USE) !=
         0;
}

}  // namespace gentianreach::net
