#include "policy/progress_watch.h"

#include <algorithm>
#include <cmath>

namespace gentianreach {
namespace {

constexpr double kLatencyWeight = 0.1;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

ProgressWatch::ProgressWatch(ProgressOptions options) : options_(options) {}

void ProgressWatch::OnOpened(std::uint64_t connection, TimePoint now) {
  Connection& it = connections_[connection];
  it = Connection{};
  Alive(it, now);
}

void ProgressWatch::OnClosed(std::uint64_t connection) {
  connections_.erase(connection);
}

void ProgressWatch::OnBusy(std::uint64_t connection, TimePoint now) {
  const auto it = connections_.find(connection);
  if (it == connections_.end())
    return;
  it->second.use = Use::kBusy;
  it->second.path = Path::kUnknown;
  it->second.progress_at = now;
  it->second.review_at = DoubtAt(it->second);
}

void ProgressWatch::OnProgress(std::uint64_t connection, TimePoint now) {
  const auto it = connections_.find(connection);
  if (it != connections_.end())
    Alive(it->second, now);
}

void ProgressWatch::OnAcknowledged(std::uint64_t connection, TimePoint now) {
  const auto it = connections_.find(connection);
  if (it == connections_.end())
    return;
  it->second.path = Path::kAcknowledged;
  it->second.path_at = now;
}

void ProgressWatch::OnUnacknowledged(std::uint64_t connection, TimePoint now) {
  const auto it = connections_.find(connection);
  if (it == connections_.end())
    return;
  if (it->second.path == Path::kUnacknowledged)
    return;
  it->second.path = Path::kUnacknowledged;
  it->second.path_at = now;
}

void ProgressWatch::OnIdle(std::uint64_t connection,
                           Duration latency,
                           TimePoint now) {
  const auto it = connections_.find(connection);
  if (it == connections_.end())
    return;
  Alive(it->second, now);
  it->second.use = Use::kIdle;
  const double error = ToSeconds(latency) - latency_s_;
  latency_s_ += kLatencyWeight * error;
  deviation_s_ += kLatencyWeight * (std::abs(error) - deviation_s_);
}

void ProgressWatch::OnServerAnswered(TimePoint now) {
  server_at_ = std::max(server_at_, now);
  probe_until_ = TimePoint{};
  // What waited for this sign is looked at again.
  for (auto& [id, connection] : connections_) {
    if (connection.use != Use::kBusy || now < DoubtAt(connection))
      continue;
    connection.review_at = std::min(connection.review_at, now);
  }
}

void ProgressWatch::OnVerified(std::uint64_t connection,
                               bool answered,
                               TimePoint now) {
  const auto it = connections_.find(connection);
  if (it == connections_.end() || it->second.use != Use::kVerifying)
    return;
  if (!answered) {
    it->second.review_at = now;
    return;
  }
  it->second.use = Use::kIdle;
  Alive(it->second, now);
}

bool ProgressWatch::IsUsable(std::uint64_t connection) const {
  const auto it = connections_.find(connection);
  return it != connections_.end() && it->second.use == Use::kIdle;
}

std::vector<ProgressAction> ProgressWatch::Poll(TimePoint now) {
  std::vector<ProgressAction> actions;
  for (const std::uint64_t id : DueConnections(now)) {
    Connection& it = connections_.at(id);
    const Finding finding =
        it.use == Use::kVerifying ? Finding::kDead : Evaluate(it, now);
    if (finding == Finding::kWait) {
      it.review_at = std::max(now + options_.probe_timeout / 10,
                              it.progress_at + Patience(it));
      continue;
    }
    if (finding == Finding::kSlow) {
      it.review_at = now + options_.timeout / 2;
      continue;
    }
    if (finding == Finding::kAskServer) {
      it.review_at = now + options_.probe_timeout;
      if (now < probe_until_)
        continue;
      probe_until_ = now + options_.probe_timeout;
      actions.push_back({ProgressActionKind::kProbeServer});
      continue;
    }
    const TimePoint since = it.progress_at;
    const bool was_busy = it.use == Use::kBusy;
    connections_.erase(id);
    actions.push_back({ProgressActionKind::kDead, id});
    if (was_busy)
      Suspect(since, now, actions);
  }
  return actions;
}

std::optional<TimePoint> ProgressWatch::NextDeadline() const {
  std::optional<TimePoint> wake;
  for (const auto& [id, connection] : connections_) {
    if (connection.use == Use::kIdle)
      continue;
    wake = std::min(wake.value_or(connection.review_at), connection.review_at);
  }
  return wake;
}

ProgressWatch::Finding ProgressWatch::Evaluate(const Connection& connection,
                                               TimePoint now) const {
  const TimePoint doubt_at = DoubtAt(connection);
  if (now < doubt_at)
    return Finding::kWait;
  const bool acknowledged =
      connection.path == Path::kAcknowledged && connection.path_at >= doubt_at;
  if (acknowledged)
    return Finding::kSlow;
  // A sign from before the doubt may stem from the time before the server as a
  // whole went silent.
  if (server_at_ < doubt_at)
    return Finding::kAskServer;
  return now < connection.progress_at + Patience(connection) ? Finding::kWait
                                                             : Finding::kDead;
}

// Doubt begins at half the timeout, so that the server has answered a probe by
// the time the connection is judged.
TimePoint ProgressWatch::DoubtAt(const Connection& connection) const {
  return connection.progress_at + options_.timeout / 2;
}

// Returns the silence from which on a connection is dead if the server works.
Duration ProgressWatch::Patience(const Connection& connection) const {
  const bool path_is_dead = connection.path == Path::kUnacknowledged;
  if (path_is_dead || connection.suspected)
    return options_.timeout;
  const double usual = latency_s_ + 2 * deviation_s_;
  return std::max(options_.timeout,
                  FromSeconds(options_.slow_multiple * usual));
}

void ProgressWatch::Alive(Connection& connection, TimePoint now) {
  connection.progress_at = now;
  connection.path = Path::kAcknowledged;
  connection.path_at = now;
  connection.suspected = false;
  connection.review_at = DoubtAt(connection);
  OnServerAnswered(now);
}

// Suspects all connections without progress since then, and verifies those
// that are idle all at once.
void ProgressWatch::Suspect(TimePoint since,
                            TimePoint now,
                            std::vector<ProgressAction>& actions) {
  for (auto& [id, connection] : connections_) {
    if (connection.progress_at > since)
      continue;
    connection.suspected = true;
    if (connection.use == Use::kBusy)
      connection.review_at = std::min(
          connection.review_at, connection.progress_at + options_.timeout);
    if (connection.use != Use::kIdle)
      continue;
    connection.use = Use::kVerifying;
    connection.review_at = now + options_.probe_timeout;
    actions.push_back({ProgressActionKind::kVerify, id});
  }
}

std::vector<std::uint64_t> ProgressWatch::DueConnections(TimePoint now) const {
  std::vector<std::uint64_t> due;
  for (const auto& [id, connection] : connections_) {
    if (connection.use == Use::kIdle || now < connection.review_at)
      continue;
    due.push_back(id);
  }
  return due;
}

}  // namespace gentianreach
