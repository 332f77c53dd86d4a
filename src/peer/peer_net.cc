#include "peer/peer_net.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <set>
#include <utility>

namespace gentianreach {
namespace {

using std::chrono::milliseconds;

// TCP_USER_TIMEOUT: the kernel closes a connection whose sent data stays
// unacknowledged for this long.
constexpr milliseconds kUnacknowledgedTimeout{600};
// Minimum delay before reconnecting after a failed or closed connection.
constexpr milliseconds kReconnectDelay{100};
// Maximum number of frames queued while a connection is being opened.
constexpr std::size_t kMaxFramesWhileConnecting = 64;

void SetSocketOptions(GSocketConnection* connection) {
  GSocket* socket = g_socket_connection_get_socket(connection);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                      static_cast<gint>(kUnacknowledgedTimeout.count()),
                      nullptr);
}

}  // namespace

class PeerNet::Impl : public std::enable_shared_from_this<PeerNet::Impl> {
 public:
  Impl(FrameSender self, std::optional<PeerTls> tls, Receiver receiver)
      : self_(std::move(self)),
        tls_(std::move(tls)),
        receiver_(std::move(receiver)),
        client_(GObjectPtr<GSocketClient>::Adopt(g_socket_client_new())),
        cancellable_(GObjectPtr<GCancellable>::Adopt(g_cancellable_new())) {}

  boost::leaf::result<std::uint16_t> Listen(const std::string& address);
  void Send(const std::string& address, const peer::MessageUnion& message);
  void Reply(const DaemonId& daemon, const peer::MessageUnion& message);
  void Stop();
  [[nodiscard]] const PeerNetCounters& counters() const { return counters_; }

 private:
  // The outgoing connection to one daemon.
  struct Target {
    std::shared_ptr<PeerLink> link;
    std::vector<std::vector<std::uint8_t>> queued_frames;
    TimePoint retry_at;
    bool connecting = false;
  };
  struct Connecting {
    std::weak_ptr<Impl> net;
    std::string address;
  };

  void Connect(const std::string& address, Target& target);
  void OnConnected(const std::string& address, GSocketConnection* connection);
  void Accept(GSocketConnection* connection);
  void Receive(ReceivedFrame frame);
  std::vector<std::uint8_t> Encode(const peer::MessageUnion& message);
  PeerLink::Callbacks CallbacksFor(
      std::function<void(Impl&, const ReceivedFrame&)> on_frame,
      std::function<void(Impl&)> on_closed);
  static void OnConnectDone(GObject* client,
                            GAsyncResult* result,
                            gpointer data);
  static gboolean OnIncomingConnection(GSocketService* service,
                                       GSocketConnection* connection,
                                       GObject* source,
                                       gpointer self);

  FrameSender self_;
  std::optional<PeerTls> tls_;
  Receiver receiver_;
  GObjectPtr<GSocketClient> client_;
  GObjectPtr<GCancellable> cancellable_;
  GObjectPtr<GSocketService> service_;
  std::map<std::string, Target> targets_;
  std::set<std::shared_ptr<PeerLink>> accepted_links_;
  // By daemon: the accepted connection on which its last frame arrived.
  std::map<DaemonId, std::weak_ptr<PeerLink>> reply_links_;
  PeerNetCounters counters_;
  MonotonicClock clock_;
};

boost::leaf::result<std::uint16_t> PeerNet::Impl::Listen(
    const std::string& address) {
  service_ = GObjectPtr<GSocketService>::Adopt(g_socket_service_new());
  GError* raw_error = nullptr;
  const auto connectable = GObjectPtr<GSocketConnectable>::Adopt(
      g_network_address_parse(address.c_str(), 0, &raw_error));
  if (raw_error != nullptr) {
    const GErrorPtr error(raw_error);
    return boost::leaf::new_error(ListenError{address + ": " + error->message});
  }
  const auto* parsed = G_NETWORK_ADDRESS(connectable.get());
  const auto wanted =
      GObjectPtr<GSocketAddress>::Adopt(g_inet_socket_address_new_from_string(
          g_network_address_get_hostname(G_NETWORK_ADDRESS(parsed)),
          g_network_address_get_port(G_NETWORK_ADDRESS(parsed))));
  if (!wanted) {
    return boost::leaf::new_error(ListenError{address + ": not an IP address"});
  }
  GSocketAddress* raw_bound = nullptr;
  g_socket_listener_add_address(G_SOCKET_LISTENER(service_.get()), wanted.get(),
                                G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                                nullptr, &raw_bound, &raw_error);
  if (raw_error != nullptr) {
    const GErrorPtr error(raw_error);
    return boost::leaf::new_error(ListenError{address + ": " + error->message});
  }
  const auto bound = GObjectPtr<GSocketAddress>::Adopt(raw_bound);
  g_signal_connect(service_.get(), "incoming",
                   G_CALLBACK(&Impl::OnIncomingConnection), this);
  g_socket_service_start(service_.get());
  return g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound.get()));
}

void PeerNet::Impl::Send(const std::string& address,
                         const peer::MessageUnion& message) {
  std::vector<std::uint8_t> frame = Encode(message);
  Target& target = targets_[address];
  if (target.link != nullptr) {
    target.link->Send(std::move(frame));
    return;
  }
  if (target.connecting &&
      target.queued_frames.size() < kMaxFramesWhileConnecting) {
    target.queued_frames.push_back(std::move(frame));
    return;
  }
  if (target.connecting || clock_.Now() < target.retry_at) {
    ++counters_.frames_dropped;
    return;
  }
  target.queued_frames.push_back(std::move(frame));
  Connect(address, target);
}

void PeerNet::Impl::Reply(const DaemonId& daemon,
                          const peer::MessageUnion& message) {
  const auto it = reply_links_.find(daemon);
  const auto link = it == reply_links_.end() ? nullptr : it->second.lock();
  if (link == nullptr) {
    ++counters_.frames_dropped;
    return;
  }
  link->Send(Encode(message));
}

std::vector<std::uint8_t> PeerNet::Impl::Encode(
    const peer::MessageUnion& message) {
  std::vector<std::uint8_t> frame = EncodeFrame(self_, message);
  ++counters_.frames_out;
  counters_.bytes_out += frame.size();
  return frame;
}

void PeerNet::Impl::Connect(const std::string& address, Target& target) {
  target.connecting = true;
  auto connecting = std::make_unique<Connecting>();
  connecting->net = weak_from_this();
  connecting->address = address;
  g_socket_client_connect_to_host_async(
      client_.get(), address.c_str(), 0, cancellable_.get(),
      &Impl::OnConnectDone, connecting.release());
}

void PeerNet::Impl::OnConnectDone(GObject* client,
                                  GAsyncResult* result,
                                  gpointer data) {
  const std::unique_ptr<Connecting> connecting(static_cast<Connecting*>(data));
  GError* raw_error = nullptr;
  const auto connection = GObjectPtr<GSocketConnection>::Adopt(
      g_socket_client_connect_to_host_finish(G_SOCKET_CLIENT(client), result,
                                             &raw_error));
  const GErrorPtr error(raw_error);
  const std::shared_ptr<Impl> net = connecting->net.lock();
  if (net != nullptr) {
    net->OnConnected(connecting->address, connection.get());
  }
}

void PeerNet::Impl::OnConnected(const std::string& address,
                                GSocketConnection* connection) {
  Target& target = targets_[address];
  target.connecting = false;
  std::vector<std::vector<std::uint8_t>> queued_frames;
  queued_frames.swap(target.queued_frames);
  GObjectPtr<GIOStream> stream;
  if (connection != nullptr) {
    SetSocketOptions(connection);
    stream = tls_.has_value()
                 ? tls_->WrapClient(G_IO_STREAM(connection))
                 : GObjectPtr<GIOStream>::Share(G_IO_STREAM(connection));
  }
  if (!stream) {
    target.retry_at = clock_.Now() + kReconnectDelay;
    counters_.frames_dropped += queued_frames.size();
    return;
  }
  target.link = std::make_shared<PeerLink>(
      std::move(stream), CallbacksFor([](Impl&, const ReceivedFrame&) {},
                                      [address](Impl& net) {
                                        Target& closed = net.targets_[address];
                                        closed.link = nullptr;
                                        closed.retry_at =
                                            net.clock_.Now() + kReconnectDelay;
                                      }));
  const std::shared_ptr<PeerLink> link = target.link;
  link->Start();
  for (std::vector<std::uint8_t>& it : queued_frames) {
    link->Send(std::move(it));
  }
}

gboolean PeerNet::Impl::OnIncomingConnection(GSocketService* /*service*/,
                                             GSocketConnection* connection,
                                             GObject* /*source*/,
                                             gpointer self) {
  static_cast<Impl*>(self)->Accept(connection);
  return TRUE;
}

void PeerNet::Impl::Accept(GSocketConnection* connection) {
  SetSocketOptions(connection);
  GObjectPtr<GIOStream> stream =
      tls_.has_value() ? tls_->WrapServer(G_IO_STREAM(connection))
                       : GObjectPtr<GIOStream>::Share(G_IO_STREAM(connection));
  if (!stream) {
    return;
  }
  auto weak_link = std::make_shared<std::weak_ptr<PeerLink>>();
  auto link = std::make_shared<PeerLink>(
      std::move(stream),
      CallbacksFor(
          [weak_link](Impl& net, const ReceivedFrame& frame) {
            net.reply_links_[frame.sender.daemon] = *weak_link;
          },
          [weak_link](Impl& net) {
            net.accepted_links_.erase(weak_link->lock());
            std::erase_if(net.reply_links_, [&weak_link](const auto& it) {
              return it.second.lock() == weak_link->lock();
            });
          }));
  *weak_link = link;
  accepted_links_.insert(link);
  link->Start();
}

PeerLink::Callbacks PeerNet::Impl::CallbacksFor(
    std::function<void(Impl&, const ReceivedFrame&)> on_frame,
    std::function<void(Impl&)> on_closed) {
  const std::weak_ptr<Impl> weak = weak_from_this();
  return {[weak, on_frame = std::move(on_frame)](ReceivedFrame frame) {
            if (const auto net = weak.lock()) {
              on_frame(*net, frame);
              net->Receive(std::move(frame));
            }
          },
          [weak] {
            if (const auto net = weak.lock()) {
              ++net->counters_.invalid_frames;
            }
          },
          [weak, on_closed = std::move(on_closed)] {
            if (const auto net = weak.lock()) {
              on_closed(*net);
            }
          }};
}

void PeerNet::Impl::Receive(ReceivedFrame frame) {
  ++counters_.frames_in;
  if (frame.sender.cell != self_.cell) {
    ++counters_.other_cell_frames;
    return;
  }
  receiver_(std::move(frame));
}

void PeerNet::Impl::Stop() {
  g_cancellable_cancel(cancellable_.get());
  if (service_) {
    g_signal_handlers_disconnect_by_data(service_.get(), this);
    g_socket_service_stop(service_.get());
    g_socket_listener_close(G_SOCKET_LISTENER(service_.get()));
  }
  for (auto& [address, target] : targets_) {
    if (target.link != nullptr) {
      target.link->Close();
    }
  }
  for (const std::shared_ptr<PeerLink>& it : accepted_links_) {
    it->Close();
  }
}

PeerNet::PeerNet(FrameSender self,
                 std::optional<PeerTls> tls,
                 Receiver receiver)
    : impl_(std::make_shared<Impl>(std::move(self),
                                   std::move(tls),
                                   std::move(receiver))) {}

PeerNet::~PeerNet() {
  impl_->Stop();
}

boost::leaf::result<std::uint16_t> PeerNet::Listen(const std::string& address) {
  return impl_->Listen(address);
}

void PeerNet::Send(const std::string& address,
                   const peer::MessageUnion& message) {
  impl_->Send(address, message);
}

void PeerNet::Reply(const DaemonId& daemon, const peer::MessageUnion& message) {
  impl_->Reply(daemon, message);
}

const PeerNetCounters& PeerNet::counters() const {
  return impl_->counters();
}

}  // namespace gentianreach
