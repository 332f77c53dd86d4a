// A caller of a soak: sends one request after the other and keeps using its
// connection until the other side ends it.
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

// A kind of request that callers send.
struct RequestKind {
  std::string path_prefix;
  bool keyed = false;
  bool idempotent = true;
};

// What the callers of a soak share.
struct CallerContext {
  net::EventLoop& loop;
  PromiseChecker& checker;
  // Where each daemon takes callers.
  std::vector<std::string> daemons;
  std::vector<RequestKind> kinds;
  // Keys that requests are for: few, so that each is asked for often.
  std::vector<std::uint32_t> keys;
  // Called at each success, with the daemon and the path's prefix and key.
  std::function<
      void(std::size_t daemon, const std::string& target, TimePoint sent)>
      on_success;
  bool stopped = false;
};

// Sends until its context is stopped.
class Caller : public std::enable_shared_from_this<Caller> {
 public:
  // `index` tells callers apart and picks the daemon it begins with.
  Caller(CallerContext& context, std::size_t index, std::uint64_t seed);
  void Start();

 private:
  void Connect();
  void OnReady(net::ReadyEvents events);
  void SendNext();
  void Flush();
  void Receive();
  void OnResponse();
  // Ends the connection; the request under way stays without an answer.
  void OnEnd();
  void CloseSocket();
  void OnTimer();

  CallerContext& context_;
  const std::string name_;
  std::mt19937_64 random_;
  const std::size_t home_;  // The daemon that it prefers.
  std::size_t daemon_;
  // Requests until it leaves the connection by itself.
  std::uint64_t left_ = 0;
  net::TcpSocket socket_;
  net::EventLoop::WatchId watch_ = 0;
  net::OutputBuffer out_;
  net::DeadlineTimer timer_;
  bool connected_ = false;
  bool waiting_ = false;  // For an answer.
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
