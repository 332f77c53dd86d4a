#include "gentianreach/settings.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace gentianreach::settings {
namespace {

constexpr std::string_view kBoats = R"(
[services]
zones = coast
[services/boats]
kind = keyed
slots = 6
[places/north]
[places/south]
[places/coast]
includes = north, south
[routes]
service = boats
deadline = 2s
[routes/boats]
key_source = path-segment
key_segment = 1
[routes/boats/record]
path_prefix = /boats/
methods = GET
idempotent = true
[routes/boats/reserve]
path_prefix = /boats/
methods = POST
max_body = 16KiB
deadline = 900ms
)";

// Returns whether there is an error at `line` and `path` that contains `part`.
bool HasError(const LoadResult& result,
              int line,
              std::string_view path,
              std::string_view part) {
  return std::ranges::any_of(result.errors, [&](const SettingsError& it) {
    return it.file == "a.ini" && it.line == line && it.path == path &&
           it.message.find(part) != std::string::npos;
  });
}

LoadResult Load(std::string_view text) {
  return LoadSettings(text, "a.ini");
}

TEST_CASE("a branch inherits the values of its parents and can override them") {
  const LoadResult result = Load(kBoats);
  REQUIRE(result.ok());
  REQUIRE(result.tree->routes.size() == 2);
  const NamedRouteT& record = *result.tree->routes[0];
  const NamedRouteT& reserve = *result.tree->routes[1];
  CHECK(record.name == "boats/record");
  CHECK(record.settings->service == "boats");
  CHECK(record.settings->deadline == 2000);
  CHECK(record.settings->key_source == KeySource::PathSegment);
  CHECK(record.settings->idempotent);
  CHECK(reserve.settings->deadline == 900);
  CHECK(reserve.settings->max_body == 16384);
  CHECK(reserve.settings->key_segment == 1);
  CHECK_FALSE(reserve.settings->idempotent);
}

TEST_CASE("groups of places are replaced by their zones") {
  const LoadResult result = Load(kBoats);
  REQUIRE(result.ok());
  CHECK(result.tree->services[0]->settings->zones == "north,south");
}

TEST_CASE("an empty text gives the default settings") {
  const LoadResult result = Load("");
  REQUIRE(result.ok());
  CHECK(result.tree->cell->lease == 1200);
  CHECK(result.tree->limits->max_header == 16384);
}

TEST_CASE("all errors are reported at once with line and path") {
  const LoadResult result = Load(
      "[services/boats]\n"
      "slotz = 3\n"
      "slots = 3s\n"
      "connections = 0\n"
      "warm_up = 3\n"
      "kind = keyd\n"
      "[servces/x]\n"
      "[limits]\n"
      "max_header = 16KiB\n"
      "max_header = 32KiB\n"
      "what is this\n"
      "[limits]\n");
  CHECK_FALSE(result.ok());
  CHECK(result.errors.size() == 9);
  CHECK(HasError(result, 2, "services/boats/slotz", "did you mean slots?"));
  CHECK(HasError(result, 3, "services/boats/slots", "without a unit"));
  CHECK(HasError(result, 4, "services/boats/connections", "out of range"));
  CHECK(HasError(result, 5, "services/boats/warm_up", "expected a unit"));
  CHECK(HasError(result, 6, "services/boats/kind", "plain or keyed"));
  CHECK(HasError(result, 7, "servces/x", "did you mean services?"));
  CHECK(HasError(result, 10, "limits/max_header", "first at line 9"));
  CHECK(HasError(result, 11, "", "expected [section] or key = value"));
  CHECK(HasError(result, 12, "limits", "duplicate section"));
  CHECK(ToString(result.errors[0]) ==
        "a.ini:2: services/boats/slotz: unknown key; did you mean slots?");
}

TEST_CASE("a route that can never match is an error") {
  constexpr std::string_view kTwo =
      "[services/boats]\n"
      "[routes]\n"
      "service = boats\n"
      "[routes/a]\n"
      "path_prefix = /boats\n"
      "methods = GET, PUT\n"
      "[routes/b]\n"
      "path_prefix = /\n"
      "methods = POST\n"
      "[routes/c]\n"
      "path_prefix = /boats/new\n";
  CHECK(Load(std::string(kTwo) + "methods = GET,DELETE\n").ok());
  CHECK(Load(std::string(kTwo)).ok());
  CHECK(HasError(Load(std::string(kTwo) + "methods = GET,POST\n"), 11,
                 "routes/c/path_prefix", "hidden by earlier route a, b"));
}

TEST_CASE("a route without a known service is an error") {
  CHECK(HasError(Load("[routes/a]\nservice = boots\n[services/boats]\n"), 2,
                 "routes/a/service", "no such service: boots"));
  CHECK(HasError(Load("[routes/a]\n"), 1, "routes/a/service",
                 "names no service"));
}

TEST_CASE("a route to a keyed service without a key source is an error") {
  CHECK(HasError(Load("[services/b]\nkind = keyed\n[routes/a]\nservice = b\n"),
                 3, "routes/a/key_source", "needs a key"));
}

TEST_CASE("a service without a place is an error") {
  CHECK(HasError(Load("[services/a]\nzones = ,\n"), 2, "services/a/zones",
                 "no place"));
  CHECK(HasError(Load("[services/a]\nzones = west\n[places/east]\n"), 2,
                 "services/a/zones", "no such place: west"));
}

TEST_CASE("groups that include each other are an error") {
  CHECK(HasError(Load("[places/a]\nincludes = b\n[places/b]\nincludes = a\n"),
                 2, "places/a/includes", "cycle: a > b > a"));
}

TEST_CASE("timings that exceed the limit on unavailability are an error") {
  CHECK(HasError(Load("[cell]\nlease = 2s\n"), 2, "cell/lease", "below 3s"));
}

}  // namespace
}  // namespace gentianreach::settings
