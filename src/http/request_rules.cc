#include "http/request_rules.h"

#include <cstddef>

namespace gentianreach::http {
namespace {

constexpr std::string_view kReservedPrefix = "gentianreach-";

bool IsStandardHopByHop(FieldId id) {
  switch (id) {
    case FieldId::connection:
    case FieldId::keep_alive:
    case FieldId::proxy_authenticate:
    case FieldId::proxy_authorization:
    case FieldId::proxy_connection:
    case FieldId::te:
    case FieldId::trailer:
    case FieldId::transfer_encoding:
    case FieldId::upgrade:
    case FieldId::http2_settings:
      return true;
    default:
      return false;
  }
}

}  // namespace

std::optional<Refusal> CheckRequest(const MessageHead& head) {
  if (head.version != 11) {
    return Refusal{505, "only HTTP/1.1 is served"};
  }
  if (head.Count(FieldId::host) != 1) {
    return Refusal{400, "exactly one Host field is required"};
  }
  if (head.method == "CONNECT" || head.method == "TRACE") {
    return Refusal{405, "method not served"};
  }
  if (!head.target.starts_with('/')) {
    return Refusal{400, "the target must be a path"};
  }
  const std::size_t encodings = head.Count(FieldId::transfer_encoding);
  if (encodings == 0) {
    return std::nullopt;
  }
  if (encodings > 1 ||
      !SameName(*head.Get(FieldId::transfer_encoding), "chunked")) {
    return Refusal{400, "only the transfer encoding chunked is accepted"};
  }
  if (head.Count(FieldId::content_length) != 0) {
    return Refusal{400, "two body lengths"};
  }
  return std::nullopt;
}

bool IsHopByHop(const MessageHead& head, const MessageHead::Field& field) {
  if (IsStandardHopByHop(field.id)) {
    return true;
  }
  if (field.id == FieldId::host) {
    return false;
  }
  for (std::size_t i = 0; i < head.size(); ++i) {
    const MessageHead::Field it = head.at(i);
    if (it.id == FieldId::connection && ListContains(it.value, field.name)) {
      return true;
    }
  }
  return false;
}

bool IsReservedField(const MessageHead::Field& field) {
  return field.name.size() >= kReservedPrefix.size() &&
         SameName(field.name.substr(0, kReservedPrefix.size()),
                  kReservedPrefix);
}

}  // namespace gentianreach::http
