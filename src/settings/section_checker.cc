#include "settings/section_checker.h"

#include <gio/gio.h>

#include <utility>

namespace gentianreach::settings {

void SectionChecker::Report(std::string_view key, std::string message) {
  const auto found = doc_.Lookup(section_, key);
  const Branch* branch = doc_.Find(section_);
  const int line = found.has_value()   ? found->entry->line
                   : branch != nullptr ? branch->line
                                       : 1;
  errors_->push_back({doc_.file(), line, section_ + "/" + std::string(key),
                      std::move(message)});
}

void SectionChecker::Require(std::string_view key, const std::string& value) {
  if (value.empty()) {
    Report(key, "missing");
  }
}

void SectionChecker::RequireAddress(std::string_view key,
                                    const std::string& value) {
  if (value.empty()) {
    Report(key, "missing");
    return;
  }
  const std::size_t colon = value.rfind(':');
  const bool ok = colon != std::string::npos &&
                  g_hostname_is_ip_address(value.substr(0, colon).c_str()) &&
                  colon + 1 < value.size() &&
                  g_ascii_string_to_unsigned(value.c_str() + colon + 1, 10, 0,
                                             G_MAXUINT16, nullptr, nullptr);
  if (!ok) {
    Report(key, "expected IP:port, not \"" + value + "\"");
  }
}

}  // namespace gentianreach::settings
