// HTTP client for the platform's APIs, based on GIO and Boost.Beast's parser.
//
// A call is sent at most once, except reads (GET and HEAD without a body): if a
// pooled connection closes before the response, these are sent again on another
// connection until the deadline, since they change nothing. Any other call then
// ends without a response, and may have taken effect. Redirects are not
// followed. A response counts only if it is well-formed and whole.
#ifndef SRC_NET_HTTP_CLIENT_H_
#define SRC_NET_HTTP_CLIENT_H_

#include <gio/gio.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/glib_ptr.h"
#include "gentianreach/time.h"
#include "net/http_connection.h"

namespace gentianreach {

struct HttpCall {
  std::string method = "GET";
  std::string url;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // The call is cancelled at this point. Nothing of it that is unsent then will
  // be sent.
  TimePoint deadline;
  std::string content_type = "application/octet-stream";
  // Sends the call on a new connection, since open ones may have gone silent.
  bool new_connection = false;
  // Name of the response header that HttpResponse::header returns; empty: none.
  std::string wanted_header;
};

struct HttpResponse {
  // Status code; 0 if no complete response with a final status arrived.
  int status = 0;
  // Why no such response arrived.
  std::string error;
  // False if the request cannot have reached the server (no connection).
  bool may_have_arrived = true;
  std::string etag;
  // Value of HttpCall::wanted_header; empty if the response has no such header.
  std::string header;
  std::string body;
};

using HttpCallback = std::function<void(HttpResponse)>;

// Sends calls on the main context of the thread that created it, and must be
// used on that thread only. Each call runs its callback exactly once, unless
// the client is destroyed first; pending calls then end without a callback.
// After a call without a response, later calls to that server open new
// connections, since the open ones may have gone silent, too.
class HttpClient {
 public:
  // Connects from the local IP address `source_ip`; if it is empty, the system
  // chooses one. If it is no IP address, all calls fail.
  explicit HttpClient(std::string source_ip = {});
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  // Starts a call.
  void Send(HttpCall call, HttpCallback done);
  // Sends a call and runs the main context until it has ended.
  [[nodiscard]] HttpResponse SendAndWait(HttpCall call);

 private:
  struct PendingCall;
  // What is kept of one server.
  struct Server;
  using CallPtr = std::shared_ptr<PendingCall>;

  // Returns the server of `uri`.
  std::shared_ptr<Server> ServerFor(GUri* uri);
  // Sends a call on a kept connection or a new one, or queues it until one of
  // the connections to its server is free.
  void Start(const CallPtr& call);
  void SendOn(std::shared_ptr<HttpConnection> connection, const CallPtr& call);
  void OnReply(const CallPtr& call, HttpReply reply);
  void OnDeadline(const CallPtr& call);
  // Ends a call without a response.
  void EndUnanswered(const CallPtr& call,
                     std::string error,
                     bool may_have_arrived);
  void End(const CallPtr& call, HttpResponse response);

  const std::string source_ip_;
  // Null if `source_ip_` is empty or no IP address.
  const GObjectPtr<GSocketAddress> source_address_;
  // By scheme, host and port.
  std::map<std::string, std::shared_ptr<Server>> servers_;
  std::set<CallPtr> calls_;
};

}  // namespace gentianreach

#endif  // SRC_NET_HTTP_CLIENT_H_
