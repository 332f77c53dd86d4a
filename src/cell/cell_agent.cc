#include "gentianreach/cell_agent.h"

#include <utility>

#include "cell/agent_impl.h"

namespace gentianreach {

CellAgent::CellAgent(CellOptions options, std::mt19937_64 random)
    : impl_(std::make_unique<Impl>(std::move(options), random)) {}
CellAgent::CellAgent(CellAgent&&) noexcept = default;
CellAgent& CellAgent::operator=(CellAgent&&) noexcept = default;
CellAgent::~CellAgent() = default;

void CellAgent::Start(TimePoint now) {
  impl_->Start(now);
}

void CellAgent::OnStoreRead(std::uint64_t call_id,
                            const StoreReadResult& result,
                            TimePoint now) {
  impl_->OnStoreRead(call_id, result, now);
}

void CellAgent::OnStoreWrite(std::uint64_t call_id,
                             const StoreWriteResult& result,
                             TimePoint now) {
  impl_->OnStoreWrite(call_id, result, now);
}

void CellAgent::OnPeer(const DaemonId& from,
                       const peer::MessageUnion& message,
                       TimePoint now) {
  impl_->OnPeer(from.value(), message, now);
}

void CellAgent::OnServerReply(std::uint64_t call_id,
                              const ServerReply& reply,
                              TimePoint sent,
                              TimePoint now) {
  impl_->OnServerReply(call_id, reply, sent, now);
}

void CellAgent::OnServerList(std::vector<ListedServer> servers, TimePoint now) {
  impl_->OnServerList(std::move(servers), now);
}

void CellAgent::OnTick(TimePoint now) {
  impl_->OnTick(now);
}

TimePoint CellAgent::NextDeadline() const {
  return impl_->NextDeadline();
}

bool CellAgent::ProposeMove(const ProposedMove& move, TimePoint now) {
  return impl_->AddProposal(move, now);
}

bool CellAgent::ProposeSplit(const ProposedSplit& split, TimePoint now) {
  return impl_->AddProposal(split, now);
}

bool CellAgent::ProposeMerge(const ProposedMerge& merge, TimePoint now) {
  return impl_->AddProposal(merge, now);
}

void CellAgent::Drain(const ServerId& server,
                      bool drain,
                      const std::string& actor,
                      TimePoint now) {
  impl_->Drain({server.value(), drain, actor}, now);
}

bool CellAgent::ConfirmOldMembersGone(const std::string& actor, TimePoint now) {
  return impl_->ConfirmOldMembersGone(actor, now);
}

void CellAgent::Leave(TimePoint now) {
  impl_->Leave(now);
}

void CellAgent::SetTiming(const settings::CellTimingT& timing,
                          TimePoint /*now*/) {
  impl_->SetTiming(timing);
}

void CellAgent::SetServices(std::vector<CellService> services, TimePoint now) {
  impl_->SetServices(std::move(services), now);
}

Outbox CellAgent::TakeOutbox() {
  return impl_->TakeOutbox();
}

KeyRoute CellAgent::Route(const ServiceName& service,
                          KeyHash hash,
                          TimePoint now) const {
  return impl_->Route(service, hash, now);
}

std::shared_ptr<const stored::CellT> CellAgent::Record() const {
  return impl_->record();
}

ObjectVersion CellAgent::RecordVersion() const {
  return impl_->version();
}

bool CellAgent::IsAssigner() const {
  return impl_->IsAssigner();
}

TimePoint CellAgent::PermitDeadline(TimePoint now) const {
  return impl_->PermitDeadline(now);
}

CellStatus CellAgent::Status(TimePoint now) const {
  return impl_->Status(now);
}

}  // namespace gentianreach
