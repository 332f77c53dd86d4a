// Makes JSON merge patches (RFC 7396); nlohmann::json applies them.
#ifndef SRC_BASE_MERGE_PATCH_H_
#define SRC_BASE_MERGE_PATCH_H_

#include <optional>

#include <nlohmann/json.hpp>

namespace gentianreach {

// Returns the patch with which `from.merge_patch(patch)` becomes `to`. Nothing
// where there is none: a patch cannot set a member to null. Lists that differ
// are replaced whole.
[[nodiscard]] std::optional<nlohmann::json> MakeMergePatch(
    const nlohmann::json& from,
    const nlohmann::json& to);

}  // namespace gentianreach

#endif  // SRC_BASE_MERGE_PATCH_H_
