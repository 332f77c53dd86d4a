// The servers that have to refuse orders which may still be on their way.
#ifndef SRC_KEYSPACE_SERVER_FENCES_H_
#define SRC_KEYSPACE_SERVER_FENCES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"

namespace gentianreach::keyspace {

// Nothing bounds the time for which an order is on its way: the kernel of a
// sender that was killed goes on sending it, also after a network partition.
// A server that is connected again therefore gets a fence: releases, under a
// token above all earlier ones, of all keys that it must not hold. From then on
// it refuses grants of these keys with lower tokens.
//
// What was sent while the server could not be reached is lost. A fence of that
// time is therefore repeated as soon as the server is connected, whether or not
// it has been given up.
class ServerFences {
 public:
  struct Fence {
    ServerId server;
    std::string address;
  };

  // A connection to `server` was established while there was none. Its fence is
  // given up at `give_up_at` if it has had no response by then.
  void OnConnected(const ServerId& server,
                   const std::string& address,
                   TimePoint give_up_at);
  // The same for all servers at `address` that have a fence.
  void OnConnected(const std::string& address);
  // `server` may hold keys that another server is about to get.
  void OnLeaseOver(const ServerId& server,
                   const std::string& address,
                   TimePoint give_up_at);
  // The process at the address of `server` has ended.
  void Remove(const ServerId& server);

  // Returns the servers whose fences are due at `now`. Each has to be followed
  // by OnSent().
  [[nodiscard]] std::vector<Fence> TakeDue(TimePoint now);
  // The fence of `server` consists of `orders`, which may be empty and have
  // higher numbers than those before; an order without a response is repeated
  // at `retry_at`.
  void OnSent(const ServerId& server,
              const std::vector<std::uint64_t>& orders,
              TimePoint retry_at);

  enum class Reply : std::uint8_t {
    kDone,
    kOtherServer,
    kUnknown,  // The fence is repeated.
  };
  // Returns the server if `order` belongs to a fence.
  std::optional<ServerId> OnReply(std::uint64_t order, Reply reply);

  // Returns whether orders of a fence are on their way to `server`.
  [[nodiscard]] bool IsSending(const ServerId& server) const;
  // Returns the addresses of the servers that may hold keys of others, to which
  // connections are needed even if discovery does not list them.
  [[nodiscard]] std::set<std::string> Addresses() const;
  // Returns when TakeDue() is due, or TimePoint::max().
  [[nodiscard]] TimePoint next_at() const;

 private:
  struct State {
    std::string address;
    // TimePoint::max() while nothing is to be sent.
    TimePoint due_at = TimePoint::max();
    // The fence is not sent again before, except once if it was sent while
    // there was no connection.
    TimePoint retry_at{};
    TimePoint give_up_at{};
    // The server may hold keys of others.
    bool lease_over = false;
    // A connection was established since the fence was sent.
    bool connected = false;
    // The fence was sent when a connection had been established.
    bool sent_connected = false;
    // The first order of the latest fence. Those before it are not repeated.
    std::uint64_t first_order = 0;
    std::set<std::uint64_t> in_flight;

    void OnConnected();
  };

  std::map<ServerId, State> states_;
  std::map<std::uint64_t, ServerId> orders_;
};

}  // namespace gentianreach::keyspace

#endif  // SRC_KEYSPACE_SERVER_FENCES_H_
