// A child process of the soak. Signals go to its process id, not its group.
#ifndef SOAK_PROCESS_H_
#define SOAK_PROCESS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "base/glib_ptr.h"
#include "gentianreach/time.h"
#include "soak/line_reader.h"

namespace gentianreach::soak {

// Why a program could not be started.
struct SpawnError {
  std::string message;
};

class Process {
 public:
  struct Callbacks {
    // Called for each line of standard output, unless it goes to a file.
    std::function<void(const std::string&)> on_line;
    // Called when the process has exited, with the status from wait().
    std::function<void(int wait_status)> on_exit;
  };

  struct Options {
    // File for its standard output and standard error. If it is empty, lines of
    // standard output go to `on_line` and standard error is inherited.
    std::string output_file;
    // Limit of its file descriptors; the soak's own limit by default.
    std::optional<std::uint64_t> max_descriptors;
    // Whether SIGHUP and SIGTERM are blocked when the program begins, so that
    // those sent before its `main` stay pending.
    bool blocks_signals = false;
  };

  // Starts a process with the command line `arguments`. It has a session of its
  // own. The kernel kills it when the soak exits.
  static boost::leaf::result<std::unique_ptr<Process>> Start(
      const std::vector<std::string>& arguments,
      Options options,
      Callbacks callbacks);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  // Kills the process. No callback is called afterwards.
  ~Process();

  void Signal(int signal);
  // Returns how long its main thread has waited for a processor since it
  // started; zero if the kernel does not tell.
  [[nodiscard]] Duration RunQueueWait() const;
  // Writes a line to the process's standard input.
  void WriteLine(const std::string& line);

 private:
  // State shared with pending GIO callbacks.
  struct State {
    Callbacks callbacks;
    bool abandoned = false;
  };

  Process(GObjectPtr<GSubprocess> process, Callbacks callbacks);
  static void OnExit(GObject* process, GAsyncResult* result, gpointer state);

  GObjectPtr<GSubprocess> process_;
  std::shared_ptr<State> state_;
  std::unique_ptr<LineReader> reader_;
};

}  // namespace gentianreach::soak

#endif  // SOAK_PROCESS_H_
