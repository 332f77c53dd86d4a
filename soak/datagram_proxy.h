// A UDP proxy on loopback that drops datagrams between some of its endpoints.
#ifndef SOAK_DATAGRAM_PROXY_H_
#define SOAK_DATAGRAM_PROXY_H_

#include <gio/gio.h>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

#include <boost/leaf/result.hpp>

#include "base/glib_ptr.h"
#include "net/event_loop.h"

namespace gentianreach::soak {

// Forwards datagrams between endpoints that know only the addresses at which
// the proxy receives for each other. A datagram is sent on from the address at
// which its sender is reached.
class DatagramProxy {
 public:
  explicit DatagramProxy(net::EventLoop& loop) : loop_(loop) {}
  DatagramProxy(const DatagramProxy&) = delete;
  DatagramProxy& operator=(const DatagramProxy&) = delete;
  ~DatagramProxy();

  // Receives at `address` for the endpoint at `target`, both "IP:port". The
  // endpoint sends from the IP of `target`, which no other endpoint has. Fails
  // with net::SocketError.
  boost::leaf::result<void> Add(const std::string& address,
                                const std::string& target);
  // Drops the datagrams from the endpoint with the IP `from` to the one with
  // the IP `to`, or ends that.
  void SetCut(const std::string& from, const std::string& to, bool cut);
  // Returns the number of datagrams dropped, those of unknown senders included.
  [[nodiscard]] std::size_t dropped() const { return dropped_; }

 private:
  struct Endpoint {
    GObjectPtr<GSocket> socket;
    GObjectPtr<GSocketAddress> target;
    net::EventLoop::WatchId watch = 0;
  };

  // Forwards the datagrams that have arrived for the endpoint with the IP `to`.
  void Forward(const std::string& to);

  net::EventLoop& loop_;
  // By the endpoint's IP.
  std::map<std::string, Endpoint> endpoints_;
  // Pairs of sender's and receiver's IP.
  std::set<std::pair<std::string, std::string>> cuts_;
  std::size_t dropped_ = 0;
};

}  // namespace gentianreach::soak

#endif  // SOAK_DATAGRAM_PROXY_H_
