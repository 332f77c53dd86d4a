// An HTTP client of the soak test. Sends requests one at a time over a
// persistent connection.
#ifndef SOAK_CALLER_H_
#define SOAK_CALLER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "http/message_head.h"
#include "http/message_parser.h"
#include "net/deadline_timer.h"
#include "net/event_loop.h"
#include "net/output_buffer.h"
#include "net/tcp_socket.h"
#include "soak/config_checker.h"
#include "soak/expected_requests.h"
#include "soak/promise_checker.h"

namespace gentianreach::soak {

// State shared by all callers of a soak run.
struct CallerContext {
  net::EventLoop& loop;
  PromiseChecker& checker;
  ConfigChecker& config_checker;
  // Address of each daemon's listener for callers.
  std::vector<std::string> daemons;
  std::vector<RequestKind> kinds;
  // Keys of keyed requests. A small set, so that each key is used often.
  std::vector<std::uint32_t> keys;
  // Updated for each response with status 200.
  ExpectedRequests expected;
  // Returns what a probe of the configuration asks for; `draw` is random.
  std::function<RequestKind(std::size_t daemon, std::uint64_t draw)>
      config_probe;
  bool stopped = false;
};

// Sends requests until `CallerContext::stopped` is set.
class Caller : public std::enable_shared_from_this<Caller> {
 public:
  enum class Role : std::uint8_t {
    // Sends random requests, to a random daemon after a failure.
    kLoad,
    // Sends what its preferred daemon is expected to serve until it has, and
    // then ends.
    kProbe,
    // Asks its preferred daemon for routes of versions of the configuration.
    kConfigProbe,
  };

  // `index` identifies the caller among those of its role and selects its
  // preferred daemon.
  Caller(CallerContext& context,
         Role role,
         std::size_t index,
         std::uint64_t seed);
  void Start();

 private:
  // Returns what to ask for next; std::nullopt if the caller is done.
  std::optional<RequestTarget> NextTarget();
  void Connect();
  void OnReady(net::ReadyEvents events);
  void SendNext();
  void Flush();
  void Receive();
  void OnResponse();
  // Closes the connection, records that a pending request got no response, and
  // schedules a connection to a random daemon.
  void OnEnd();
  void CloseSocket();
  void OnTimer();

  CallerContext& context_;
  const Role role_;
  const std::string name_;
  std::mt19937_64 random_;
  const std::size_t preferred_daemon_;
  std::size_t daemon_;
  // Responses left until the caller closes the connection.
  std::uint64_t requests_left_ = 0;
  net::TcpSocket socket_;
  net::EventLoop::WatchId watch_ = 0;
  net::OutputBuffer out_;
  net::DeadlineTimer timer_;
  bool connected_ = false;
  bool awaiting_response_ = false;
  SentRequest request_;
  RequestTarget target_;
  std::uint64_t sent_ = 0;
  std::string received_;
  std::unique_ptr<http::ResponseParser> parser_;
  http::MessageHead head_;
  std::string body_;
};

}  // namespace gentianreach::soak

#endif  // SOAK_CALLER_H_
