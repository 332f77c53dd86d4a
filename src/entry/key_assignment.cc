#include "entry/key_assignment.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "base/log.h"
#include "entry/excerpt.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

// Timeout of a read or write of an ownership table.
constexpr Duration kStoreTimeout = milliseconds(1500);
// Delay before the next attempt after a failed store call.
constexpr Duration kStoreRetryDelay = milliseconds(400);
// Upper limit of the lease of grants, even if servers allow longer ones.
constexpr milliseconds kLongestUsefulLease{6000};
// How often the assigner receives the servers' capacity, which changes with
// each load report. Equal to the period with which the assigner balances load.
constexpr Duration kCapacityRefresh = milliseconds(500);

std::string Describe(const keyspace::KeyRange& range) {
  return std::to_string(range.first) + "-" + std::to_string(range.last);
}

const char* Describe(platform::OrderStatus status) {
  switch (status) {
    case platform::OrderStatus::kDone:
      return "done";
    case platform::OrderStatus::kHigherToken:
      return "higher_token";
    case platform::OrderStatus::kRefused:
      return "refused";
    case platform::OrderStatus::kOtherServer:
      return "other_server";
    case platform::OrderStatus::kConnectionRefused:
      return "nobody_there";
    case platform::OrderStatus::kNotConnected:
      return "not_connected";
    case platform::OrderStatus::kTokenOutdated:
      return "token_outdated";
    case platform::OrderStatus::kUnknown:
      return "unknown";
  }
  return "";
}

const char* Describe(keyspace::Clearance clearance) {
  switch (clearance) {
    case keyspace::Clearance::kReleased:
      return "released";
    case keyspace::Clearance::kEnded:
      return "ended";
    case keyspace::Clearance::kLeaseOver:
      return "lease_over";
  }
  return "";
}

// Returns each server with how it was cleared.
std::string Describe(const std::vector<keyspace::ClearedOwner>& cleared) {
  std::string text;
  for (const auto& it : cleared) {
    text += (text.empty() ? "" : ",") + it.server.value() + ":" +
            Describe(it.clearance);
  }
  return text;
}

keyspace::OrderOutcome ToOrderOutcome(platform::OrderStatus status) {
  switch (status) {
    case platform::OrderStatus::kDone:
      return keyspace::OrderOutcome::kDone;
    case platform::OrderStatus::kHigherToken:
      return keyspace::OrderOutcome::kHigherToken;
    case platform::OrderStatus::kOtherServer:
      return keyspace::OrderOutcome::kOtherServer;
    case platform::OrderStatus::kConnectionRefused:
      return keyspace::OrderOutcome::kConnectionRefused;
    case platform::OrderStatus::kNotConnected:
      return keyspace::OrderOutcome::kNotConnected;
    case platform::OrderStatus::kTokenOutdated:
      return keyspace::OrderOutcome::kTokenOutdated;
    case platform::OrderStatus::kRefused:
      return keyspace::OrderOutcome::kRefused;
    case platform::OrderStatus::kUnknown:
      return keyspace::OrderOutcome::kUnknown;
  }
  return keyspace::OrderOutcome::kUnknown;
}

// Returns the table in `reply`, if there is one that can be decoded.
std::optional<keyspace::OwnershipTable> StoredTable(
    const platform::ObjectReply& reply) {
  return reply.object ? keyspace::DecodeTable(reply.object->content())
                      : std::nullopt;
}

}  // namespace

keyspace::AssignerOptions AssignerOptionsFor(milliseconds longest_lease) {
  keyspace::AssignerOptions options;
  options.lease = std::min(longest_lease, kLongestUsefulLease);
  options.renew_period = options.lease / 4;
  return options;
}

KeyAssignment::KeyAssignment(EntryState& state,
                             LeaderElection& election,
                             platform::PlatformClient& platform,
                             keyspace::AssignerOptions options)
    : state_(state),
      election_(election),
      platform_(platform),
      options_(options),
      timer_(state.loop, [this] { Run(); }) {}

void KeyAssignment::Run() {
  if (running_) {
    return;
  }
  const TimePoint now = state_.loop.Now();
  // Between two terms of this daemon, another one may have led.
  const Epoch epoch = election_.record().epoch;
  const bool new_term = std::exchange(epoch_, epoch) != epoch;
  if (!election_.IsLeader(now) || new_term) {
    services_.clear();
  }
  if (!election_.IsLeader(now)) {
    return;
  }
  if (!state_.routes || election_.term_in_doubt()) {
    return;
  }
  running_ = true;
  for (const auto& [name, it] : state_.routes->config().services) {
    if (!it.keyed) {
      continue;
    }
    auto found = services_.find(name);
    if (found == services_.end()) {
      found = services_.emplace(name, Service(state_, options_)).first;
      found->second.term = ++last_term_;
      found->second.orders->on_connected =
          [this, service = name,
           term = last_term_](const std::string& address) {
            OnConnected(service, term, address);
          };
      // Connections that are there before the first table is written may carry
      // the tokens of the former leader's table.
      found->second.orders->KeepConnected(Addresses(name));
    }
    RunService(name, found->second);
  }
  running_ = false;
}

void KeyAssignment::RunService(const std::string& name, Service& service) {
  const TimePoint now = state_.loop.Now();
  if (!service.begun) {
    if (!service.reading && now >= service.next_read) {
      ReadTable(name, service);
    } else if (!service.reading) {
      timer_.Set(service.next_read);
    }
    return;
  }
  keyspace::KeyLoad& load = state_.Load(name);
  load.Decay(now);
  if (election_.previous_leader_until() <= now) {
    service.assigner.OnPreviousLeadersEnded(election_.previous_leader_until());
  }
  UpdateServers(name, service, now);
  for (const auto& it : service.assigner.Poll(load, now)) {
    if (const auto* write = std::get_if<keyspace::WriteTable>(&it)) {
      WriteTable(name, service, write->table);
    } else {
      SendOrder(name, service, std::get<keyspace::SendOrder>(it));
    }
  }
  const TimePoint wake = service.assigner.NextDeadline();
  if (!timer_.deadline() || wake < *timer_.deadline()) {
    timer_.Set(wake);
  }
}

void KeyAssignment::UpdateServers(const std::string& name,
                                  Service& service,
                                  TimePoint now) {
  const std::uint64_t changes = state_.directory.changes();
  const bool changed =
      std::exchange(service.directory_changes, changes) != changes;
  const bool evacuations_changed =
      std::exchange(service.evacuation_changes, state_.evacuations.changes()) !=
      state_.evacuations.changes();
  if (!changed && !evacuations_changed && now < service.next_refresh) {
    return;
  }
  service.next_refresh = now + kCapacityRefresh;
  service.assigner.SetServers(Servers(name), now);
  if (changed) {
    ReportUnlisted(name, service, now);
  }
  std::set<std::string> addresses = Addresses(name);
  addresses.merge(service.assigner.FenceAddresses());
  service.orders->KeepConnected(addresses);
  if (!changed) {
    return;
  }
  const auto& services = state_.routes->config().services;
  for (const auto& [id, it] : state_.directory.servers()) {
    // An entry of an unknown service may come from another writer.
    if (!services.contains(it.service)) {
      continue;
    }
    service.assigner.OnAddressInUse(it.address, id, it.incarnation);
  }
}

void KeyAssignment::ReportUnlisted(const std::string& name,
                                   Service& service,
                                   TimePoint now) {
  for (const auto& [id, it] : state_.directory.removed()) {
    // A server that leaves ends soon.
    if (it.server.service != name || it.server.draining ||
        it.at < service.unlisted_until) {
      continue;
    }
    service.assigner.OnUnlisted({.id = id,
                                 .incarnation = it.server.incarnation,
                                 .address = it.server.address},
                                it.at, now);
  }
  service.unlisted_until = now;
}

std::vector<keyspace::AssignerServer> KeyAssignment::Servers(
    const std::string& service) const {
  std::vector<keyspace::AssignerServer> servers;
  const TimePoint now = state_.loop.Now();
  for (const routing::BackendServer* it : state_.directory.OfService(service)) {
    servers.push_back({.id = it->id,
                       .incarnation = it->incarnation,
                       .address = it->address,
                       .draining = it->draining,
                       .capacity = state_.Capacity(*it, now),
                       .move_until = state_.evacuations.MoveUntil(it->zone)});
  }
  return servers;
}

std::set<std::string> KeyAssignment::Addresses(
    const std::string& service) const {
  std::set<std::string> addresses;
  for (const routing::BackendServer* it : state_.directory.OfService(service)) {
    addresses.insert(it->address);
  }
  return addresses;
}

void KeyAssignment::OnConnected(const std::string& name,
                                std::uint64_t term,
                                const std::string& address) {
  if (Service* const service = Find(name, term)) {
    service->assigner.OnConnected(address);
    timer_.Set(state_.loop.Now());
  }
}

KeyAssignment::Service* KeyAssignment::Find(const std::string& name,
                                            std::uint64_t term) {
  const auto it = services_.find(name);
  return it == services_.end() || it->second.term != term ? nullptr
                                                          : &it->second;
}

void KeyAssignment::CheckEpoch(const std::string& name,
                               const keyspace::OwnershipTable& table) {
  const Epoch epoch = election_.record().epoch;
  if (table.epoch <= epoch) {
    return;
  }
  Log(LogLevel::kWarning, "later_leader_found",
      {{"service", name},
       {"epoch", epoch.value()},
       {"later", table.epoch.value()}});
  election_.OnStoredEpoch(table.epoch, state_.loop.Now());
}

void KeyAssignment::ReadTable(const std::string& name, Service& service) {
  service.reading = true;
  platform_.Read(
      platform::ObjectKind::kOwnership, name, state_.loop.Now() + kStoreTimeout,
      [this, name, term = service.term](const platform::ObjectReply& reply) {
        Service* service = Find(name, term);
        if (service == nullptr) {
          return;
        }
        const TimePoint now = state_.loop.Now();
        service->reading = false;
        if (reply.status != platform::CallStatus::kOk &&
            reply.status != platform::CallStatus::kAbsent) {
          Log(LogLevel::kWarning, "table_not_read",
              {{"service", name}, {"error", reply.error}});
          service->next_read = now + kStoreRetryDelay;
          Run();
          return;
        }
        std::optional<keyspace::OwnershipTable> table;
        service->revision = 0;
        if (reply.object) {
          table = keyspace::DecodeTable(reply.object->content());
          service->revision = reply.object->revision;
          if (!table) {
            OnUnusableTable(name, *service, "table_unreadable",
                            reply.object->content());
            Run();
            return;
          }
          if (on_table) {
            on_table(*reply.object);
          }
          CheckEpoch(name, *table);
        }
        const Token next_token = table ? table->next_token : Token();
        if (next_token < state_.ownership.tokens_seen(name) &&
            (!table || table->epoch <= election_.record().epoch)) {
          // The store has lost later tables. Other servers than the owners in
          // this one may hold the keys, under higher tokens.
          OnUnusableTable(
              name, *service, "table_lost",
              reply.object ? reply.object->content() : nlohmann::json());
          Run();
          return;
        }
        const auto unconfirmed =
            std::exchange(service->unconfirmed, std::nullopt);
        if (table && unconfirmed && *table == *unconfirmed) {
          // The write with the unknown result took effect.
          service->begun = true;
          service->assigner.OnWritten(now);
          Run();
          return;
        }
        Log(LogLevel::kInfo, "assigner_begins",
            {{"service", name},
             {"epoch", election_.record().epoch.value()},
             {"revision", service->revision},
             {"wait_ms",
              MillisecondsBetween(now, election_.previous_leader_until())}});
        service->begun =
            service->assigner.Begin(std::move(table), election_.record().epoch,
                                    election_.previous_leader_until(), now);
        if (!service->begun) {
          service->next_read = now + kStoreRetryDelay;
          election_.OnNewerEpochSeen(now);
        }
        Run();
      });
}

void KeyAssignment::OnUnusableTable(const std::string& name,
                                    Service& service,
                                    std::string_view event,
                                    const nlohmann::json& content) {
  const TimePoint now = state_.loop.Now();
  if (std::exchange(service.unusable_revision, service.revision) !=
      service.revision) {
    Log(LogLevel::kError, event,
        {{"service", name}, {"revision", service.revision}});
    service.unusable_since = now;
    election_.OnNewerEpochSeen(now);
  }
  if (election_.verified_at() < service.unusable_since) {
    service.next_read = now + kStoreRetryDelay / 4;
    return;
  }
  const keyspace::OwnershipTable* const copy = state_.ownership.Find(name);
  const bool known = service.assigner.WriteAgain(now);
  if (!known) {
    service.assigner.BeginWithoutTable(
        copy, service.revision, state_.ownership.tokens_seen(name),
        election_.record().epoch, election_.previous_leader_until(), now);
  }
  service.begun = true;
  // A write with an unknown result can no longer take effect.
  service.unconfirmed.reset();
  Log(LogLevel::kWarning, "table_replaced",
      {{"service", name},
       {"epoch", election_.record().epoch.value()},
       {"revision", service.revision},
       {"from", known             ? "memory"
                : copy != nullptr ? "copy"
                                  : "nothing"},
       {"copy_revision", state_.ownership.revision(name)},
       {"wait_ms",
        known ? 0
              : MillisecondsBetween(now, election_.previous_leader_until())},
       {"content", Excerpt(content)}});
}

void KeyAssignment::WriteTable(const std::string& name,
                               Service& service,
                               const keyspace::OwnershipTable& table) {
  const auto on_reply = [this, name, table, term = service.term](
                            const platform::ObjectReply& reply) {
    Service* service = Find(name, term);
    if (service == nullptr) {
      return;
    }
    const TimePoint now = state_.loop.Now();
    if (reply.status == platform::CallStatus::kOk) {
      service->revision = reply.object->revision;
      service->assigner.OnWritten(now);
      Log(LogLevel::kInfo, "table_written",
          {{"service", name},
           {"revision", service->revision},
           {"ranges", table.ranges.size()},
           {"moving",
            std::count_if(table.ranges.begin(), table.ranges.end(),
                          [](const auto& it) { return it.moving(); })}});
      if (on_table) {
        on_table(*reply.object);
      }
      Run();
      return;
    }
    Log(LogLevel::kWarning, "table_not_written",
        {{"service", name},
         {"status", static_cast<int>(reply.status)},
         {"error", reply.error}});
    switch (reply.status) {
      case platform::CallStatus::kUnavailable:
        service->assigner.OnWriteFailed(now + kStoreRetryDelay);
        break;
      case platform::CallStatus::kUnknown:
        // The write may have taken effect. The assigner keeps its plan until
        // the table has been read again.
        service->unconfirmed = table;
        service->begun = false;
        service->next_read = now + kStoreRetryDelay / 4;
        break;
      default:
        // Another leader has written the table.
        service->assigner.OnWriteFailed(now + kStoreRetryDelay);
        election_.OnNewerEpochSeen(now);
        if (const auto stored = StoredTable(reply)) {
          CheckEpoch(name, *stored);
        }
        service->begun = false;
        service->next_read = now + kStoreRetryDelay / 4;
    }
    Run();
  };
  service.orders->OnTokensAllocated(table.next_token);
  const auto content = keyspace::EncodeTable(table);
  const TimePoint deadline = state_.loop.Now() + kStoreTimeout;
  if (service.revision == 0) {
    platform_.Create(platform::ObjectKind::kOwnership, name, content, deadline,
                     on_reply);
  } else {
    platform_.Replace(platform::ObjectKind::kOwnership, name, service.revision,
                      content, deadline, on_reply);
  }
}

void KeyAssignment::SendOrder(const std::string& name,
                              Service& service,
                              const keyspace::SendOrder& order) {
  const bool grant = order.kind == keyspace::SendOrder::Kind::kGrant;
  const std::uint64_t epoch = election_.record().epoch.value();
  if (!order.cleared.empty()) {
    Log(LogLevel::kInfo, "keys_moved",
        {{"service", name},
         {"epoch", epoch},
         {"server", order.server.value()},
         {"keys", Describe(order.range)},
         {"token", order.token.value()},
         {"earlier", Describe(order.cleared)}});
  }
  const auto on_reply = [this, name, order, grant, epoch, term = service.term,
                         sent_at = state_.loop.Now()](
                            const platform::OrderReply& reply) {
    Service* service = Find(name, term);
    if (service == nullptr) {
      return;
    }
    state_.metrics.Count(
        "order_replies_total",
        std::string("outcome=\"") + Describe(reply.status) + "\"");
    // Fences are repeated until the server is connected.
    const bool repeated =
        order.fencing && reply.status == platform::OrderStatus::kNotConnected;
    if (!repeated && (!grant || !order.cleared.empty() ||
                      reply.status != platform::OrderStatus::kDone)) {
      Log(LogLevel::kInfo, "order",
          {{"kind", grant ? "grant" : "release"},
           {"fencing", order.fencing},
           {"service", name},
           {"epoch", epoch},
           {"server", order.server.value()},
           {"keys", Describe(order.range)},
           {"token", order.token.value()},
           {"outcome", Describe(reply.status)},
           {"ms", MillisecondsBetween(sent_at, state_.loop.Now())},
           {"error", reply.error}});
    }
    if (reply.status == platform::OrderStatus::kUnknown ||
        reply.status == platform::OrderStatus::kNotConnected ||
        reply.status == platform::OrderStatus::kConnectionRefused) {
      // A fence is answered when the work on its keys has ended.
      if (!order.fencing) {
        state_.reachability.OnFailure(order.server, sent_at);
      }
    } else if (reply.status != platform::OrderStatus::kTokenOutdated) {
      // The connection may have been opened long ago.
      state_.reachability.OnAnswer(order.server, TimePoint{},
                                   state_.loop.Now());
    }
    service->assigner.OnOrderReply(order.order, ToOrderOutcome(reply.status),
                                   reply.handover, state_.loop.Now());
    Run();
  };
  state_.metrics.Count("orders_total", grant           ? "kind=\"grant\""
                                       : order.fencing ? "kind=\"fence\""
                                                       : "kind=\"release\"");
  if (grant) {
    service.orders->Grant(
        order.address,
        {order.server, order.range, order.token, order.lease, order.handover},
        order.deadline, on_reply);
  } else {
    service.orders->Release(order.address, order.server, order.range,
                            order.token, order.deadline, on_reply);
  }
}

}  // namespace gentianreach::entry
