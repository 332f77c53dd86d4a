#include "daemon/operator_api.h"

#include <algorithm>
#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/json_text.h"

namespace gentianreach {
namespace {

using Json = nlohmann::json;

constexpr int kLatencyBins = 100;
constexpr double kLowestMs = 0.05;
constexpr double kHighestMs = 60000;
constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.99, 0.999};

OperatorResponse JsonResponse(const Json& json, guint status = SOUP_STATUS_OK) {
  return {status, "application/json", ToJsonText(json) + "\n"};
}

OperatorResponse ErrorResponse(guint status, const std::string& message) {
  return JsonResponse({{"error", message}}, status);
}

std::int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

OperatorResponse Health(const OperatorView& view) {
  const bool ready = view.ready && !view.stopping;
  return JsonResponse({{"ready", ready}},
                      ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE);
}

OperatorResponse Status(const OperatorView& view) {
  const CellStatus& status = view.status;
  Json members = Json::object();
  for (const auto& [member, version] : view.settings_members) {
    members[member.value()] = version;
  }
  return JsonResponse(
      {{"daemon", view.daemon},
       {"zone", view.zone},
       {"cell", view.cell},
       {"stopping", view.stopping},
       {"settings_version", view.settings_version},
       {"settings_standing", view.settings_sync_status},
       {"settings_members", members},
       {"record_version", status.record.value()},
       {"epoch", status.epoch.value()},
       {"view", status.view.value()},
       {"assigner", status.assigner.value()},
       {"is_member", status.is_member},
       {"is_assigner", status.is_assigner},
       {"permit_left_ms", Millis(view.permit_left)},
       {"view_settled", status.view_settled},
       {"members_heard", status.members_heard},
       {"servers_reachable", status.servers_reachable},
       {"ranges_without_owner", status.ranges_without_live_owner},
       {"in_flight", view.in_flight},
       {"caller_connections", view.caller_connections},
       {"peer_frames_in", view.peers.frames_in},
       {"peer_frames_out", view.peers.frames_out},
       {"peer_garbage", view.peers.invalid_frames},
       {"peer_other_cell", view.peers.other_cell_frames}});
}

std::string NameOf(RouteState state) {
  switch (state) {
    case RouteState::kServe:
      return "serve";
    case RouteState::kHold:
      return "hold";
    case RouteState::kNone:
      return "none";
    case RouteState::kCutOff:
      return "cut-off";
  }
  return "unknown";
}

OperatorResponse Owner(const OperatorView& view,
                       const OperatorRequest& request) {
  const ServiceName service(request.Query("service"));
  if (service.empty() || !request.query.contains("key")) {
    return ErrorResponse(SOUP_STATUS_BAD_REQUEST, "service and key are needed");
  }
  const KeyHash hash = HashKey(service, request.Query("key"));
  const KeyRoute route = view.route(service, hash);
  return JsonResponse({{"service", service.value()},
                       {"key", request.Query("key")},
                       {"hash", std::to_string(hash.value())},
                       {"state", NameOf(route.state)},
                       {"server", route.server.value()},
                       {"address", route.address},
                       {"token", route.token.value()},
                       {"generation", route.generation.value()},
                       {"first", std::to_string(route.range.first.value())},
                       {"last", std::to_string(route.range.last.value())}});
}

OperatorResponse Servers(const OperatorView& view) {
  Json list = Json::array();
  if (view.record == nullptr) {
    return JsonResponse({{"servers", list}});
  }
  std::map<std::string, std::pair<std::uint64_t, double>> held;
  for (const auto& it : view.record->ranges) {
    auto& [ranges, share] = held[it->owner];
    ++ranges;
    share += HashRange{KeyHash(it->first), KeyHash(it->last)}.Share();
  }
  for (const auto& it : view.record->servers) {
    const auto& [ranges, share] = held[it->id];
    list.push_back({{"server", it->id},
                    {"service", it->service},
                    {"zone", it->zone},
                    {"address", it->address},
                    {"state", stored::EnumNameServerState(it->state)},
                    {"generation", it->generation},
                    {"ranges", ranges},
                    {"share", share}});
  }
  return JsonResponse({{"servers", list}});
}

Json ToJson(const proxy::RequestRecord& record) {
  return {{"id", record.id},
          {"method", record.method},
          {"target", record.target},
          {"route", record.route},
          {"service", record.service.value()},
          {"server", record.server.value()},
          {"token", record.token.value()},
          {"attempts", record.attempts},
          {"sent", record.sent},
          {"verdict", ToString(record.verdict.outcome())},
          {"reason", ToString(record.verdict.reason())},
          {"status", record.status},
          {"ms", Millis(record.finished - record.started)}};
}

OperatorResponse Explain(const OperatorView& view,
                         const OperatorRequest& request) {
  const std::string id = request.Query("id");
  const std::string service = request.Query("service");
  if (id.empty()) {
    return ErrorResponse(SOUP_STATUS_BAD_REQUEST, "id is needed");
  }
  const auto found = service.empty() ? view.requests->FindId(id)
                                     : view.requests->FindKey(
                                           ServiceName(service),
                                           HashKey(ServiceName(service), id));
  Json list = Json::array();
  for (const proxy::RequestRecord& it : found) {
    list.push_back(ToJson(it));
  }
  return JsonResponse({{"requests", list}});
}

OperatorResponse ListQuarantine(const OperatorView& view) {
  Json list = Json::array();
  for (const QuarantineEntry& it : view.quarantine) {
    Json servers = Json::array();
    for (const auto& [server, incarnation] : it.servers) {
      servers.push_back(
          {{"server", server.value()}, {"incarnation", incarnation.value()}});
    }
    list.push_back({{"fingerprint", std::to_string(it.fingerprint.value)},
                    {"refused", it.refused},
                    {"servers", servers}});
  }
  return JsonResponse({{"quarantine", list}});
}

std::string DaemonMetrics(const OperatorView& view) {
  const auto line = [](const char* name, auto value) {
    return std::string("gentianreach_") + name + " " + std::to_string(value) +
           "\n";
  };
  return line("record_version", view.status.record.value()) +
         line("epoch", view.status.epoch.value()) +
         line("settings_version", view.settings_version) +
         line("permit_left_ms", Millis(view.permit_left)) +
         line("in_flight", view.in_flight) +
         line("caller_connections", view.caller_connections) +
         line("ranges_without_owner", view.status.ranges_without_live_owner) +
         line("peer_frames_out_total", view.peers.frames_out) +
         line("peer_bytes_out_total", view.peers.bytes_out) +
         line("peer_garbage_total", view.peers.invalid_frames);
}

}  // namespace

RequestMetrics::RequestMetrics()
    : milliseconds_(boost::histogram::make_histogram(
          Axis(kLatencyBins, kLowestMs, kHighestMs))) {}

void RequestMetrics::Add(const proxy::RequestRecord& record) {
  using Millis = std::chrono::duration<double, std::milli>;
  milliseconds_(Millis(record.finished - record.started).count());
  ++finished_[{record.service.value(),
               std::string(ToString(record.verdict.outcome())),
               std::string(ToString(record.verdict.reason()))}];
  attempts_ += record.attempts;
}

std::string RequestMetrics::ToText() const {
  std::string text;
  double total = 0;
  for (const double it : milliseconds_) {
    total += it;
  }
  for (const double quantile : kQuantiles) {
    double below = 0;
    double value = 0;
    for (auto&& it : boost::histogram::indexed(milliseconds_)) {
      below += *it;
      value = it.bin().upper();
      if (below >= quantile * total) {
        break;
      }
    }
    text.append("gentianreach_request_ms{quantile=\"")
        .append(std::to_string(quantile))
        .append("\"} ")
        .append(std::to_string(value))
        .append("\n");
  }
  for (const auto& [key, count] : finished_) {
    const auto& [service, outcome, reason] = key;
    text.append("gentianreach_requests_total{service=\"")
        .append(service)
        .append("\",verdict=\"")
        .append(outcome)
        .append("\",reason=\"")
        .append(reason)
        .append("\"} ")
        .append(std::to_string(count))
        .append("\n");
  }
  return text + "gentianreach_attempts_total " + std::to_string(attempts_) +
         "\n";
}

void RegisterOperatorQueries(OperatorServer& server,
                             const std::function<OperatorView()>& view) {
  server.Handle("GET", "/healthz",
                [view](const OperatorRequest&) { return Health(view()); });
  server.Handle("GET", "/status",
                [view](const OperatorRequest&) { return Status(view()); });
  server.Handle("GET", "/owners", [view](const OperatorRequest& request) {
    return Owner(view(), request);
  });
  server.Handle("GET", "/servers",
                [view](const OperatorRequest&) { return Servers(view()); });
  server.Handle("GET", "/explain", [view](const OperatorRequest& request) {
    return Explain(view(), request);
  });
  server.Handle("GET", "/quarantine", [view](const OperatorRequest&) {
    return ListQuarantine(view());
  });
  server.Handle("GET", "/settings", [view](const OperatorRequest&) {
    const OperatorView now = view();
    return JsonResponse(
        {{"version", now.settings_version}, {"text", now.settings_text}});
  });
  server.Handle("GET", "/metrics", [view](const OperatorRequest&) {
    const OperatorView now = view();
    return OperatorResponse{SOUP_STATUS_OK, "text/plain; version=0.0.4",
                            DaemonMetrics(now) + now.metrics->ToText()};
  });
}

OperatorResponse HandleLift(const OperatorRequest& request,
                            const std::function<bool(Fingerprint)>& lift) {
  const Json json = Json::parse(request.body, nullptr, false);
  if (!json.is_object() || !json.contains("fingerprint") ||
      !json["fingerprint"].is_string()) {
    return ErrorResponse(SOUP_STATUS_BAD_REQUEST,
                         "expected {\"fingerprint\": \"NUMBER\"}");
  }
  const std::string text = json["fingerprint"];
  const Fingerprint fingerprint{g_ascii_strtoull(text.c_str(), nullptr, 10)};
  if (!lift(fingerprint)) {
    return ErrorResponse(SOUP_STATUS_NOT_FOUND, "no such fingerprint: " + text);
  }
  return JsonResponse({{"ok", true}});
}

OperatorResponse HandleDrain(
    const OperatorRequest& request,
    const std::function<bool(const std::string&, bool, const std::string&)>&
        drain) {
  const Json json = Json::parse(request.body, nullptr, false);
  if (!json.is_object() || !json.contains("server") ||
      !json["server"].is_string() || !json.contains("drain") ||
      !json["drain"].is_boolean() ||
      (json.contains("actor") && !json["actor"].is_string())) {
    return ErrorResponse(SOUP_STATUS_BAD_REQUEST,
                         "expected {\"server\": NAME, \"drain\": true or "
                         "false} and optionally \"actor\": NAME");
  }
  const std::string server = json["server"];
  if (!drain(server, json["drain"], json.value("actor", "operator"))) {
    return ErrorResponse(SOUP_STATUS_NOT_FOUND, "no such server: " + server);
  }
  return JsonResponse({{"ok", true}}, SOUP_STATUS_ACCEPTED);
}

}  // namespace gentianreach
