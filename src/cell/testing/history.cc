#include "cell/testing/history.h"

#include <utility>

#include "cell/record.h"

namespace gentianreach::testing {

History::History(FakeCluster& cluster) : cluster_(cluster) {
  cluster.on_write = [this](const stored::CellT& record,
                            std::uint64_t version) {
    OnWrite(record, version);
  };
}

bool History::good() const {
  return problem_.empty() && cluster_.violations == 0;
}

std::string History::problem() const {
  return cluster_.violations > 0 ? "two owners" : problem_;
}

void History::OnWrite(const stored::CellT& record, std::uint64_t version) {
  const auto [it, fresh] =
      assigner_of_epoch_.emplace(record.epoch, record.assigner);
  if (!fresh && it->second != record.assigner) {
    problem_ = "epoch has two assigners";
  }
  if (!written_.empty()) {
    const stored::CellT& before = written_.rbegin()->second;
    for (const auto& range : record.ranges) {
      const auto* const old =
          cell::FindRange(before, range->service, KeyHash(range->first));
      if (old == nullptr) {
        continue;
      }
      if (range->token < old->token) {
        problem_ = "token decreased";
      }
      if (range->owner != old->owner && range->token == old->token) {
        problem_ = "owner changed without a new token";
      }
    }
    if (record.epoch < before.epoch) {
      problem_ = "epoch decreased";
    }
  }
  written_[version] = record;
}

void History::CheckAudit() {
  for (const auto& it : cluster_.audit) {
    const auto written = written_.find(it.version.value());
    if (written == written_.end()) {
      problem_ =
          "audit event without a written record: " + it.what + " " + it.object;
      return;
    }
    if (it.what != "owner") {
      continue;
    }
    const auto slash = it.object.find('/');
    const auto* const range =
        cell::FindRange(written->second, it.object.substr(0, slash),
                        KeyHash(std::stoull(it.object.substr(slash + 1))));
    if (range == nullptr || range->owner != it.to) {
      problem_ = "audited owner differs from the record: " + it.object;
    }
  }
}

}  // namespace gentianreach::testing
