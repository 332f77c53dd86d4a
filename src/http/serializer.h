// Writing of HTTP/1.1 messages to plain buffers.
//
// Names and values come from the parser, which refuses control characters, or
// from this program; neither can break out of its line.
#ifndef SRC_HTTP_SERIALIZER_H_
#define SRC_HTTP_SERIALIZER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "http/message_head.h"

namespace gentianreach::http {

// Appends "NAME: VALUE" and the line's end.
void AppendField(std::string& out,
                 std::string_view name,
                 std::string_view value);
void AppendField(std::string& out, std::string_view name, std::uint64_t value);

// Appends the first line of a request.
void AppendRequestLine(std::string& out, const MessageHead& head);
// Appends the first line of a response.
void AppendStatusLine(std::string& out, int status, std::string_view reason);

// Appends the fields of `head` that are passed on: neither hop-by-hop, nor
// the product's own, nor those that frame the body, nor `Expect`.
void AppendPassedFields(std::string& out, const MessageHead& head);

// Appends the field that tells the body's framing; none for kNone.
void AppendFraming(std::string& out, BodyFraming framing, std::uint64_t length);

// Appends the empty line that ends a head.
void AppendHeadEnd(std::string& out);

// Appends a part of a body under `framing`. Nothing is appended for no data,
// since an empty chunk would end the body.
void AppendBody(std::string& out, BodyFraming framing, std::string_view data);
// Appends what ends a body under `framing`.
void AppendBodyEnd(std::string& out, BodyFraming framing);

// Returns the standard words for a status code.
[[nodiscard]] std::string_view ReasonPhrase(int status);

}  // namespace gentianreach::http

#endif  // SRC_HTTP_SERIALIZER_H_
