#include "proxy/route_table.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <chrono>
#include <utility>

namespace gentianreach::proxy {
namespace {

std::string ToLower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return out;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> out;
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    const std::string_view item = Trim(text.substr(0, comma));
    text.remove_prefix(std::min(comma + 1, text.size()));
    if (item.empty()) {
      continue;
    }
    out.emplace_back(item);
  }
  return out;
}

std::string_view WithoutPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  // An IPv6 literal without a port ends in a bracket and contains colons.
  if (colon == std::string_view::npos || host.ends_with(']')) {
    return host;
  }
  return host.substr(0, colon);
}

bool PrefixMatches(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return prefix.empty() || prefix.back() == '/' ||
         path.size() == prefix.size() || path[prefix.size()] == '/';
}

ServiceInfo ToInfo(const settings::NamedServiceT& it) {
  return {.name = ServiceName(it.name),
          .keyed = it.settings->kind == settings::ServiceKind::Keyed,
          .slots = it.settings->slots,
          .connections = it.settings->connections,
          .retry_budget = it.settings->retry_budget};
}

RouteRule ToRule(const settings::NamedRouteT& it, ServiceInfo service) {
  const settings::RouteT& route = *it.settings;
  return {.name = it.name,
          .service = std::move(service),
          .host = ToLower(route.host),
          .path_prefix = route.path_prefix,
          .methods = SplitList(route.methods),
          .key_source = route.key_source,
          .key_name = route.key_name,
          .key_segment = route.key_segment,
          .idempotent = route.idempotent,
          .priority = route.priority,
          .default_timeout = std::chrono::milliseconds(route.deadline),
          .max_timeout = std::chrono::milliseconds(route.max_deadline),
          .max_body = route.max_body};
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::optional<std::string> PathSegment(std::string_view path,
                                       std::uint32_t index) {
  std::size_t at = 0;
  while (at < path.size() && path[at] == '/') {
    const std::size_t end = std::min(path.find('/', at + 1), path.size());
    if (index == 0) {
      return PercentDecode(path.substr(at + 1, end - at - 1));
    }
    --index;
    at = end;
  }
  return std::nullopt;
}

std::optional<std::string> QueryField(std::string_view target,
                                      std::string_view name) {
  const std::size_t mark = target.find('?');
  if (mark == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view query = target.substr(mark + 1);
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (PercentDecode(pair.substr(0, equals)) != name) {
      continue;
    }
    std::string value(pair.substr(std::min(equals + 1, pair.size())));
    std::replace(value.begin(), value.end(), '+', ' ');
    return PercentDecode(value);
  }
  return std::nullopt;
}

}  // namespace

RouteTable::RouteTable(const Routes& routes, const Services& services) {
  std::unordered_map<std::string, ServiceInfo> by_name;
  for (const auto& it : services) {
    by_name.emplace(it->name, ToInfo(*it));
  }
  for (const auto& it : routes) {
    const auto service = by_name.find(it->settings->service);
    if (service == by_name.end()) {
      continue;
    }
    RouteRule rule = ToRule(*it, service->second);
    rules_by_host_[rule.host].push_back(std::move(rule));
  }
  for (auto& [host, rules] : rules_by_host_) {
    std::stable_sort(
        rules.begin(), rules.end(), [](const RouteRule& a, const RouteRule& b) {
          return std::pair(a.path_prefix.size(), !a.methods.empty()) >
                 std::pair(b.path_prefix.size(), !b.methods.empty());
        });
  }
}

const RouteRule* RouteTable::Match(std::string_view method,
                                   std::string_view host,
                                   std::string_view target) const {
  const std::string_view path = PathOf(target);
  const auto named = rules_by_host_.find(ToLower(WithoutPort(host)));
  if (named != rules_by_host_.end()) {
    if (const RouteRule* rule = MatchAmong(named->second, method, path)) {
      return rule;
    }
  }
  const auto any = rules_by_host_.find(std::string());
  return any == rules_by_host_.end() ? nullptr
                                     : MatchAmong(any->second, method, path);
}

const RouteRule* RouteTable::MatchAmong(const std::vector<RouteRule>& rules,
                                        std::string_view method,
                                        std::string_view path) const {
  for (const auto& it : rules) {
    if (!PrefixMatches(it.path_prefix, path)) {
      continue;
    }
    if (it.methods.empty() || std::find(it.methods.begin(), it.methods.end(),
                                        method) != it.methods.end()) {
      return &it;
    }
  }
  return nullptr;
}

std::optional<std::string> KeyFromTarget(const RouteRule& rule,
                                         std::string_view target) {
  switch (rule.key_source) {
    case settings::KeySource::PathSegment:
      return PathSegment(PathOf(target), rule.key_segment);
    case settings::KeySource::Query:
      return QueryField(target, rule.key_name);
    default:
      return std::nullopt;
  }
}

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out.push_back(text[i]);
      continue;
    }
    unsigned char byte = 0;
    const char* first = text.data() + i + 1;
    if (i + 2 >= text.size() ||
        std::from_chars(first, first + 2, byte, 16).ptr != first + 2) {
      return std::nullopt;
    }
    out.push_back(static_cast<char>(byte));
    i += 2;
  }
  return out;
}

}  // namespace gentianreach::proxy
