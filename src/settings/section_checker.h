// Checks of a section's values that the schema cannot express.
#ifndef SRC_SETTINGS_SECTION_CHECKER_H_
#define SRC_SETTINGS_SECTION_CHECKER_H_

#include <string>
#include <string_view>
#include <vector>

#include "gentianreach/settings.h"
#include "settings/document.h"

namespace gentianreach::settings {

// Collects errors with the line of the key they concern.
class SectionChecker {
 public:
  SectionChecker(const Document& doc,
                 std::string_view section,
                 std::vector<SettingsError>* errors)
      : doc_(doc), section_(section), errors_(errors) {}

  void Report(std::string_view key, std::string message);
  // Reports the key where `value` is empty.
  void Require(std::string_view key, const std::string& value);
  // Reports the key where `value` is no "IP:port".
  void RequireAddress(std::string_view key, const std::string& value);

 private:
  const Document& doc_;
  const std::string section_;
  std::vector<SettingsError>* errors_;
};

}  // namespace gentianreach::settings

#endif  // SRC_SETTINGS_SECTION_CHECKER_H_
