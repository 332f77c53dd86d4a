#include "keyspace/ownership_table.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "gentianreach/check.h"

namespace gentianreach::keyspace {
namespace {

using nlohmann::json;

// Digits of a range's first key, which is its name in the JSON object of
// ranges. An object instead of an array keeps patches between two versions of a
// table limited to the ranges that differ. The digits are zero-padded, so that
// names sort like keys.
constexpr int kKeyDigits = 5;

std::string EncodeFirstKey(std::uint32_t first) {
  const std::string digits = std::to_string(first);
  return std::string(kKeyDigits - digits.size(), '0') + digits;
}

json EncodeOwner(const Owner& owner) {
  return {owner.server.value(), owner.incarnation.value(), owner.token.value()};
}

Owner DecodeOwner(const json& it) {
  return {ServerId(it.at(0).get<std::string>()),
          Incarnation(it.at(1).get<std::uint64_t>()),
          Token(it.at(2).get<std::uint64_t>())};
}

OwnedRange DecodeRange(const std::string& name, const json& it) {
  OwnedRange range;
  range.range = {static_cast<std::uint32_t>(std::stoul(name)),
                 it.at(0).get<std::uint32_t>()};
  range.owner = DecodeOwner(it.at(1));
  for (std::size_t i = 2; i < it.size(); ++i) {
    range.earlier.push_back(DecodeOwner(it.at(i)));
  }
  return range;
}

bool CoversAllKeys(const std::vector<OwnedRange>& ranges) {
  std::uint32_t next = 0;
  for (const OwnedRange& it : ranges) {
    if (it.range.first != next || it.range.last < it.range.first) {
      return false;
    }
    next = it.range.last + 1;
  }
  return next == kKeyCount;
}

}  // namespace

const OwnedRange& OwnershipTable::Find(std::uint32_t key) const {
  const auto it = std::upper_bound(
      ranges.begin(), ranges.end(), key,
      [](std::uint32_t k, const OwnedRange& r) { return k < r.range.first; });
  GENTIANREACH_CHECK(it != ranges.begin());
  return *std::prev(it);
}

void OwnershipTable::MergeAdjacentRanges() {
  std::vector<OwnedRange> merged;
  for (OwnedRange& it : ranges) {
    if (!merged.empty() && merged.back().owner == it.owner &&
        !merged.back().moving() && !it.moving()) {
      merged.back().range.last = it.range.last;
      continue;
    }
    merged.push_back(std::move(it));
  }
  ranges = std::move(merged);
}

json EncodeTable(const OwnershipTable& table) {
  json ranges = json::object();
  for (const OwnedRange& it : table.ranges) {
    // Format: last key, owner, earlier owners.
    json range = {it.range.last, EncodeOwner(it.owner)};
    for (const Owner& owner : it.earlier) {
      range.push_back(EncodeOwner(owner));
    }
    ranges[EncodeFirstKey(it.range.first)] = std::move(range);
  }
  return {{"epoch", table.epoch.value()},
          {"nextToken", table.next_token.value()},
          {"ranges", std::move(ranges)}};
}

std::optional<OwnershipTable> DecodeTable(const json& content) {
  try {
    OwnershipTable table;
    table.epoch = Epoch(content.at("epoch").get<std::uint64_t>());
    table.next_token = Token(content.at("nextToken").get<std::uint64_t>());
    for (const auto& [name, it] : content.at("ranges").items()) {
      table.ranges.push_back(DecodeRange(name, it));
    }
    if (!CoversAllKeys(table.ranges)) {
      return std::nullopt;
    }
    return table;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace gentianreach::keyspace
