// libFuzzer target for the parsing of bytes from callers and backend servers.
//
//   clang++ -std=c++20 -g -O1 -fsanitize=fuzzer,address,undefined \
//     -Iinclude -Isrc -o http_edge_fuzz \
//     src/proxy/http_edge_fuzz.cc src/http/*.cc
//   ./http_edge_fuzz -max_total_time=60
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "proxy/http_edge_check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,  // NOLINT
                                      std::size_t size) {
  gentianreach::proxy::CheckHttpEdge(
      {reinterpret_cast<const char*>(data), size});
  return 0;
}
