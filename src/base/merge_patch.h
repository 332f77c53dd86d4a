// Creates JSON merge patches (RFC 7396), which nlohmann::json can apply.
#ifndef SRC_BASE_MERGE_PATCH_H_
#define SRC_BASE_MERGE_PATCH_H_

#include <optional>

#include <nlohmann/json.hpp>

namespace gentianreach {

// Returns the patch that changes `from` into `to` by `from.merge_patch(patch)`,
// or nullopt if there is none: a patch cannot set a member to null. Arrays that
// differ are replaced as a whole.
[[nodiscard]] std::optional<nlohmann::json> MakeMergePatch(
    const nlohmann::json& from,
    const nlohmann::json& to);

}  // namespace gentianreach

#endif  // SRC_BASE_MERGE_PATCH_H_
