// HTTP calls to the platform and of control orders, by libsoup.
//
// libsoup may send a request twice by itself where a pooled connection closes
// early, so this client is for idempotent calls only: reads, conditional
// updates that carry a write id, and orders. Requests of callers never go
// through it.
#ifndef SRC_NET_HTTP_CLIENT_H_
#define SRC_NET_HTTP_CLIENT_H_

#include <functional>
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
  // The call is given up at this point.
  TimePoint deadline;
  std::string content_type = "application/octet-stream";
  // Name of the response header that HttpResponse::header returns; empty: none.
  std::string wanted_header;
};

struct HttpResponse {
  // Status code; 0 where there was no whole response.
  int status = 0;
  // Why there was none.
  std::string error;
  // False where nothing can have reached the other side (no connection).
  bool may_have_arrived = true;
  std::string etag;
  // Value of HttpCall::wanted_header; empty where the response lacks it.
  std::string header;
  std::string body;
};

using HttpCallback = std::function<void(HttpResponse)>;

// Sends calls on the main context of the thread that made it, and belongs to
// that thread. Every call ends in its callback exactly once, unless the client
// is destroyed first: then calls still running end without one.
class HttpClient {
 public:
  HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  // Starts a call.
  void Send(HttpCall call, HttpCallback done);
  // Makes a call and runs the main context until it has ended.
  [[nodiscard]] HttpResponse SendAndWait(HttpCall call);

 private:
  GObjectPtr<SoupSession> session_;
  // Calls outlive the client in libsoup; they look here whether it is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gentianreach

#endif  // SRC_NET_HTTP_CLIENT_H_
