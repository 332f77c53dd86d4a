#include "server/order_codec.h"

#include <array>
#include <charconv>

#include <nlohmann/json.hpp>

#include "base/json_text.h"

namespace gentianreach {
namespace {

using Json = nlohmann::json;

constexpr std::array<const char*, 4> kKindNames = {"probe", "renew", "grant",
                                                   "release"};

std::int64_t ToMillis(ServerTime time) {
  return time.time_since_epoch().count();
}

ServerTime ToServerTime(const Json& json, const char* key) {
  return ServerTime(
      std::chrono::milliseconds(json.value(key, std::int64_t{0})));
}

// Positions are encoded as strings, since many JSON implementations cannot
// represent all 64-bit integers as numbers.
KeyHash ToHash(const std::string& text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc{} || result.ptr != end) {
    throw Json::other_error::create(0, "invalid position: " + text, nullptr);
  }
  return KeyHash(value);
}

OrderKind ToKind(const std::string& name) {
  for (std::size_t i = 0; i < kKindNames.size(); ++i) {
    if (name == kKindNames.at(i)) {
      return static_cast<OrderKind>(i);
    }
  }
  throw Json::other_error::create(0, "unknown order kind: " + name, nullptr);
}

Json ToJson(const GrantedRange& grant) {
  return {{"first", std::to_string(grant.range.first.value())},
          {"last", std::to_string(grant.range.last.value())},
          {"token", grant.token.value()}};
}

ServerOrder ToOrder(const Json& json) {
  ServerOrder order;
  order.kind = ToKind(json.at("kind").get<std::string>());
  order.issuer = DaemonId(json.value("giver", ""));
  order.epoch = Epoch(json.value("epoch", 0ULL));
  order.incarnation = Incarnation(json.value("incarnation", 0ULL));
  order.generation = LeaseGeneration(json.value("generation", 0ULL));
  order.deadline = ToServerTime(json, "deadline_ms");
  order.until = ToServerTime(json, "until_ms");
  order.service = ServiceName(json.value("service", ""));
  for (const Json& it : json.value("grants", Json::array())) {
    order.grants.push_back({{ToHash(it.at("first").get<std::string>()),
                             ToHash(it.at("last").get<std::string>())},
                            Token(it.at("token").get<std::uint64_t>())});
  }
  return order;
}

ServerResponse ToServerResponse(const Json& json) {
  ServerResponse response;
  ServerReply& reply = response.reply;
  reply.ok = json.at("ok").get<bool>();
  reply.reason = json.value("reason", "");
  reply.server = ServerId(json.value("server", ""));
  reply.incarnation = Incarnation(json.at("incarnation").get<std::uint64_t>());
  reply.clock = ToServerTime(json, "clock_ms");
  reply.generation = LeaseGeneration(json.value("generation", 0ULL));
  reply.lease_until = ToServerTime(json, "lease_until_ms");
  reply.grants = json.value("grants", std::uint64_t{0});
  reply.released = json.value("released", false);
  reply.draining = json.value("draining", false);
  response.load.slots = json.value("slots", 1U);
  response.load.in_flight = json.value("in_flight", 0U);
  response.load.queued = json.value("queued", 0U);
  response.load.service_time =
      std::chrono::milliseconds(json.value("service_ms", 0));
  return response;
}

// Returns the result of `convert` on the parsed text, or std::nullopt if the
// text is not JSON of the expected structure.
template <typename T>
std::optional<T> Decode(const std::string& text, T (*convert)(const Json&)) {
  try {
    return convert(Json::parse(text));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string EncodeOrder(const ServerOrder& order) {
  Json grants = Json::array();
  for (const GrantedRange& it : order.grants) {
    grants.push_back(ToJson(it));
  }
  const Json json = {
      {"kind", kKindNames.at(static_cast<std::size_t>(order.kind))},
      {"giver", order.issuer.value()},
      {"epoch", order.epoch.value()},
      {"incarnation", order.incarnation.value()},
      {"generation", order.generation.value()},
      {"deadline_ms", ToMillis(order.deadline)},
      {"until_ms", ToMillis(order.until)},
      {"service", order.service.value()},
      {"grants", std::move(grants)}};
  return ToJsonText(json);
}

std::optional<ServerOrder> DecodeOrder(const std::string& text) {
  return Decode(text, &ToOrder);
}

std::string EncodeResponse(const ServerResponse& response) {
  const ServerReply& reply = response.reply;
  const Json json = {
      {"ok", reply.ok},
      {"reason", reply.reason},
      {"server", reply.server.value()},
      {"incarnation", reply.incarnation.value()},
      {"clock_ms", ToMillis(reply.clock)},
      {"generation", reply.generation.value()},
      {"lease_until_ms", ToMillis(reply.lease_until)},
      {"grants", reply.grants},
      {"released", reply.released},
      {"draining", reply.draining},
      {"slots", response.load.slots},
      {"in_flight", response.load.in_flight},
      {"queued", response.load.queued},
      {"service_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                         response.load.service_time)
                         .count()}};
  return ToJsonText(json);
}

std::optional<ServerResponse> DecodeResponse(const std::string& text) {
  return Decode(text, &ToServerResponse);
}

}  // namespace gentianreach
