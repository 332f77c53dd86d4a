#include "entry/entry_settings.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "entry/entry_state.h"

namespace gentianreach::entry {
namespace {

constexpr std::string_view kValid = R"([entry]
name = e1
zone = north
caller_address = 10.0.0.1:8080
ready_address = 10.0.0.1:8081
member_address = 10.0.0.1:8082
store_address = 10.0.0.9:7000
retry_ratio = 0.2
longest_lease_ms = 10000
)";

TEST_CASE("valid settings are loaded and absent ones get their defaults") {
  const auto result = LoadEntrySettings(kValid, "e.ini");
  REQUIRE(result.entry != nullptr);
  CHECK(result.entry->name == "e1");
  CHECK(result.entry->ready_path == "/ready");
  CHECK(result.entry->log_level == "info");
  CHECK(result.entry->stop_grace_s == 6);
  CHECK(ConfigApplyTime(*result.entry) == std::chrono::seconds(2));
  CHECK(ShortestExpiry(*result.entry) == std::chrono::seconds(1));
  CHECK(ZoneCrossing(*result.entry) == Duration(0));
}

// Guards against an evacuation time within which copies cannot be kept current.
TEST_CASE("an evacuation time is off or long enough") {
  const auto load = [](const std::string& line) {
    return LoadEntrySettings(std::string(kValid) + line, "e.ini");
  };
  CHECK(EvacuationTime(*load("").entry) == Duration(0));
  CHECK(ShortestSendBound(*load("").entry) == std::chrono::seconds(2));
  const auto longer = load("evacuation_ms = 5000\n");
  CHECK(EvacuationTime(*longer.entry) == std::chrono::seconds(5));
  CHECK(ShortestSendBound(*longer.entry) == std::chrono::seconds(2));
  CHECK(ShortestSendBound(*load("evacuation_ms = 1800\n").entry) ==
        std::chrono::milliseconds(1800));
  const auto shorter = load("evacuation_ms = 1799\n");
  CHECK(shorter.entry == nullptr);
  REQUIRE(shorter.errors.size() == 1);
  CHECK(shorter.errors[0].line == 10);
}

TEST_CASE("each error contains the number of its line") {
  const std::string text =
      std::string(kValid) + "store_adress = 10.0.0.9:1\nlog_level = loud\n";
  const auto result = LoadEntrySettings(text, "e.ini");
  CHECK(result.entry == nullptr);
  REQUIRE(result.errors.size() == 2);
  CHECK(result.errors[0].line == 10);
  CHECK(result.errors[1].line == 11);
}

TEST_CASE("missing and invalid addresses are reported") {
  const auto result = LoadEntrySettings(
      "[entry]\nname = e1\nzone = z\ncaller_address = nowhere\n", "e.ini");
  CHECK(result.entry == nullptr);
  const auto names = [&](const std::string& key) {
    return std::any_of(result.errors.begin(), result.errors.end(),
                       [&](const auto& it) {
                         return ToString(it).find(key) != std::string::npos;
                       });
  };
  CHECK(names("caller_address"));
  CHECK(names("ready_address"));
  CHECK(names("store_address"));
}

TEST_CASE("a cost of zone crossings is taken; a wrong one names its line") {
  const std::string text = std::string(kValid) + "zone_crossing_ms = ";
  const auto result = LoadEntrySettings(text + "250\n", "e.ini");
  REQUIRE(result.entry != nullptr);
  CHECK(ZoneCrossing(*result.entry) == std::chrono::milliseconds(250));
  for (const char* it : {"-1", "nan", "1e9", "much"}) {
    CAPTURE(it);
    const auto wrong = LoadEntrySettings(text + it + "\n", "e.ini");
    CHECK(wrong.entry == nullptr);
    REQUIRE(wrong.errors.size() == 1);
    CHECK(wrong.errors[0].line == 10);
  }
}

TEST_CASE(
    "load sharing is off unless it is asked for; a wrong value is named") {
  CHECK_FALSE(LoadEntrySettings(kValid, "e.ini").entry->load_sharing);
  const std::string text = std::string(kValid) + "load_sharing = ";
  CHECK(LoadEntrySettings(text + "true\n", "e.ini").entry->load_sharing);
  const auto wrong = LoadEntrySettings(text + "maybe\n", "e.ini");
  REQUIRE(wrong.errors.size() == 1);
  CHECK(wrong.errors[0].line == 10);
}

TEST_CASE("an IP setting that is no IP address is reported with its line") {
  for (const std::string key : {"source_ip", "advertised_ip"}) {
    for (const char* it : {"nowhere", "10.0.0", "10.0.0.1:0", "[::1]", "::1%",
                           "010.0.0.1", "10.0.0.1, 10.0.0.2"}) {
      CAPTURE(key);
      CAPTURE(it);
      const auto result = LoadEntrySettings(
          std::string(kValid).append(key).append(" = ").append(it).append("\n"),
          "e.ini");
      CHECK(result.entry == nullptr);
      REQUIRE(result.errors.size() == 1);
      CHECK(result.errors[0].line == 10);
      CHECK(ToString(result.errors[0]).find(key) != std::string::npos);
    }
  }
}

TEST_CASE("a source_ip may be an IPv4 or IPv6 address or empty") {
  for (const char* it : {"10.0.0.1", "127.0.0.1", "::1", "fd00::7", ""}) {
    CAPTURE(it);
    const auto result = LoadEntrySettings(
        std::string(kValid) + "source_ip = " + it + "\n", "e.ini");
    REQUIRE(result.entry != nullptr);
    CHECK(result.entry->source_ip == it);
  }
}

TEST_CASE("settings of second attempts are checked, with their lines") {
  const auto load = [](const std::string& line) {
    return LoadEntrySettings(std::string(kValid) + line + "\n", "e.ini");
  };
  for (const char* it :
       {"hedging_share = -0.1", "hedging_share = 1.1", "hedging_share = 5%",
        "hedging_share = nan", "hedging_quantile = 0.4", "hedging_quantile = 1",
        "hedging_services = a,,b", "hedging_services = a,b,",
        "hedging_services = a,a", "hedging_services = a b"}) {
    CAPTURE(it);
    const auto result = load(it);
    CHECK(result.entry == nullptr);
    REQUIRE(result.errors.size() == 1);
    CHECK(result.errors[0].line == 10);
  }
  const auto result = load("hedging_share = 0.05\nhedging_services = a, b");
  REQUIRE(result.entry != nullptr);
  const HedgeOptions options = RetryBoundsOf(*result.entry).hedging;
  CHECK(options.share == 0.05);
  CHECK(options.quantile == 0.95);
  CHECK(options.services == std::vector<std::string>{"a", "b"});
  CHECK(RetryBoundsOf(*load("").entry).hedging.share == 0);
}

TEST_CASE("daemons are told the listening address if no other is advertised") {
  const settings::EntryDaemonT settings;
  CHECK(AdvertisedAddress(settings, "10.0.0.1:8082") == "10.0.0.1:8082");
  CHECK(AdvertisedAddress(settings, "").empty());
}

TEST_CASE("the advertised IP takes the place of the IP and keeps the port") {
  settings::EntryDaemonT settings;
  settings.advertised_ip = "192.0.2.7";
  CHECK(AdvertisedAddress(settings, "10.0.0.1:8082") == "192.0.2.7:8082");
  CHECK(AdvertisedAddress(settings, "").empty());
  settings.advertised_ip = "fd00::7";
  CHECK(AdvertisedAddress(settings, "[::]:8082") == "[fd00::7]:8082");
}

TEST_CASE("a daemon's own advertised address is none of its seeds") {
  settings::EntryDaemonT settings;
  settings.member_address = "10.0.0.1:8082";
  settings.seed_addresses = "192.0.2.7:1, 10.0.0.2:1";
  settings.advertised_ip = "192.0.2.7";
  CHECK(SeedsOf(settings) == std::vector<std::string>{"10.0.0.2:8082"});
}

}  // namespace
}  // namespace gentianreach::entry
