// Serialization of HTTP/1.1 messages to plain buffers.
//
// Nothing is escaped: names and values come from the parser, which refuses
// control characters, or from this program, so they cannot inject lines.
#ifndef SRC_HTTP_SERIALIZER_H_
#define SRC_HTTP_SERIALIZER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "http/message_head.h"

namespace gentianreach::http {

// Appends "NAME: VALUE" and CRLF.
void AppendField(std::string& out,
                 std::string_view name,
                 std::string_view value);
void AppendField(std::string& out, std::string_view name, std::uint64_t value);

// Appends the request line.
void AppendRequestLine(std::string& out, const MessageHead& head);
// Appends the status line.
void AppendStatusLine(std::string& out, int status, std::string_view reason);

// Appends the fields of `head` that are forwarded: all except hop-by-hop
// fields, reserved fields, fields that frame the body, and `Expect`.
void AppendForwardedFields(std::string& out, const MessageHead& head);

// Appends the field that states the body's framing; nothing for kNone.
void AppendFraming(std::string& out, BodyFraming framing, std::uint64_t length);

// Appends the empty line that ends a head.
void AppendHeadEnd(std::string& out);

// Appends part of a body with `framing`. Appends nothing if `data` is empty,
// since an empty chunk would end the body.
void AppendBody(std::string& out, BodyFraming framing, std::string_view data);
// Appends the end of a body with `framing`.
void AppendBodyEnd(std::string& out, BodyFraming framing);

// Returns the standard reason phrase of a status code.
[[nodiscard]] std::string_view ReasonPhrase(int status);

}  // namespace gentianreach::http

#endif  // SRC_HTTP_SERIALIZER_H_
