// An HTTP client of the soak test. Sends requests one at a time over a
// persistent connection.
#ifndef SOAK_CALLER_H_
#define SOAK_CALLER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "http/message_head.h"
#include "http/message_parser.h"
#include "net/deadline_timer.h"
#include "net/event_loop.h"
#include "net/output_buffer.h"
#include "net/tcp_socket.h"
#include "soak/promise_checker.h"

namespace gentianreach::soak {

// Properties of the requests for one route.
struct RequestKind {
  std::string path_prefix;
  bool keyed = false;
  bool idempotent = true;
};

// State shared by all callers of a soak run.
struct CallerContext {
  net::EventLoop& loop;
  PromiseChecker& checker;
  // Address of each daemon's listener for callers.
  std::vector<std::string> daemons;
  std::vector<RequestKind> kinds;
  // Keys of keyed requests. A small set, so that each key is used often.
  std::vector<std::uint32_t> keys;
  // Called for each response with status 200. `target` is the path prefix,
  // followed by the key for keyed requests.
  std::function<
      void(std::size_t daemon, const std::string& target, TimePoint sent)>
      on_success;
  bool stopped = false;
};

// Sends requests until `CallerContext::stopped` is set.
class Caller : public std::enable_shared_from_this<Caller> {
 public:
  // `index` identifies the caller and selects its preferred daemon.
  Caller(CallerContext& context, std::size_t index, std::uint64_t seed);
  void Start();

 private:
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
  std::string target_;
  std::uint64_t sent_ = 0;
  std::string received_;
  std::unique_ptr<http::ResponseParser> parser_;
  http::MessageHead head_;
  std::string body_;
};

}  // namespace gentianreach::soak

#endif  // SOAK_CALLER_H_
