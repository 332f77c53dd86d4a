// Connection pools of this daemon for its backend servers.
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

// The connections to one server: at most `limit` at a time, with idle ones kept
// for later requests. If none is free, requests wait in FIFO order.
class ServerPool : public std::enable_shared_from_this<ServerPool> {
 public:
  using Waiter = std::function<void()>;
  // Decides whether an idle connection may carry a certain request.
  using ReuseFilter = std::function<bool(const ServerConnection&)>;
  using WaiterId = std::list<Waiter>::iterator;

  // `progress_timeout` is how long a connection may go without progress; see
  // ServerWatch. Without a timeout the connections are not monitored.
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

  // Sets the maximum number of open connections.
  void SetLimit(std::size_t limit) { limit_ = limit; }
  // Sets the maximum number of idle connections.
  void SetIdleLimit(std::size_t limit) { idle_limit_ = limit; }
  // Returns a connection for one request, or null if all are in use. It may not
  // be established yet. Pass it to Release() when the response is complete; a
  // failed or abandoned connection leaves the pool by itself. Idle connections
  // that `may_reuse` rejects are passed over; at the limit, one of them is
  // closed so that a new one can be opened. Null as well if a new one is needed
  // and `may_open` returns false.
  [[nodiscard]] std::shared_ptr<ServerConnection> Acquire(
      const ReuseFilter& may_reuse,
      const std::function<bool()>& may_open = [] { return true; });
  // The same without a filter.
  [[nodiscard]] std::shared_ptr<ServerConnection> Acquire() {
    return Acquire([](const ServerConnection&) { return true; });
  }
  // Reports that a request is about to be written on a connection.
  void OnStart(ServerConnection* connection) {
    if (watch_) {
      watch_->OnBusy(connection);
    }
  }
  // Returns a connection to the pool, or closes it if it is not reusable.
  void Release(const std::shared_ptr<ServerConnection>& connection);

  // Appends `wake` to the waiters. It is called once, from the loop, when a
  // connection may be free.
  WaiterId AddWaiter(Waiter wake) {
    return waiters_.insert(waiters_.end(), std::move(wake));
  }
  // Removes a waiter that has not been called yet.
  void RemoveWaiter(WaiterId id) { waiters_.erase(id); }
  [[nodiscard]] std::size_t waiting() const { return waiters_.size(); }

  // Closes the connections that carry no request.
  void CloseIdle();
  // Returns the number of open connections.
  [[nodiscard]] std::size_t open() const { return open_; }

 private:
  // Returns whether an idle connection is not being verified.
  [[nodiscard]] bool IsUsable(const ServerConnection& connection) const {
    return !watch_ || watch_->IsUsable(&connection);
  }
  // Takes the most recently used idle connection that `may_reuse` accepts;
  // null if there is none.
  std::shared_ptr<ServerConnection> TakeIdle(const ReuseFilter& may_reuse);
  std::shared_ptr<ServerConnection> Open();
  void OnClosed(ServerConnection* connection);
  void WakeNext();

  net::EventLoop& loop_;
  const std::string address_;
  const ServerConnectionOptions options_;
  std::shared_ptr<ServerWatch> watch_;  // Null if not monitored.
  std::size_t limit_ = 1;
  std::size_t idle_limit_ = std::numeric_limits<std::size_t>::max();
  std::size_t open_ = 0;
  // Ordered by last use. The most recently used one is last and reused first,
  // so that surplus connections reach their idle timeout and close.
  std::vector<std::shared_ptr<ServerConnection>> idle_;
  std::list<Waiter> waiters_;
};

// The pools of all servers. A server that reappears at another address gets a
// new pool.
class ServerPools {
 public:
  explicit ServerPools(net::EventLoop& loop) : loop_(loop) {}

  // Sets the progress timeout of pools created from now on.
  void SetProgressTimeout(Duration timeout) { progress_timeout_ = timeout; }

  // Returns the pool of the server at `address`.
  std::shared_ptr<ServerPool> Get(const ServerId& server,
                                  const std::string& address);
  // Drops the pool of a removed server. Its requests in flight are finished.
  void Forget(const ServerId& server);
  // Closes all idle connections.
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
