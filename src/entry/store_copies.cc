#include "entry/store_copies.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/json_text.h"
#include "base/log.h"
#include "entry/datagram_fields.h"
#include "http/status.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

// Paths of the requests for changes and for the state of the copies, kinds of
// the objects, and timeouts. A mirror has little time, since the leader is
// asked after it.
constexpr const char* kRelayPath = "/changes";
constexpr const char* kStatusPath = "/copies";
constexpr std::array<const char*, 4> kRelayKinds = {"config", "servers",
                                                    "ownership", "evacuations"};
constexpr Duration kRelayTimeout = milliseconds(1200);
constexpr Duration kMirrorTimeout = milliseconds(400);
constexpr Duration kPeerTimeout = milliseconds(300);
// How long a mirror that has failed is not used.
constexpr Duration kMirrorAvoidance = std::chrono::seconds(3);
// Time between two questions to peers, and the number of peers asked.
constexpr Duration kPeerPollPeriod = milliseconds(200);
constexpr std::size_t kPolledPeers = 2;
// The number that a reader asks whose calls fail, to know those of most others.
constexpr std::size_t kPolledPeersOfReader = 4;
// The same time while the store is lost: of the readers, which report to each
// other, and of the other daemons.
constexpr Duration kLostReaderPollPeriod = milliseconds(400);
constexpr Duration kLostPeerPollPeriod = milliseconds(1000);

}  // namespace

StoreCopies::StoreCopies(net::EventLoop& loop,
                         platform::PlatformClient& platform,
                         Duration shortest_expiry,
                         Duration max_copy_age,
                         Sinks sinks,
                         std::string source_ip)
    : loop_(loop),
      health_(loop, shortest_expiry),
      config_(loop,
              platform,
              health_,
              platform::ObjectKind::kConfig,
              platform::Freshness::kCurrent,
              std::move(sinks.config)),
      servers_(loop,
               platform,
               health_,
               platform::ObjectKind::kServers,
               platform::Freshness::kCurrent,
               std::move(sinks.servers)),
      ownership_(loop,
                 platform,
                 health_,
                 platform::ObjectKind::kOwnership,
                 platform::Freshness::kMayBeStale,
                 std::move(sinks.ownership)),
      watchers_(ReadEvacuations(std::move(sinks.evacuations), platform)),
      max_copy_age_(max_copy_age),
      relay_client_(std::move(source_ip)),
      chooser_(max_copy_age),
      peer_timer_(loop, [this] { PollPeers(); }) {
  health_.on_change = [this](bool lost) {
    if (!lost) {
      for (StoreWatcher* it : watchers_) {
        it->OnStoreBack();
      }
      if (leads_ && health_.may_be_replaced()) {
        ownership_.RequireList();
      }
    }
    if (on_store_change) {
      on_store_change(lost);
    }
  };
  health_.on_history_gone = [this] {
    for (StoreWatcher* it : watchers_) {
      it->Relist();
    }
  };
  health_.on_revision_back = [this](std::uint64_t revision) {
    for (StoreWatcher* it : watchers_) {
      it->OnRevisionBack(revision);
    }
  };
  relay_server_.Handle("GET", kRelayPath, [this](const auto& request) {
    return HandleChangesRequest(request);
  });
  relay_server_.Handle("GET", kStatusPath,
                       [this](const auto&) { return HandleStatusRequest(); });
}

std::vector<StoreWatcher*> StoreCopies::ReadEvacuations(
    StoreWatcher::Sink sink,
    platform::PlatformClient& platform) {
  std::vector<StoreWatcher*> watchers = {&config_, &servers_, &ownership_};
  if (sink.on_list) {
    evacuations_.emplace(loop_, platform, health_,
                         platform::ObjectKind::kEvacuations,
                         platform::Freshness::kCurrent, std::move(sink));
    watchers.push_back(&*evacuations_);
  }
  return watchers;
}

boost::leaf::result<void> StoreCopies::Start(const std::string& address) {
  BOOST_LEAF_CHECK(relay_server_.Listen(address));
  const TimePoint now = loop_.Now();
  started_at_ = now;
  for (StoreWatcher* it : watchers_) {
    it->Start(now);
  }
  return {};
}

void StoreCopies::ChooseSource(const LeadershipStatus& leadership) {
  const TimePoint now = loop_.Now();
  const CopySource before = std::exchange(
      source_, chooser_.Choose(leadership, started_at_, current_at(), now));
  const bool outdated = chooser_.outdated();
  if (before != source_ && source_ == CopySource::kStore &&
      chooser_.leader_lost_store()) {
    health_.Suspect();
  }
  if (before != source_) {
    const bool behind = before == CopySource::kLeader && outdated &&
                        chooser_.leader_alive() && !leadership.leads;
    if (behind) {
      Log(LogLevel::kWarning, "copies_outdated", {{"leader", leader_address_}});
    }
    Log(LogLevel::kInfo, "copies_source",
        {{"source", ToString(source_)},
         {"reason", source_ == CopySource::kLeader ? "leader_alive"
                    : leadership.leads             ? "leads"
                    : !chooser_.leader_alive()     ? "leader_silent"
                    : chooser_.probes_store()      ? "leader_lost_store"
                                                   : "outdated"},
         {"leader", leader_address_},
         {"copy_age_ms", MillisecondsBetween(current_at(), now)}});
  }
  if (AsksPeers() && !peer_timer_.deadline()) {
    PollPeers();
  }
  const bool urgent = chooser_.needs_store();
  const milliseconds watch_wait = urgent ? kShortWatchWait : kLongestWatchWait;
  const WatchSource source = source_ == CopySource::kStore
                                 ? WatchSource::kStore
                                 : WatchSource::kLeader;
  // These copies are of use for a bounded time only.
  config_.SetSource(source, chooser_.EntriesWatchWait(), urgent);
  servers_.SetSource(source, chooser_.EntriesWatchWait(), urgent);
  if (evacuations_) {
    evacuations_->SetSource(source, chooser_.EntriesWatchWait(), urgent);
  }
  ownership_.SetSource(leadership.leads ? WatchSource::kLeader : source,
                       watch_wait, urgent);
  if (leadership.leads && !leads_) {
    // The last table of the leader before is not relayed any more.
    leads_since_ = now;
    ownership_.RequireList();
  }
  leads_ = leadership.leads;
}

void StoreCopies::OnLeaderHeartbeat(const StoreCopyStatus& copy_status) {
  chooser_.OnLeaderHeartbeat(copy_status.store_lost, loop_.Now());
  leader_address_ = copy_status.address;
  mirror_ = copy_status.mirror;
  OnMembers({copy_status.address});
  OnMembers(copy_status.peers);
  if (copy_status.most_lost_store) {
    chooser_.OnMajorityStated(copy_status.sent_at);
  } else {
    chooser_.OnNoMajorityStated();
  }
  OnSourceStatus(copy_status);
  for (std::size_t i = 0;
       i < std::min(copy_status.changed_at.size(), watchers_.size()); ++i) {
    FetchFromLeader(i, RemoteCopyOf(copy_status, i));
  }
}

StoreCopies::RemoteCopy StoreCopies::RemoteCopyOf(const StoreCopyStatus& status,
                                                  std::size_t kind) {
  RemoteCopy remote{.address = status.address,
                    .changed_at = status.changed_at[kind],
                    .current_at = status.current_at,
                    .listed_at = status.listed_at};
  if (kind < status.digests.size()) {
    remote.digest = status.digests[kind];
  }
  return remote;
}

void StoreCopies::OnSourceStatus(const StoreCopyStatus& status) {
  source_lacks_entries_ = status.may_lack_entries;
  health_.OnAnswerToOther(status.current_at, status.may_lack_entries);
  for (StoreWatcher* it : watchers_) {
    it->VoidWatches(status.watches_void_until);
  }
}

void StoreCopies::FetchFromLeader(std::size_t kind,
                                  const RemoteCopy& leader_copy) {
  const auto ask_leader = [this, kind, leader_copy] {
    FetchChanges(kind, leader_copy.address, leader_copy,
                 loop_.Now() + kRelayTimeout);
  };
  if (mirror_.empty() || loop_.Now() < mirror_avoided_until_) {
    ask_leader();
    return;
  }
  const auto on_end = [this, ask_leader](bool has_changes) {
    if (has_changes) {
      return;
    }
    mirror_avoided_until_ = loop_.Now() + kMirrorAvoidance;
    ask_leader();
  };
  FetchChanges(kind, mirror_, leader_copy, loop_.Now() + kMirrorTimeout,
               on_end);
}

void StoreCopies::PollPeers() {
  if (!AsksPeers()) {
    return;
  }
  const TimePoint now = loop_.Now();
  const Duration lost_period =
      chooser_.is_reader() ? kLostReaderPollPeriod : kLostPeerPollPeriod;
  peer_timer_.Set(now + (IsStoreLost() ? lost_period : kPeerPollPeriod));
  for (const std::string& it : NextPeers()) {
    HttpCall call;
    call.url = "http://" + it + kStatusPath;
    call.deadline = now + kPeerTimeout;
    relay_client_.Send(
        std::move(call), [this, it, now](const HttpResponse& reply) {
          const bool has_copies = reply.status == http::status::kOk;
          if (has_copies || reply.status == http::status::kUnavailable) {
            OnPeerStatus(it, reply.body, has_copies, now);
          }
        });
  }
}

std::vector<std::string> StoreCopies::NextPeers() {
  const std::vector<std::string> peers = chooser_.Reporters();
  if (!std::ranges::is_permutation(peers, peers_to_ask_)) {
    peers_to_ask_ = peers;
    std::ranges::shuffle(peers_to_ask_, generator_);
  }
  const bool needs_reports = HasCallFailed() && chooser_.is_reader();
  const auto n = static_cast<std::ptrdiff_t>(
      std::min(needs_reports ? kPolledPeersOfReader : kPolledPeers,
               peers_to_ask_.size()));
  const auto end = peers_to_ask_.begin() + n;
  std::vector<std::string> next(peers_to_ask_.begin(), end);
  std::rotate(peers_to_ask_.begin(), end, peers_to_ask_.end());
  return next;
}

void StoreCopies::OnPeerReport(const std::string& address,
                               const nlohmann::json& status,
                               TimePoint asked_at) {
  // Earlier versions do not tell all of this.
  if (status.contains("answer_age_ms")) {
    health_.OnAnswerToOther(
        TimeOf(status["answer_age_ms"].get<std::uint32_t>(), asked_at), true);
  }
  if (status.contains("answer_age_ms") && status.contains("answers_age_ms")) {
    health_.OnAnswersKnown(
        TimeOf(status["answers_age_ms"].get<std::uint32_t>(), asked_at),
        TimeOf(status["answer_age_ms"].get<std::uint32_t>(), asked_at));
  }
  chooser_.OnReport(address, status.value("store_lost", false), asked_at);
  if (status.value("most_lost_store", false)) {
    chooser_.OnMajorityStated(asked_at);
  }
}

void StoreCopies::OnPeerStatus(const std::string& address,
                               const std::string& status,
                               bool has_copies,
                               TimePoint asked_at) {
  if (!AsksPeers()) {
    return;
  }
  try {
    const auto json = nlohmann::json::parse(status);
    OnPeerReport(address, json, asked_at);
    if (!has_copies) {
      return;
    }
    const TimePoint current_at =
        TimeOf(json.at("age_ms").get<std::uint32_t>(), asked_at);
    // Earlier versions do not state all ages.
    const auto time_of = [&](const char* age, TimePoint stated_at) {
      return json.contains(age)
                 ? TimeOf(json[age].get<std::uint32_t>(), stated_at)
                 : TimePoint{};
    };
    const StoreCopyStatus copy_status{
        .address = address,
        .may_lack_entries = json.at("may_lack_entries").get<bool>(),
        .changed_at = json.at("changed_at").get<std::vector<std::uint64_t>>(),
        .digests = json.value("digests", std::vector<std::uint64_t>()),
        .current_at = current_at,
        .listed_at = time_of("listed_age_ms", asked_at),
        // The status may have been sent just now.
        .watches_void_until = time_of("watches_void_age_ms", loop_.Now())};
    OnSourceStatus(copy_status);
    for (std::size_t i = 0;
         i < std::min(copy_status.changed_at.size(), watchers_.size()); ++i) {
      FetchChanges(i, address, RemoteCopyOf(copy_status, i),
                   loop_.Now() + kMirrorTimeout);
    }
  } catch (const nlohmann::json::exception& error) {
    Log(LogLevel::kWarning, "peer_status_unusable",
        {{"peer", address}, {"error", error.what()}});
  }
}

void StoreCopies::OnPeerWithCopies(const std::string& address) {
  for (std::size_t i = 0; i < watchers_.size(); ++i) {
    if (!watchers_[i]->listed()) {
      FetchChanges(i, address, {.address = address, .changed_at = 1},
                   loop_.Now() + kRelayTimeout);
    }
  }
}

StoreCopyStatus StoreCopies::CopyStatus() const {
  StoreCopyStatus copy_status{
      .store_lost = health_.lost(),
      .most_lost_store = HaveMostLostStore(),
      .may_lack_entries = health_.MayLackEntries(),
      .current_at = current_at(),
      .listed_at = listed_at(),
      .watches_void_until = servers_.watches_void_until()};
  for (const StoreWatcher* it : watchers_) {
    copy_status.changed_at.push_back(it->listed() ? it->changed_at() : 0);
    copy_status.digests.push_back(it->digest());
  }
  return copy_status;
}

TimePoint StoreCopies::OwnershipTime(TimePoint of_ownership) const {
  // Only the leader writes the ownership tables, and its writes fail once
  // another daemon has written them.
  const bool owns_tables = leads_ && of_ownership >= leads_since_;
  return owns_tables ? loop_.Now() : of_ownership;
}

TimePoint StoreCopies::current_at() const {
  return std::min({config_.current_at(), entries_current_at(),
                   OwnershipTime(ownership_.current_at())});
}

TimePoint StoreCopies::listed_at() const {
  const TimePoint evacuations =
      evacuations_ ? evacuations_->listed_at() : TimePoint::max();
  return std::min({config_.listed_at(), servers_.listed_at(),
                   OwnershipTime(ownership_.listed_at()), evacuations});
}

std::uint64_t StoreCopies::unreadable_objects() const {
  std::uint64_t objects = 0;
  for (const StoreWatcher* it : watchers_) {
    objects += it->unreadable_objects();
  }
  return objects;
}

bool StoreCopies::MayLackEntries() const {
  return source_ == CopySource::kStore
             ? health_.MayLackEntries()
             : source_lacks_entries_ && !health_.HasAllEntries();
}

bool StoreCopies::HasLeaderLostStore(const std::string& leader_address) const {
  return leader_address == leader_address_ && chooser_.leader_lost_store() &&
         chooser_.probes_store() && !health_.lost() &&
         health_.answered_at() > chooser_.leader_lost_store_at();
}

OperatorResponse StoreCopies::HandleChangesRequest(
    const OperatorRequest& request) {
  const std::string kind = request.Query("kind");
  const auto since =
      g_ascii_strtoull(request.Query("since").c_str(), nullptr, 10);
  for (std::size_t i = 0; i < watchers_.size(); ++i) {
    if (kind == kRelayKinds[i]) {
      return {200, "application/gzip", watchers_[i]->ChangesSince(since)};
    }
  }
  return {404, "application/json", R"({"error":"no such kind"})"};
}

OperatorResponse StoreCopies::HandleStatusRequest() {
  const StoreCopyStatus status = CopyStatus();
  nlohmann::json json = {
      {"answer_age_ms", AgeOf(health_.answered_any_at(), loop_.Now())},
      {"answers_age_ms", AgeOf(health_.answers_since(), loop_.Now())},
      {"store_lost", HasCallFailed()},
      {"most_lost_store", status.most_lost_store}};
  if (status.current_at == TimePoint{}) {
    json["error"] = "no copies yet";
    return {http::status::kUnavailable, "application/json", ToJsonText(json)};
  }
  json["age_ms"] = AgeOf(status.current_at, loop_.Now());
  json["listed_age_ms"] = AgeOf(status.listed_at, loop_.Now());
  json["watches_void_age_ms"] =
      AgeOfVoid(status.watches_void_until, loop_.Now());
  json["changed_at"] = status.changed_at;
  json["digests"] = status.digests;
  json["may_lack_entries"] = MayLackEntries();
  return {http::status::kOk, "application/json", ToJsonText(json)};
}

StoreCopies::CopyRelation StoreCopies::Compare(const StoreWatcher& watcher,
                                               const RemoteCopy& remote) {
  const bool behind = watcher.relay_since() < remote.changed_at;
  if (!remote.digest || !watcher.listed()) {
    return behind ? CopyRelation::kBehind : CopyRelation::kContains;
  }
  if (watcher.digest() == *remote.digest) {
    return CopyRelation::kContains;
  }
  const bool is_later = remote.current_at > watcher.learned_at();
  if (watcher.Contains(*remote.digest)) {
    // Once an object has been added and removed, a copy has the digest that it
    // had before. So one of a higher revision is an earlier state only if it is
    // of the time before this daemon's last change.
    return !behind    ? CopyRelation::kContains
           : is_later ? CopyRelation::kBehind
                      : CopyRelation::kUnknown;
  }
  if (behind) {
    return CopyRelation::kBehind;
  }
  return is_later ? CopyRelation::kSuperseded : CopyRelation::kUnknown;
}

void StoreCopies::FetchChanges(std::size_t kind,
                               const std::string& address,
                               const RemoteCopy& remote,
                               TimePoint deadline,
                               std::function<void(bool)> done) {
  StoreWatcher* watcher = watchers_[kind];
  const CopyRelation relation = Compare(*watcher, remote);
  if (relation == CopyRelation::kContains) {
    watcher->ConfirmCurrent(remote.current_at, remote.listed_at);
    return;
  }
  if (fetching_[kind] || relation == CopyRelation::kUnknown) {
    return;
  }
  fetching_[kind] = true;
  const bool superseded = relation == CopyRelation::kSuperseded;
  HttpCall call;
  call.url =
      "http://" + address + kRelayPath + "?kind=" + kRelayKinds[kind] +
      "&since=" + std::to_string(superseded ? 0 : watcher->relay_since());
  call.deadline = deadline;
  const auto on_reply = [this, kind, address, watcher, remote, superseded,
                         done = std::move(done)](const HttpResponse& reply) {
    fetching_[kind] = false;
    if (reply.status != 200) {
      ++relay_failures_;
      Log(LogLevel::kWarning, "relay_failed",
          {{"kind", kRelayKinds[kind]},
           {"from", address},
           {"error", reply.error}});
    }
    // A mirror may have a copy, and changes, of before the store's counter went
    // back.
    const auto via_digest =
        address == remote.address ? std::nullopt : remote.digest;
    const bool applied =
        reply.status == 200 &&
        (superseded ? watcher->ReplaceCopy(reply.body, *remote.digest)
                    : watcher->ApplyChanges(reply.body, via_digest));
    // The process that replied may have replaced the one that reported.
    const bool has_changes =
        applied && (superseded || watcher->relay_since() >= remote.changed_at);
    // A mirror's later copy may be one that the leader's has superseded.
    const bool is_proven = address == remote.address || !remote.digest ||
                           watcher->Contains(*remote.digest);
    if (has_changes && is_proven) {
      watcher->ConfirmCurrent(remote.current_at, remote.listed_at);
    }
    if (done) {
      done(has_changes);
    }
  };
  relay_client_.Send(std::move(call), on_reply);
}

}  // namespace gentianreach::entry
