#include "server/order_client.h"

#include <memory>
#include <string>
#include <utility>

#include "net/deadline_timer.h"

namespace gentianreach {
namespace {

// Connections to one server. One order runs at a time on each.
constexpr std::size_t kConnections = 4;
constexpr std::size_t kMaxResponseBytes = 64 * 1024;

std::string RequestBytes(const ServerOrder& order) {
  const std::string body = EncodeOrder(order);
  return "POST /.gentianreach/order HTTP/1.1\r\nHost: " + order.address +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// One order on its connection. A session that its connection keeps alive.
class OrderSession : public std::enable_shared_from_this<OrderSession> {
 public:
  OrderSession(net::EventLoop& loop,
               std::shared_ptr<proxy::ServerPool> pool,
               std::shared_ptr<proxy::ServerConnection> connection,
               OrderClient::Done done)
      : pool_(std::move(pool)),
        connection_(std::move(connection)),
        done_(std::move(done)),
        timer_(loop, [this] { GiveUp(); }) {}

  void Start(const ServerOrder& order, TimePoint deadline) {
    timer_.Set(deadline);
    pool_->OnStart(connection_.get());
    connection_->Start(RequestBytes(order), false, true,
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
          GiveUp();
        }
        return;
      case proxy::ServerEvent::kEnd:
        pool_->Release(connection_);
        Finish({DecodeResponse(body_), false});
        return;
      case proxy::ServerEvent::kFailed:
        Finish({std::nullopt,
                connection_->failure() == proxy::ServerFailure::kRefused});
        return;
      default:
        return;
    }
  }

  void GiveUp() {
    const auto self = shared_from_this();
    connection_->Abandon();
    Finish({});
  }

  void Finish(const OrderResult& result) {
    timer_.Clear();
    if (const auto done = std::exchange(done_, nullptr)) {
      done(result);
    }
  }

  std::shared_ptr<proxy::ServerPool> pool_;
  std::shared_ptr<proxy::ServerConnection> connection_;
  OrderClient::Done done_;
  net::DeadlineTimer timer_;
  std::string body_;
};

}  // namespace

void OrderClient::Send(const ServerOrder& order,
                       TimePoint deadline,
                       Done done) {
  const auto pool = pools_.Get(order.server, order.address);
  pool->SetLimit(kConnections);
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
