#include "http/serializer.h"

#include <array>
#include <charconv>

#include <boost/beast/http/status.hpp>

#include "http/request_rules.h"

namespace gentianreach::http {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

void AppendNumber(std::string& out, std::uint64_t value, int base) {
  std::array<char, 24> buf;
  const auto end =
      std::to_chars(buf.data(), buf.data() + buf.size(), value, base).ptr;
  out.append(buf.data(), end);
}

}  // namespace

void AppendField(std::string& out,
                 std::string_view name,
                 std::string_view value) {
  out.append(name);
  out.append(": ");
  out.append(value);
  out.append(kLineEnd);
}

void AppendField(std::string& out, std::string_view name, std::uint64_t value) {
  out.append(name);
  out.append(": ");
  AppendNumber(out, value, 10);
  out.append(kLineEnd);
}

void AppendRequestLine(std::string& out, const MessageHead& head) {
  out.append(head.method);
  out.push_back(' ');
  out.append(head.target);
  out.append(" HTTP/1.1\r\n");
}

void AppendStatusLine(std::string& out, int status, std::string_view reason) {
  out.append("HTTP/1.1 ");
  AppendNumber(out, static_cast<std::uint64_t>(status), 10);
  out.push_back(' ');
  out.append(reason);
  out.append(kLineEnd);
}

void AppendForwardedFields(std::string& out, const MessageHead& head) {
  for (std::size_t i = 0; i < head.size(); ++i) {
    const MessageHead::Field it = head.at(i);
    if (it.id == FieldId::content_length || it.id == FieldId::expect) {
      continue;
    }
    if (IsReservedField(it) || IsHopByHop(head, it)) {
      continue;
    }
    AppendField(out, it.name, it.value);
  }
}

void AppendFraming(std::string& out,
                   BodyFraming framing,
                   std::uint64_t length) {
  if (framing == BodyFraming::kLength) {
    AppendField(out, "Content-Length", length);
  } else if (framing == BodyFraming::kChunked) {
    AppendField(out, "Transfer-Encoding", "chunked");
  }
}

void AppendHeadEnd(std::string& out) {
  out.append(kLineEnd);
}

void AppendBody(std::string& out, BodyFraming framing, std::string_view data) {
  if (data.empty()) {
    return;
  }
  if (framing != BodyFraming::kChunked) {
    out.append(data);
    return;
  }
  AppendNumber(out, data.size(), 16);
  out.append(kLineEnd);
  out.append(data);
  out.append(kLineEnd);
}

void AppendBodyEnd(std::string& out, BodyFraming framing) {
  if (framing == BodyFraming::kChunked) {
    out.append("0\r\n\r\n");
  }
}

std::string_view ReasonPhrase(int status) {
  if (status == 431) {
    return "Request Header Fields Too Large";
  }
  const auto it = boost::beast::http::obsolete_reason(
      static_cast<boost::beast::http::status>(status));
  return {it.data(), it.size()};
}

}  // namespace gentianreach::http
