// The daemon on an entry VM.
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include <glib-unix.h>
#include <boost/leaf/handle_errors.hpp>

#include <CLI/CLI.hpp>

#include "base/glib_ptr.h"
#include "base/log.h"
#include "daemon/daemon.h"
#include "daemon/daemon_settings.h"

namespace {

constexpr int kUsageError = 2;

struct Arguments {
  std::string config;
  bool check_config = false;
};

// What the signal handlers need.
struct Running {
  gentianreach::Daemon* daemon;
  GMainLoop* loop;
};

gboolean OnTerminate(gpointer data) {
  auto* running = static_cast<Running*>(data);
  GMainLoop* loop = running->loop;
  running->daemon->Stop([loop] { g_main_loop_quit(loop); });
  return G_SOURCE_CONTINUE;
}

// Returns the daemon's settings; prints what is wrong with them where null.
std::unique_ptr<gentianreach::settings::DaemonT> ReadSettings(
    const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    std::cerr << path << ": cannot be read\n";
    return nullptr;
  }
  std::stringstream text;
  text << in.rdbuf();
  auto result = gentianreach::LoadDaemonSettings(text.str(), path);
  for (const auto& it : result.errors) {
    std::cerr << ToString(it) << "\n";
  }
  return std::move(result.daemon);
}

int RunDaemon(const gentianreach::settings::DaemonT& settings) {
  gentianreach::InitLogging(*gentianreach::ParseLogLevel(settings.log_level));
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
  const gentianreach::GMainLoopPtr loop(g_main_loop_new(nullptr, FALSE));
  Running running{&daemon, loop.get()};
  g_unix_signal_add(SIGTERM, &OnTerminate, &running);
  g_unix_signal_add(SIGINT, &OnTerminate, &running);
  g_main_loop_run(loop.get());
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Router for servers that own keys exclusively: the daemon"};
  Arguments arguments;
  app.add_option("--config", arguments.config, "File with the section [daemon]")
      ->required();
  app.add_flag("--check-config", arguments.check_config,
               "Check the file and exit");
  app.set_version_flag("--version", "gentianreachd " GENTIANREACH_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? EXIT_SUCCESS : kUsageError;
  }
  const auto settings = ReadSettings(arguments.config);
  if (settings == nullptr) {
    return EXIT_FAILURE;
  }
  if (arguments.check_config) {
    std::cout << arguments.config << ": ok\n";
    return EXIT_SUCCESS;
  }
  return RunDaemon(*settings);
}
