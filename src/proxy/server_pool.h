// The connections of this daemon to its backend servers.
#ifndef SRC_PROXY_SERVER_POOL_H_
#define SRC_PROXY_SERVER_POOL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "net/event_loop.h"
#include "proxy/server_connection.h"
#include "proxy/server_watch.h"

namespace gentianreach::proxy {

// The connections to one server: at most `limit` at a time, unused ones kept
// for the next request. Who finds none free waits in line.
class ServerPool : public std::enable_shared_from_this<ServerPool> {
 public:
  using Waiter = std::function<void()>;
  using WaiterId = std::list<Waiter>::iterator;

  // `progress_timeout` is how long a connection may be silent; see
  // ServerWatch. Without one the connections are not watched.
  ServerPool(net::EventLoop& loop,
             std::string address,
             std::optional<Duration> progress_timeout,
             ServerConnectionOptions options = {})
      : loop_(loop), address_(std::move(address)), options_(options) {
    if (progress_timeout) {
      watch_ = std::make_shared<ServerWatch>(loop, address_, *progress_timeout);
    }
  }
  ServerPool(const ServerPool&) = delete;
  ServerPool& operator=(const ServerPool&) = delete;

  // Sets the number of connections that may be open.
  void SetLimit(std::size_t limit) { limit_ = limit; }
  // Sets the number of unused connections that are kept open.
  void SetIdleLimit(std::size_t limit) { idle_limit_ = limit; }
  // Returns a connection for one request, or null where all are in use. The
  // connection may still be opening. Return it by Release() when the response
  // is complete; a failed or abandoned one returns by itself.
  [[nodiscard]] std::shared_ptr<ServerConnection> Acquire();
  // Tells that a request is about to be written on a connection.
  void OnStart(ServerConnection* connection) {
    if (watch_) {
      watch_->OnBusy(connection);
    }
  }
  // Takes a connection back.
  void Release(const std::shared_ptr<ServerConnection>& connection);

  // Puts `wake` at the end of the line. It is called once when a connection
  // may be free, from the loop.
  WaiterId AddWaiter(Waiter wake) {
    return waiters_.insert(waiters_.end(), std::move(wake));
  }
  // Leaves the line; only before the waiter was called.
  void RemoveWaiter(WaiterId id) { waiters_.erase(id); }
  [[nodiscard]] std::size_t waiting() const { return waiters_.size(); }

  // Closes the connections that carry no request.
  void CloseIdle();
  // Returns the number of open connections.
  [[nodiscard]] std::size_t open() const { return open_; }

 private:
  void OnClosed(ServerConnection* connection);
  void WakeNext();

  net::EventLoop& loop_;
  const std::string address_;
  const ServerConnectionOptions options_;
  std::shared_ptr<ServerWatch> watch_;  // Null where not watched.
  std::size_t limit_ = 1;
  std::size_t idle_limit_ = std::numeric_limits<std::size_t>::max();
  std::size_t open_ = 0;
  // The most recently used one is last and is used first, so that surplus
  // connections grow old and close.
  std::vector<std::shared_ptr<ServerConnection>> idle_;
  std::list<Waiter> waiters_;
};

// The pools by server address. A server that returns at another address gets
// another pool.
class ServerPools {
 public:
  explicit ServerPools(net::EventLoop& loop) : loop_(loop) {}

  // Sets how long a connection of the pools made from now on may be silent.
  void SetProgressTimeout(Duration timeout) { progress_timeout_ = timeout; }

  // Returns the pool of the server at `address`.
  std::shared_ptr<ServerPool> Get(const ServerId& server,
                                  const std::string& address);
  // Drops the pool of a server that has gone, once its requests are done.
  void Forget(const ServerId& server);
  // Closes all unused connections.
  void CloseIdle();

 private:
  struct Entry {
    std::string address;
    std::shared_ptr<ServerPool> pool;
  };

  net::EventLoop& loop_;
  Duration progress_timeout_ = std::chrono::seconds(1);
  std::unordered_map<ServerId, Entry> entries_;
};

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_SERVER_POOL_H_
