// The links between the daemons of the fleet.
#include "soak/fleet.h"

#include <algorithm>
#include <string>

#include "soak/link_cuts.h"

namespace gentianreach::soak {
namespace {

// Last octet of the first address at which daemons reach each other. Those of
// the daemons' own addresses are lower.
constexpr std::size_t kFirstAdvertisedHost = 128;
constexpr const char* kMemberPort = ":7002";
constexpr const char* kForwardPort = ":7004";

}  // namespace

void Fleet::StartLinkProxies() {
  datagram_proxy_ = std::make_unique<DatagramProxy>(loop_);
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    DaemonSlot& slot = daemons_[i];
    slot.advertised_ip = block_ + std::to_string(kFirstAdvertisedHost + i);
    slot.member_proxy = MakeProxyAt(slot.advertised_ip + kMemberPort);
    slot.member_proxy->SetTarget(slot.ip + kMemberPort);
    slot.forward_proxy = MakeProxyAt(slot.advertised_ip + kForwardPort);
    slot.forward_proxy->SetTarget(slot.ip + kForwardPort);
    if (!datagram_proxy_->Add(slot.advertised_ip + kMemberPort,
                              slot.ip + kMemberPort)) {
      events_.on_failure("cannot receive datagrams for " + slot.name);
    }
  }
}

void Fleet::BeginLinkCuts(const Fault& fault) {
  if (!fault.around_leader) {
    CutLinks(fault.links);
    return;
  }
  leader_cut_ = fault;
  store_->WriteLine("leader");
}

void Fleet::OnLeader(const std::string& name) {
  if (!leader_cut_) {
    return;
  }
  const auto leader = std::ranges::find(daemons_, name, &DaemonSlot::name);
  CutLinks(leader == daemons_.end()
               ? leader_cut_->links
               : LinksOf(*leader_cut_,
                         static_cast<std::size_t>(leader - daemons_.begin())));
  leader_cut_.reset();
}

void Fleet::CutLinks(const std::vector<LinkCut>& links) {
  links_cut_ = links;
  for (const LinkCut& it : links_cut_) {
    SetLinkCut(it, true);
  }
}

void Fleet::EndLinkCuts() {
  leader_cut_.reset();
  for (const LinkCut& it : links_cut_) {
    SetLinkCut(it, false);
  }
  links_cut_.clear();
}

void Fleet::SetLinkCut(const LinkCut& link, bool cut) {
  const auto set = [&](ClientCut forwards, ClientCut backwards) {
    CutConnections(link.from, link.to, cut ? forwards : ClientCut::kNone);
    CutConnections(link.to, link.from, cut ? backwards : ClientCut::kNone);
  };
  const std::string& from = daemons_[link.from].ip;
  const std::string& to = daemons_[link.to].ip;
  datagram_proxy_->SetCut(from, to, cut);
  switch (link.kind) {
    case LinkCutKind::kDatagrams:
      datagram_proxy_->SetCut(to, from, cut);
      break;
    case LinkCutKind::kSilent:
      datagram_proxy_->SetCut(to, from, cut);
      set(ClientCut::kSilent, ClientCut::kSilent);
      break;
    case LinkCutKind::kReset:
      datagram_proxy_->SetCut(to, from, cut);
      set(ClientCut::kReset, ClientCut::kReset);
      break;
    case LinkCutKind::kOneWay:
      set(ClientCut::kOnlyToClients, ClientCut::kOnlyToTarget);
      break;
  }
}

void Fleet::CutConnections(std::size_t from, std::size_t to, ClientCut cut) {
  for (ChaosProxy* it :
       {daemons_[to].member_proxy.get(), daemons_[to].forward_proxy.get()}) {
    it->SetClientCut(daemons_[from].ip, cut);
  }
}

}  // namespace gentianreach::soak
