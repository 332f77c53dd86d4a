// Checks of a tree as a whole: what no single value can get wrong alone.
#ifndef SRC_SETTINGS_CHECKS_H_
#define SRC_SETTINGS_CHECKS_H_

#include <string>
#include <string_view>
#include <vector>

#include "gentianreach/settings.h"
#include "settings/document.h"

namespace gentianreach::settings {

// Replaces the groups in every service's `zones` by the zones they include and
// reports unknown places, cycles among groups and services without a place.
// Without [places] the names are zones and stay as they are.
void ResolvePlaces(const Document& doc,
                   TreeT* tree,
                   std::vector<SettingsError>* errors);

// Reports routes without a service, without a key that their service needs,
// with contradicting deadlines, and those that an earlier route hides.
void CheckRoutes(const Document& doc,
                 const TreeT& tree,
                 std::vector<SettingsError>* errors);

// Reports timings of [cell] that contradict each other
// (docs/design/ownership.md).
void CheckTiming(const Document& doc,
                 const TreeT& tree,
                 std::vector<SettingsError>* errors);

// Returns whether every request that `narrow` matches is also matched by
// `wide`, method by method: `method` is one of narrow's, or empty for any.
[[nodiscard]] bool RouteCovers(const RouteT& wide,
                               const RouteT& narrow,
                               std::string_view method);

}  // namespace gentianreach::settings

#endif  // SRC_SETTINGS_CHECKS_H_
