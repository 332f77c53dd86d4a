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
  RecordProgress(it, now);
}

void ProgressWatch::OnClosed(std::uint64_t connection) {
  connections_.erase(connection);
}

void ProgressWatch::OnBusy(std::uint64_t connection, TimePoint now) {
  const auto it = connections_.find(connection);
  if (it == connections_.end())
    return;
  it->second.use = Use::kBusy;
  it->second.ack_state = AckState::kUnknown;
  it->second.progress_at = now;
  it->second.next_check_at = StalledAt(it->second);
}

void ProgressWatch::OnProgress(std::uint64_t connection, TimePoint now) {
  const auto it = connections_.find(connection);
  if (it != connections_.end())
    RecordProgress(it->second, now);
}

void ProgressWatch::OnAcknowledged(std::uint64_t connection, TimePoint now) {
  const auto it = connections_.find(connection);
  if (it == connections_.end())
    return;
  it->second.ack_state = AckState::kAcknowledged;
  it->second.ack_state_at = now;
}

void ProgressWatch::OnUnacknowledged(std::uint64_t connection, TimePoint now) {
  const auto it = connections_.find(connection);
  if (it == connections_.end())
    return;
  if (it->second.ack_state == AckState::kUnacknowledged)
    return;
  it->second.ack_state = AckState::kUnacknowledged;
  it->second.ack_state_at = now;
}

void ProgressWatch::OnIdle(std::uint64_t connection,
                           Duration latency,
                           TimePoint now) {
  const auto it = connections_.find(connection);
  if (it == connections_.end())
    return;
  RecordProgress(it->second, now);
  it->second.use = Use::kIdle;
  const double error = ToSeconds(latency) - latency_s_;
  latency_s_ += kLatencyWeight * error;
  deviation_s_ += kLatencyWeight * (std::abs(error) - deviation_s_);
}

void ProgressWatch::OnServerAnswered(TimePoint now) {
  server_responsive_at_ = std::max(server_responsive_at_, now);
  probe_until_ = TimePoint{};
  // Checks stalled connections again, which were waiting for this proof.
  for (auto& [id, connection] : connections_) {
    if (connection.use != Use::kBusy || now < StalledAt(connection))
      continue;
    connection.next_check_at = std::min(connection.next_check_at, now);
  }
}

void ProgressWatch::OnVerified(std::uint64_t connection,
                               bool answered,
                               TimePoint now) {
  const auto it = connections_.find(connection);
  if (it == connections_.end() || it->second.use != Use::kVerifying)
    return;
  if (!answered) {
    it->second.next_check_at = now;
    return;
  }
  it->second.use = Use::kIdle;
  RecordProgress(it->second, now);
}

bool ProgressWatch::IsUsable(std::uint64_t connection) const {
  const auto it = connections_.find(connection);
  return it != connections_.end() && it->second.use == Use::kIdle;
}

std::vector<ProgressAction> ProgressWatch::Poll(TimePoint now) {
  std::vector<ProgressAction> actions;
  for (const std::uint64_t id : DueConnections(now)) {
    Connection& it = connections_.at(id);
    const Assessment assessment =
        it.use == Use::kVerifying ? Assessment::kDead : Evaluate(it, now);
    if (assessment == Assessment::kWait) {
      it.next_check_at = std::max(now + options_.probe_timeout / 10,
                                  it.progress_at + DeadAfter(it));
      continue;
    }
    if (assessment == Assessment::kSlow) {
      it.next_check_at = now + options_.timeout / 2;
      continue;
    }
    if (assessment == Assessment::kNeedsProbe) {
      it.next_check_at = now + options_.probe_timeout;
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
      SuspectOthers(since, now, actions);
  }
  return actions;
}

std::optional<TimePoint> ProgressWatch::NextDeadline() const {
  std::optional<TimePoint> due;
  for (const auto& [id, connection] : connections_) {
    if (connection.use == Use::kIdle)
      continue;
    due = std::min(due.value_or(connection.next_check_at),
                   connection.next_check_at);
  }
  return due;
}

ProgressWatch::Assessment ProgressWatch::Evaluate(const Connection& connection,
                                                  TimePoint now) const {
  const TimePoint stalled_at = StalledAt(connection);
  if (now < stalled_at)
    return Assessment::kWait;
  const bool acknowledged = connection.ack_state == AckState::kAcknowledged &&
                            connection.ack_state_at >= stalled_at;
  if (acknowledged)
    return Assessment::kSlow;
  // An earlier proof that the server works does not count: the whole server may
  // have become silent since.
  if (server_responsive_at_ < stalled_at)
    return Assessment::kNeedsProbe;
  return now < connection.progress_at + DeadAfter(connection)
             ? Assessment::kWait
             : Assessment::kDead;
}

// Returns when a connection counts as stalled. This is half the timeout, so
// that the server can respond to a probe before the timeout expires.
TimePoint ProgressWatch::StalledAt(const Connection& connection) const {
  return connection.progress_at + options_.timeout / 2;
}

// Returns the time without progress after which a connection is dead, provided
// that the server works.
Duration ProgressWatch::DeadAfter(const Connection& connection) const {
  const bool is_unacknowledged =
      connection.ack_state == AckState::kUnacknowledged;
  if (is_unacknowledged || connection.suspected)
    return options_.timeout;
  const double usual = latency_s_ + 2 * deviation_s_;
  return std::max(options_.timeout,
                  FromSeconds(options_.slow_multiple * usual));
}

void ProgressWatch::RecordProgress(Connection& connection, TimePoint now) {
  connection.progress_at = now;
  connection.ack_state = AckState::kAcknowledged;
  connection.ack_state_at = now;
  connection.suspected = false;
  connection.next_check_at = StalledAt(connection);
  OnServerAnswered(now);
}

// Marks all connections without progress after `since` as suspected, and starts
// to verify all idle ones among them.
void ProgressWatch::SuspectOthers(TimePoint since,
                                  TimePoint now,
                                  std::vector<ProgressAction>& actions) {
  for (auto& [id, connection] : connections_) {
    if (connection.progress_at > since)
      continue;
    connection.suspected = true;
    if (connection.use == Use::kBusy)
      connection.next_check_at = std::min(
          connection.next_check_at, connection.progress_at + options_.timeout);
    if (connection.use != Use::kIdle)
      continue;
    connection.use = Use::kVerifying;
    connection.next_check_at = now + options_.probe_timeout;
    actions.push_back({ProgressActionKind::kVerify, id});
  }
}

std::vector<std::uint64_t> ProgressWatch::DueConnections(TimePoint now) const {
  std::vector<std::uint64_t> due;
  for (const auto& [id, connection] : connections_) {
    if (connection.use == Use::kIdle || now < connection.next_check_at)
      continue;
    due.push_back(id);
  }
  return due;
}

}  // namespace gentianreach
