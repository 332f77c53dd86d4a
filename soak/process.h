// A program that the soak started. Signals go to its process id only.
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
    // A line of its standard output; not called where that goes to a file.
    std::function<void(const std::string&)> on_line;
    // It has ended, with what wait() says of it.
    std::function<void(int wait_status)> on_exit;
  };

  // Starts the program `arguments`. Its standard output goes to `output_file`,
  // or to `on_line` where that is empty; its errors go to those of the soak.
  // The kernel kills it when the soak ends.
  static boost::leaf::result<std::unique_ptr<Process>> Start(
      const std::vector<std::string>& arguments,
      const std::string& output_file,
      Callbacks callbacks);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  // Kills it. No callback follows.
  ~Process();

  void Signal(int signal);
  // Writes a line to its standard input.
  void WriteLine(const std::string& line);

 private:
  // What the callbacks of GIO hold on to.
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
