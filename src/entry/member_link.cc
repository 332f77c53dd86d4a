#include "entry/member_link.h"

#include <algorithm>
#include <chrono>
#include <span>
#include <utility>

#include "base/log.h"
#include "entry/copy_source.h"
#include "entry/datagram_fields.h"
#include "entry/succession.h"

namespace gentianreach::entry {
namespace {

// Leader timeout in tenths of the Hello period: three Hellos and a margin.
constexpr int kLeaderTimeoutTenths = 32;
// Number of members that a heartbeat names: the first in the order of
// succession.
constexpr std::size_t kMaxNamedSuccessors = 12;
// Number of relays that a heartbeat names.
constexpr std::size_t kMaxNamedRelays = 8;
// Wait per position in the order of succession before a daemon replaces a
// leader that has lost its path to the servers.
constexpr std::chrono::milliseconds kUnfitRankDelay{250};
// Time that mirrors have to fetch a change before the members that fetch it
// from them are told of it.
constexpr std::chrono::milliseconds kMirrorHeadStart{100};

// A member that has not sent a Hello for this time is no longer counted.
constexpr Duration kMemberTimeout = std::chrono::seconds(3);

}  // namespace

MemberLink::MemberLink(net::EventLoop& loop,
                       Member self,
                       double processor_share,
                       std::string forward_address,
                       std::vector<std::string> seeds,
                       LeaderElection& election,
                       EntryState& state)
    : loop_(loop),
      self_(std::move(self)),
      processor_share_(processor_share),
      forward_address_(std::move(forward_address)),
      seeds_(std::move(seeds)),
      election_(election),
      state_(state),
      crashes_(state.crashes),
      socket_(loop),
      timer_(loop, [this] { Tick(); }),
      mirrored_timer_(loop, [this] { SendHeartbeatsToMirrored(); }) {}

boost::leaf::result<void> MemberLink::Open(const std::string& address) {
  BOOST_LEAF_CHECK(socket_.Open(
      address, [this](std::span<const std::uint8_t> data) { Receive(data); }));
  timer_.Set(loop_.Now());
  return {};
}

std::chrono::milliseconds MemberLink::heartbeat_period() const {
  return HeartbeatPeriod(members_, state_.drain_bound.max_entries_age());
}

void MemberLink::Tick() {
  const TimePoint now = loop_.Now();
  const std::chrono::milliseconds period = heartbeat_period();
  timer_.Set(now + period);
  election_.SetLeaderTimeout(period * kLeaderTimeoutTenths / 10);
  if (!election_.IsLeader(now)) {
    was_leader_ = false;
    SendHello();
    return;
  }
  if (!std::exchange(was_leader_, true)) {
    member_count_settled_at_ = now + kMemberTimeout;
  }
  NotifyReplacedLeaders();
  QueueCrashReports(self_.name, crashes_.TakeLocalLosses());
  // The leader has already counted its own samples, so they are discarded.
  static_cast<void>(state_.loads.TakeSamples());
  const auto timed_out = std::erase_if(known_members_, [&](const auto& it) {
    return it.second.last_seen + kMemberTimeout < now;
  });
  if (timed_out > 0) {
    InvalidateSuccession();
  }
  if (state_.shared_loads) {
    state_.OnBusyServers(state_.shared_loads->BusyServers(now), now);
  }
  UpdateRelays();
  auto members = static_cast<std::uint32_t>(known_members_.size()) + 1;
  if (now < member_count_settled_at_) {
    members = std::max(members, members_);
  }
  if (std::exchange(members_, members) != members && on_membership_update) {
    on_membership_update();
  }
}

void MemberLink::SendHello() {
  const LeaderRecord& record = election_.record();
  const bool is_known =
      election_.knows_leader() && record.leader.name != self_.name;
  if (!is_known && seeds_.empty()) {
    return;
  }
  wire::HelloT hello;
  hello.name = self_.name;
  hello.incarnation = self_.incarnation.value();
  hello.address = self_.address;
  hello.epoch = record.epoch.value();
  hello.processor_share = static_cast<float>(processor_share_);
  hello.zone = state_.zone.value();
  hello.forward_address = forward_address_;
  hello.servers_lost = state_.reachability.lost();
  hello.crashed = ToValues(crashes_.TakeLocalLosses());
  hello.refusal_digest = crashes_.RefusalDigest(loop_.Now());
  hello.refused =
      ToWire(crashes_.RefusedUnknownTo(leader_refusal_digest_, loop_.Now()),
             loop_.Now());
  for (auto& [service, keys] : state_.TakeKeys()) {
    auto sample = std::make_unique<wire::KeySampleT>();
    sample->service = service;
    sample->keys = std::move(keys);
    hello.keys.push_back(std::move(sample));
  }
  for (const auto& [server, it] : state_.loads.TakeSamples()) {
    auto sample = std::make_unique<wire::ServerSampleT>();
    sample->server = server.value();
    sample->requests = it.requests;
    sample->total_ms =
        std::chrono::duration<float, std::milli>(it.total).count();
    hello.servers.push_back(std::move(sample));
  }
  for (const auto& [server, it] : state_.directory.leaving()) {
    if (it.entry_drains || state_.directory.Find(server) == nullptr) {
      continue;
    }
    auto leaving = std::make_unique<wire::LeavingServerT>();
    leaving->server = server.value();
    leaving->incarnation = it.incarnation.value();
    hello.leaving.push_back(std::move(leaving));
  }
  hello.sent_ms = ToMilliseconds(loop_.Now());
  if (state_.shared_loads) {
    hello.loads = state_.shared_loads->TakeReports(loop_.Now());
  }
  wire::BodyUnion body;
  body.Set(std::move(hello));
  if (is_known) {
    Send(record.leader.address, body);
    return;
  }
  for (const std::string& it : seeds_) {
    Send(it, body);
  }
}

void MemberLink::AnnounceServerPath() {
  if (election_.IsLeader(loop_.Now())) {
    UpdateRelays();
    SendLeaderHeartbeats();
    return;
  }
  SendHello();
}

void MemberLink::UpdateRelays() {
  cut_members_ = state_.reachability.lost() ? 1 : 0;
  for (const auto& [name, it] : known_members_) {
    cut_members_ += it.servers_lost ? 1 : 0;
  }
  if (state_.reachability.lost()) {
    SetRelays(RelaysFor(self_.name, state_.zone));
  }
}

void MemberLink::SetRelays(std::vector<Relay> relays) {
  const bool were_known = state_.relays.known();
  state_.relays.Set(std::move(relays));
  if (!were_known) {
    state_.held.WakeAll();
  }
}

std::vector<Relay> MemberLink::RelaysFor(const std::string& name,
                                         const ZoneName& zone) const {
  std::vector<Relay> candidates;
  if (!state_.reachability.lost() && !forward_address_.empty()) {
    candidates.push_back({self_.name, forward_address_, state_.zone});
  }
  for (const auto& [member, it] : known_members_) {
    if (!it.servers_lost && !it.forward_address.empty()) {
      candidates.push_back({member, it.forward_address, it.zone});
    }
  }
  return SelectRelays(candidates, name, zone, kMaxNamedRelays);
}

void MemberLink::ReplaceUnfitLeader(bool leader_lost_servers, TimePoint now) {
  if (!leader_lost_servers || state_.reachability.lost()) {
    leader_unfit_since_.reset();
    return;
  }
  leader_unfit_since_ = leader_unfit_since_.value_or(now);
  if (state_.reachability.path() == ServerPath::kOpen &&
      now >= *leader_unfit_since_ + rank_ * kUnfitRankDelay) {
    election_.OnLeaderUnfit(now);
  }
}

void MemberLink::OnHint(const wire::LeaderHintT& hint) {
  if (hint.address.empty()) {
    return;
  }
  const LeaderRecord record{
      Epoch(hint.epoch),
      {hint.name, Incarnation(hint.incarnation), hint.address}};
  const bool was_followed = election_.record().IsSameTerm(record);
  const bool was_leader = election_.IsLeader(loop_.Now());
  election_.OnHint(record, loop_.Now());
  if (was_followed || !election_.record().IsSameTerm(record)) {
    return;
  }
  if (was_leader) {
    SendHintsToMembers();
  }
  // The leader sends heartbeats only to members that have sent a Hello.
  SendHello();
}

void MemberLink::NotifyReplacedLeaders() {
  for (const Member& it : election_.replaced_leaders()) {
    KnownMember known{it, loop_.Now()};
    known.rank = static_cast<std::uint32_t>(known_members_.size());
    SendLeaderHeartbeat(known, false);
  }
}

void MemberLink::SendHintsToMembers() {
  for (const auto& [name, it] : known_members_) {
    SendHint(it.member.address);
  }
}

void MemberLink::SendHint(const std::string& address) {
  const LeaderRecord& record = election_.record();
  wire::LeaderHintT hint;
  hint.name = record.leader.name;
  hint.incarnation = record.leader.incarnation.value();
  hint.epoch = record.epoch.value();
  hint.address = record.leader.address;
  hint.sender = self_.address;
  wire::BodyUnion body;
  body.Set(std::move(hint));
  Send(address, body);
}

void MemberLink::Send(const std::string& address, const wire::BodyUnion& body) {
  flatbuffers::FlatBufferBuilder builder;
  const auto packed = body.Pack(builder);
  builder.Finish(wire::CreateDatagram(builder, body.type, packed));
  socket_.Send(address, {builder.GetBufferPointer(), builder.GetSize()});
}

void MemberLink::Receive(std::span<const std::uint8_t> data) {
  flatbuffers::Verifier verifier(data.data(), data.size());
  if (!verifier.VerifyBuffer<wire::Datagram>(nullptr)) {
    return;
  }
  const auto* datagram = flatbuffers::GetRoot<wire::Datagram>(data.data());
  if (const auto* hello = datagram->body_as_Hello()) {
    OnHello(*std::unique_ptr<wire::HelloT>(hello->UnPack()));
    return;
  }
  if (const auto* heartbeat = datagram->body_as_LeaderHeartbeat()) {
    OnLeaderHeartbeat(
        *std::unique_ptr<wire::LeaderHeartbeatT>(heartbeat->UnPack()));
  } else if (const auto* hint = datagram->body_as_LeaderHint()) {
    const std::unique_ptr<wire::LeaderHintT> it(hint->UnPack());
    OnHint(*it);
    if (on_peer_with_copies) {
      on_peer_with_copies(it->sender);
    }
  }
  if (on_membership_update) {
    on_membership_update();
  }
}

void MemberLink::OnHello(const wire::HelloT& hello) {
  const TimePoint now = loop_.Now();
  const std::size_t earlier = election_.replaced_leaders().size();
  election_.OnFollowerMessage(hello.name, Epoch(hello.epoch), now);
  if (election_.replaced_leaders().size() < earlier) {
    Log(LogLevel::kInfo, "replaced_leader_ended",
        {{"leader", hello.name}, {"life", hello.incarnation}});
  }
  if (!election_.IsLeader(now)) {
    // The sender knows no leader, or follows one that has been replaced.
    if (Epoch(hello.epoch) < election_.record().epoch) {
      SendHint(hello.address);
    }
    return;
  }
  if (Epoch(hello.epoch) > election_.record().epoch) {
    election_.OnNewerEpochSeen(now);
    return;
  }
  const auto [found, is_new] = known_members_.try_emplace(hello.name);
  KnownMember& known = found->second;
  const bool changed = is_new || known.member.address != hello.address ||
                       known.processor_share != hello.processor_share ||
                       known.servers_lost != hello.servers_lost;
  known.member = {hello.name, Incarnation(hello.incarnation), hello.address};
  known.last_seen = now;
  known.processor_share = hello.processor_share;
  known.zone = ZoneName(hello.zone);
  known.forward_address = hello.forward_address;
  known.servers_lost = hello.servers_lost;
  known.said_hello = true;
  known.hello_sent_ms = hello.sent_ms;
  known.awaits_response = true;
  if (changed) {
    InvalidateSuccession();
    UpdateRelays();
  }
  const auto crashed = ToFingerprints(hello.crashed);
  for (const Fingerprint it : crashed) {
    crashes_.OnRemoteLoss(it, now);
  }
  QueueCrashReports(hello.name, crashed);
  known.refusal_digest = hello.refusal_digest;
  state_.OnRemoteRefusals(ToRefusedRequests(hello.refused, now), hello.name);
  AddSamples(hello);
  state_.OnMemberLoads(hello.name, hello.loads);
  for (const auto& it : hello.leaving) {
    state_.OnLeaving(ServerId(it->server), Incarnation(it->incarnation));
  }
  SendLeaderHeartbeat(known, false);
}

void MemberLink::AddSamples(const wire::HelloT& hello) {
  for (const auto& it : hello.keys) {
    keyspace::KeyLoad& load = state_.Load(it->service);
    for (const std::uint16_t key : it->keys) {
      load.Add(key);
    }
  }
  for (const auto& it : hello.servers) {
    const std::chrono::duration<float, std::milli> total(it->total_ms);
    const ServerId id(it->server);
    const routing::BackendServer* server = state_.directory.Find(id);
    state_.loads.OnRemoteSamples(
        id, it->requests, std::chrono::duration_cast<Duration>(total),
        loop_.Now(), server == nullptr ? std::string_view() : server->service);
  }
}

void MemberLink::QueueCrashReports(const std::string& from,
                                   const std::vector<Fingerprint>& crashes) {
  if (crashes.empty()) {
    return;
  }
  for (auto& [name, it] : known_members_) {
    if (name != from) {
      it.unsent_crash_reports.insert(it.unsent_crash_reports.end(),
                                     crashes.begin(), crashes.end());
    }
  }
}

void MemberLink::UpdateSuccession() {
  if (!std::exchange(succession_outdated_, false)) {
    return;
  }
  std::vector<KnownMember*> known;
  std::vector<SuccessionMember> members;
  for (auto& [name, it] : known_members_) {
    known.push_back(&it);
    members.push_back({name, it.zone, it.processor_share, it.servers_lost});
  }
  const Succession plan = PlanSuccession(members);
  succession_.clear();
  for (const std::size_t it : plan.order) {
    known[it]->rank = static_cast<std::uint32_t>(succession_.size());
    known[it]->mirror = plan.mirrors[it]
                            ? known[*plan.mirrors[it]]->member.address
                            : std::string();
    succession_.push_back(known[it]);
  }
}

void MemberLink::SetStoreCopyStatus(StoreCopyStatus copy_status) {
  own_copy_status_ = std::move(copy_status);
  // The mirrors lack nothing if there is no change, or if they have been told
  // of it and have had their head start.
  const bool told = announced_copy_status_.HasCopiesOf(own_copy_status_) &&
                    !mirrored_timer_.deadline();
  if (told || mirrored_copy_status_.HasCopiesOf(own_copy_status_)) {
    mirrored_copy_status_ = own_copy_status_;
    return;
  }
  // Needs no copies, so that it need not wait for the mirrors.
  mirrored_copy_status_.store_lost = own_copy_status_.store_lost;
  mirrored_copy_status_.most_lost_store = own_copy_status_.most_lost_store;
  mirrored_copy_status_.may_lack_entries = own_copy_status_.may_lack_entries;
}

std::span<const MemberLink::KnownMember* const> MemberLink::NamedSuccessors()
    const {
  return std::span(succession_)
      .first(std::min(succession_.size(), kMaxNamedSuccessors));
}

std::vector<std::string> MemberLink::SuccessorAddresses() {
  UpdateSuccession();
  std::vector<std::string> addresses;
  for (const KnownMember* it : NamedSuccessors()) {
    addresses.push_back(it->member.address);
  }
  return addresses;
}

void MemberLink::SendLeaderHeartbeat(KnownMember& known, bool resigning) {
  UpdateSuccession();
  const StoreCopyStatus& status =
      known.mirror.empty() ? own_copy_status_ : mirrored_copy_status_;
  wire::LeaderHeartbeatT heartbeat;
  heartbeat.name = self_.name;
  heartbeat.incarnation = self_.incarnation.value();
  heartbeat.epoch = election_.record().epoch.value();
  heartbeat.address = self_.address;
  heartbeat.members = members_;
  heartbeat.rank = known.rank;
  heartbeat.mirror = known.mirror;
  for (const KnownMember* it : NamedSuccessors()) {
    auto address = std::make_unique<wire::MemberAddressT>();
    address->name = it->member.name;
    address->address = it->member.address;
    heartbeat.line.push_back(std::move(address));
  }
  heartbeat.resigning = resigning;
  heartbeat.store_lost = status.store_lost;
  heartbeat.most_lost_store = status.most_lost_store;
  heartbeat.may_lack_entries = status.may_lack_entries;
  heartbeat.changed_at = status.changed_at;
  heartbeat.digests = status.digests;
  // Without its Hello, the member cannot tell how long the heartbeat has been
  // on its way.
  if (known.said_hello) {
    heartbeat.copy_age_ms = AgeOf(status.current_at, loop_.Now());
    heartbeat.listed_age_ms = AgeOf(status.listed_at, loop_.Now());
  }
  heartbeat.watches_void_age_ms =
      AgeOfVoid(own_copy_status_.watches_void_until, loop_.Now());
  heartbeat.hello_sent_ms = known.hello_sent_ms;
  heartbeat.servers_lost = state_.reachability.lost();
  heartbeat.cut_members = cut_members_;
  heartbeat.names_relays = known.servers_lost;
  if (known.servers_lost) {
    for (const Relay& it : RelaysFor(known.member.name, known.zone)) {
      auto relay = std::make_unique<wire::RelayAddressT>();
      relay->name = it.name;
      relay->address = it.address;
      relay->zone = it.zone.value();
      heartbeat.relays.push_back(std::move(relay));
    }
  }
  heartbeat.crashed = ToValues(std::exchange(known.unsent_crash_reports, {}));
  heartbeat.refusal_digest = crashes_.RefusalDigest(loop_.Now());
  heartbeat.refused =
      ToWire(crashes_.RefusedUnknownTo(known.refusal_digest, loop_.Now()),
             loop_.Now());
  if (std::exchange(known.awaits_response, false) && state_.shared_loads) {
    heartbeat.busy = state_.shared_loads->BusyServers(loop_.Now());
  }
  wire::BodyUnion body;
  body.Set(std::move(heartbeat));
  Send(known.member.address, body);
}

void MemberLink::OnLeaderHeartbeat(const wire::LeaderHeartbeatT& heartbeat) {
  const TimePoint now = loop_.Now();
  for (const std::uint64_t it : heartbeat.crashed) {
    crashes_.OnRemoteLoss({it}, now);
  }
  state_.OnRemoteRefusals(ToRefusedRequests(heartbeat.refused, now),
                          heartbeat.name);
  const LeaderRecord record{
      Epoch(heartbeat.epoch),
      {heartbeat.name, Incarnation(heartbeat.incarnation), heartbeat.address}};
  if (record.epoch < election_.record().epoch) {
    // The sender does not know yet that it has been replaced.
    SendHint(heartbeat.address);
    return;
  }
  if (heartbeat.resigning) {
    election_.OnLeaderResigned(now);
    return;
  }
  const bool was_followed = election_.record().IsSameTerm(record);
  if (election_.IsLeader(now)) {
    election_.OnLeaderHeartbeat(record, heartbeat.rank, now);
    SendHintsToMembers();
  }
  rank_ = heartbeat.rank;
  members_ = std::max(1U, heartbeat.members);
  cut_members_ = heartbeat.cut_members;
  if (heartbeat.names_relays && state_.reachability.lost()) {
    std::vector<Relay> relays;
    for (const auto& it : heartbeat.relays) {
      relays.push_back({it->name, it->address, ZoneName(it->zone)});
    }
    SetRelays(std::move(relays));
  }
  // If this daemon becomes leader, it notifies the members of this list; the
  // previous leader notifies all the members that it knows.
  InvalidateSuccession();
  known_members_.clear();
  known_members_[heartbeat.name] = {record.leader, now};
  std::vector<std::string> peers;
  for (const auto& it : heartbeat.line) {
    if (it->name != self_.name) {
      peers.push_back(it->address);
      known_members_[it->name] = {{it->name, {}, it->address}, now};
    }
  }
  leader_last_seen_ = now;
  leader_refusal_digest_ = heartbeat.refusal_digest;
  election_.OnLeaderHeartbeat(record, heartbeat.rank, now);
  if (!was_followed && election_.record().IsSameTerm(record)) {
    // The leader states the age of its copies only in response.
    SendHello();
  }
  ReplaceUnfitLeader(heartbeat.servers_lost, now);
  const TimePoint sent = EarliestSendTime(heartbeat, now);
  if (!heartbeat.busy.empty()) {
    state_.OnBusyServers(heartbeat.busy, sent);
  }
  if (on_leader_heartbeat) {
    on_leader_heartbeat(
        {.address = heartbeat.address,
         .mirror = heartbeat.mirror,
         .store_lost = heartbeat.store_lost,
         .most_lost_store = heartbeat.most_lost_store,
         .sent_at = heartbeat.hello_sent_ms == 0 ? TimePoint{} : sent,
         .may_lack_entries = heartbeat.may_lack_entries,
         .changed_at = heartbeat.changed_at,
         .digests = heartbeat.digests,
         .current_at = TimeOf(heartbeat.copy_age_ms, sent),
         .listed_at = TimeOf(heartbeat.listed_age_ms, sent),
         // The heartbeat may have been sent just now.
         .watches_void_until = TimeOf(heartbeat.watches_void_age_ms, now),
         .peers = std::move(peers)});
  }
}

void MemberLink::SendLeaderHeartbeats() {
  UpdateSuccession();
  announced_copy_status_ = own_copy_status_;
  bool has_mirrored = false;
  for (auto& [name, it] : known_members_) {
    if (!it.mirror.empty()) {
      has_mirrored = true;
      continue;
    }
    SendLeaderHeartbeat(it, false);
  }
  NotifyReplacedLeaders();
  if (has_mirrored && !mirrored_timer_.deadline()) {
    StartMirrorHeadStart();
  }
}

void MemberLink::StartMirrorHeadStart() {
  next_mirrored_copy_status_ = announced_copy_status_;
  mirrored_timer_.Set(loop_.Now() + kMirrorHeadStart);
}

void MemberLink::SendHeartbeatsToMirrored() {
  if (!election_.IsLeader(loop_.Now())) {
    return;
  }
  mirrored_copy_status_ = next_mirrored_copy_status_;
  SetStoreCopyStatus(own_copy_status_);
  for (auto& [name, it] : known_members_) {
    if (!it.mirror.empty()) {
      SendLeaderHeartbeat(it, false);
    }
  }
  if (!announced_copy_status_.HasCopiesOf(mirrored_copy_status_)) {
    StartMirrorHeadStart();
  }
}

void MemberLink::AnnounceResignation() {
  for (auto& [name, it] : known_members_) {
    SendLeaderHeartbeat(it, true);
  }
}

}  // namespace gentianreach::entry
