#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <doctest/doctest.h>

#include "proxy/http_edge_check.h"

namespace gentianreach::proxy {
namespace {

const std::vector<std::string> kCorpus = {
    "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    "POST /x?y=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
    ("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
     "3;e=1\r\nabc\r\n0\r\nX-T: 1\r\n\r\n"),
    "GET / HTTP/1.1\r\nHost: a\r\nConnection: close, x\r\nX: 1\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n folded\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: a\r\nConnection: host\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
     "0\r\nabc\r\n\r\n"),
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
};

TEST_CASE("the corpus and its prefixes are forwarded with the same meaning") {
  for (const auto& it : kCorpus) {
    CAPTURE(it);
    CheckHttpEdge(it);
    for (std::size_t n = 0; n < it.size(); ++n) {
      CheckHttpEdge(std::string_view(it).substr(0, n));
    }
  }
  CHECK(internal::ParseInSteps<true>(kCorpus[2], 1).body == "abc");
}

TEST_CASE("mutated requests are refused or forwarded with the same meaning") {
  std::mt19937 random(20);
  const std::string_view alphabet = "\r\n :,;0aAfF\t%/?=-\x01\x7f\xff";
  int accepted = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string it = kCorpus[random() % kCorpus.size()];
    for (unsigned n = random() % 4; n > 0; --n) {
      const std::size_t at = random() % it.size();
      const char c = alphabet[random() % alphabet.size()];
      if (random() % 2 == 0) {
        it[at] = c;
      } else {
        it.insert(at, 1, c);
      }
    }
    CheckHttpEdge(it);
    accepted += internal::ParseInSteps<true>(it, it.size() + 1).done ? 1 : 0;
  }
  // Enough mutations must be accepted for the test to check forwarding.
  CHECK(accepted > 1000);
}

}  // namespace
}  // namespace gentianreach::proxy
