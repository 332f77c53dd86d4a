#include "daemon/operator_api.h"

#include <chrono>
#include <string>
#include <utility>

#include <doctest/doctest.h>
#include <boost/leaf/handle_errors.hpp>

#include "base/json_text.h"
#include "net/http_client.h"

namespace gentianreach {
namespace {

// Returns the response to a query of a daemon with `view`.
HttpResponse Query(const OperatorView& view, const std::string& path) {
  OperatorServer server;
  RegisterOperatorQueries(server, [&view] { return view; });
  const auto port = server.Listen("127.0.0.1:0");
  REQUIRE(port);
  HttpCall call;
  call.url = "http://127.0.0.1:" + std::to_string(*port) + path;
  call.deadline = MonotonicClock().Now() + std::chrono::seconds(30);
  return HttpClient().SendAndWait(std::move(call));
}

TEST_CASE("queries are answered in JSON although they return other bytes") {
  OperatorView view;
  view.route = [](const ServiceName&, KeyHash) { return KeyRoute(); };
  view.settings_text = "# Caf\xe9";
  for (const char* path : {"/owners?service=boats&key=%ff", "/settings"}) {
    CAPTURE(path);
    const HttpResponse response = Query(view, path);
    CHECK(response.status == 200);
    CHECK(ParseJson(response.body).has_value());
  }
}

}  // namespace
}  // namespace gentianreach
