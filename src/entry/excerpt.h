// Excerpts of unreadable store objects for the log.
#ifndef SRC_ENTRY_EXCERPT_H_
#define SRC_ENTRY_EXCERPT_H_

#include <cstddef>
#include <string>

#include <nlohmann/json.hpp>

namespace gentianreach::entry {

inline constexpr std::size_t kExcerptBytes = 200;

// Returns the start of `content`, in ASCII.
[[nodiscard]] inline std::string Excerpt(const nlohmann::json& content) {
  return content.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace)
      .substr(0, kExcerptBytes);
}

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_EXCERPT_H_
