// Options of a ProxyServer.
#ifndef SRC_PROXY_PROXY_OPTIONS_H_
#define SRC_PROXY_PROXY_OPTIONS_H_

#include <cstdint>
#include <string>

#include "settings_generated.h"

namespace gentianreach::proxy {

// Which requests this daemon may route with its current settings.
struct ServingRule {
  bool idempotent = true;
  bool other = true;
};

struct ProxyOptions {
  // Prefix of every request id. Must be unique per incarnation of a daemon and
  // per loop.
  std::string id_prefix;
  settings::LimitsT limits;
  // Lets several loops of this process listen on the same address.
  bool reuse_port = false;
  // Number of daemons among which the connections of each server are divided.
  std::uint32_t entry_count = 1;
};

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_PROXY_OPTIONS_H_
