#include "net/socket_address.h"

#include <charconv>
#include <memory>
#include <system_error>

namespace gentianreach::net {

GObjectPtr<GSocketAddress> ParseIpAddress(const std::string& ip,
                                          std::uint16_t port) {
  return GObjectPtr<GSocketAddress>::Adopt(
      g_inet_socket_address_new_from_string(ip.c_str(), port));
}

GObjectPtr<GSocketAddress> ParseSocketAddress(std::string_view address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return {};
  }
  std::string_view ip = address.substr(0, colon);
  if (ip.size() >= 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  const std::string_view digits = address.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, ec] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (ec != std::errc() || end != digits.data() + digits.size()) {
    return {};
  }
  return ParseIpAddress(std::string(ip), port);
}

std::string IpText(GSocketAddress* address) {
  if (address == nullptr || !G_IS_INET_SOCKET_ADDRESS(address)) {
    return {};
  }
  const std::unique_ptr<gchar, decltype(&g_free)> text(
      g_inet_address_to_string(
          g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(address))),
      g_free);
  return text.get();
}

}  // namespace gentianreach::net
