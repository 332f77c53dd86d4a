#include "entry/server_reachability.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

// Number of servers whose failure raises a suspicion, if there are as many.
constexpr std::size_t kSuspiciousFailures = 3;
// Number of servers that are probed to confirm a suspicion.
constexpr std::size_t kConfirmingProbes = 5;
// Number of servers that are probed at a time while the path is lost.
constexpr std::size_t kRecoveryProbes = 2;
// Shortest time from a refuted suspicion to the next one.
constexpr Duration kSuspicionPause = std::chrono::seconds(1);
// Shortest time between two rounds of probes while the path is lost.
constexpr Duration kRecoveryPeriod = milliseconds(250);

}  // namespace

std::string_view ToString(ServerPath path) {
  switch (path) {
    case ServerPath::kOpen:
      return "open";
    case ServerPath::kSuspected:
      return "suspected";
    case ServerPath::kLost:
      return "lost";
  }
  return "unknown";
}

void ServerReachability::OnSent(TimePoint due) {
  answer_due_ = std::min(answer_due_.value_or(due), due);
}

void ServerReachability::OnAnswer(const ServerId& server,
                                  TimePoint opened_at,
                                  TimePoint now) {
  last_answer_ = now;
  answer_due_.reset();
  records_[server].answered_at = now;
  std::erase_if(failed_connections_,
                [&](const auto& it) { return it.second <= opened_at; });
}

void ServerReachability::OnFailure(const ServerId& server,
                                   TimePoint opened_at) {
  TimePoint& failed = failed_connections_[server];
  failed = std::max(failed, opened_at);
}

void ServerReachability::Forget(const ServerId& server) {
  records_.erase(server);
  failed_connections_.erase(server);
}

bool ServerReachability::IsSuspicious(const Servers& servers,
                                      TimePoint now,
                                      const Filter& may_probe) const {
  if (answer_due_ && now >= *answer_due_) {
    return true;
  }
  const auto failed =
      std::ranges::count_if(failed_connections_, [&](const auto& it) {
        const auto server = servers.find(it.first);
        return server != servers.end() && may_probe(server->second);
      });
  if (failed == 0 || std::cmp_greater_equal(failed, kSuspiciousFailures)) {
    return failed > 0;
  }
  return failed >= std::ranges::count_if(servers, [&](const auto& it) {
           return may_probe(it.second);
         });
}

template <typename Order>
std::vector<ServerId> ServerReachability::Pick(const Servers& servers,
                                               std::size_t n,
                                               const Filter& may_probe,
                                               Order order) const {
  struct Candidate {
    ServerId id;
    Record record;
  };
  std::vector<Candidate> candidates;
  for (const auto& [id, it] : servers) {
    if (!may_probe(it)) {
      continue;
    }
    const auto found = records_.find(id);
    candidates.push_back(
        {id, found == records_.end() ? Record{} : found->second});
  }
  std::ranges::stable_sort(candidates,
                           [&](const Candidate& a, const Candidate& b) {
                             return order(a.record, b.record);
                           });
  candidates.resize(std::min(n, candidates.size()));
  std::vector<ServerId> picked;
  std::ranges::transform(candidates, std::back_inserter(picked),
                         &Candidate::id);
  return picked;
}

std::vector<ServerId> ServerReachability::TakeProbes(const Servers& servers,
                                                     TimePoint now,
                                                     const Filter& may_probe) {
  if (pending_probes_ > 0 || now < next_probes_) {
    return {};
  }
  std::vector<ServerId> probes;
  if (path_ == ServerPath::kLost) {
    probes = Pick(servers, kRecoveryProbes, may_probe,
                  [](const Record& a, const Record& b) {
                    return a.probed_at < b.probed_at;
                  });
    next_probes_ = now + kRecoveryPeriod;
  } else if (IsSuspicious(servers, now, may_probe)) {
    probes = Pick(servers, kConfirmingProbes, may_probe,
                  [](const Record& a, const Record& b) {
                    return a.answered_at > b.answered_at;
                  });
    if (!probes.empty()) {
      path_ = ServerPath::kSuspected;
    }
  }
  for (const ServerId& it : probes) {
    records_[it].probed_at = now;
  }
  pending_probes_ = probes.size();
  return probes;
}

void ServerReachability::OnProbeEnd(const ServerId& server,
                                    bool answered,
                                    TimePoint now) {
  pending_probes_ -= pending_probes_ > 0 ? 1 : 0;
  if (answered) {
    records_[server].answered_at = now;
    last_answer_ = now;
    Reopen(now);
    return;
  }
  if (path_ == ServerPath::kSuspected && pending_probes_ == 0) {
    path_ = ServerPath::kLost;
    next_probes_ = now + kRecoveryPeriod;
  }
}

void ServerReachability::Reopen(TimePoint now) {
  if (path_ == ServerPath::kOpen) {
    return;
  }
  if (lost()) {
    loss_ended_at_ = now;
  }
  path_ = ServerPath::kOpen;
  answer_due_.reset();
  next_probes_ = now + kSuspicionPause;
  failed_connections_.clear();
}

}  // namespace gentianreach::entry
