#include "daemon/daemon_settings.h"

#include <doctest/doctest.h>

#include <string>

namespace gentianreach {
namespace {

const std::string kValidSettings =
    "[daemon]\nname = d1\nzone = a\ncaller_address = 127.0.0.1:0\n"
    "operator_address = 127.0.0.1:0\npeer_address = 127.0.0.1:0\n"
    "store = http://127.0.0.1:7000\ninsecure = true\n";

TEST_CASE("a valid settings file sets the identity and fills in defaults") {
  const DaemonSettingsResult result =
      LoadDaemonSettings(kValidSettings, "d1.ini");
  REQUIRE(result.daemon != nullptr);
  CHECK(result.daemon->name == "d1");
  CHECK(result.daemon->cell == "main");
  CHECK(result.daemon->log_level == "info");
}

TEST_CASE("every error states its file, line and path") {
  const DaemonSettingsResult result = LoadDaemonSettings(
      kValidSettings + "naem = x\nstop_timeout = 5\nlog_level = loud\n",
      "d1.ini");
  REQUIRE(result.errors.size() == 3);
  CHECK(ToString(result.errors.at(0)) ==
        "d1.ini:9: daemon/naem: unknown key; did you mean name?");
  CHECK(ToString(result.errors.at(1))
            .starts_with("d1.ini:10: daemon/stop_timeout: expected a unit"));
  CHECK(
      ToString(result.errors.at(2)).starts_with("d1.ini:11: daemon/log_level"));
}

TEST_CASE("running without TLS requires the setting insecure") {
  std::string text = kValidSettings;
  text.erase(text.find("insecure"));
  CHECK(LoadDaemonSettings(text, "f").errors.size() == 3);
  CHECK(
      LoadDaemonSettings(kValidSettings + "tls_key = k\n", "f").errors.size() ==
      1);
}

TEST_CASE("an address must be an IP address and a port") {
  for (const char* it :
       {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999"}) {
    std::string text = kValidSettings;
    text.replace(text.find("127.0.0.1:0"), 11, it);
    CHECK(LoadDaemonSettings(text, "f").errors.size() == 1);
  }
}

}  // namespace
}  // namespace gentianreach
