// Helpers shared by the daemon programs: command line, settings file and signal
// handling.
#ifndef TOOLS_DAEMON_PROGRAM_H_
#define TOOLS_DAEMON_PROGRAM_H_

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <string>

#include <glib-unix.h>

#include <CLI/CLI.hpp>

#include "base/glib_ptr.h"

namespace gentianreach::tools {

struct ProgramInfo {
  std::string name;
  std::string description;
  // Name of the settings file's section for this program.
  std::string section;
};

// Returns the settings that `load` parses from the file at `path`, or null if
// the file cannot be read or is invalid. Prints all errors. The result of
// `load` must have the members `settings` (null on error) and `errors`.
template <typename Load>
auto ReadSettings(const std::string& path, const Load& load)
    -> decltype(load(std::string(), path).settings) {
  std::ifstream in(path);
  if (!in) {
    std::cerr << path << ": cannot be read\n";
    return nullptr;
  }
  std::stringstream text;
  text << in.rdbuf();
  auto result = load(text.str(), path);
  for (const auto& it : result.errors) {
    std::cerr << ToString(it) << "\n";
  }
  return std::move(result.settings);
}

namespace internal {

// Blocks (SIG_BLOCK) or unblocks (SIG_UNBLOCK) the signals that a daemon
// handles in its main loop. Threads that start while they are blocked leave
// them to the main thread.
inline void ChangeSignalMask(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int it : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, it);
  }
  pthread_sigmask(how, &signals, nullptr);
}

inline gboolean RunSourceFunction(gpointer function) {
  (*static_cast<std::function<void()>*>(function))();
  return G_SOURCE_CONTINUE;
}

}  // namespace internal

// Runs the main loop until `daemon` has stopped after SIGTERM or SIGINT. Calls
// `on_reload` on SIGHUP. If `on_reload` is null, SIGHUP keeps its default
// action and terminates the process. Unblocks these signals, so that those that
// arrived since DaemonMain() blocked them are handled now.
template <typename Daemon>
void RunUntilStopped(Daemon& daemon, std::function<void()> on_reload) {
  const GMainLoopPtr loop(g_main_loop_new(nullptr, FALSE));
  std::function<void()> stop = [&daemon, &loop] {
    daemon.Stop([&loop] { g_main_loop_quit(loop.get()); });
  };
  g_unix_signal_add(SIGTERM, &internal::RunSourceFunction, &stop);
  g_unix_signal_add(SIGINT, &internal::RunSourceFunction, &stop);
  if (on_reload) {
    g_unix_signal_add(SIGHUP, &internal::RunSourceFunction, &on_reload);
  }
  internal::ChangeSignalMask(SIG_UNBLOCK);
  g_main_loop_run(loop.get());
}

// Returns the exit code of a daemon program. Parses the arguments, reads the
// settings with `load` (see ReadSettings()) and passes them with the file's
// path to `run`. Signals stay blocked until RunUntilStopped().
template <typename Load, typename Run>
int DaemonMain(int argc,
               char** argv,
               const ProgramInfo& info,
               const Load& load,
               const Run& run) {
  internal::ChangeSignalMask(SIG_BLOCK);
  constexpr int kUsageError = 2;
  CLI::App app{info.description};
  std::string config;
  bool check_config = false;
  app.add_option("--config", config,
                 "File with the section [" + info.section + "]")
      ->required();
  app.add_flag("--check-config", check_config,
               "Check the settings file and exit");
  app.set_version_flag("--version", info.name + " " + GENTIANREACH_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? EXIT_SUCCESS : kUsageError;
  }
  const auto settings = ReadSettings(config, load);
  if (settings == nullptr) {
    return EXIT_FAILURE;
  }
  if (check_config) {
    std::cout << config << ": ok\n";
    return EXIT_SUCCESS;
  }
  return run(*settings, config);
}

}  // namespace gentianreach::tools

#endif  // TOOLS_DAEMON_PROGRAM_H_
