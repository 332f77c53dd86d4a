#include "cell/record.h"

#include <algorithm>
#include <limits>

#include "gentianreach/check.h"

namespace gentianreach::cell {

namespace {

constexpr std::uint64_t kLastPosition =
    std::numeric_limits<std::uint64_t>::max();

void CheckRange(const Record& record, const stored::RangeT& range) {
  GENTIANREACH_CHECK(range.first <= range.last);
  GENTIANREACH_CHECK(range.token < record.next_token);
  GENTIANREACH_CHECK(range.moving_token < record.next_token);
  GENTIANREACH_CHECK(range.moving_to.empty() ||
                     range.moving_token > range.token);
}

void CheckPosition(const stored::RangeT& before, const stored::RangeT& after) {
  GENTIANREACH_CHECK(after.token >= before.token);
  GENTIANREACH_CHECK(after.owner == before.owner || after.token > before.token);
}

}  // namespace

std::optional<Record> ParseRecord(const std::vector<std::uint8_t>& bytes) {
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (!stored::VerifyCellBuffer(verifier)) {
    return std::nullopt;
  }
  Record record;
  stored::GetCell(bytes.data())->UnPackTo(&record);
  return record;
}

std::vector<std::uint8_t> SerializeRecord(const Record& record) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(stored::Cell::Pack(builder, &record));
  const std::uint8_t* const begin = builder.GetBufferPointer();
  return {begin, begin + builder.GetSize()};
}

stored::ServerT* FindServer(const Record& record, const std::string& id) {
  for (const auto& it : record.servers) {
    if (it->id == id) {
      return it.get();
    }
  }
  return nullptr;
}

stored::MemberT* FindMember(const Record& record, const std::string& daemon) {
  for (const auto& it : record.members) {
    if (it->daemon == daemon) {
      return it.get();
    }
  }
  return nullptr;
}

stored::RangeT* FindRange(const Record& record,
                          const std::string& service,
                          KeyHash hash) {
  // Ranges are sorted by service and position.
  const auto it = std::upper_bound(
      record.ranges.begin(), record.ranges.end(), hash.value(),
      [&service](std::uint64_t value, const auto& range) {
        return service != range->service ? service < range->service
                                         : value < range->first;
      });
  if (it == record.ranges.begin() || (*std::prev(it))->service != service) {
    return nullptr;
  }
  return std::prev(it)->get();
}

bool HoldsRanges(const Record& record, const std::string& server) {
  return std::any_of(record.ranges.begin(), record.ranges.end(),
                     [&server](const auto& it) {
                       return it->owner == server || it->moving_to == server;
                     });
}

void CheckRecord(const Record& record) {
  const stored::RangeT* previous = nullptr;
  for (const auto& it : record.ranges) {
    CheckRange(record, *it);
    const bool same = previous != nullptr && previous->service == it->service;
    if (same) {
      GENTIANREACH_CHECK(it->first == previous->last + 1);
    } else {
      GENTIANREACH_CHECK(it->first == 0);
      GENTIANREACH_CHECK(
          previous == nullptr ||
          (previous->last == kLastPosition && previous->service < it->service));
    }
    previous = it.get();
  }
  GENTIANREACH_CHECK(previous == nullptr || previous->last == kLastPosition);
  for (const auto& it : record.servers) {
    GENTIANREACH_CHECK(it->generation < record.next_token);
  }
}

void CheckSuccessor(const Record& before, const Record& after) {
  CheckRecord(after);
  GENTIANREACH_CHECK(after.epoch >= before.epoch);
  GENTIANREACH_CHECK(after.assigner == before.assigner ||
                     after.epoch > before.epoch);
  GENTIANREACH_CHECK(after.view >= before.view);
  GENTIANREACH_CHECK(after.next_token >= before.next_token);
  for (const auto& it : after.servers) {
    const stored::ServerT* const old = FindServer(before, it->id);
    GENTIANREACH_CHECK(old == nullptr || it->generation >= old->generation);
  }
  // Between two adjacent boundaries of either list, each list has a single
  // range, so it is enough to compare at every boundary.
  for (const auto& it : after.ranges) {
    const auto* const old = FindRange(before, it->service, KeyHash(it->first));
    if (old != nullptr) {
      CheckPosition(*old, *it);
    }
  }
  for (const auto& it : before.ranges) {
    const auto* const now = FindRange(after, it->service, KeyHash(it->first));
    if (now != nullptr) {
      CheckPosition(*it, *now);
    }
  }
}

}  // namespace gentianreach::cell
