#include "soak/process.h"

#include <sys/prctl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <fstream>
#include <utility>

namespace gentianreach::soak {
namespace {

void SetUpChild(gpointer data) {
  const auto& options = *static_cast<const Process::Options*>(data);
  if (options.max_descriptors) {
    const rlimit limit{*options.max_descriptors, *options.max_descriptors};
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  if (options.blocks_signals) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    sigaddset(&signals, SIGTERM);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // The kernel hangs up a process group with stopped members when the shell of
  // its session exits.
  setsid();
}

}  // namespace

boost::leaf::result<std::unique_ptr<Process>> Process::Start(
    const std::vector<std::string>& arguments,
    Options options,
    Callbacks callbacks) {
  const bool to_file = !options.output_file.empty();
  const auto flags =
      static_cast<GSubprocessFlags>(G_SUBPROCESS_FLAGS_STDIN_PIPE |
                                    (to_file ? G_SUBPROCESS_FLAGS_STDERR_MERGE
                                             : G_SUBPROCESS_FLAGS_STDOUT_PIPE));
  const auto launcher =
      GObjectPtr<GSubprocessLauncher>::Adopt(g_subprocess_launcher_new(flags));
  g_subprocess_launcher_set_child_setup(launcher.get(), &SetUpChild, &options,
                                        nullptr);
  if (to_file) {
    g_subprocess_launcher_set_stdout_file_path(launcher.get(),
                                               options.output_file.c_str());
  }
  std::vector<const char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& it : arguments) {
    argv.push_back(it.c_str());
  }
  argv.push_back(nullptr);
  GError* raw_error = nullptr;
  auto process = GObjectPtr<GSubprocess>::Adopt(
      g_subprocess_launcher_spawnv(launcher.get(), argv.data(), &raw_error));
  const GErrorPtr error(raw_error);
  if (!process) {
    return boost::leaf::new_error(SpawnError{error->message});
  }
  return std::unique_ptr<Process>(
      new Process(std::move(process), std::move(callbacks)));
}

Process::Process(GObjectPtr<GSubprocess> process, Callbacks callbacks)
    : process_(std::move(process)), state_(std::make_shared<State>()) {
  state_->callbacks = std::move(callbacks);
  if (GInputStream* out = g_subprocess_get_stdout_pipe(process_.get())) {
    reader_ = std::make_unique<LineReader>(
        GObjectPtr<GInputStream>::Share(out),
        [state = state_](const std::string& line) {
          state->callbacks.on_line(line);
        },
        [] {});
  }
  g_subprocess_wait_async(process_.get(), nullptr, &Process::OnExit,
                          new std::shared_ptr<State>(state_));
}

Process::~Process() {
  state_->abandoned = true;
  g_subprocess_force_exit(process_.get());
}

void Process::OnExit(GObject* process, GAsyncResult* result, gpointer data) {
  const std::unique_ptr<std::shared_ptr<State>> state(
      static_cast<std::shared_ptr<State>*>(data));
  auto* subprocess = G_SUBPROCESS(process);
  g_subprocess_wait_finish(subprocess, result, nullptr);
  if (!(*state)->abandoned) {
    // The callback may destroy the process.
    const auto on_exit = (*state)->callbacks.on_exit;
    on_exit(g_subprocess_get_status(subprocess));
  }
}

void Process::Signal(int signal) {
  g_subprocess_send_signal(process_.get(), signal);
}

Duration Process::RunQueueWait() const {
  const char* id = g_subprocess_get_identifier(process_.get());
  if (id == nullptr) {
    return Duration(0);
  }
  std::ifstream in(std::string("/proc/") + id + "/schedstat");
  std::int64_t ran_ns = 0;
  std::int64_t waited_ns = 0;
  in >> ran_ns >> waited_ns;
  return std::chrono::nanoseconds(waited_ns);
}

void Process::WriteLine(const std::string& line) {
  const std::string text = line + "\n";
  g_output_stream_write_all(g_subprocess_get_stdin_pipe(process_.get()),
                            text.data(), text.size(), nullptr, nullptr,
                            nullptr);
}

}  // namespace gentianreach::soak
