#include "daemon/cell_driver.h"

#include <utility>

#include "base/log.h"

namespace gentianreach {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStoreTimeout{1000};
constexpr milliseconds kOrderTimeout{300};
constexpr milliseconds kVmPollInterval{2000};

StoreReadResult ToResult(const ObjectRead& read) {
  StoreReadResult result;
  result.version = read.version;
  result.bytes.assign(read.bytes.begin(), read.bytes.end());
  if (read.status == StoreStatus::kOk) {
    result.status = ReadStatus::kFound;
  } else if (read.status == StoreStatus::kAbsent) {
    result.status = ReadStatus::kAbsent;
  }
  return result;
}

StoreWriteResult ToResult(const ObjectWritten& written) {
  StoreWriteResult result;
  result.version = written.version;
  switch (written.status) {
    case StoreStatus::kOk:
      result.status = WriteStatus::kOk;
      break;
    case StoreStatus::kConflict:
      // libsoup may have retransmitted the write, so a conflict does not prove
      // that the first transmission had no effect.
      result.status = WriteStatus::kUnknown;
      break;
    case StoreStatus::kUnavailable:
      result.status = WriteStatus::kFailed;
      break;
    default:
      result.status = WriteStatus::kUnknown;
  }
  return result;
}

std::vector<ListedServer> BackendServersIn(const VmList& list) {
  std::vector<ListedServer> servers;
  for (const Vm& it : list.vms) {
    if (it.role != VmRole::kBackend) {
      continue;
    }
    servers.push_back({ServerId(it.id), it.address, ZoneName(it.zone),
                       ServiceName(it.service), it.leaving});
  }
  return servers;
}

}  // namespace

CellDriver::CellDriver(CellOptions options,
                       std::mt19937_64 random,
                       net::EventLoop& loop,
                       StoreClient& store,
                       PeerNet& net,
                       CellHooks hooks)
    : store_(store),
      net_(net),
      hooks_(std::move(hooks)),
      self_(options.self),
      agent_(std::move(options), random),
      orders_(loop) {}

void CellDriver::Start() {
  agent_.Start(clock_.Now());
  PollVms();
  ProcessOutbox();
}

void CellDriver::OnPeerMessage(const ReceivedFrame& frame) {
  agent_.OnPeer(frame.sender.daemon, frame.message, clock_.Now());
  ProcessOutbox();
}

void CellDriver::SendTo(const DaemonId& member,
                        const peer::MessageUnion& message) {
  const auto record = agent_.Record();
  if (record == nullptr) {
    return;
  }
  for (const auto& it : record->members) {
    if (it->daemon == member.value()) {
      net_.Send(it->peer_address, message);
      return;
    }
  }
}

void CellDriver::SendToAll(const peer::MessageUnion& message) {
  for (const DaemonId& it : OtherMembers()) {
    SendTo(it, message);
  }
}

std::vector<DaemonId> CellDriver::OtherMembers() const {
  std::vector<DaemonId> members;
  const auto record = agent_.Record();
  if (record == nullptr) {
    return members;
  }
  for (const auto& it : record->members) {
    if (it->daemon != self_.value()) {
      members.emplace_back(it->daemon);
    }
  }
  return members;
}

void CellDriver::ProcessOutbox() {
  const Outbox outbox = agent_.TakeOutbox();
  for (const StoreRead& it : outbox.reads) {
    Execute(it);
  }
  for (const StoreWrite& it : outbox.writes) {
    Execute(it);
  }
  for (const PeerSend& it : outbox.sends) {
    // A daemon that is not in the member list has no known address.
    if (it.address.empty()) {
      net_.Reply(it.to, it.message);
    } else {
      net_.Send(it.address, it.message);
    }
  }
  for (const ServerOrder& it : outbox.orders) {
    Execute(it);
  }
  for (const AuditEvent& it : outbox.audit) {
    hooks_.on_audit(it);
  }
  for (const LogEvent& it : outbox.log) {
    LogPairs(LogLevel::kInfo, it.event, it.fields);
  }
  if (agent_.IsAssigner() && !was_assigner_) {
    PollVms();
  }
  was_assigner_ = agent_.IsAssigner();
  hooks_.on_change();
  tick_.Set(agent_.NextDeadline(), [this] { Tick(); });
}

void CellDriver::Tick() {
  agent_.OnTick(clock_.Now());
  ProcessOutbox();
}

void CellDriver::Execute(const StoreRead& read) {
  store_.Read(read.object, clock_.Now() + kStoreTimeout,
              [this, call_id = read.call_id](const ObjectRead& result) {
                agent_.OnStoreRead(call_id, ToResult(result), clock_.Now());
                ProcessOutbox();
              });
}

void CellDriver::Execute(const StoreWrite& write) {
  store_.Write(write.object, write.if_match,
               std::string(write.bytes.begin(), write.bytes.end()),
               clock_.Now() + kStoreTimeout,
               [this, call_id = write.call_id](const ObjectWritten& result) {
                 agent_.OnStoreWrite(call_id, ToResult(result), clock_.Now());
                 ProcessOutbox();
               });
}

void CellDriver::Execute(const ServerOrder& order) {
  const TimePoint sent = clock_.Now();
  orders_.Send(order, sent + kOrderTimeout,
               [this, order, sent](const OrderResult& result) {
                 OnOrderResult(order, sent, result);
               });
}

void CellDriver::OnOrderResult(const ServerOrder& order,
                               TimePoint sent,
                               const OrderResult& result) {
  if (!result.response.has_value()) {
    if (result.refused) {
      hooks_.on_refused(order);
    }
    Log(LogLevel::kDebug, "order_unanswered",
        {{"server", order.server.value()}, {"refused", result.refused}});
    return;
  }
  hooks_.on_response(*result.response, order, sent);
  agent_.OnServerReply(order.call_id, result.response->reply, sent,
                       clock_.Now());
  ProcessOutbox();
}

void CellDriver::PollVms() {
  vm_poll_.Set(clock_.Now() + kVmPollInterval, [this] { PollVms(); });
  // Only the assigner acts on the VM list; the other daemons read the servers
  // from the cell record.
  if (!agent_.IsAssigner()) {
    return;
  }
  store_.ListVms(clock_.Now() + kStoreTimeout, [this](const VmList& list) {
    if (list.status != StoreStatus::kOk) {
      Log(LogLevel::kWarning, "vm_list_unavailable", {{"error", list.error}});
      return;
    }
    agent_.OnServerList(BackendServersIn(list), clock_.Now());
    ProcessOutbox();
  });
}

}  // namespace gentianreach
