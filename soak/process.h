// A child process of the soak. Signals go to its process id, not its group.
#ifndef SOAK_PROCESS_H_
#define SOAK_PROCESS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "base/glib_ptr.h"
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

  // Starts a process with the command line `arguments`. Its standard output
  // goes to `output_file`, or to `on_line` if that is empty; its standard error
  // is inherited. It has a session of its own. The kernel kills it when the
  // soak exits.
  static boost::leaf::result<std::unique_ptr<Process>> Start(
      const std::vector<std::string>& arguments,
      const std::string& output_file,
      Callbacks callbacks);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  // Kills the process. No callback is called afterwards.
  ~Process();

  void Signal(int signal);
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
