// Selection of servers for plain services, where any server may serve any
// request.
#ifndef SRC_PROXY_PLAIN_SERVERS_H_
#define SRC_PROXY_PLAIN_SERVERS_H_

#include <concepts>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "gentianreach/verdict.h"

namespace gentianreach::proxy {

// A backend server and its address.
struct ServerChoice {
  ServerId server;
  std::string address;  // "IP:port"
  Incarnation incarnation;
};

// Chooses a server for each attempt of a request to a plain service. Each
// successful Pick() is followed by one Finished(). `tried` lists the servers
// that earlier attempts of the request were sent to.
template <typename P>
concept PlainPicker = requires(P& picker,
                               const ServiceName& service,
                               std::span<const ServerId> tried,
                               const ServerId& server,
                               Verdict verdict,
                               Duration service_time,
                               TimePoint now) {
  {
    picker.Pick(service, tried, now)
    } -> std::same_as<std::optional<ServerChoice>>;
  picker.Finished(service, server, verdict, service_time, now);
};

// A PlainPicker that picks the server with the fewest outstanding requests of
// this daemon, round-robin among equals. Servers already tried are picked only
// if there is no other.
class LeastOutstandingPicker {
 public:
  // Replaces the servers of `service`. Does not affect requests in flight.
  void Replace(const ServiceName& service, std::vector<ServerChoice> servers);

  // Returns the server for one attempt, or nothing if the service has none.
  std::optional<ServerChoice> Pick(const ServiceName& service,
                                   std::span<const ServerId> tried,
                                   TimePoint now);
  // Ends an attempt that Pick() began.
  void Finished(const ServiceName& service,
                const ServerId& server,
                Verdict verdict,
                Duration service_time,
                TimePoint now);

 private:
  struct Entry {
    ServerChoice choice;
    std::size_t outstanding = 0;
  };
  struct Group {
    std::vector<Entry> entries;
    std::size_t next = 0;
  };

  std::unordered_map<ServiceName, Group> groups_;
};

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_PLAIN_SERVERS_H_
