// Accepts connections of callers and of daemons that forward requests, and
// creates an EntryRequest for each request.
#ifndef SRC_ENTRY_ENTRY_PROXY_H_
#define SRC_ENTRY_ENTRY_PROXY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include <boost/leaf/result.hpp>

#include "entry/entry_request.h"
#include "entry/entry_state.h"
#include "gentianreach/time.h"
#include "net/deadline_timer.h"
#include "net/listener.h"
#include "net/tcp_socket.h"
#include "proxy/caller_connection.h"

namespace gentianreach::entry {

class EntryProxy {
 public:
  explicit EntryProxy(std::shared_ptr<EntryState> state);
  ~EntryProxy();
  EntryProxy(const EntryProxy&) = delete;
  EntryProxy& operator=(const EntryProxy&) = delete;

  // Starts accepting callers or other daemons at `address` ("IP:port"). Fails
  // with net::SocketError.
  boost::leaf::result<void> Listen(const std::string& address,
                                   RequestOrigin origin);
  // Returns the port of the first address.
  [[nodiscard]] std::uint16_t port() const { return listeners_.front().port(); }
  // Sends requests that wait for a server another way, because the path to all
  // servers is lost.
  void OnServersLost();

  // Stops gracefully. Callers are accepted until `accept_until`, since the load
  // balancer notices the stop late; every response closes its connection. At
  // `deadline`, requests without a response get one that tells whether they may
  // have run. `done` is called when all requests have ended, or shortly after
  // `deadline`.
  void Stop(TimePoint accept_until,
            TimePoint deadline,
            std::function<void()> done);

 private:
  class Session;
  using Sessions =
      std::unordered_map<proxy::CallerConnection*, std::shared_ptr<Session>>;

  void OnConnection(net::TcpSocket socket, RequestOrigin origin);
  // Refuses the request of a connection beyond those that the daemon takes, or
  // closes it.
  void TurnAway(net::TcpSocket socket, RequestOrigin origin);
  void StartSession(net::TcpSocket socket,
                    RequestOrigin origin,
                    std::size_t max_header_bytes,
                    const proxy::CallerTimeouts& timeouts);
  void CloseListeners();
  void CheckStopped();

  std::shared_ptr<EntryState> state_;
  std::shared_ptr<Sessions> sessions_ = std::make_shared<Sessions>();
  std::list<net::Listener> listeners_;
  net::DeadlineTimer stop_timer_;
  TimePoint accept_until_{};
  TimePoint stop_deadline_{};
  std::function<void()> stop_done_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_ENTRY_PROXY_H_
