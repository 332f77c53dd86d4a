// The daemon on an entry VM of the platform.
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>

#include <glib-unix.h>
#include <boost/leaf/handle_errors.hpp>

#include <CLI/CLI.hpp>

#include "base/glib_ptr.h"
#include "base/log.h"
#include "daemon/operator_server.h"
#include "entry/entry_daemon.h"
#include "entry/entry_settings.h"
#include "net/tcp_socket.h"

namespace {

constexpr int kUsageError = 2;

struct Arguments {
  std::string config;
  bool check_config = false;
};

// What the signal handlers need.
struct Running {
  gentianreach::entry::EntryDaemon* daemon;
  GMainLoop* loop;
  const Arguments* arguments;
};

// Returns the daemon's settings; prints what is wrong with them where null.
std::unique_ptr<gentianreach::settings::EntryDaemonT> ReadSettings(
    const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    std::cerr << path << ": cannot be read\n";
    return nullptr;
  }
  std::stringstream text;
  text << in.rdbuf();
  auto result = gentianreach::entry::LoadEntrySettings(text.str(), path);
  for (const auto& it : result.errors) {
    std::cerr << ToString(it) << "\n";
  }
  return std::move(result.entry);
}

gboolean OnTerminate(gpointer data) {
  auto* running = static_cast<Running*>(data);
  GMainLoop* loop = running->loop;
  running->daemon->Stop([loop] { g_main_loop_quit(loop); });
  return G_SOURCE_CONTINUE;
}

// The addresses of a running daemon do not change: the file is only checked,
// so that an operator learns of an error before the next start.
gboolean OnReload(gpointer data) {
  const auto* running = static_cast<Running*>(data);
  const bool valid = ReadSettings(running->arguments->config) != nullptr;
  gentianreach::Log(gentianreach::LogLevel::kInfo, "settings_read",
                    {{"valid", valid}});
  return G_SOURCE_CONTINUE;
}

bool Start(gentianreach::entry::EntryDaemon& daemon) {
  return boost::leaf::try_handle_all(
      [&daemon]() -> boost::leaf::result<bool> {
        BOOST_LEAF_CHECK(daemon.Start());
        return true;
      },
      [](const gentianreach::net::SocketError& error) {
        std::cerr << error.message << "\n";
        return false;
      },
      [](const gentianreach::ListenError& error) {
        std::cerr << error.message << "\n";
        return false;
      },
      [] {
        std::cerr << "cannot start\n";
        return false;
      });
}

int RunDaemon(const Arguments& arguments,
              const gentianreach::settings::EntryDaemonT& settings) {
  gentianreach::InitLogging(*gentianreach::ParseLogLevel(settings.log_level),
                            gentianreach::LogTarget::kStandardOutput);
  gentianreach::entry::EntryDaemon daemon(settings);
  if (!Start(daemon)) {
    return EXIT_FAILURE;
  }
  const gentianreach::GMainLoopPtr loop(g_main_loop_new(nullptr, FALSE));
  Running running{&daemon, loop.get(), &arguments};
  g_unix_signal_add(SIGTERM, &OnTerminate, &running);
  g_unix_signal_add(SIGINT, &OnTerminate, &running);
  g_unix_signal_add(SIGHUP, &OnReload, &running);
  g_main_loop_run(loop.get());
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Router for servers that own keys exclusively: entry daemon"};
  Arguments arguments;
  app.add_option("--config", arguments.config, "File with the section [entry]")
      ->required();
  app.add_flag("--check-config", arguments.check_config,
               "Check the file and exit");
  app.set_version_flag("--version",
                       "gentianreach_entryd " GENTIANREACH_VERSION);
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
  return RunDaemon(arguments, *settings);
}
