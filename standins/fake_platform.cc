// Fake platform: versioned objects with conditional updates and watches, and
// the list of VMs, which may lag behind (docs/PROTOCOLS.md).
//
// POST /control accepts JSON: {"mode": "up"|"down"|"slow", "slow_ms": N,
// "lose_answers": N (the next N writes take effect but get no response),
// "vms": [...]}. GET /control/calls returns the number of calls by kind.
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <string>

#include <libsoup/soup.h>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "base/glib_ptr.h"
#include "base/timer.h"
#include "standins/soup_server.h"

namespace gentianreach::standins {
namespace {

constexpr std::size_t kMaxObjectBytes = 1 << 20;

struct Object {
  std::uint64_t version = 0;
  std::string bytes;
};

// A pending watch. Completed by the next matching change or by its timer.
struct Watcher {
  GObjectPtr<SoupServerMessage> message;
  std::string prefix;
  Timer timer;
};

enum class Mode : std::uint8_t { kUp, kDown, kSlow };

class FakePlatform {
 public:
  void Handle(SoupServerMessage* message, const Request& request) {
    if (request.path == "/control") {
      Control(message, request);
      return;
    }
    if (request.path == "/control/calls") {
      Reply(message, 200, Json(calls_));
      return;
    }
    if (mode_ == Mode::kDown) {
      Reply(message, 503, {});
      return;
    }
    if (mode_ == Mode::kSlow) {
      ReplyLater(message, request);
      return;
    }
    Serve(message, request);
  }

 private:
  void Serve(SoupServerMessage* message, const Request& request) {
    constexpr std::string_view kObjectsPath = "/v1/objects/";
    if (request.path == "/v1/vms") {
      ++calls_["vms"];
      Reply(message, 200, {{"vms", vms_}});
    } else if (request.path == "/v1/watch") {
      ++calls_["watch"];
      Watch(message, request);
    } else if (request.path == "/v1/objects") {
      ++calls_["list"];
      const std::string prefix = request.Query("prefix");
      Reply(message, 200, ChangesAfter(prefix, 0));
    } else if (request.path.starts_with(kObjectsPath)) {
      ServeObject(message, request, request.path.substr(kObjectsPath.size()));
    } else {
      Reply(message, 404, {});
    }
  }

  void ServeObject(SoupServerMessage* message,
                   const Request& request,
                   const std::string& name) {
    const auto it = objects_.find(name);
    if (request.method == "GET") {
      ++calls_["read"];
      if (it == objects_.end()) {
        Reply(message, 404, {});
        return;
      }
      ReplyBytes(message, 200, it->second.bytes,
                 {{"ETag", Quote(it->second.version)}});
      return;
    }
    ++calls_["write"];
    if (!ConditionHolds(request, it)) {
      Reply(message, 412, {});
      return;
    }
    if (request.body.size() > kMaxObjectBytes) {
      Reply(message, 413, {});
      return;
    }
    Change(message, request, name);
  }

  void Change(SoupServerMessage* message,
              const Request& request,
              const std::string& name) {
    ++revision_;
    if (request.method == "DELETE") {
      objects_.erase(name);
    } else {
      objects_[name] = {revision_, request.body};
    }
    NotifyWatchers(name);
    if (responses_to_lose_ > 0) {
      --responses_to_lose_;
      DropConnection(message);
      return;
    }
    ReplyBytes(message, 200, "", {{"ETag", Quote(revision_)}});
  }

  [[nodiscard]] bool ConditionHolds(
      const Request& request,
      std::map<std::string, Object>::const_iterator it) const {
    const std::string match = request.Header("If-Match");
    if (!match.empty()) {
      return it != objects_.end() && match == Quote(it->second.version);
    }
    return request.Header("If-None-Match") == "*" && it == objects_.end();
  }

  [[nodiscard]] Json ChangesAfter(const std::string& prefix,
                                  std::uint64_t after) const {
    Json list = Json::array();
    for (const auto& [name, object] : objects_) {
      if (!name.starts_with(prefix) || object.version <= after) {
        continue;
      }
      list.push_back({{"name", name}, {"version", object.version}});
    }
    return {{"revision", revision_}, {"objects", list}};
  }

  void Watch(SoupServerMessage* message, const Request& request) {
    const std::string prefix = request.Query("prefix");
    const Json changes = ChangesAfter(
        prefix, std::strtoull(request.Query("after").c_str(), nullptr, 10));
    if (!changes["objects"].empty()) {
      Reply(message, 200, changes);
      return;
    }
    soup_server_message_pause(message);
    auto watcher = std::make_unique<Watcher>();
    watcher->message = GObjectPtr<SoupServerMessage>::Share(message);
    watcher->prefix = prefix;
    const std::chrono::milliseconds wait(
        std::strtoll(request.Query("wait_ms").c_str(), nullptr, 10));
    Watcher* raw = watcher.get();
    watcher->timer.Set(MonotonicClock().Now() + wait, [this, raw] {
      Resume(raw, {{"revision", revision_}, {"objects", Json::array()}});
    });
    watchers_.push_back(std::move(watcher));
  }

  void Resume(Watcher* watcher, const Json& changes) {
    SoupServerMessage* message = watcher->message.get();
    Reply(message, 200, changes);
    soup_server_message_unpause(message);
    std::erase_if(watchers_,
                  [watcher](const auto& it) { return it.get() == watcher; });
  }

  void NotifyWatchers(const std::string& name) {
    std::vector<Watcher*> due;
    for (const auto& it : watchers_) {
      if (name.starts_with(it->prefix)) {
        due.push_back(it.get());
      }
    }
    for (Watcher* it : due) {
      Resume(it, ChangesAfter(it->prefix, revision_ - 1));
    }
  }

  void ReplyLater(SoupServerMessage* message, const Request& request) {
    soup_server_message_pause(message);
    auto delayed = std::make_shared<Timer>();
    auto held = GObjectPtr<SoupServerMessage>::Share(message);
    delayed->Set(MonotonicClock().Now() + delay_,
                 [this, held, request, delayed] {
                   Serve(held.get(), request);
                   soup_server_message_unpause(held.get());
                 });
  }

  void Control(SoupServerMessage* message, const Request& request) {
    const Json json = Json::parse(request.body, nullptr, false);
    if (!json.is_object()) {
      Reply(message, 400, {{"error", "body is not a JSON object"}});
      return;
    }
    const std::string mode = json.value("mode", "");
    if (mode == "up") {
      mode_ = Mode::kUp;
    } else if (mode == "down") {
      mode_ = Mode::kDown;
    } else if (mode == "slow") {
      mode_ = Mode::kSlow;
    }
    delay_ = std::chrono::milliseconds(json.value("slow_ms", 1000));
    responses_to_lose_ = json.value("lose_answers", responses_to_lose_);
    if (json.contains("vms")) {
      vms_ = json["vms"];
    }
    Reply(message, 200, {{"ok", true}});
  }

  static std::string Quote(std::uint64_t version) {
    return '"' + std::to_string(version) + '"';
  }

  std::map<std::string, Object> objects_;
  std::list<std::unique_ptr<Watcher>> watchers_;
  std::map<std::string, std::uint64_t> calls_;
  Json vms_ = Json::array();
  std::uint64_t revision_ = 0;
  std::uint64_t responses_to_lose_ = 0;
  std::chrono::milliseconds delay_{1000};
  Mode mode_ = Mode::kUp;
};

}  // namespace
}  // namespace gentianreach::standins

int main(int argc, char** argv) {
  CLI::App app{"Fake of the platform's store and VM list"};
  std::uint16_t port = 0;
  app.add_option("--port", port,
                 "Port on 127.0.0.1; 0 lets the kernel choose one");
  CLI11_PARSE(app, argc, argv);
  gentianreach::standins::FakePlatform platform;
  return gentianreach::standins::RunServer(
      port, [&platform](SoupServerMessage* message,
                        const gentianreach::standins::Request& request) {
        platform.Handle(message, request);
      });
}
