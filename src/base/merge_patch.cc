#include "base/merge_patch.h"

#include <utility>

namespace gentianreach {
namespace {

using nlohmann::json;

// Returns whether an object in `value` has a null member, which a patch cannot
// represent.
bool HasNullMember(const json& value) {
  if (!value.is_object()) {
    return false;
  }
  for (const auto& [name, it] : value.items()) {
    if (it.is_null() || HasNullMember(it)) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::optional<json> MakeMergePatch(const json& from, const json& to) {
  if (!from.is_object() || !to.is_object()) {
    if (HasNullMember(to)) {
      return std::nullopt;
    }
    return to;
  }
  json patch = json::object();
  for (const auto& [name, it] : from.items()) {
    if (!to.contains(name)) {
      patch[name] = nullptr;
    }
  }
  for (const auto& [name, it] : to.items()) {
    const auto before = from.find(name);
    if (before != from.end() && *before == it) {
      continue;
    }
    if (it.is_null()) {
      return std::nullopt;
    }
    auto part = MakeMergePatch(before == from.end() ? json() : *before, it);
    if (!part) {
      return std::nullopt;
    }
    patch[name] = *std::move(part);
  }
  return patch;
}

}  // namespace gentianreach
