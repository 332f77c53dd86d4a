// Store of a soak: runs the fake platform store as a process.
//
// Prints "address=IP:PORT" and then reads commands from standard input:
//   fail STATUS               fails all calls with STATUS; 0: serves them
//   refuse IP STATUS          fails calls from that address; 0: serves them
//   lose 0|1                  1: applies writes but sends no response
//   drop                      drops the change history
//   turn-back                 sets the revision counter back to its start
//   leader                    prints "leader NAME" with the name in the
//   daemons'
//                             leader record, or "-"
//   put KIND NAME CONTENT     writes an object and prints
//                             "accepted KIND NAME NANOSECONDS", with the time
//                             of the machine's boot clock
//   sample VERSION            writes that version of the sample configuration
#include <cstdlib>
#include <iostream>
#include <string>

#include <nlohmann/json.hpp>

#include "base/glib_ptr.h"
#include "platform/testing/fake_store.h"
#include "platform/testing/sample_config.h"
#include "soak/line_reader.h"

namespace gentianreach::soak {
namespace {

// Three heartbeat intervals of the soak's servers.
constexpr std::chrono::milliseconds kServerExpiry{1500};
// Kind and name of the daemons' leader record.
constexpr const char* kLeaderKind = "gentianreach-leadership";
constexpr const char* kLeaderObject = "entry";

// Returns the name of the leader in its record, or "-".
std::string LeaderName(const platform::testing::FakeStore& store) {
  const nlohmann::json record = store.Content(kLeaderKind, kLeaderObject);
  return record.is_object() ? record.value("name", "-") : "-";
}

void HandleCommand(platform::testing::FakeStore& store,
                   const std::string& line) {
  std::istringstream in(line);
  std::string command;
  in >> command;
  if (command == "fail") {
    guint status = 0;
    in >> status;
    store.set_failure(status);
  } else if (command == "refuse") {
    std::string ip;
    guint status = 0;
    in >> ip >> status;
    store.SetClientFailure(ip, status);
  } else if (command == "lose") {
    bool lose = false;
    in >> lose;
    store.set_lose_responses(lose);
  } else if (command == "drop") {
    store.DropHistory();
  } else if (command == "turn-back") {
    store.SetRevision(platform::testing::FakeStore::kFirstRevision);
  } else if (command == "leader") {
    std::cout << "leader " << LeaderName(store) << std::endl;
  } else if (command == "put") {
    std::string kind;
    std::string name;
    in >> kind >> name;
    std::string content;
    std::getline(in, content);
    store.Put(kind, name, nlohmann::json::parse(content));
    std::cout << "accepted " << kind << ' ' << name << ' '
              << MonotonicClock().Now().time_since_epoch().count() << std::endl;
  } else if (command == "sample") {
    int version = 0;
    in >> version;
    store.Put("config", "main", platform::testing::SampleConfig(version));
  } else {
    std::cerr << "unknown command: " << line << "\n";
    std::exit(EXIT_FAILURE);
  }
}

int Run() {
  platform::testing::FakeStore store;
  store.ExpireServers(kServerExpiry);
  std::cout << "address=" << store.address() << std::endl;
  const GMainLoopPtr loop(g_main_loop_new(nullptr, FALSE));
  const LineReader reader(
      GObjectPtr<GInputStream>::Adopt(g_unix_input_stream_new(0, FALSE)),
      [&](const std::string& line) { HandleCommand(store, line); },
      [&] { g_main_loop_quit(loop.get()); });
  g_main_loop_run(loop.get());
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace gentianreach::soak

int main() {
  return gentianreach::soak::Run();
}
