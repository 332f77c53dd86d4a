// The daemon program for entry VMs of the platform.
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/leaf/handle_errors.hpp>

#include "base/log.h"
#include "daemon/operator_server.h"
#include "entry/entry_daemon.h"
#include "entry/entry_settings.h"
#include "net/descriptor_limit.h"
#include "net/tcp_socket.h"
#include "tools/daemon_program.h"

namespace {

using gentianreach::Log;
using gentianreach::LogLevel;
using gentianreach::settings::EntryDaemonT;

struct LoadResult {
  std::unique_ptr<EntryDaemonT> settings;
  std::vector<gentianreach::settings::SettingsError> errors;
};

LoadResult Load(const std::string& text, const std::string& path) {
  auto result = gentianreach::entry::LoadEntrySettings(text, path);
  return {std::move(result.entry), std::move(result.errors)};
}

// Reports why the daemon cannot start, and returns false.
bool Fail(const std::string& message) {
  Log(LogLevel::kError, "start_failed", {{"error", message}});
  std::cerr << message << "\n";
  return false;
}

bool Start(gentianreach::entry::EntryDaemon& daemon) {
  return boost::leaf::try_handle_all(
      [&daemon]() -> boost::leaf::result<bool> {
        BOOST_LEAF_CHECK(daemon.Start());
        return true;
      },
      [](const gentianreach::net::SocketError& error) {
        return Fail(error.message);
      },
      [](const gentianreach::ListenError& error) {
        return Fail(error.message);
      },
      [] { return Fail("cannot start"); });
}

int Run(const EntryDaemonT& settings, const std::string& path) {
  gentianreach::InitLogging(*gentianreach::ParseLogLevel(settings.log_level),
                            gentianreach::LogTarget::kStandardOutput);
  gentianreach::net::RaiseDescriptorLimit();
  gentianreach::entry::EntryDaemon daemon(settings);
  if (!Start(daemon)) {
    return EXIT_FAILURE;
  }
  // A running daemon cannot change its addresses. SIGHUP only validates the
  // settings file, so that operators see errors before the next start.
  gentianreach::tools::RunUntilStopped(daemon, [&path] {
    const bool valid = gentianreach::tools::ReadSettings(path, Load) != nullptr;
    Log(LogLevel::kInfo, "settings_read", {{"valid", valid}});
  });
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  return gentianreach::tools::DaemonMain(
      argc, argv,
      {.name = "gentianreach_entryd",
       .description =
           "Router for servers that own keys exclusively: entry daemon",
       .section = "entry"},
      Load, Run);
}
