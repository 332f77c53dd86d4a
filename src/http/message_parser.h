// Incremental HTTP/1.1 parsing on plain buffers, over Boost.Beast's parser.
//
//   MessageParser<true> parser(max_header);
//   ParseResult result = parser.Parse(received, head, body);
//
// Parse() stops after the head, so that the head can be checked before the body
// is parsed; call it again for the rest. Bytes that were not consumed must be
// passed to the next call, followed by newly received bytes.
//
// Beyond what Beast's parser refuses, a response is malformed if
//   - its status is below 100 or above 599, or
//   - it has any Transfer-Encoding but a single "chunked" in HTTP/1.1. Codings
//     are not undone, and the field that names them is not forwarded, or
//   - a line of its head begins with a blank or a tab. RFC 9112, 5.2, lets a
//     gateway refuse it. Beast's parser would append the line to the value of
//     the field before, where it could hide a length or spoil a stamp.
// A Content-Length that repeats one number is stored as that number.
#ifndef SRC_HTTP_MESSAGE_PARSER_H_
#define SRC_HTTP_MESSAGE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include "http/message_head.h"
#include "http/status.h"

namespace gentianreach::http {

enum class ParseStatus : std::uint8_t {
  kNeedMore,  // More bytes are needed.
  kHead,      // The head has just been completed.
  kDone,      // The message is complete.
  kMalformed,
  kHeaderTooLarge,
};

struct ParseResult {
  ParseStatus status = ParseStatus::kNeedMore;
  std::size_t consumed = 0;
};

namespace internal {

// Returns whether a line of `head` but the first begins with a blank or a tab.
inline bool HasFoldedLine(std::string_view head) {
  return head.find("\n ") != std::string_view::npos ||
         head.find("\n\t") != std::string_view::npos;
}

// Stores the elements that Beast's parser reports.
template <bool kIsRequest>
class Collector : public boost::beast::http::basic_parser<kIsRequest> {
 public:
  using Base = boost::beast::http::basic_parser<kIsRequest>;
  using StringView = boost::beast::string_view;
  using ErrorCode = boost::beast::error_code;

  MessageHead* head = nullptr;
  std::string* body = nullptr;
  bool head_done = false;

 private:
  void on_request_impl(boost::beast::http::verb,  // NOLINT
                       StringView method,
                       StringView target,
                       int version,
                       ErrorCode&) override {
    head->method.assign(method.data(), method.size());
    head->target.assign(target.data(), target.size());
    head->version = version;
  }
  void on_response_impl(int status,  // NOLINT
                        StringView reason,
                        int version,
                        ErrorCode& ec) override {
    head->status = status;
    head->reason.assign(reason.data(), reason.size());
    head->version = version;
    if (!status::IsValid(status)) {
      ec = boost::beast::http::error::bad_status;
    }
  }
  void on_field_impl(FieldId id,  // NOLINT
                     StringView name,
                     StringView value,
                     ErrorCode& ec) override {
    // Fields after the head are trailers, which are not forwarded.
    if (head_done) {
      return;
    }
    std::string_view text(value.data(), value.size());
    if constexpr (!kIsRequest) {
      if (id == FieldId::transfer_encoding &&
          (head->version != 11 || !SameName(text, "chunked"))) {
        ec = boost::beast::http::error::bad_transfer_encoding;
        return;
      }
      if (id == FieldId::content_length) {
        text = text.substr(0, text.find_first_not_of("0123456789"));
      }
    }
    head->Add(id, {name.data(), name.size()}, text);
  }
  void on_header_impl(ErrorCode&) override {  // NOLINT
    head_done = true;
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>&,  // NOLINT
                         ErrorCode&) override {}
  std::size_t on_body_impl(StringView data, ErrorCode&) override {  // NOLINT
    body->append(data.data(), data.size());
    return data.size();
  }
  void on_chunk_header_impl(std::uint64_t,  // NOLINT
                            StringView,
                            ErrorCode&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t,  // NOLINT
                                 StringView data,
                                 ErrorCode&) override {
    body->append(data.data(), data.size());
    return data.size();
  }
  void on_finish_impl(ErrorCode&) override {}  // NOLINT
};

}  // namespace internal

// Parses one message; create a new parser for the next.
template <bool kIsRequest>
class MessageParser {
 public:
  // `max_header` bounds the head, and each chunk's header, in bytes.
  explicit MessageParser(std::size_t max_header) : max_header_(max_header) {
    collector_.header_limit(static_cast<std::uint32_t>(max_header));
    collector_.body_limit(boost::none);
  }

  // Parses part of the message. Appends body bytes to `body`.
  ParseResult Parse(std::string_view data,
                    MessageHead& head,
                    std::string& body) {
    collector_.head = &head;
    collector_.body = &body;
    const bool had_head = collector_.head_done;
    std::size_t consumed = 0;
    boost::beast::error_code ec;
    while (!collector_.is_done() && consumed < data.size()) {
      if (in_chunk_header_ && data.size() - consumed < kMinFinalChunkBytes) {
        break;
      }
      consumed +=
          collector_.put({data.data() + consumed, data.size() - consumed}, ec);
      in_chunk_header_ = had_head && collector_.chunked() &&
                         ec == boost::beast::http::error::need_more;
      if (ec) {
        break;
      }
      if (!had_head && collector_.head_done) {
        // Beast consumes the head as a whole.
        if (!kIsRequest && internal::HasFoldedLine(data.substr(0, consumed))) {
          return {ParseStatus::kMalformed, consumed};
        }
        ReadFraming(head);
        return {ParseStatus::kHead, consumed};
      }
    }
    return {StatusOf(ec, data.size() - consumed), consumed};
  }

  // Makes the parser expect no body, as in a response to HEAD.
  void SkipBody() { collector_.skip(true); }
  // Returns whether the message is complete.
  [[nodiscard]] bool done() const { return collector_.is_done(); }
  // Returns whether any byte of the message has been consumed.
  [[nodiscard]] bool started() const { return collector_.got_some(); }

 private:
  // Length of the shortest final chunk, "0\r\n\r\n". Beast's parser fails an
  // assertion if it is called again at the final chunk with fewer bytes.
  static constexpr std::size_t kMinFinalChunkBytes = 5;

  void ReadFraming(MessageHead& head) const {
    head.keep_alive = collector_.keep_alive();
    if (collector_.is_done()) {
      head.framing = BodyFraming::kNone;
    } else if (collector_.chunked()) {
      head.framing = BodyFraming::kChunked;
    } else if (collector_.need_eof()) {
      head.framing = BodyFraming::kUntilEnd;
    } else {
      head.framing = BodyFraming::kLength;
      head.content_length = collector_.content_length().value_or(0);
    }
  }
  [[nodiscard]] ParseStatus StatusOf(const boost::beast::error_code& ec,
                                     std::size_t left) const {
    if (collector_.is_done()) {
      return ParseStatus::kDone;
    }
    if (ec == boost::beast::http::error::header_limit) {
      return ParseStatus::kHeaderTooLarge;
    }
    if (ec && ec != boost::beast::http::error::need_more) {
      return ParseStatus::kMalformed;
    }
    // Bounds the memory used by an unterminated chunk header or trailer.
    return left > max_header_ ? ParseStatus::kHeaderTooLarge
                              : ParseStatus::kNeedMore;
  }

  internal::Collector<kIsRequest> collector_;
  std::size_t max_header_;
  // Part of a chunk header, or of the trailer after the last chunk, has
  // arrived.
  bool in_chunk_header_ = false;
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

}  // namespace gentianreach::http

#endif  // SRC_HTTP_MESSAGE_PARSER_H_
