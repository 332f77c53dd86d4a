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

// Returns the status of a request to drain with `body`, for a daemon that knows
// no server.
guint DrainStatus(const std::string& body) {
  OperatorRequest request;
  request.body = body;
  return HandleDrain(request, [](const std::string&, bool,
                                 const std::string&) { return false; })
      .status;
}

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

TEST_CASE("a request to drain that has members of another type is refused") {
  CHECK(DrainStatus(R"({"server":"a","drain":true})") == 404);
  CHECK(DrainStatus(R"({"server":"a","drain":true,"actor":"ana"})") == 404);
  CHECK(DrainStatus(R"({"server":"a","drain":true,"actor":7})") == 400);
  CHECK(DrainStatus(R"({"server":7,"drain":true})") == 400);
  CHECK(DrainStatus(R"({"server":"a","drain":1})") == 400);
}

}  // namespace
}  // namespace gentianreach
