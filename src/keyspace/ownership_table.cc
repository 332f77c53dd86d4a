#include "keyspace/ownership_table.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "gentianreach/check.h"

namespace gentianreach::keyspace {
namespace {

using nlohmann::json;

// Servers stand once in a list; ranges name them by their place there.
class ServerList {
 public:
  std::size_t Place(const Owner& owner) {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (owner.IsLife(entries_[i].server, entries_[i].incarnation)) {
        return i;
      }
    }
    entries_.push_back(owner);
    return entries_.size() - 1;
  }
  [[nodiscard]] json Encode() const {
    json list = json::array();
    for (const Owner& it : entries_) {
      list.push_back({it.server.value(), it.incarnation.value()});
    }
    return list;
  }

 private:
  std::vector<Owner> entries_;
};

Owner DecodeOwner(const json& servers, const json& place, const json& token) {
  const json& it = servers.at(place.get<std::size_t>());
  return {ServerId(it.at(0).get<std::string>()),
          Incarnation(it.at(1).get<std::uint64_t>()),
          Token(token.get<std::uint64_t>())};
}

OwnedRange DecodeRange(const json& servers, const json& it) {
  OwnedRange range;
  range.range = {it.at(0).get<std::uint32_t>(), it.at(1).get<std::uint32_t>()};
  range.owner = DecodeOwner(servers, it.at(2), it.at(3));
  if (it.size() > 4) {
    for (const json& earlier : it.at(4)) {
      range.earlier.push_back(
          DecodeOwner(servers, earlier.at(0), earlier.at(1)));
    }
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

void OwnershipTable::JoinNeighbours() {
  std::vector<OwnedRange> joined;
  for (OwnedRange& it : ranges) {
    if (!joined.empty() && joined.back().owner == it.owner &&
        !joined.back().moving() && !it.moving()) {
      joined.back().range.last = it.range.last;
      continue;
    }
    joined.push_back(std::move(it));
  }
  ranges = std::move(joined);
}

json EncodeTable(const OwnershipTable& table) {
  ServerList servers;
  json ranges = json::array();
  for (const OwnedRange& it : table.ranges) {
    json range = {it.range.first, it.range.last, servers.Place(it.owner),
                  it.owner.token.value()};
    if (it.moving()) {
      json earlier = json::array();
      for (const Owner& owner : it.earlier) {
        earlier.push_back({servers.Place(owner), owner.token.value()});
      }
      range.push_back(std::move(earlier));
    }
    ranges.push_back(std::move(range));
  }
  return {{"epoch", table.epoch.value()},
          {"nextToken", table.next_token.value()},
          {"servers", servers.Encode()},
          {"ranges", std::move(ranges)}};
}

std::optional<OwnershipTable> DecodeTable(const json& content) {
  try {
    OwnershipTable table;
    table.epoch = Epoch(content.at("epoch").get<std::uint64_t>());
    table.next_token = Token(content.at("nextToken").get<std::uint64_t>());
    const json& servers = content.at("servers");
    for (const json& it : content.at("ranges")) {
      table.ranges.push_back(DecodeRange(servers, it));
    }
    if (!CoversAllKeys(table.ranges)) {
      return std::nullopt;
    }
    return table;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace gentianreach::keyspace
