// Checks invariants of HTTP parsing and forwarding for arbitrary input. Used by
// the fuzz target and by the test that runs its corpus.
#ifndef SRC_PROXY_HTTP_EDGE_CHECK_H_
#define SRC_PROXY_HTTP_EDGE_CHECK_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

#include "gentianreach/check.h"
#include "http/message_head.h"
#include "http/message_parser.h"
#include "http/request_rules.h"
#include "http/serializer.h"
#include "http/status.h"

namespace gentianreach::proxy {

namespace internal {

inline constexpr std::size_t kEdgeMaxHeader = 4096;

// The result of parsing a message.
struct Parsed {
  http::MessageHead head;
  std::string body;
  http::ParseStatus status = http::ParseStatus::kNeedMore;
  bool done = false;
};

// Parses `data` in pieces of `step` bytes.
template <bool kIsRequest>
Parsed ParseInSteps(std::string_view data, std::size_t step) {
  Parsed out;
  http::MessageParser<kIsRequest> parser(kEdgeMaxHeader);
  std::string pending;
  while (!parser.done()) {
    const auto result = parser.Parse(pending, out.head, out.body);
    GENTIANREACH_CHECK(result.consumed <= pending.size());
    pending.erase(0, result.consumed);
    out.status = result.status;
    if (result.status == http::ParseStatus::kMalformed ||
        result.status == http::ParseStatus::kHeaderTooLarge) {
      break;
    }
    if (result.status == http::ParseStatus::kHead) {
      continue;
    }
    if (data.empty()) {
      break;
    }
    pending.append(data.substr(0, step));
    data.remove_prefix(std::min(step, data.size()));
  }
  out.done = parser.done();
  return out;
}

// Returns the message as it is forwarded to a backend server.
inline std::string Rewrite(const Parsed& parsed) {
  std::string out;
  http::AppendRequestLine(out, parsed.head);
  http::AppendForwardedFields(out, parsed.head);
  http::AppendFraming(out, parsed.head.framing, parsed.body.size());
  http::AppendHeadEnd(out);
  http::AppendBody(out, parsed.head.framing, parsed.body);
  http::AppendBodyEnd(out, parsed.head.framing);
  return out;
}

// Returns the response as it is forwarded to a caller.
inline std::string RewriteResponse(const Parsed& parsed) {
  std::string out;
  http::AppendStatusLine(out, parsed.head.status, parsed.head.reason);
  http::AppendForwardedFields(out, parsed.head);
  http::AppendFraming(out, parsed.head.framing, parsed.body.size());
  if (parsed.head.framing == http::BodyFraming::kNone &&
      parsed.head.status != http::status::kNoContent) {
    http::AppendFraming(out, http::BodyFraming::kLength, 0);
  }
  http::AppendHeadEnd(out);
  http::AppendBody(out, parsed.head.framing, parsed.body);
  http::AppendBodyEnd(out, parsed.head.framing);
  return out;
}

// Aborts the process if a response whose status is none is accepted, or if one
// would be forwarded as a different one.
inline void CheckResponseEdge(std::string_view data) {
  const auto whole = ParseInSteps<false>(data, data.size() + 1);
  const auto bytes = ParseInSteps<false>(data, 1);
  GENTIANREACH_CHECK(whole.done == bytes.done);
  if (!whole.done) {
    return;
  }
  GENTIANREACH_CHECK(http::status::IsValid(whole.head.status));
  GENTIANREACH_CHECK(whole.body == bytes.body);
  const auto again = ParseInSteps<false>(RewriteResponse(whole), 7);
  GENTIANREACH_CHECK(again.done);
  GENTIANREACH_CHECK(again.head.status == whole.head.status);
  GENTIANREACH_CHECK(again.head.reason == whole.head.reason);
  GENTIANREACH_CHECK(again.body == whole.body);
}

}  // namespace internal

// Aborts the process if an accepted request would be forwarded as a different
// request or as more than one (request smuggling).
inline void CheckHttpEdge(std::string_view data) {
  internal::CheckResponseEdge(data);
  const auto whole = internal::ParseInSteps<true>(data, data.size() + 1);
  const auto bytes = internal::ParseInSteps<true>(data, 1);
  // The result must not depend on how the bytes are split into packets.
  GENTIANREACH_CHECK(whole.done == bytes.done);
  if (!whole.done || http::CheckRequest(whole.head)) {
    return;
  }
  GENTIANREACH_CHECK(whole.body == bytes.body);
  GENTIANREACH_CHECK(whole.head.target == bytes.head.target);

  const std::string rewritten = internal::Rewrite(whole);
  const auto again = internal::ParseInSteps<true>(rewritten, 7);
  GENTIANREACH_CHECK(again.done);
  GENTIANREACH_CHECK(again.head.method == whole.head.method);
  GENTIANREACH_CHECK(again.head.target == whole.head.target);
  GENTIANREACH_CHECK(again.body == whole.body);
  GENTIANREACH_CHECK(!http::CheckRequest(again.head));
}

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_HTTP_EDGE_CHECK_H_
