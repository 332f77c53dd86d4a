// Checks of the settings tree that involve more than one value.
#ifndef SRC_SETTINGS_CHECKS_H_
#define SRC_SETTINGS_CHECKS_H_

#include <string>
#include <string_view>
#include <vector>

#include "gentianreach/settings.h"
#include "settings/document.h"

namespace gentianreach::settings {

// Replaces the groups in every service's `zones` by the zones they include.
// Reports unknown places, cycles among groups and services without any place.
// If the text has no [places], the names are zones already and are kept.
void ResolvePlaces(const Document& doc,
                   TreeT* tree,
                   std::vector<SettingsError>* errors);

// Reports routes that name no known service, lack a key although their service
// is keyed, have a deadline above max_deadline or a malformed path prefix, and
// routes that can never match because earlier routes cover them.
void CheckRoutes(const Document& doc,
                 const TreeT& tree,
                 std::vector<SettingsError>* errors);

// Reports timings of [cell] that are inconsistent with each other
// (docs/design/ownership.md).
void CheckTiming(const Document& doc,
                 const TreeT& tree,
                 std::vector<SettingsError>* errors);

// Returns whether `wide` matches every request with `method` that `narrow`
// matches. `method` is one of the methods of `narrow`, or empty if `narrow`
// matches all methods.
[[nodiscard]] bool RouteCovers(const RouteT& wide,
                               const RouteT& narrow,
                               std::string_view method);

}  // namespace gentianreach::settings

#endif  // SRC_SETTINGS_CHECKS_H_
