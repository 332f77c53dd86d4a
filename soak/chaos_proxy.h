// A TCP proxy on loopback that injects network faults into its connections.
#ifndef SOAK_CHAOS_PROXY_H_
#define SOAK_CHAOS_PROXY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/leaf/result.hpp>

#include "gentianreach/time.h"
#include "net/event_loop.h"
#include "net/tcp_socket.h"

namespace gentianreach::soak {

// How the proxy forwards bytes. Bytes that are held back are forwarded once the
// mode permits it, as after the end of a network partition.
enum class LinkMode : std::uint8_t {
  kPass,
  kSlow,           // Forwards all bytes after a delay.
  kSilent,         // Forwards nothing.
  kOnlyToTarget,   // Forwards nothing to the clients.
  kOnlyToClients,  // Forwards nothing to the target.
};

// How a client's path to the target is partitioned.
enum class ClientCut : std::uint8_t {
  kNone,
  kSilent,         // Nothing is forwarded in either direction.
  kReset,          // Existing and new connections are reset.
  kNewRefused,     // Existing connections live on; new ones are reset.
  kOnlyToTarget,   // Nothing is forwarded to the client.
  kOnlyToClients,  // Nothing is forwarded to the target.
};

class ChaosProxy {
 public:
  explicit ChaosProxy(net::EventLoop& loop);
  ChaosProxy(const ChaosProxy&) = delete;
  ChaosProxy& operator=(const ChaosProxy&) = delete;
  ~ChaosProxy();

  // Accepts connections at `address` ("IP:port"; port 0: any).
  boost::leaf::result<void> Listen(const std::string& address);
  // Returns "IP:port".
  [[nodiscard]] const std::string& address() const { return address_; }

  // Sets the address to which new connections are forwarded. With an empty
  // address, new connections are reset.
  void SetTarget(const std::string& address);
  void SetMode(LinkMode mode);
  // Partitions the clients with the IP address `client_ip` from the target, or
  // ends that.
  void SetClientCut(const std::string& client_ip, ClientCut cut);
  // Resets all connections.
  void Reset();

 private:
  class Pair;

  void Accept();
  [[nodiscard]] ClientCut CutOf(const std::string& client_ip) const;

  net::EventLoop& loop_;
  net::TcpSocket listener_;
  net::EventLoop::WatchId watch_ = 0;
  std::string address_;
  std::string target_;
  LinkMode mode_ = LinkMode::kPass;
  // By IP address.
  std::map<std::string, ClientCut> cuts_;
  std::set<std::shared_ptr<Pair>> pairs_;
};

}  // namespace gentianreach::soak

#endif  // SOAK_CHAOS_PROXY_H_
