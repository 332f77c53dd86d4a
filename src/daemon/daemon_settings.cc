#include "daemon/daemon_settings.h"

#include <gio/gio.h>

#include <string>

#include "base/glib_ptr.h"
#include "base/log.h"
#include "settings/builder.h"
#include "settings/document.h"

namespace gentianreach {
namespace {

using settings::Document;
using settings::SettingsError;

constexpr std::string_view kSection = "daemon";

// Collects errors with the line of the key they concern.
class Checker {
 public:
  Checker(const Document& doc, std::vector<SettingsError>* errors)
      : doc_(doc), errors_(errors) {}

  void Report(std::string_view key, std::string message) {
    const auto found = doc_.Lookup(kSection, key);
    const settings::Branch* branch = doc_.Find(kSection);
    const int line = found.has_value()   ? found->entry->line
                     : branch != nullptr ? branch->line
                                         : 1;
    errors_->push_back({doc_.file(), line,
                        std::string(kSection) + "/" + std::string(key),
                        std::move(message)});
  }

  void Require(std::string_view key, const std::string& value) {
    if (value.empty()) {
      Report(key, "missing");
    }
  }

  void RequireAddress(std::string_view key, const std::string& value) {
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

 private:
  const Document& doc_;
  std::vector<SettingsError>* errors_;
};

void CheckStore(const settings::DaemonT& daemon, Checker& checker) {
  const GUriPtr uri(
      g_uri_parse(daemon.store.c_str(), G_URI_FLAGS_NONE, nullptr));
  const bool is_http =
      uri != nullptr &&
      std::string_view(g_uri_get_scheme(uri.get())).starts_with("http");
  if (!is_http) {
    checker.Report("store", "expected a URL like http://10.0.0.1:7000, not \"" +
                                daemon.store + "\"");
  }
}

void CheckTls(const settings::DaemonT& daemon, Checker& checker) {
  const bool any = !daemon.tls_certificate.empty() || !daemon.tls_key.empty() ||
                   !daemon.tls_authority.empty();
  if (daemon.insecure && any) {
    checker.Report("insecure", "contradicts the tls_ keys");
    return;
  }
  if (daemon.insecure) {
    return;
  }
  checker.Require("tls_certificate", daemon.tls_certificate);
  checker.Require("tls_key", daemon.tls_key);
  checker.Require("tls_authority", daemon.tls_authority);
}

void CheckDaemon(const settings::DaemonT& daemon, Checker& checker) {
  checker.Require("name", daemon.name);
  checker.Require("zone", daemon.zone);
  checker.RequireAddress("caller_address", daemon.caller_address);
  checker.RequireAddress("operator_address", daemon.operator_address);
  checker.RequireAddress("peer_address", daemon.peer_address);
  CheckStore(daemon, checker);
  CheckTls(daemon, checker);
  if (!ParseLogLevel(daemon.log_level).has_value()) {
    checker.Report("log_level",
                   "expected debug, info, warning or error, not \"" +
                       daemon.log_level + "\"");
  }
}

}  // namespace

DaemonSettingsResult LoadDaemonSettings(std::string_view text,
                                        std::string_view file) {
  DaemonSettingsResult result;
  const Document doc = Document::Parse(text, file, &result.errors);
  const settings::Section section = settings::DaemonSection();
  for (const settings::Branch& it : doc.branches()) {
    const bool known = settings::RootOf(it.path) == kSection;
    settings::CheckBranch(doc, it,
                          known ? std::optional(section) : std::nullopt,
                          {std::string(kSection)}, &result.errors);
  }
  auto daemon = settings::Build<settings::Daemon>(
      section, settings::ValuesOf(doc, section, kSection));
  if (daemon->cell.empty()) {
    daemon->cell = "main";
  }
  if (daemon->log_level.empty()) {
    daemon->log_level = "info";
  }
  Checker checker(doc, &result.errors);
  CheckDaemon(*daemon, checker);
  if (result.errors.empty()) {
    result.daemon = std::move(daemon);
  }
  return result;
}

}  // namespace gentianreach
