#include "net/http_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <utility>

#include "gentianreach/check.h"
#include "http/status.h"
#include "net/tcp_socket.h"

namespace gentianreach {
namespace {

constexpr std::size_t kMaxHeaderBytes = 64 * 1024;
constexpr std::size_t kReadBytes = 16 * 1024;
// Bounds the memory that a server's response takes. A page of a list has 1 MB,
// a copy of a large fleet's objects a few.
constexpr std::size_t kMaxBodyBytes = 32 * 1024 * 1024;

bool IsNeverConnected(const GError& error) {
  return error.domain == G_RESOLVER_ERROR ||
         g_error_matches(&error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) ||
         g_error_matches(&error, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE) ||
         g_error_matches(&error, G_IO_ERROR, G_IO_ERROR_NETWORK_UNREACHABLE);
}

}  // namespace

HttpConnection::HttpConnection()
    : cancellable_(GObjectPtr<GCancellable>::Adopt(g_cancellable_new())) {}

gpointer HttpConnection::BeginOperation() {
  ++operations_;
  return new std::shared_ptr<HttpConnection>(shared_from_this());
}

std::shared_ptr<HttpConnection> HttpConnection::EndOperation(gpointer data) {
  const std::unique_ptr<std::shared_ptr<HttpConnection>> reference(
      static_cast<std::shared_ptr<HttpConnection>*>(data));
  --(*reference)->operations_;
  if ((*reference)->closed_) {
    (*reference)->CloseStream();
  }
  return *reference;
}

GSocket* HttpConnection::socket() const {
  return g_socket_connection_get_socket(stream_.get());
}

void HttpConnection::Open(GSocketClient* client,
                          const std::string& host,
                          std::uint16_t port) {
  const auto address = GObjectPtr<GSocketConnectable>::Adopt(
      g_network_address_new(host.c_str(), port));
  g_socket_client_connect_async(client, address.get(), cancellable_.get(),
                                &OnConnected, BeginOperation());
}

void HttpConnection::OnConnected(GObject* client,
                                 GAsyncResult* result,
                                 gpointer data) {
  GError* raw_error = nullptr;
  auto stream =
      GObjectPtr<GSocketConnection>::Adopt(g_socket_client_connect_finish(
          G_SOCKET_CLIENT(client), result, &raw_error));
  const GErrorPtr error(raw_error);
  const auto self = EndOperation(data);
  if (self->closed_) {
    return;
  }
  if (error) {
    self->Fail(error->message, IsNeverConnected(*error));
    return;
  }
  self->stream_ = std::move(stream);
  // The kernel would otherwise go on sending a cancelled call, for minutes if
  // the path to the server is interrupted.
  net::ResetOnClose(g_socket_get_fd(self->socket()));
  g_socket_set_option(self->socket(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  if (self->done_) {
    self->SendRequest();
  }
}

void HttpConnection::Send(std::string request, bool head_only, Callback done) {
  GENTIANREACH_CHECK(!done_);
  idle_timer_.Cancel();
  request_ = std::move(request);
  head_only_ = head_only;
  done_ = std::move(done);
  if (stream_) {
    SendRequest();
  }
}

void HttpConnection::SendRequest() {
  sent_ = false;
  reusable_ = false;
  reply_ = {};
  ExpectResponse();
  g_output_stream_write_all_async(
      g_io_stream_get_output_stream(G_IO_STREAM(stream_.get())),
      request_.data(), request_.size(), G_PRIORITY_DEFAULT, cancellable_.get(),
      &OnWritten, BeginOperation());
  buf_.resize(kReadBytes);
  ReadMore();
}

void HttpConnection::ExpectResponse() {
  has_head_ = false;
  reply_.head.Clear();
  parser_.emplace(kMaxHeaderBytes);
  if (head_only_) {
    parser_->SkipBody();
  }
}

void HttpConnection::OnWritten(GObject* out,
                               GAsyncResult* result,
                               gpointer data) {
  const bool sent = g_output_stream_write_all_finish(
                        G_OUTPUT_STREAM(out), result, nullptr, nullptr) != 0;
  const auto self = EndOperation(data);
  // After an error, reading ends the call: a response may have arrived before
  // the connection broke.
  self->sent_ = sent;
}

void HttpConnection::ReadMore() {
  g_input_stream_read_async(
      g_io_stream_get_input_stream(G_IO_STREAM(stream_.get())), buf_.data(),
      buf_.size(), G_PRIORITY_DEFAULT, cancellable_.get(), &OnRead,
      BeginOperation());
}

void HttpConnection::OnRead(GObject* in, GAsyncResult* result, gpointer data) {
  const gssize n =
      g_input_stream_read_finish(G_INPUT_STREAM(in), result, nullptr);
  const auto self = EndOperation(data);
  if (self->closed_) {
    return;
  }
  if (n <= 0) {
    self->OnEndOfStream(n == 0);
    return;
  }
  self->reply_.begun = true;
  self->unread_.append(self->buf_.data(), static_cast<std::size_t>(n));
  self->ParseUnread();
}

void HttpConnection::ParseUnread() {
  while (!unread_.empty()) {
    const auto result = parser_->Parse(unread_, reply_.head, reply_.body);
    unread_.erase(0, result.consumed);
    const bool is_head = result.status == http::ParseStatus::kHead;
    const bool is_interim =
        is_head && !http::status::IsFinal(reply_.head.status);
    if (result.status == http::ParseStatus::kMalformed ||
        result.status == http::ParseStatus::kHeaderTooLarge ||
        (is_interim &&
         reply_.head.status == http::status::kSwitchingProtocols)) {
      Fail("malformed response");
      return;
    }
    if (is_interim) {
      ExpectResponse();
      continue;
    }
    has_head_ = has_head_ || is_head;
    if (reply_.body.size() > kMaxBodyBytes) {
      Fail("response too large");
      return;
    }
    if (parser_->done()) {
      Complete();
      return;
    }
    if (result.consumed == 0) {
      break;
    }
  }
  ReadMore();
}

void HttpConnection::OnEndOfStream(bool orderly) {
  // A reset looks like an orderly end once a failed write has taken the
  // socket's error, and so does the end of a process that has read only part of
  // the request.
  const bool request_received =
      sent_ && net::UnacknowledgedBytes(g_socket_get_fd(socket())) == 0;
  if (orderly && has_head_ &&
      reply_.head.framing == http::BodyFraming::kUntilEnd && request_received) {
    Complete();
    return;
  }
  Fail(reply_.begun ? "connection closed within the response"
                    : "connection closed before the response");
}

void HttpConnection::Complete() {
  has_answered_ = true;
  reusable_ = reply_.head.keep_alive && sent_ && unread_.empty() &&
              reply_.head.framing != http::BodyFraming::kUntilEnd &&
              !http::StatesExcludedBody(reply_.head);
  // Frees the memory, since connections are idle most of the time. A write that
  // has not ended still uses the request.
  if (sent_) {
    request_ = std::string();
  }
  unread_ = std::string();
  buf_ = std::vector<char>();
  const Callback done = std::exchange(done_, nullptr);
  done(std::exchange(reply_, {}));
}

void HttpConnection::Fail(std::string error, bool never_connected) {
  reply_.error = std::move(error);
  reply_.never_connected = never_connected;
  const Callback done = std::exchange(done_, nullptr);
  HttpReply reply = std::exchange(reply_, {});
  Close();
  if (done) {
    done(std::move(reply));
  }
}

bool HttpConnection::Reusable() const {
  constexpr auto kCondition =
      static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR);
  return reusable_ && !closed_ &&
         g_socket_condition_check(socket(), kCondition) == 0;
}

void HttpConnection::CloseIfIdle(TimePoint deadline) {
  idle_timer_.Set(deadline, [this] { Close(); });
}

void HttpConnection::Close() {
  if (std::exchange(closed_, true)) {
    return;
  }
  done_ = nullptr;
  idle_timer_.Cancel();
  g_cancellable_cancel(cancellable_.get());
  CloseStream();
}

void HttpConnection::CloseStream() {
  // GIO still uses the stream in operations that have not ended.
  if (operations_ == 0 && stream_) {
    g_socket_close(socket(), nullptr);
    stream_ = {};
  }
}

}  // namespace gentianreach
