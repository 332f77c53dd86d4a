#include "proxy/server_pool.h"

#include <algorithm>
#include <utility>

namespace gentianreach::proxy {

std::shared_ptr<ServerConnection> ServerPool::Acquire(
    const ReuseFilter& may_reuse,
    const std::function<bool()>& may_open) {
  if (auto idle = TakeIdle(may_reuse)) {
    return idle;
  }
  if (!may_open()) {
    return nullptr;
  }
  if (open_ >= limit_) {
    const auto unused = std::ranges::find_if(
        idle_, [this](const auto& it) { return IsUsable(*it); });
    if (unused == idle_.end()) {
      return nullptr;
    }
    const auto connection = *unused;
    connection->Abandon();
  }
  return open_ < limit_ ? Open() : nullptr;
}

std::shared_ptr<ServerConnection> ServerPool::TakeIdle(
    const ReuseFilter& may_reuse) {
  while (true) {
    // Skips connections that are being verified; they stay in the pool.
    const auto it =
        std::find_if(idle_.rbegin(), idle_.rend(), [&](const auto& connection) {
          return IsUsable(*connection) && may_reuse(*connection);
        });
    if (it == idle_.rend()) {
      return nullptr;
    }
    auto connection = *it;
    idle_.erase(std::next(it).base());
    if (connection->Reusable()) {
      return connection;
    }
    connection->Abandon();
  }
}

std::shared_ptr<ServerConnection> ServerPool::Open() {
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
