// Connects a caller's connection to the exchange of its current request.
#ifndef SRC_PROXY_CALLER_SESSION_H_
#define SRC_PROXY_CALLER_SESSION_H_

#include <functional>
#include <memory>
#include <utility>

#include "proxy/caller_connection.h"
#include "proxy/exchange.h"

namespace gentianreach::proxy {

// Creates an exchange for each request of one connection. The connection keeps
// the session alive until it is closed.
template <typename State>
class CallerSession
    : public std::enable_shared_from_this<CallerSession<State>> {
 public:
  CallerSession(std::shared_ptr<State> state,
                std::shared_ptr<CallerConnection> connection)
      : state_(std::move(state)), connection_(std::move(connection)) {}
  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;

  // Starts reading requests. Calls `on_closed` once, when the connection is
  // closed.
  void Start(std::function<void(CallerConnection*)> on_closed) {
    on_closed_ = std::move(on_closed);
    connection_->Start([self = this->shared_from_this()](CallerEvent event) {
      self->OnEvent(event);
    });
  }

 private:
  void OnEvent(CallerEvent event) {
    if (event == CallerEvent::kClosed) {
      on_closed_(connection_.get());
      return;
    }
    if (event == CallerEvent::kHead ||
        (event == CallerEvent::kRefused && !InExchange())) {
      exchange_ = std::make_shared<Exchange<State>>(state_, connection_);
    }
    if (!InExchange()) {
      return;
    }
    // The call may start the next request, which replaces `exchange_`.
    const auto exchange = exchange_;
    switch (event) {
      case CallerEvent::kHead:
        exchange->OnHead();
        break;
      case CallerEvent::kBody:
        exchange->OnBody();
        break;
      case CallerEvent::kBodyEnd:
        exchange->OnBodyEnd();
        break;
      case CallerEvent::kRefused:
        exchange->OnRefused();
        break;
      case CallerEvent::kDeadline:
        exchange->OnDeadline();
        break;
      case CallerEvent::kDrained:
        exchange->OnCallerDrained();
        break;
      case CallerEvent::kDisconnected:
        exchange->OnCallerGone();
        break;
      case CallerEvent::kClosed:
        break;
    }
  }

  [[nodiscard]] bool InExchange() const {
    return exchange_ && !exchange_->done();
  }

  std::shared_ptr<State> state_;
  std::shared_ptr<CallerConnection> connection_;
  std::shared_ptr<Exchange<State>> exchange_;
  std::function<void(CallerConnection*)> on_closed_;
};

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_CALLER_SESSION_H_
