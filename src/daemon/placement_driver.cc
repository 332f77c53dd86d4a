#include "daemon/placement_driver.h"

#include <set>
#include <utility>
#include <variant>

namespace gentianreach {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPlanInterval{1000};
constexpr const char* kActor = "placement";

PlacementServerState StateOf(const stored::ServerT& server) {
  switch (server.state) {
    case stored::ServerState::Live:
      return PlacementServerState::kLive;
    case stored::ServerState::Draining:
      return PlacementServerState::kDraining;
    case stored::ServerState::Fenced:
      return PlacementServerState::kFenced;
  }
  return PlacementServerState::kFenced;
}

ProposedSplit SplitAt(const SplitRange& split,
                      const HashRange& range,
                      KeyHash at) {
  return {split.service, range, at, kActor};
}

}  // namespace

PlacementDriver::PlacementDriver(DaemonId self,
                                 CellDriver& cell,
                                 CellLinks links)
    : self_(std::move(self)),
      cell_(cell),
      links_(std::move(links)),
      counter_(clock_.Now()) {}

void PlacementDriver::Start() {
  report_timer_.Set(clock_.Now() + LoadCounter::kReportInterval,
                    [this] { Report(); });
  plan_timer_.Set(clock_.Now() + kPlanInterval, [this] { Plan(); });
}

void PlacementDriver::Count(const proxy::RequestRecord& record) {
  if (record.key.has_value() && record.sent > 0) {
    counter_.Count(record.service, record.range, *record.key);
  }
}

void PlacementDriver::OnReport(const DaemonId& from,
                               const peer::LoadReportT& report) {
  if (placement_ != nullptr) {
    placement_->Observe(from, report, clock_.Now());
  }
}

void PlacementDriver::OnSettings(const settings::TreeT& tree) {
  services_.clear();
  for (const auto& it : tree.services) {
    services_.emplace(ServiceName(it->name), *it->settings);
  }
}

void PlacementDriver::Report() {
  report_timer_.Set(clock_.Now() + LoadCounter::kReportInterval,
                    [this] { Report(); });
  peer::LoadReportT report = counter_.Take(clock_.Now());
  if (cell_.agent().IsAssigner()) {
    OnReport(self_, report);
    return;
  }
  const auto record = cell_.agent().Record();
  if (record == nullptr) {
    return;
  }
  peer::MessageUnion message;
  message.Set(std::move(report));
  links_.send(DaemonId(record->assigner), message);
}

void PlacementDriver::Plan() {
  plan_timer_.Set(clock_.Now() + kPlanInterval, [this] { Plan(); });
  if (!cell_.agent().IsAssigner()) {
    placement_.reset();
    first_seen_.clear();
    return;
  }
  if (placement_ == nullptr) {
    placement_ = std::make_unique<Placement>();
  }
  const auto record = cell_.agent().Record();
  const PlacementSnapshot snapshot = MakeSnapshot(*record);
  for (const PlacementAction& it : placement_->Plan(snapshot, clock_.Now())) {
    Propose(it);
  }
  cell_.ProcessOutbox();
}

PlacementSnapshot PlacementDriver::MakeSnapshot(const stored::CellT& record) {
  PlacementSnapshot snapshot;
  snapshot.settings = services_;
  for (const auto& it : record.servers) {
    const auto service = services_.find(ServiceName(it->service));
    if (service == services_.end() || it->generation == 0 ||
        service->second.kind != settings::ServiceKind::Keyed) {
      continue;
    }
    snapshot.servers.push_back({ServerId(it->id), ServiceName(it->service),
                                ZoneName(it->zone), service->second.slots,
                                StateOf(*it), FirstSeen(*it)});
  }
  for (const auto& it : record.ranges) {
    snapshot.ranges.push_back({ServiceName(it->service),
                               {KeyHash(it->first), KeyHash(it->last)},
                               ServerId(it->owner),
                               Token(it->token),
                               !it->moving_to.empty()});
  }
  return snapshot;
}

TimePoint PlacementDriver::FirstSeen(const stored::ServerT& server) {
  return first_seen_.try_emplace({server.id, server.incarnation}, clock_.Now())
      .first->second;
}

void PlacementDriver::Propose(const PlacementAction& action) {
  CellAgent& agent = cell_.agent();
  const TimePoint now = clock_.Now();
  if (const auto* move = std::get_if<MoveRange>(&action)) {
    // The cell agent itself moves ranges without an owner and ranges of
    // draining servers.
    const bool balancing =
        move->cause == MoveCause::kBalance || move->cause == MoveCause::kReturn;
    if (balancing) {
      agent.ProposeMove(
          {move->service, move->range, move->to, kActor, ToString(move->cause)},
          now);
    }
    return;
  }
  if (const auto* merge = std::get_if<MergeRanges>(&action)) {
    agent.ProposeMerge({merge->service, merge->lower, merge->upper, kActor},
                       now);
    return;
  }
  const auto& split = std::get<SplitRange>(action);
  HashRange rest = split.range;
  // The cell splits a range into two parts, so isolating a single key takes two
  // splits.
  for (const HashRange& it : PartsOf(split)) {
    if (it.first == split.range.first) {
      continue;
    }
    agent.ProposeSplit(SplitAt(split, rest, it.first), now);
    rest.first = it.first;
  }
}

}  // namespace gentianreach
