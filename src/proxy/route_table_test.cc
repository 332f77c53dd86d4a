#include "proxy/route_table.h"

#include <memory>
#include <string>
#include <utility>

#include <doctest/doctest.h>

namespace gentianreach::proxy {
namespace {

using settings::KeySource;

void AddRoute(settings::TreeT& tree,
              const std::string& name,
              const std::string& host,
              const std::string& prefix,
              const std::string& methods = {},
              const std::string& service = "boats") {
  auto it = std::make_unique<settings::NamedRouteT>();
  it->name = name;
  it->settings = std::make_unique<settings::RouteT>();
  it->settings->service = service;
  it->settings->host = host;
  it->settings->path_prefix = prefix;
  it->settings->methods = methods;
  tree.routes.push_back(std::move(it));
}

settings::TreeT TreeWithBoats() {
  settings::TreeT tree;
  auto service = std::make_unique<settings::NamedServiceT>();
  service->name = "boats";
  service->settings = std::make_unique<settings::ServiceT>();
  tree.services.push_back(std::move(service));
  return tree;
}

std::string NameOf(const RouteRule* rule) {
  return rule == nullptr ? "" : rule->name;
}

TEST_CASE(
    "the host takes precedence, then the longest prefix, then the method") {
  settings::TreeT tree = TreeWithBoats();
  AddRoute(tree, "any", "", "/boats");
  AddRoute(tree, "deep", "", "/boats/view");
  AddRoute(tree, "post", "", "/boats/view", "POST, PUT");
  AddRoute(tree, "host", "Coast.example", "");
  const RouteTable table(tree);
  CHECK(NameOf(table.Match("GET", "x", "/boats")) == "any");
  CHECK(NameOf(table.Match("GET", "x", "/boats?q=/view")) == "any");
  CHECK(NameOf(table.Match("GET", "x", "/boats/view/7")) == "deep");
  CHECK(NameOf(table.Match("PUT", "x", "/boats/view/7")) == "post");
  CHECK(NameOf(table.Match("GET", "coast.EXAMPLE:80", "/boats")) == "host");
  CHECK(NameOf(table.Match("GET", "x", "/boatswain")).empty());
}

TEST_CASE("a route whose service is unknown matches nothing") {
  settings::TreeT tree = TreeWithBoats();
  AddRoute(tree, "lost", "", "/", "", "none");
  CHECK(RouteTable(tree).Match("GET", "x", "/") == nullptr);
}

TEST_CASE(
    "keys are percent-decoded, and malformed or missing keys are rejected") {
  RouteRule rule;
  rule.key_source = KeySource::PathSegment;
  rule.key_segment = 1;
  CHECK(KeyFromTarget(rule, "/boats/a-b?x=1") == "a-b");
  CHECK(KeyFromTarget(rule, "/boats/a%2Db/more") == "a-b");
  CHECK_FALSE(KeyFromTarget(rule, "/boats"));
  CHECK_FALSE(KeyFromTarget(rule, "/boats/%zz"));
  CHECK_FALSE(KeyFromTarget(rule, "/boats/%4"));
  rule.key_source = KeySource::Query;
  rule.key_name = "id";
  CHECK(KeyFromTarget(rule, "/?no=1&id=a+b%21&id=c") == "a b!");
  CHECK(KeyFromTarget(rule, "/?%69d=7") == "7");
  CHECK_FALSE(KeyFromTarget(rule, "/?ido=7"));
}

}  // namespace
}  // namespace gentianreach::proxy
