#include "entry/message_writer.h"

#include <chrono>
#include <limits>

#include "entry/request_rules.h"
#include "http/serializer.h"
#include "http/status.h"

namespace gentianreach::entry {
namespace {

using http::status::kNoContent;
using http::status::kNotModified;

}  // namespace

std::string RequestHead(const http::MessageHead& from_caller,
                        const HeaderNames& names,
                        const RequestFields& fields) {
  std::string out;
  http::AppendRequestLine(out, from_caller);
  http::AppendForwardedFields(out, from_caller);
  if (!fields.id.empty()) {
    http::AppendField(out, names.request_id, fields.id);
  }
  const auto time_left_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(fields.time_left);
  http::AppendField(out, names.deadline_ms,
                    static_cast<std::uint64_t>(time_left_ms.count()));
  if (!fields.server.value().empty()) {
    http::AppendField(out, names.expected_server, fields.server.value());
  }
  if (fields.forward) {
    http::AppendField(out, kConfigVersionField, fields.forward->config_version);
    http::AppendField(out, kAttemptsField, fields.forward->attempts);
  }
  if (fields.key) {
    http::AppendField(out, names.key, *fields.key);
  }
  const bool has_body = fields.body_size > 0 ||
                        from_caller.Count(http::FieldId::content_length) != 0 ||
                        from_caller.framing == http::BodyFraming::kChunked;
  if (has_body) {
    http::AppendField(out, "Content-Length", fields.body_size);
  }
  http::AppendHeadEnd(out);
  return out;
}

std::uint32_t StatedAttempts(const http::MessageHead& head) {
  const auto text = head.Get(kAttemptsField);
  const auto attempts =
      text ? ParseNumber(*text, std::numeric_limits<std::uint32_t>::max())
           : std::nullopt;
  return static_cast<std::uint32_t>(attempts.value_or(0));
}

std::string BeginForwardedResponse(
    const http::MessageHead& from_server,
    const HeaderNames& names,
    const std::optional<RelayedServer>& relayed) {
  std::string out;
  http::AppendStatusLine(out, from_server.status, from_server.reason);
  http::AppendForwardedFields(out, from_server);
  for (const std::string* it : {&names.request_id, &names.response_stamp}) {
    if (const auto value = from_server.Get(std::string_view(*it))) {
      http::AppendField(out, *it, *value);
    }
  }
  if (relayed) {
    http::AppendField(out, kVerdictField, ToString(Outcome::kAnswered));
    http::AppendField(out, kServerField, relayed->server.value());
    http::AppendField(out, kIncarnationField, relayed->incarnation.value());
  }
  return out;
}

void EndResponseHead(std::string& out, bool keep_alive) {
  if (!keep_alive) {
    http::AppendField(out, "Connection", "close");
  }
  http::AppendHeadEnd(out);
}

std::string ForwardedResponse(const http::MessageHead& from_server,
                              const HeaderNames& names,
                              std::string_view body,
                              bool head_only,
                              bool keep_alive,
                              const std::optional<RelayedServer>& relayed) {
  std::string out = BeginForwardedResponse(from_server, names, relayed);
  const auto length = from_server.Get(http::FieldId::content_length);
  if (head_only || from_server.status == kNotModified) {
    if (length) {
      http::AppendField(out, "Content-Length", *length);
    }
  } else if (from_server.status != kNoContent) {
    http::AppendField(out, "Content-Length", body.size());
  }
  EndResponseHead(out, keep_alive);
  out.append(body);
  return out;
}

std::string RefusalResponse(const Refusal& refusal, const HeaderNames& names) {
  std::string body = "reason=";
  body.append(ToString(refusal.reason));
  body.push_back('\n');
  std::string out;
  http::AppendStatusLine(out, refusal.status,
                         http::ReasonPhrase(refusal.status));
  if (!refusal.request_id.empty()) {
    http::AppendField(out, names.request_id, refusal.request_id);
  }
  if (refusal.retry_after) {
    http::AppendField(out, "Retry-After", FormatSeconds(*refusal.retry_after));
  }
  if (refusal.outcome) {
    http::AppendField(out, kVerdictField, ToString(*refusal.outcome));
    http::AppendField(out, kReasonField, ToString(refusal.reason));
    http::AppendField(out, kAttemptsField, refusal.attempts);
  }
  http::AppendField(out, "Content-Type", "text/plain");
  http::AppendField(out, "Content-Length", body.size());
  EndResponseHead(out, refusal.keep_alive);
  if (!refusal.head_only) {
    out.append(body);
  }
  return out;
}

}  // namespace gentianreach::entry
