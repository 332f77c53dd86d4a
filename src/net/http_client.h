// HTTP client for the platform's APIs, based on libsoup.
//
// A call is sent at most once, except reads (GET and HEAD without a body): if a
// pooled connection closes before the response, libsoup sends these again on
// another connection until the deadline, since they change nothing and have no
// body that could be lost. Any other call then ends without a response, and may
// have taken effect. Redirects are not followed, and no response makes libsoup
// send a call again.
#ifndef SRC_NET_HTTP_CLIENT_H_
#define SRC_NET_HTTP_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <libsoup/soup.h>

#include "base/glib_ptr.h"
#include "gentianreach/time.h"

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
  // Empty for responses after which libsoup would send the call again (421).
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
  // A pending call. Owned by its libsoup operation.
  struct PendingCall;
  struct Session {
    GObjectPtr<SoupSession> session;
    TimePoint expires_at;
  };

  // Ends the call `data` unless libsoup may send it again.
  static void OnRestarted(SoupMessage* message, gpointer data);
  // Ends the call `data`.
  static void OnDone(GObject* session, GAsyncResult* result, gpointer data);

  // Returns the session for the server of `message`.
  SoupSession* SessionFor(SoupMessage* message);

  const std::string source_ip_;
  // Null if `source_ip_` is empty or no IP address.
  const GObjectPtr<GSocketAddress> source_address_;
  // By "host:port". Servers do not share a session, since libsoup reads from
  // all idle connections of a session for each call.
  std::map<std::string, Session> sessions_;
  // Calls may outlive the client in libsoup; they check this flag to see
  // whether the client still exists.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gentianreach

#endif  // SRC_NET_HTTP_CLIENT_H_
