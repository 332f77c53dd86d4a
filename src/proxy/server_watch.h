// Detects connections to one backend server that make no progress.
#ifndef SRC_PROXY_SERVER_WATCH_H_
#define SRC_PROXY_SERVER_WATCH_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "gentianreach/time.h"
#include "net/deadline_timer.h"
#include "net/event_loop.h"
#include "policy/progress_watch.h"
#include "proxy/server_connection.h"

namespace gentianreach::proxy {

// Drives the ProgressWatch policy for the connections to one server: reports
// their activity and the kernel's acknowledgement state to it, and executes the
// actions that it returns. A probe is the order `probe`, which changes nothing
// at the server; any response to it shows that the server works.
class ServerWatch : public std::enable_shared_from_this<ServerWatch> {
 public:
  using Connection = std::shared_ptr<ServerConnection>;

  ServerWatch(net::EventLoop& loop, std::string address, Duration timeout);
  ServerWatch(const ServerWatch&) = delete;
  ServerWatch& operator=(const ServerWatch&) = delete;

  // Starts monitoring a connection.
  void Add(const Connection& connection);
  // Stops monitoring a connection. Call when it has closed.
  void Remove(ServerConnection* connection);
  // Reports that a request is about to be written on the connection.
  void OnBusy(ServerConnection* connection);
  // Reports that the response on the connection is complete.
  void OnIdle(ServerConnection* connection);
  // Returns whether a request may be sent on an idle connection.
  [[nodiscard]] bool IsUsable(const ServerConnection* connection) const;

 private:
  struct Watched {
    std::weak_ptr<ServerConnection> connection;
    TimePoint busy_since;
    TimePoint reported;  // Last progress reported to the policy.
    bool busy = false;
  };

  static std::uint64_t IdOf(const ServerConnection* connection) {
    return reinterpret_cast<std::uintptr_t>(connection);
  }
  void PollPolicy();
  void QueryKernel(TimePoint now);
  void Arm();
  void Execute(const ProgressAction& action);
  void ProbeServer();
  void Verify(const Connection& connection);

  net::EventLoop& loop_;
  const std::string address_;
  ProgressWatch watch_;
  net::DeadlineTimer timer_;
  std::unordered_map<std::uint64_t, Watched> watched_;
};

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_SERVER_WATCH_H_
