// The head of an HTTP/1.1 message: its first line and its fields.
#ifndef SRC_HTTP_MESSAGE_HEAD_H_
#define SRC_HTTP_MESSAGE_HEAD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/http/field.hpp>

namespace gentianreach::http {

using FieldId = boost::beast::http::field;

// How the end of a message's body is determined.
enum class BodyFraming : std::uint8_t {
  kNone,     // There is no body.
  kLength,   // `Content-Length`.
  kChunked,  // `Transfer-Encoding: chunked`.
  kUntilEnd  // The end of the connection; responses only.
};

// One head. Names and values are stored in a single buffer, which is reused for
// the next message of the connection.
class MessageHead {
 public:
  // A field; the views are valid until the head changes.
  struct Field {
    FieldId id = FieldId::unknown;
    std::string_view name;
    std::string_view value;
  };

  // Requests.
  std::string method;
  std::string target;
  // Responses.
  int status = 0;
  std::string reason;
  // Both.
  int version = 11;  // 10 * major + minor
  BodyFraming framing = BodyFraming::kNone;
  std::uint64_t content_length = 0;  // Set if the framing is kLength.
  bool keep_alive = true;

  // Empties the head for the next message.
  void Clear();
  // Appends a field.
  void Add(FieldId id, std::string_view name, std::string_view value);

  [[nodiscard]] std::size_t size() const { return spans_.size(); }
  // Returns the field at `index`, in the order of the message.
  [[nodiscard]] Field at(std::size_t index) const;
  // Returns the value of the first field `id`.
  [[nodiscard]] std::optional<std::string_view> Get(FieldId id) const;
  // Returns the value of the first field `name`, compared case-insensitively.
  [[nodiscard]] std::optional<std::string_view> Get(
      std::string_view name) const;
  // Returns how often the field `id` occurs.
  [[nodiscard]] std::size_t Count(FieldId id) const;

 private:
  struct FieldSpan {
    FieldId id;
    std::uint32_t name_at;
    std::uint32_t value_at;
    std::uint32_t end;
  };

  std::string text_;
  std::vector<FieldSpan> spans_;
};

// Returns whether a response states a body that its status rules out. The body
// is not read, but may follow.
[[nodiscard]] bool StatesExcludedBody(const MessageHead& head);

// Returns whether two field names are equal, ignoring case.
[[nodiscard]] bool SameName(std::string_view a, std::string_view b);
// Returns whether the comma-separated `list` contains `token`, ignoring case.
[[nodiscard]] bool ListContains(std::string_view list, std::string_view token);

}  // namespace gentianreach::http

#endif  // SRC_HTTP_MESSAGE_HEAD_H_
