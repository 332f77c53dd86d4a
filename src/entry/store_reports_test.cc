#include "entry/store_reports.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(seconds(1000));

std::vector<std::string> Addresses(int count) {
  std::vector<std::string> addresses;
  addresses.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    addresses.push_back("10.0.0." + std::to_string(i) + ":7002");
  }
  return addresses;
}

TEST_CASE("the only daemon goes by its own calls") {
  const StoreReports reports;
  CHECK(reports.DoMostCallsFail(true, kStart));
  CHECK_FALSE(reports.DoMostCallsFail(false, kStart));
}

TEST_CASE("a daemon that hears of no other has no majority") {
  for (const int others : {1, 2, 7, 11}) {
    StoreReports reports;
    reports.OnMembers(Addresses(others), kStart);
    CHECK_FALSE(reports.DoMostCallsFail(true, kStart));
    CHECK_FALSE(reports.DoMostCallsFail(true, kStart + seconds(20)));
  }
}

TEST_CASE("the calls of more than half of the daemons have to fail") {
  const auto addresses = Addresses(7);
  StoreReports reports;
  reports.OnMembers(addresses, kStart);
  for (std::size_t i = 0; i < 3; ++i) {
    reports.OnReport(addresses[i], true, kStart);
  }
  CHECK_FALSE(reports.DoMostCallsFail(true, kStart));
  reports.OnReport(addresses[3], true, kStart);
  CHECK(reports.DoMostCallsFail(true, kStart));
  CHECK_FALSE(reports.DoMostCallsFail(false, kStart));
  reports.OnReport(addresses[4], true, kStart);
  CHECK(reports.DoMostCallsFail(false, kStart));
  reports.OnReport(addresses[3], false, kStart);
  CHECK_FALSE(reports.DoMostCallsFail(false, kStart));
}

TEST_CASE("a report counts for some seconds") {
  StoreReports reports;
  reports.OnMembers(Addresses(1), kStart);
  reports.OnReport(Addresses(1)[0], true, kStart);
  CHECK(reports.DoMostCallsFail(true, kStart + milliseconds(1999)));
  CHECK_FALSE(reports.DoMostCallsFail(true, kStart + milliseconds(2000)));
}

// Guards against a daemon that is cut off for long and then decides alone.
TEST_CASE("silence of all daemons takes no vote") {
  StoreReports reports;
  reports.OnMembers(Addresses(3), kStart);
  CHECK_FALSE(reports.DoMostCallsFail(true, kStart + seconds(29)));
  CHECK_FALSE(reports.DoMostCallsFail(true, kStart + seconds(3600)));
  CHECK(reports.Voters().size() == 3);
}

TEST_CASE("a daemon that is named no more while others are loses its vote") {
  StoreReports reports;
  reports.OnMembers(Addresses(3), kStart);
  reports.OnMembers(Addresses(1), kStart + seconds(29));
  CHECK(reports.Voters().size() == 3);
  reports.OnMembers(Addresses(1), kStart + seconds(30));
  CHECK(reports.Voters() == Addresses(1));
  // A leader that has lost all its members.
  reports.OnMembers({}, kStart + seconds(60));
  CHECK(reports.Voters().empty());
  CHECK(reports.DoMostCallsFail(true, kStart + seconds(60)));
}

TEST_CASE("the daemons that were named last have the votes") {
  StoreReports reports;
  reports.OnMembers({"10.0.1.1:7002"}, kStart);
  reports.OnMembers(Addresses(13), kStart + seconds(1));
  CHECK(reports.Voters() == [] {
    auto addresses = Addresses(13);
    std::ranges::sort(addresses);
    return addresses;
  }());
  // A report of a daemon without a vote is ignored.
  reports.OnReport("10.0.1.1:7002", true, kStart + seconds(1));
  CHECK(reports.Voters().size() == 13);
}

}  // namespace
}  // namespace gentianreach::entry
