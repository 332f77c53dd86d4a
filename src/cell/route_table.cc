#include "cell/route_table.h"

namespace gentianreach::cell {

void RouteTable::SetRecord(std::shared_ptr<const Record> record) {
  record_ = std::move(record);
  servers_.clear();
  for (const auto& it : record_->servers) {
    servers_[it->id] = it.get();
  }
}

const stored::ServerT* RouteTable::Server(const std::string& id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? nullptr : it->second;
}

KeyRoute RouteTable::Find(const ServiceName& service, KeyHash hash) const {
  KeyRoute route;
  const stored::RangeT* const range =
      record_ ? FindRange(*record_, service.value(), hash) : nullptr;
  if (range == nullptr) {
    return route;
  }
  route.range = {KeyHash(range->first), KeyHash(range->last)};
  route.state = RouteState::kHold;
  const bool moving = !range->moving_to.empty();
  if (moving && !completed_moves_.contains(range->moving_token)) {
    return route;
  }
  const auto* const server = Server(moving ? range->moving_to : range->owner);
  if (server == nullptr || server->generation == 0 ||
      server->state == stored::ServerState::Fenced) {
    return route;
  }
  route.state = RouteState::kServe;
  route.server = ServerId(server->id);
  route.address = server->address;
  route.token = Token(moving ? range->moving_token : range->token);
  route.generation = LeaseGeneration(server->generation);
  route.incarnation = Incarnation(server->incarnation);
  return route;
}

}  // namespace gentianreach::cell
