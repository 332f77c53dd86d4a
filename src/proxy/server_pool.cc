#include "proxy/server_pool.h"

#include <algorithm>
#include <utility>

namespace gentianreach::proxy {

std::shared_ptr<ServerConnection> ServerPool::Acquire() {
  // Skips connections that are being verified; they stay in the pool.
  const auto usable = [&](const auto& it) {
    return !watch_ || watch_->IsUsable(it.get());
  };
  while (true) {
    const auto it = std::find_if(idle_.rbegin(), idle_.rend(), usable);
    if (it == idle_.rend()) {
      break;
    }
    auto connection = *it;
    idle_.erase(std::next(it).base());
    if (connection->Reusable()) {
      return connection;
    }
    connection->Abandon();
  }
  if (open_ >= limit_) {
    return nullptr;
  }
  ++open_;
  auto connection = std::make_shared<ServerConnection>(
      loop_,
      [pool = weak_from_this()](ServerConnection* closed) {
        if (const auto self = pool.lock()) {
          self->OnClosed(closed);
        }
      },
      options_);
  if (watch_) {
    watch_->Add(connection);
  }
  connection->Connect(address_);
  return connection;
}

void ServerPool::Release(const std::shared_ptr<ServerConnection>& connection) {
  if (watch_) {
    watch_->OnIdle(connection.get());
  }
  if (!connection->Reusable() || open_ > limit_ ||
      idle_.size() >= idle_limit_) {
    connection->Abandon();
    return;
  }
  idle_.push_back(connection);
  WakeNext();
}

void ServerPool::CloseIdle() {
  const auto idle = std::move(idle_);
  idle_.clear();
  for (const auto& it : idle) {
    it->Abandon();
  }
}

void ServerPool::OnClosed(ServerConnection* connection) {
  --open_;
  if (watch_) {
    watch_->Remove(connection);
  }
  std::erase_if(idle_, [&](const auto& it) { return it.get() == connection; });
  WakeNext();
}

void ServerPool::WakeNext() {
  if (waiters_.empty()) {
    return;
  }
  loop_.Defer([self = shared_from_this()] {
    if (self->waiters_.empty()) {
      return;
    }
    const Waiter wake = std::move(self->waiters_.front());
    self->waiters_.pop_front();
    wake();
  });
}

std::shared_ptr<ServerPool> ServerPools::Get(const ServerId& server,
                                             const std::string& address) {
  Entry& entry = entries_[server];
  if (entry.pool && entry.address == address) {
    return entry.pool;
  }
  if (entry.pool) {
    entry.pool->CloseIdle();
  }
  entry.address = address;
  entry.pool = std::make_shared<ServerPool>(loop_, address, progress_timeout_);
  return entry.pool;
}

void ServerPools::Forget(const ServerId& server) {
  const auto it = entries_.find(server);
  if (it == entries_.end()) {
    return;
  }
  it->second.pool->CloseIdle();
  entries_.erase(it);
}

void ServerPools::CloseIdle() {
  for (auto& [server, entry] : entries_) {
    entry.pool->CloseIdle();
  }
}

}  // namespace gentianreach::proxy
