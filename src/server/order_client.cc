#include "server/order_client.h"

#include <memory>
#include <string>
#include <utility>

#include "net/deadline_timer.h"

namespace gentianreach {
namespace {

// Each connection carries one order at a time.
constexpr std::size_t kMaxConnectionsPerServer = 4;
constexpr std::size_t kMaxResponseBytes = 64 * 1024;

std::string SerializeRequest(const ServerOrder& order) {
  const std::string body = EncodeOrder(order);
  return "POST /.gentianreach/order HTTP/1.1\r\nHost: " + order.address +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Sends one order over a connection. The event handler of the connection owns
// the session.
class OrderSession : public std::enable_shared_from_this<OrderSession> {
 public:
  OrderSession(net::EventLoop& loop,
               std::shared_ptr<proxy::ServerPool> pool,
               std::shared_ptr<proxy::ServerConnection> connection,
               OrderClient::ResultCallback done)
      : pool_(std::move(pool)),
        connection_(std::move(connection)),
        done_(std::move(done)),
        timer_(loop, [this] { Abort(); }) {}

  void Start(const ServerOrder& order, TimePoint deadline) {
    timer_.Set(deadline);
    pool_->OnStart(connection_.get());
    connection_->Start(SerializeRequest(order), false, true,
                       [self = shared_from_this()](proxy::ServerEvent event) {
                         self->OnEvent(event);
                       });
  }

 private:
  void OnEvent(proxy::ServerEvent event) {
    switch (event) {
      case proxy::ServerEvent::kBody:
        body_ += connection_->body();
        if (body_.size() > kMaxResponseBytes) {
          Abort();
        }
        return;
      case proxy::ServerEvent::kEnd:
        pool_->Release(connection_);
        Complete({DecodeResponse(body_), false});
        return;
      case proxy::ServerEvent::kFailed:
        Complete({std::nullopt,
                  connection_->failure() == proxy::ServerFailure::kRefused});
        return;
      default:
        return;
    }
  }

  void Abort() {
    const auto self = shared_from_this();
    connection_->Abandon();
    Complete({});
  }

  void Complete(const OrderResult& result) {
    timer_.Clear();
    if (const auto done = std::exchange(done_, nullptr)) {
      done(result);
    }
  }

  std::shared_ptr<proxy::ServerPool> pool_;
  std::shared_ptr<proxy::ServerConnection> connection_;
  OrderClient::ResultCallback done_;
  net::DeadlineTimer timer_;
  std::string body_;
};

}  // namespace

void OrderClient::Send(const ServerOrder& order,
                       TimePoint deadline,
                       ResultCallback done) {
  const auto pool = pools_.Get(order.server, order.address);
  pool->SetLimit(kMaxConnectionsPerServer);
  auto connection = pool->Acquire();
  if (connection == nullptr) {
    ++dropped_;
    return;
  }
  std::make_shared<OrderSession>(loop_, pool, std::move(connection),
                                 std::move(done))
      ->Start(order, deadline);
}

}  // namespace gentianreach
