// One connection of an HttpClient, on a GIO stream. Carries one call at a time.
//
// Responses are read by http::ResponseParser, as those of backend servers are.
// libsoup's client takes responses for whole that are not: heads and chunked
// bodies that the end of the connection cuts off, malformed chunk sizes, two
// lengths, and names of fields that are none.
#ifndef SRC_NET_HTTP_CONNECTION_H_
#define SRC_NET_HTTP_CONNECTION_H_

#include <gio/gio.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/glib_ptr.h"
#include "base/timer.h"
#include "gentianreach/time.h"
#include "http/message_head.h"
#include "http/message_parser.h"

namespace gentianreach {

// How a call ended on its connection.
struct HttpReply {
  http::MessageHead head;
  std::string body;
  // Why there is no whole response; empty if there is one.
  std::string error;
  // Whether the server cannot have got any part of the request.
  bool never_connected = false;
  // Whether any byte of a response has arrived.
  bool begun = false;
};

class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  using Callback = std::function<void(HttpReply)>;

  HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Starts connecting. A failure ends the call that Send() starts.
  void Open(GSocketClient* client, const std::string& host, std::uint16_t port);
  // Sends a request, once the connection is established. `head_only` is set if
  // the response has no body (HEAD). `done` is called once, unless Close() is
  // called before.
  void Send(std::string request, bool head_only, Callback done);
  // Closes the connection with a reset. Nothing that is unsent will be sent.
  void Close();
  // Closes the connection at `deadline` if it carries no call then.
  void CloseIfIdle(TimePoint deadline);

  // Returns whether the connection is open and may carry another call.
  [[nodiscard]] bool Reusable() const;
  // Returns whether it has carried a whole response.
  [[nodiscard]] bool has_answered() const { return has_answered_; }

 private:
  static void OnConnected(GObject* client, GAsyncResult* result, gpointer data);
  static void OnWritten(GObject* out, GAsyncResult* result, gpointer data);
  static void OnRead(GObject* in, GAsyncResult* result, gpointer data);

  // Returns a reference to this object for the callback of an operation.
  gpointer BeginOperation();
  // Takes that reference back.
  static std::shared_ptr<HttpConnection> EndOperation(gpointer data);

  [[nodiscard]] GSocket* socket() const;
  void SendRequest();
  void ExpectResponse();
  void ReadMore();
  void ParseUnread();
  // `orderly` is true for a normal close and false for a reset.
  void OnEndOfStream(bool orderly);
  void Complete();
  void Fail(std::string error, bool never_connected = false);
  void CloseStream();

  GObjectPtr<GSocketConnection> stream_;
  const GObjectPtr<GCancellable> cancellable_;
  // Operations of GIO that use the buffers and have not ended.
  int operations_ = 0;
  bool closed_ = false;
  bool has_answered_ = false;
  bool reusable_ = false;
  Timer idle_timer_;

  // The current call.
  Callback done_;
  std::string request_;
  bool sent_ = false;
  bool head_only_ = false;
  std::optional<http::ResponseParser> parser_;
  bool has_head_ = false;
  HttpReply reply_;
  std::vector<char> buf_;
  std::string unread_;
};

}  // namespace gentianreach

#endif  // SRC_NET_HTTP_CONNECTION_H_
