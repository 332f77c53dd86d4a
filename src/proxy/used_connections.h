// The connections that have carried an attempt of a request.
#ifndef SRC_PROXY_USED_CONNECTIONS_H_
#define SRC_PROXY_USED_CONNECTIONS_H_

#include <algorithm>
#include <memory>
#include <vector>

#include "proxy/server_connection.h"

namespace gentianreach::proxy {

// A server may send a response twice, the second time when the next response on
// the connection is due. All attempts of a request bear the same id, so a copy
// cannot be told from the response to the next attempt on the same connection.
class UsedConnections {
 public:
  void Add(const std::shared_ptr<ServerConnection>& connection) {
    connections_.push_back(connection);
  }
  // Returns whether `connection` was added and has not been destroyed since.
  [[nodiscard]] bool Contains(const ServerConnection& connection) const {
    return std::ranges::any_of(connections_, [&](const auto& it) {
      return it.lock().get() == &connection;
    });
  }

 private:
  std::vector<std::weak_ptr<ServerConnection>> connections_;
};

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_USED_CONNECTIONS_H_
