// Servers of plain services: any of them may serve any request.
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

// A backend server and where to reach it.
struct ServerChoice {
  ServerId server;
  std::string address;  // "IP:port"
  Incarnation incarnation;
};

// Chooses a server for each attempt of a request to a plain service. Pick()
// and Finished() come in pairs; `tried` names the servers that this request
// was sent to before.
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

// The simplest PlainPicker: the server with the fewest requests of this daemon
// outstanding, in turn among equals; servers already tried come last.
class LeastOutstandingPicker {
 public:
  // Replaces the servers of `service`. Requests in flight are not touched.
  void Replace(const ServiceName& service, std::vector<ServerChoice> servers);

  // Returns the server for one attempt, or nothing where there is none.
  std::optional<ServerChoice> Pick(const ServiceName& service,
                                   std::span<const ServerId> tried,
                                   TimePoint now);
  // Ends an attempt.
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
