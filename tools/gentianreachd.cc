// The daemon program for entry VMs.
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/leaf/handle_errors.hpp>

#include "base/log.h"
#include "daemon/daemon.h"
#include "daemon/daemon_settings.h"
#include "net/descriptor_limit.h"
#include "tools/daemon_program.h"

namespace {

using gentianreach::settings::DaemonT;

struct LoadResult {
  std::unique_ptr<DaemonT> settings;
  std::vector<gentianreach::settings::SettingsError> errors;
};

LoadResult Load(const std::string& text, const std::string& path) {
  auto result = gentianreach::LoadDaemonSettings(text, path);
  return {std::move(result.daemon), std::move(result.errors)};
}

int Run(const DaemonT& settings, const std::string& /*path*/) {
  gentianreach::InitLogging(*gentianreach::ParseLogLevel(settings.log_level));
  gentianreach::net::RaiseDescriptorLimit();
  gentianreach::Daemon daemon(settings);
  const bool started = boost::leaf::try_handle_all(
      [&daemon]() -> boost::leaf::result<bool> {
        BOOST_LEAF_CHECK(daemon.Start());
        return true;
      },
      [](const gentianreach::StartError& error) {
        std::cerr << error.message << "\n";
        return false;
      },
      [] {
        std::cerr << "cannot start\n";
        return false;
      });
  if (!started) {
    return EXIT_FAILURE;
  }
  gentianreach::tools::RunUntilStopped(daemon, nullptr);
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  return gentianreach::tools::DaemonMain(
      argc, argv,
      {.name = "gentianreachd",
       .description =
           "Router for servers that own keys exclusively: the daemon",
       .section = "daemon"},
      Load, Run);
}
