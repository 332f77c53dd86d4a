#include <algorithm>
#include <utility>

#include "cell/agent_impl.h"
#include "cell/agent_times.h"
#include "cell/stretch.h"

namespace gentianreach {

using cell::kMaxRouteAge;

CellAgent::Impl::Impl(CellOptions options, std::mt19937_64 random)
    : options_(std::move(options)),
      self_(options_.self.value()),
      object_("cells/" + options_.cell),
      random_(random) {
  SetTiming(options_.timing);
}

void CellAgent::Impl::SetTiming(const settings::CellTimingT& timing) {
  using std::chrono::milliseconds;
  options_.timing = timing;
  heartbeat_ = milliseconds(timing.heartbeat);
  renewal_ = milliseconds(timing.renewal);
  suspicion_ = milliseconds(timing.suspicion);
}

void CellAgent::Impl::ApplyRecordTiming() {
  using std::chrono::milliseconds;
  lease_ = milliseconds(record_->lease_ms);
  drift_ = record_->clock_drift;
  const Duration permit = milliseconds(record_->permit_ms);
  const Duration hold_over = milliseconds(record_->hold_over_ms);
  permit_.SetTiming(permit, hold_over);
  view_retirement_.SetTiming(permit, lease_, hold_over, drift_);
  fences_.SetLease(cell::Stretch(lease_, drift_));
}

void CellAgent::Impl::SetServices(std::vector<CellService> services,
                                  TimePoint now) {
  options_.services = std::move(services);
  plan_at_ = now;
  Step(now);
}

void CellAgent::Impl::Start(TimePoint now) {
  started_ = true;
  grace_start_ = now;
  next_read_ = now;
  Step(now);
}

void CellAgent::Impl::OnTick(TimePoint now) {
  Step(now);
}

void CellAgent::Impl::OnServerList(std::vector<ListedServer> servers,
                                   TimePoint now) {
  listed_servers_ = std::move(servers);
  plan_at_ = now;
  Step(now);
}

void CellAgent::Impl::Step(TimePoint now) {
  if (!started_) {
    return;
  }
  DetectPause(now);
  ReadIfDue(now);
  CreateRecord(now);
  ElectIfDue(now);
  HandOver(now);
  JoinIfDue(now);
  LeaveIfDue(now);
  SendHeartbeats(now);
  PlanIfDue(now);
  SendOrders(now);
  SendReleases(now);
  SendGrants(now);
  PushIfDue(now);
}

// Restarts the grace period after a pause of this daemon and when it regains
// its permit. It has missed messages, so silence of others proves nothing.
void CellAgent::Impl::DetectPause(TimePoint now) {
  const bool paused =
      last_step_ != TimePoint::min() && now - last_step_ > suspicion_ / 2;
  last_step_ = now;
  if (paused) {
    grace_start_ = now;
    Log("paused");
  }
  const bool permitted = permit_.Valid(now);
  if (permitted && !had_permit_) {
    grace_start_ = now;
  }
  had_permit_ = permitted;
}

TimePoint CellAgent::Impl::NextDeadline() const {
  if (!started_) {
    return TimePoint::max();
  }
  TimePoint due = std::min(
      {next_heartbeat_, create_at_, elect_at_, push_at_, next_orders_});
  if (IsAssigner() && !write_) {
    due = std::min(due, std::max(plan_at_, next_write_));
  }
  if (WantsRead(last_step_) && !read_) {
    due = std::min(due, next_read_);
  }
  for (const auto& [server, grants] : grants_) {
    if (grants.missing) {
      due = std::min(due, grants.retry);
    }
  }
  for (const auto& [token, release] : releases_) {
    if (!release.released) {
      due = std::min(due, release.retry);
    }
  }
  return std::max(due, last_step_ + std::chrono::milliseconds(1));
}

void CellAgent::Impl::Log(
    std::string event,
    std::vector<std::pair<std::string, std::string>> fields) {
  outbox_.log.push_back({std::move(event), std::move(fields)});
}

Duration CellAgent::Impl::Jitter(Duration up_to) {
  std::uniform_int_distribution<Duration::rep> distribution(0, up_to.count());
  return Duration(distribution(random_));
}

bool CellAgent::Impl::IsMember() const {
  return record_ && !left_ && cell::FindMember(*record_, self_) != nullptr;
}

bool CellAgent::Impl::IsAssigner() const {
  return record_ && !left_ && record_->assigner == self_;
}

KeyRoute CellAgent::Impl::Route(const ServiceName& service,
                                KeyHash hash,
                                TimePoint now) const {
  if (!record_) {
    return {.state = RouteState::kCutOff};
  }
  KeyRoute route = routes_.Find(service, hash);
  if (route.state != RouteState::kServe) {
    return route;
  }
  const bool permitted = permit_.Valid(now);
  if (!routes_.Server(route.server.value())->watches_deadline) {
    // Such a server would serve a late request at any time, so the daemon must
    // enforce the deadline.
    route.state = permitted ? RouteState::kServe : RouteState::kCutOff;
    route.deadline = now + lease_;
    return route;
  }
  // Such a server rejects requests for ranges that it does not hold, so routing
  // by an outdated record is safe. The daemon stops only after it has been out
  // of contact for so long that the record is useless.
  if (!permitted && now - last_contact_ > kMaxRouteAge) {
    route.state = RouteState::kCutOff;
  }
  return route;
}

CellStatus CellAgent::Impl::Status(TimePoint now) const {
  CellStatus status;
  status.left = left_;
  if (!record_) {
    return status;
  }
  status.has_record = true;
  status.is_member = IsMember();
  status.is_assigner = IsAssigner();
  status.permit_valid = permit_.Valid(now);
  status.view_settled = view_retirement_.AllRetired(*record_, now);
  status.record = version_;
  status.epoch = Epoch(record_->epoch);
  status.view = ViewVersion(record_->view);
  status.assigner = DaemonId(record_->assigner);
  status.members_heard = MembersInContact(now);
  for (const auto& it : record_->servers) {
    status.servers_reachable +=
        now - LatestContact(it->id) <= suspicion_ ? 1 : 0;
  }
  for (const auto& it : record_->ranges) {
    const auto* const owner = routes_.Server(it->owner);
    const bool live = owner != nullptr && owner->generation != 0 &&
                      owner->state != stored::ServerState::Fenced &&
                      now - LatestContact(owner->id) <= suspicion_;
    status.ranges_without_live_owner += live ? 0 : 1;
  }
  return status;
}

}  // namespace gentianreach
