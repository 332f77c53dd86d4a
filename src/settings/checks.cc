#include "settings/checks.h"

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <map>
#include <set>
#include <utility>

namespace gentianreach::settings {
namespace {

// Upper bound on the time that a key may be without an owner: the sum of the
// timings must stay below it.
constexpr std::uint64_t kMaxUnavailableMs = 3000;

// Appends errors with the line of the key that causes them.
class Reporter {
 public:
  Reporter(const Document& doc, std::vector<SettingsError>* errors)
      : doc_(doc), errors_(errors) {}

  // Reports an error at the effective entry of `key`, or at the section's
  // header if the key is not set.
  void At(const std::string& branch,
          std::string_view key,
          std::string message) const {
    const auto found = doc_.Lookup(branch, key);
    int line = found ? found->entry->line : 0;
    if (const Branch* it = doc_.Find(branch); !found && it != nullptr) {
      line = it->line;
    }
    errors_->push_back({doc_.file(), line, branch + "/" + std::string(key),
                        std::move(message)});
  }

 private:
  const Document& doc_;
  std::vector<SettingsError>* errors_;
};

using PlaceMap = std::map<std::string, std::vector<std::string>, std::less<>>;

PlaceMap PlacesOf(const TreeT& tree) {
  PlaceMap places;
  for (const auto& it : tree.places) {
    places[it->name] = SplitList(it->settings->includes);
  }
  return places;
}

// Collects the zones that groups include, by a depth-first walk.
class ZoneCollector {
 public:
  explicit ZoneCollector(const PlaceMap& places) : places_(places) {}

  // Adds the zones of the place `name`. Returns false and sets `error` if the
  // walk meets a cycle or an unknown place.
  bool Visit(const std::string& name, std::string* error) {
    const auto place = places_.find(name);
    if (place == places_.end()) {
      *error = "no such place: " + name;
      return false;
    }
    if (std::ranges::find(path_, name) != path_.end()) {
      *error = "cycle: " + boost::join(path_, " > ") + " > " + name;
      return false;
    }
    if (place->second.empty()) {
      zones_.insert(name);
      return true;
    }
    if (done_.contains(name)) {
      return true;
    }
    path_.push_back(name);
    for (const std::string& it : place->second) {
      if (!Visit(it, error)) {
        return false;
      }
    }
    path_.pop_back();
    done_.insert(name);
    return true;
  }

  [[nodiscard]] const std::set<std::string>& zones() const { return zones_; }

 private:
  const PlaceMap& places_;
  std::vector<std::string> path_;
  std::set<std::string> done_;
  std::set<std::string> zones_;
};

void CheckPlaces(const PlaceMap& places, const Reporter& reporter) {
  for (const auto& [name, includes] : places) {
    for (const std::string& it : includes) {
      ZoneCollector collector(places);
      std::string error;
      const bool unknown = !places.contains(it);
      const bool cyclic = !unknown && !collector.Visit(name, &error) &&
                          error.starts_with("cycle") &&
                          error.ends_with("> " + name);
      if (unknown) {
        reporter.At("places/" + name, "includes", "no such place: " + it);
      }
      if (cyclic) {
        reporter.At("places/" + name, "includes", error);
        break;
      }
    }
  }
}

bool PrefixCovers(std::string_view wide, std::string_view narrow) {
  return narrow.starts_with(wide);
}

bool HostCovers(const std::string& wide, const std::string& narrow) {
  return wide.empty() || boost::iequals(wide, narrow);
}

void CheckService(const TreeT& tree,
                  const NamedRouteT& route,
                  const Reporter& reporter) {
  const std::string branch = "routes/" + route.name;
  const RouteT& it = *route.settings;
  if (it.service.empty()) {
    reporter.At(branch, "service", "the route names no service");
    return;
  }
  const auto service = std::ranges::find(
      tree.services, it.service, [](const auto& named) { return named->name; });
  if (service == tree.services.end()) {
    reporter.At(branch, "service", "no such service: " + it.service);
    return;
  }
  if ((*service)->settings->kind == ServiceKind::Keyed &&
      it.key_source == KeySource::None) {
    reporter.At(branch, "key_source", "a route to a keyed service needs a key");
  }
}

void CheckKeyAndDeadline(const NamedRouteT& route, const Reporter& reporter) {
  const std::string branch = "routes/" + route.name;
  const RouteT& it = *route.settings;
  const bool by_name =
      it.key_source == KeySource::Query || it.key_source == KeySource::Header;
  if (by_name && it.key_name.empty()) {
    reporter.At(branch, "key_name",
                "a key from the query or a header needs its name");
  }
  if (it.deadline > it.max_deadline) {
    reporter.At(branch, "deadline", "longer than max_deadline");
  }
  if (!it.path_prefix.empty() && it.path_prefix.front() != '/') {
    reporter.At(branch, "path_prefix", "must begin with /");
  }
}

// Returns the name of the first route before route `index` that covers it for
// `method`, or an empty string.
std::string FindCoveringRoute(const TreeT& tree,
                              std::size_t index,
                              std::string_view method) {
  for (std::size_t i = 0; i < index; ++i) {
    if (RouteCovers(*tree.routes[i]->settings, *tree.routes[index]->settings,
                    method)) {
      return tree.routes[i]->name;
    }
  }
  return {};
}

void CheckReachable(const TreeT& tree,
                    std::size_t index,
                    const Reporter& reporter) {
  const NamedRouteT& route = *tree.routes[index];
  std::vector<std::string> methods = SplitList(route.settings->methods);
  if (methods.empty()) {
    methods.emplace_back();
  }
  std::set<std::string> covering;
  for (const std::string& it : methods) {
    covering.insert(FindCoveringRoute(tree, index, it));
  }
  if (covering.contains("")) {
    return;
  }
  reporter.At("routes/" + route.name, "path_prefix",
              "can never match: hidden by earlier route " +
                  boost::join(covering, ", "));
}

}  // namespace

bool RouteCovers(const RouteT& wide,
                 const RouteT& narrow,
                 std::string_view method) {
  // The cheap comparisons come first since every pair of routes is compared.
  if (!HostCovers(wide.host, narrow.host) ||
      !PrefixCovers(wide.path_prefix, narrow.path_prefix)) {
    return false;
  }
  const std::vector<std::string> methods = SplitList(wide.methods);
  return methods.empty() || std::ranges::find(methods, method) != methods.end();
}

void ResolvePlaces(const Document& doc,
                   TreeT* tree,
                   std::vector<SettingsError>* errors) {
  const Reporter reporter(doc, errors);
  const PlaceMap places = PlacesOf(*tree);
  CheckPlaces(places, reporter);
  for (const auto& it : tree->services) {
    const std::string branch = "services/" + it->name;
    if (it->settings->zones.empty()) {
      continue;
    }
    const std::vector<std::string> named = SplitList(it->settings->zones);
    ZoneCollector collector(places);
    std::string error;
    const bool known =
        places.empty() ||
        std::ranges::all_of(named, [&](const std::string& place) {
          return collector.Visit(place, &error);
        });
    if (named.empty()) {
      reporter.At(branch, "zones", "the service has no place to run");
      continue;
    }
    if (!known) {
      reporter.At(branch, "zones", error);
      continue;
    }
    it->settings->zones = places.empty() ? boost::join(named, ",")
                                         : boost::join(collector.zones(), ",");
  }
}

void CheckRoutes(const Document& doc,
                 const TreeT& tree,
                 std::vector<SettingsError>* errors) {
  const Reporter reporter(doc, errors);
  for (std::size_t i = 0; i < tree.routes.size(); ++i) {
    CheckService(tree, *tree.routes[i], reporter);
    CheckKeyAndDeadline(*tree.routes[i], reporter);
    CheckReachable(tree, i, reporter);
  }
}

void CheckTiming(const Document& doc,
                 const TreeT& tree,
                 std::vector<SettingsError>* errors) {
  const Reporter reporter(doc, errors);
  const CellTimingT& it = *tree.cell;
  if (it.suspicion + it.permit + it.lease >= kMaxUnavailableMs) {
    reporter.At("cell", "lease",
                "suspicion + permit + lease must stay below 3s");
  }
  if (it.heartbeat >= it.permit) {
    reporter.At("cell", "heartbeat", "must be shorter than permit");
  }
  if (it.renewal >= it.lease) {
    reporter.At("cell", "renewal", "must be shorter than lease");
  }
  if (it.heartbeat >= it.suspicion) {
    reporter.At("cell", "suspicion", "must be longer than heartbeat");
  }
}

}  // namespace gentianreach::settings
