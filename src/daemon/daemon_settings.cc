#include "daemon/daemon_settings.h"

#include <gio/gio.h>

#include <string>

#include "base/glib_ptr.h"
#include "base/log.h"
#include "settings/builder.h"
#include "settings/document.h"
#include "settings/section_checker.h"

namespace gentianreach {
namespace {

using settings::Document;
using settings::SectionChecker;

constexpr std::string_view kSection = "daemon";

void CheckStore(const settings::DaemonT& daemon, SectionChecker& checker) {
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

void CheckTls(const settings::DaemonT& daemon, SectionChecker& checker) {
  const bool any = !daemon.tls_certificate.empty() || !daemon.tls_key.empty() ||
                   !daemon.tls_authority.empty();
  if (daemon.insecure && any) {
    checker.Report("insecure", "must not be combined with the tls_ keys");
    return;
  }
  if (daemon.insecure) {
    return;
  }
  checker.Require("tls_certificate", daemon.tls_certificate);
  checker.Require("tls_key", daemon.tls_key);
  checker.Require("tls_authority", daemon.tls_authority);
}

void CheckDaemon(const settings::DaemonT& daemon, SectionChecker& checker) {
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
  SectionChecker checker(doc, kSection, &result.errors);
  CheckDaemon(*daemon, checker);
  if (result.errors.empty()) {
    result.daemon = std::move(daemon);
  }
  return result;
}

}  // namespace gentianreach
