#include "proxy/message_builder.h"

#include "http/serializer.h"

namespace gentianreach::proxy {
namespace {

constexpr std::string_view kIdField = "gentianreach-request-id";
constexpr std::string_view kKeyHashField = "gentianreach-key-hash";
constexpr std::string_view kTokenField = "gentianreach-token";
constexpr std::string_view kTimeoutField = "gentianreach-timeout-ms";
constexpr std::size_t kTypicalHeadBytes = 512;

}  // namespace

std::string BuildRequestHead(const http::MessageHead& from_caller,
                             const ServerRequest& request) {
  std::string out;
  out.reserve(kTypicalHeadBytes);
  http::AppendRequestLine(out, from_caller);
  http::AppendForwardedFields(out, from_caller);
  http::AppendField(out, kIdField, request.id);
  if (request.key) {
    http::AppendField(out, kKeyHashField, request.key->value());
    http::AppendField(out, kTokenField, request.token.value());
  }
  http::AppendField(out, kTimeoutField,
                    static_cast<std::uint64_t>(request.timeout.count()));
  if (request.framing != http::BodyFraming::kNone) {
    http::AppendFraming(out, request.framing, request.content_length);
  } else if (from_caller.Count(http::FieldId::content_length) != 0) {
    http::AppendField(out, "Content-Length", 0);
  }
  http::AppendHeadEnd(out);
  return out;
}

std::string BuildResponseHead(const http::MessageHead& from_server,
                              std::string_view id,
                              bool keep_alive) {
  std::string out;
  out.reserve(kTypicalHeadBytes);
  http::AppendStatusLine(out, from_server.status, from_server.reason);
  http::AppendForwardedFields(out, from_server);
  http::AppendField(out, kIdField, id);
  http::AppendField(out, kVerdictField, ToString(Outcome::kAnswered));
  constexpr int kNoContent = 204;
  const auto length = from_server.Get(http::FieldId::content_length);
  if (from_server.framing != http::BodyFraming::kNone) {
    http::AppendFraming(out, from_server.framing, from_server.content_length);
  } else if (length && from_server.status != kNoContent) {
    // The body is empty, or omitted (HEAD, 304) with its length still stated.
    http::AppendField(out, "Content-Length", *length);
  }
  if (!keep_alive) {
    http::AppendField(out, "Connection", "close");
  }
  http::AppendHeadEnd(out);
  return out;
}

std::string BuildLocalResponse(const LocalResponse& response) {
  std::string body = "verdict=";
  body.append(ToString(response.verdict.outcome()));
  body.append(" reason=");
  body.append(ToString(response.verdict.reason()));
  if (!response.detail.empty()) {
    body.append(" detail=\"").append(response.detail).append("\"");
  }
  body.push_back('\n');

  std::string out;
  out.reserve(kTypicalHeadBytes);
  http::AppendStatusLine(out, response.status,
                         http::ReasonPhrase(response.status));
  http::AppendField(out, kIdField, response.id);
  http::AppendField(out, kVerdictField, ToString(response.verdict.outcome()));
  http::AppendField(out, kReasonField, ToString(response.verdict.reason()));
  if (response.retry_after) {
    http::AppendField(
        out, "Retry-After",
        static_cast<std::uint64_t>(response.retry_after->count()));
  }
  http::AppendField(out, "Content-Type", "text/plain");
  http::AppendFraming(out, http::BodyFraming::kLength, body.size());
  if (!response.keep_alive) {
    http::AppendField(out, "Connection", "close");
  }
  http::AppendHeadEnd(out);
  if (!response.head_only) {
    out.append(body);
  }
  return out;
}

}  // namespace gentianreach::proxy
