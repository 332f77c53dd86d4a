#include "soak/chaos_proxy.h"

#include <array>
#include <chrono>
#include <deque>
#include <utility>

#include <boost/leaf/handle_errors.hpp>

#include "net/deadline_timer.h"
#include "net/output_buffer.h"

namespace gentianreach::soak {
namespace {

// Delay of the bytes on a slow link: long enough to reorder events across
// connections, and well below the deadlines of requests.
constexpr Duration kSlowDelay = std::chrono::milliseconds(120);

}  // namespace

// A client connection, the matching connection to the target, and the bytes
// buffered between them.
class ChaosProxy::Pair : public std::enable_shared_from_this<Pair> {
 public:
  Pair(ChaosProxy& proxy, net::TcpSocket client, net::TcpSocket target)
      : proxy_(proxy),
        client_ip_(client.PeerAddress()),
        timer_(proxy.loop_, [this] { Forward(); }),
        sides_{Side{std::move(client)}, Side{std::move(target)}} {
    // The client is connected; the connection to the target is in progress.
    sides_[kClient].connected = true;
  }

  void Start() {
    for (std::size_t i = 0; i < sides_.size(); ++i) {
      sides_[i].watch = proxy_.loop_.Watch(
          sides_[i].socket.fd(),
          [self = shared_from_this(), i](net::ReadyEvents events) {
            self->OnReady(i, events);
          });
    }
  }

  // Closes both connections, with a TCP reset if `abort` is set.
  void End(bool abort) {
    const auto self = shared_from_this();
    for (Side& it : sides_) {
      if (!it.socket.is_open()) {
        continue;
      }
      proxy_.loop_.Unwatch(it.watch, it.socket.fd());
      if (abort) {
        it.socket.Abort();
      } else {
        it.socket.Close();
      }
    }
    timer_.Clear();
    proxy_.pairs_.erase(self);
  }

  [[nodiscard]] const std::string& client_ip() const { return client_ip_; }

  // Forwards the bytes that are due, in both directions.
  void Forward() {
    const auto self = shared_from_this();
    for (std::size_t i = 0; i < sides_.size(); ++i) {
      if (!ForwardFrom(i)) {
        End(true);
        return;
      }
    }
    if (sides_[kClient].eof_forwarded && sides_[kTarget].eof_forwarded) {
      End(false);
    }
  }

 private:
  static constexpr std::size_t kClient = 0;
  static constexpr std::size_t kTarget = 1;

  struct Chunk {
    TimePoint due;
    std::string bytes;
  };
  struct Side {
    net::TcpSocket socket;
    net::EventLoop::WatchId watch = 0;
    bool connected = false;
    // Bytes received on this side that have not been forwarded.
    std::deque<Chunk> received;
    bool ended = false;          // End of stream received.
    bool eof_forwarded = false;  // End of stream forwarded.
    net::OutputBuffer out;
  };

  void OnReady(std::size_t i, net::ReadyEvents events) {
    Side& side = sides_[i];
    if (!side.connected && (events.writable || events.hung_up)) {
      if (side.socket.FinishConnect() != net::ConnectStatus::kConnected) {
        End(true);
        return;
      }
      side.connected = true;
    }
    if (side.connected && !Receive(side)) {
      End(true);
      return;
    }
    Forward();
  }

  bool Receive(Side& side) {
    while (!side.ended) {
      std::array<char, 16384> buf{};
      const net::IoResult result = side.socket.Receive(buf);
      if (result.status == net::IoStatus::kWouldBlock) {
        return true;
      }
      if (result.status == net::IoStatus::kFailed) {
        return false;
      }
      if (result.status == net::IoStatus::kClosed) {
        side.ended = true;
        return true;
      }
      TimePoint due = proxy_.loop_.Now();
      if (proxy_.mode_ == LinkMode::kSlow) {
        due += kSlowDelay;
      }
      side.received.push_back({due, std::string(buf.data(), result.bytes)});
    }
    return true;
  }

  [[nodiscard]] bool Passes(std::size_t from) const {
    switch (proxy_.CutOf(client_ip_)) {
      case ClientCut::kSilent:
        return false;
      case ClientCut::kOnlyToTarget:
        if (from != kClient) {
          return false;
        }
        break;
      case ClientCut::kOnlyToClients:
        if (from != kTarget) {
          return false;
        }
        break;
      case ClientCut::kNone:
      case ClientCut::kReset:
      case ClientCut::kNewRefused:
        break;
    }
    switch (proxy_.mode_) {
      case LinkMode::kPass:
      case LinkMode::kSlow:
        return true;
      case LinkMode::kSilent:
        return false;
      case LinkMode::kOnlyToTarget:
        return from == kClient;
      case LinkMode::kOnlyToClients:
        return from == kTarget;
    }
    return true;
  }

  // Returns false if sending to the other side failed.
  bool ForwardFrom(std::size_t i) {
    Side& from = sides_[i];
    Side& to = sides_[1 - i];
    if (!to.connected || !Passes(i)) {
      return true;
    }
    const TimePoint now = proxy_.loop_.Now();
    while (!from.received.empty() && from.received.front().due <= now) {
      to.out.Append(std::move(from.received.front().bytes));
      from.received.pop_front();
    }
    if (!from.received.empty()) {
      timer_.Set(from.received.front().due);
    }
    bool any_sent = false;
    const auto status = to.out.Flush(to.socket, any_sent);
    if (status == net::FlushStatus::kFailed) {
      return false;
    }
    if (from.ended && !from.eof_forwarded && from.received.empty() &&
        status == net::FlushStatus::kEmpty) {
      from.eof_forwarded = true;
      to.socket.ShutdownSend();
    }
    return true;
  }

  ChaosProxy& proxy_;
  const std::string client_ip_;
  net::DeadlineTimer timer_;
  std::array<Side, 2> sides_;
};

ChaosProxy::ChaosProxy(net::EventLoop& loop) : loop_(loop) {}

ChaosProxy::~ChaosProxy() {
  Reset();
  if (listener_.is_open()) {
    loop_.Unwatch(watch_, listener_.fd());
  }
}

boost::leaf::result<void> ChaosProxy::Listen(const std::string& address) {
  BOOST_LEAF_AUTO(listener, net::TcpSocket::Listen(address, false));
  listener_ = std::move(listener);
  address_ = address.substr(0, address.rfind(':') + 1) +
             std::to_string(listener_.port());
  watch_ = loop_.Watch(listener_.fd(), [this](net::ReadyEvents) { Accept(); });
  return {};
}

void ChaosProxy::Accept() {
  while (auto client = listener_.Accept()) {
    const ClientCut cut = CutOf(client->PeerAddress());
    if (target_.empty() || cut == ClientCut::kReset ||
        cut == ClientCut::kNewRefused) {
      client->Abort();
      continue;
    }
    // From the client's address, so that the target sees who it is.
    auto target = net::TcpSocket::Connect(target_, client->PeerAddress());
    if (!target) {
      client->Abort();
      continue;
    }
    const auto pair =
        std::make_shared<Pair>(*this, *std::move(client), *std::move(target));
    pairs_.insert(pair);
    pair->Start();
  }
}

void ChaosProxy::SetTarget(const std::string& address) {
  target_ = address;
}

void ChaosProxy::SetMode(LinkMode mode) {
  mode_ = mode;
  const auto pairs = pairs_;
  for (const auto& it : pairs) {
    it->Forward();
  }
}

ClientCut ChaosProxy::CutOf(const std::string& client_ip) const {
  const auto it = cuts_.find(client_ip);
  return it == cuts_.end() ? ClientCut::kNone : it->second;
}

void ChaosProxy::SetClientCut(const std::string& client_ip, ClientCut cut) {
  cuts_[client_ip] = cut;
  const auto pairs = pairs_;
  for (const auto& it : pairs) {
    if (it->client_ip() != client_ip) {
      continue;
    }
    if (cut == ClientCut::kReset) {
      it->End(true);
    } else {
      it->Forward();
    }
  }
}

void ChaosProxy::Reset() {
  const auto pairs = pairs_;
  for (const auto& it : pairs) {
    it->End(true);
  }
}

}  // namespace gentianreach::soak
