#include "http/message_head.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include "http/status.h"

namespace gentianreach::http {
namespace {

namespace beast = boost::beast;

beast::string_view ToBeast(std::string_view it) {
  return {it.data(), it.size()};
}

}  // namespace

void MessageHead::Clear() {
  method.clear();
  target.clear();
  status = 0;
  reason.clear();
  version = 11;
  framing = BodyFraming::kNone;
  content_length = 0;
  keep_alive = true;
  text_.clear();
  spans_.clear();
}

void MessageHead::Add(FieldId id,
                      std::string_view name,
                      std::string_view value) {
  const auto name_at = static_cast<std::uint32_t>(text_.size());
  text_.append(name);
  const auto value_at = static_cast<std::uint32_t>(text_.size());
  text_.append(value);
  spans_.push_back(
      {id, name_at, value_at, static_cast<std::uint32_t>(text_.size())});
}

MessageHead::Field MessageHead::at(std::size_t index) const {
  const FieldSpan& it = spans_[index];
  const std::string_view text = text_;
  return {it.id, text.substr(it.name_at, it.value_at - it.name_at),
          text.substr(it.value_at, it.end - it.value_at)};
}

std::optional<std::string_view> MessageHead::Get(FieldId id) const {
  for (std::size_t i = 0; i < size(); ++i) {
    if (spans_[i].id == id) {
      return at(i).value;
    }
  }
  return std::nullopt;
}

std::optional<std::string_view> MessageHead::Get(std::string_view name) const {
  for (std::size_t i = 0; i < size(); ++i) {
    const Field it = at(i);
    if (SameName(it.name, name)) {
      return it.value;
    }
  }
  return std::nullopt;
}

std::size_t MessageHead::Count(FieldId id) const {
  std::size_t n = 0;
  for (const auto& it : spans_) {
    n += it.id == id ? 1 : 0;
  }
  return n;
}

bool StatesExcludedBody(const MessageHead& head) {
  return head.status == status::kNoContent &&
         (head.Count(FieldId::transfer_encoding) != 0 ||
          head.Get(FieldId::content_length).value_or("0") != "0");
}

bool SameName(std::string_view a, std::string_view b) {
  return beast::iequals(ToBeast(a), ToBeast(b));
}

bool ListContains(std::string_view list, std::string_view token) {
  return beast::http::token_list(ToBeast(list)).exists(ToBeast(token));
}

}  // namespace gentianreach::http
