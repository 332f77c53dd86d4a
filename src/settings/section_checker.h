// Validation of values in a section that the schema cannot express.
#ifndef SRC_SETTINGS_SECTION_CHECKER_H_
#define SRC_SETTINGS_SECTION_CHECKER_H_

#include <string>
#include <string_view>
#include <vector>

#include "gentianreach/settings.h"
#include "settings/document.h"

namespace gentianreach::settings {

// Appends errors about keys of one section, with their line numbers.
class SectionChecker {
 public:
  SectionChecker(const Document& doc,
                 std::string_view section,
                 std::vector<SettingsError>* errors)
      : doc_(doc), section_(section), errors_(errors) {}

  void Report(std::string_view key, std::string message);
  // Reports `key` as missing if `value` is empty.
  void Require(std::string_view key, const std::string& value);
  // Reports `key` if `value` is empty or not of the form "IP:port".
  void RequireAddress(std::string_view key, const std::string& value);

 private:
  const Document& doc_;
  const std::string section_;
  std::vector<SettingsError>* errors_;
};

}  // namespace gentianreach::settings

#endif  // SRC_SETTINGS_SECTION_CHECKER_H_
