// Stand-ins of the platform's store, the instances and the clients, and a
// starter of the project's daemon, for the scripts of this review. Everything
// listens on loopback addresses. One thread per connection; plain sockets.
#ifndef REVIEW_STANDINS_RIG_H_
#define REVIEW_STANDINS_RIG_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace rig {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using Lock = std::unique_lock<std::mutex>;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline Clock::time_point& StartTime() {
  static Clock::time_point start = Clock::now();
  return start;
}
inline std::int64_t Now() {  // Milliseconds since the start of the case.
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               StartTime())
      .count();
}
inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void Sleep(std::int64_t ms) {
  if (ms > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  }
}
inline void SleepUntil(std::int64_t at) {
  Sleep(at - Now());
}

// record.txt: what was sent, answered and run.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1000];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    const std::lock_guard lock(mutex_);
    if (file_ != nullptr) {
      std::fprintf(file_, "%8.3f %s\n", static_cast<double>(Now()) / 1000,
                   text);
      std::fflush(file_);
    }
  }
  // Also printed.
  void Say(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1000];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    Line("%s", text);
    std::printf("%8.3f %s\n", static_cast<double>(Now()) / 1000, text);
    std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
#define RECORD(...) ::rig::Record::Get().Line(__VA_ARGS__)
#define SAY(...) ::rig::Record::Get().Say(__VA_ARGS__)

// ---------------------------------------------------------------- sockets

struct Address {
  std::string ip = "127.0.0.1";
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

inline void ResetOnClose(int fd) {
  const linger reset{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

inline int ConnectTo(const Address& address, int receive_buffer = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  const sockaddr_in to = ToSockaddr(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool SendAll(int fd, const std::string& data) {
  std::size_t at = 0;
  while (at < data.size()) {
    const ssize_t n =
        send(fd, data.data() + at, data.size() - at, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    at += static_cast<std::size_t>(n);
  }
  return true;
}

// Finds a port that is free on all the given addresses.
inline int FreePort(const std::vector<std::string>& ips) {
  static std::mt19937 generator(std::random_device{}());
  for (int i = 0; i < 1000; ++i) {
    const int port = 20000 + static_cast<int>(generator() % 10000);
    bool free = true;
    for (const std::string& ip : ips) {
      for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int fd = socket(AF_INET, type, 0);
        const sockaddr_in to = ToSockaddr({ip, port});
        free = free && bind(fd, reinterpret_cast<const sockaddr*>(&to),
                            sizeof(to)) == 0;
        close(fd);
      }
    }
    if (free) {
      return port;
    }
  }
  return 0;
}

// ---------------------------------------------------------------- HTTP

struct Message {
  std::string start;  // Request line or status line.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body = {};

  std::string Header(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return {};
  }
  bool Has(const std::string& name) const {
    return std::any_of(headers.begin(), headers.end(), [&](const auto& it) {
      return strcasecmp(it.first.c_str(), name.c_str()) == 0;
    });
  }
  std::string Word(int n) const {
    std::size_t at = 0;
    for (; n > 0 && at != std::string::npos; --n) {
      at = start.find(' ', at);
      at += at == std::string::npos ? 0 : 1;
    }
    return at == std::string::npos ? ""
                                   : start.substr(at, start.find(' ', at) - at);
  }
};

// Reads messages from a socket. `pace`, if set, is called before each read.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  std::function<void()> pace;
  std::size_t chunk = 65536;
  std::size_t received = 0;
  bool closed_by_reset = false;

  // Returns false if the connection ended or `until` (0: never) passed first.
  bool Read(Message* out, std::int64_t until = 0, bool head_only = false) {
    *out = {};
    std::size_t end = 0;
    while ((end = data_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) {
        return false;
      }
    }
    std::size_t at = data_.find("\r\n");
    out->start = data_.substr(0, at);
    while (at < end) {
      at += 2;
      const std::size_t next = std::min(data_.find("\r\n", at), end);
      const std::string line = data_.substr(at, next - at);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
          ++value;
        }
        out->headers.emplace_back(line.substr(0, colon), line.substr(value));
      }
      at = next;
    }
    data_.erase(0, end + 4);
    if (head_only) {
      return true;
    }
    if (strcasecmp(out->Header("Transfer-Encoding").c_str(), "chunked") == 0) {
      return ReadChunks(out, until);
    }
    const std::size_t length =
        std::strtoull(out->Header("Content-Length").c_str(), nullptr, 10);
    while (data_.size() < length) {
      if (!Fill(until)) {
        out->body = data_;
        return false;
      }
    }
    out->body = data_.substr(0, length);
    data_.erase(0, length);
    return true;
  }

 private:
  bool ReadChunks(Message* out, std::int64_t until) {
    while (true) {
      std::size_t line = 0;
      while ((line = data_.find("\r\n")) == std::string::npos) {
        if (!Fill(until)) {
          return false;
        }
      }
      const std::size_t size = std::strtoull(data_.c_str(), nullptr, 16);
      while (data_.size() < line + 2 + size + 2) {
        if (!Fill(until)) {
          return false;
        }
      }
      out->body.append(data_, line + 2, size);
      data_.erase(0, line + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }
  bool Fill(std::int64_t until) {
    if (pace) {
      pace();
    }
    if (until != 0) {
      pollfd it{fd_, POLLIN, 0};
      const std::int64_t left = until - Now();
      if (left <= 0 || poll(&it, 1, static_cast<int>(left)) <= 0) {
        timed_out = true;
        return false;
      }
    }
    std::string buf(chunk, '\0');
    const ssize_t n = recv(fd_, buf.data(), buf.size(), 0);
    if (n <= 0) {
      closed_by_reset = n < 0;
      return false;
    }
    received += static_cast<std::size_t>(n);
    data_.append(buf.data(), static_cast<std::size_t>(n));
    return true;
  }

  const int fd_;
  std::string data_;

 public:
  bool timed_out = false;
};

// Accepts connections and runs `serve` for each in a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(int fd)>;

  ~Listener() { Kill(); }

  bool Open(Address* address, Serve serve) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in at = ToSockaddr(*address);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
        listen(fd_, 512) != 0) {
      close(fd_);
      fd_ = -1;
      return false;
    }
    socklen_t size = sizeof(at);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    address->port = ntohs(at.sin_port);
    state_ = std::make_shared<State>();
    thread_ = std::thread([fd = fd_, state = state_, serve] {
      while (true) {
        const int it = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (it < 0) {
          return;
        }
        const int one = 1;
        setsockopt(it, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        {
          const std::lock_guard lock(state->mutex);
          if (state->killed) {
            close(it);
            return;
          }
          if (state->silent) {
            state->unserved.push_back(it);
            continue;
          }
          state->open.insert(it);
        }
        std::thread([it, state, serve] {
          serve(it);
          const std::lock_guard lock(state->mutex);
          state->open.erase(it);
          close(it);
        }).detach();
      }
    });
    return true;
  }
  // Answers nothing from now on, as a host without power does. Connections of
  // that time are closed by Kill().
  void Silence() {
    const std::lock_guard lock(state_->mutex);
    state_->silent = true;
  }
  // Closes the listener and resets all connections, as a crash does.
  void Kill() {
    if (fd_ < 0) {
      return;
    }
    shutdown(fd_, SHUT_RDWR);
    thread_.join();
    close(fd_);
    fd_ = -1;
    const std::lock_guard lock(state_->mutex);
    state_->killed = true;
    for (const int it : state_->open) {
      ResetOnClose(it);
      // Wakes the thread, which then closes the socket with a reset.
      shutdown(it, SHUT_RD);
    }
    for (const int it : state_->unserved) {
      ResetOnClose(it);
      close(it);
    }
  }

 private:
  struct State {
    std::mutex mutex;
    std::set<int> open;
    std::vector<int> unserved;  // Accepted while silent.
    bool silent = false;
    bool killed = false;
  };
  int fd_ = -1;
  std::thread thread_;
  std::shared_ptr<State> state_;
};

inline std::string Response(int status,
                            const std::string& reason,
                            const std::string& headers,
                            const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" +
         headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// ---------------------------------------------------------------- store

class Store {
 public:
  Address address;

  bool Start() {
    return listener_.Open(&address, [this](int fd) { Serve(fd); });
  }
  // Writes an object; returns its revision.
  std::uint64_t Put(const std::string& kind,
                    const std::string& name,
                    const json& spec) {
    const Lock lock(mutex_);
    return PutLocked(kind, name, spec, std::nullopt);
  }
  // Writes an object whose `spec` is this JSON text, passed on as it is.
  std::uint64_t PutText(const std::string& kind,
                        const std::string& name,
                        const std::string& spec) {
    const Lock lock(mutex_);
    return PutLocked(kind, name, json(), spec);
  }
  void Remove(const std::string& kind, const std::string& name) {
    const Lock lock(mutex_);
    const auto it = objects_.find({kind, name});
    if (it == objects_.end()) {
      return;
    }
    history_.push_back({++revision_, kind, Event(it->second, true)});
    objects_.erase(it);
    changed_.notify_all();
  }
  json Spec(const std::string& kind, const std::string& name) {
    const Lock lock(mutex_);
    const auto it = objects_.find({kind, name});
    return it == objects_.end() ? json() : it->second.spec;
  }

 private:
  struct Object {
    json metadata;
    json spec;
    std::optional<std::string> text;
  };
  struct Change {
    std::uint64_t revision;
    std::string kind;
    std::string event;
  };
  using Key = std::pair<std::string, std::string>;

  static std::string Text(const Object& it) {
    return "{\"metadata\":" + it.metadata.dump() +
           ",\"spec\":" + (it.text ? *it.text : it.spec.dump()) +
           ",\"status\":null}";
  }
  static std::string Event(const Object& it, bool deleted) {
    return std::string("{\"deleted\":") + (deleted ? "true" : "false") +
           ",\"object\":" + Text(it) + "}";
  }
  std::uint64_t PutLocked(const std::string& kind,
                          const std::string& name,
                          const json& spec,
                          const std::optional<std::string>& text) {
    Object& it = objects_[{kind, name}];
    if (!it.metadata.is_null() && !text && !it.text && it.spec == spec) {
      return it.metadata["rev"];
    }
    ++revision_;
    if (it.metadata.is_null()) {
      it.metadata = {{"name", name},
                     {"createRev", revision_},
                     {"finalizers", json::array()},
                     {"deleting", false}};
    }
    it.metadata["rev"] = revision_;
    it.spec = spec;
    it.text = text;
    history_.push_back({revision_, kind, Event(it, false)});
    changed_.notify_all();
    return revision_;
  }

  void Serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.Read(&request)) {
      if (!SendAll(fd, Answer(request))) {
        return;
      }
    }
  }
  static std::string Query(const std::string& target, const std::string& name) {
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t end = target.find('&', at + 1);
      const std::string part = target.substr(at + 1, end - at - 1);
      if (part.rfind(name + "=", 0) == 0) {
        return part.substr(name.size() + 1);
      }
      at = end;
    }
    return {};
  }
  std::string Answer(const Message& request) {
    const std::string method = request.Word(0);
    const std::string target = request.Word(1);
    const std::string prefix = "/api/objects/";
    std::string path = target.substr(0, target.find('?'));
    if (path.rfind(prefix, 0) != 0) {
      return Response(404, "Not Found", "", "{}");
    }
    path = path.substr(prefix.size());
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    std::string name =
        slash == std::string::npos ? "" : path.substr(slash + 1);
    const std::string type = "Content-Type: application/json\r\n";
    Lock lock(mutex_);
    if (method == "GET" && !name.empty()) {
      const auto it = objects_.find({kind, name});
      return it == objects_.end()
                 ? Response(404, "Not Found", type, "{}")
                 : Response(200, "OK", type, Text(it->second));
    }
    if (method == "GET") {
      const std::string watch = Query(target, "watch");
      if (watch.empty()) {
        return Response(200, "OK", type, List(kind, Query(target, "after")));
      }
      const std::uint64_t since = std::strtoull(watch.c_str(), nullptr, 10);
      const auto until =
          Clock::now() +
          std::chrono::milliseconds(
              std::strtoll(Query(target, "waitMs").c_str(), nullptr, 10));
      std::string events;
      while ((events = EventsSince(kind, since)).empty() &&
             changed_.wait_until(lock, until) == std::cv_status::no_timeout) {
      }
      return Response(200, "OK", type,
                      "{\"events\":[" + events +
                          "],\"at\":" + std::to_string(revision_) + "}");
    }
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      return Response(400, "Bad Request", type, "{}");
    }
    const json metadata = body.value("metadata", json::object());
    if (method == "POST") {
      name = metadata.value("name", "");
    }
    const auto it = objects_.find({kind, name});
    if (method == "PUT" && it == objects_.end()) {
      return Response(404, "Not Found", type, "{}");
    }
    if (it != objects_.end() &&
        (method == "POST" ||
         (metadata.contains("rev") &&
          metadata["rev"] != it->second.metadata["rev"]))) {
      return Response(409, "Conflict", type, Text(it->second));
    }
    PutLocked(kind, name, body.value("spec", json()), std::nullopt);
    return Response(200, "OK", type, Text(objects_[{kind, name}]));
  }
  std::string List(const std::string& kind, const std::string& after) {
    std::string items;
    int count = 0;
    bool more = false;
    for (const auto& [key, it] : objects_) {
      if (key.first != kind || key.second <= after) {
        continue;
      }
      if (++count > 500) {
        more = true;
        break;
      }
      items += (items.empty() ? "" : ",") + Text(it);
    }
    return "{\"items\":[" + items + "],\"hasMore\":" +
           (more ? "true" : "false") + ",\"at\":" + std::to_string(revision_) +
           "}";
  }
  std::string EventsSince(const std::string& kind, std::uint64_t since) const {
    std::string events;
    for (const Change& it : history_) {
      if (it.kind == kind && it.revision > since) {
        events += (events.empty() ? "" : ",") + it.event;
      }
    }
    return events;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Key, Object> objects_;
  std::vector<Change> history_;
  std::uint64_t revision_ = 100;
  Listener listener_;
};

// ---------------------------------------------------------------- instances

constexpr int kKeys = 65536;

// One run of a request.
struct Run {
  std::string id = {};
  std::string instance;
  int key = -1;
  std::int64_t began = 0;
  std::int64_t ended = 0;  // 0: still at work.
  bool cut = false;        // The instance ended before the work did.
};

class Instance;

// Sees all runs and all grants, and checks them.
class Judge {
 public:
  std::mutex mutex;
  std::vector<Run> runs;
  std::map<std::string, int> run_counts;  // By request id.
  std::vector<Instance*> instances;
  std::vector<std::string> owner_violations;
  // Highest fencing token with which a life of any instance had a key, and
  // which life.
  std::array<std::uint64_t, kKeys> highest{};
  std::array<const void*, kKeys> highest_life{};

  int CountRuns(const std::string& id) {
    const Lock lock(mutex);
    const auto it = run_counts.find(id);
    return it == run_counts.end() ? 0 : it->second;
  }
};

// One life of an instance: its grants and its work.
struct Life {
  std::array<std::uint64_t, kKeys> seen{};      // Highest fencing token seen.
  std::array<std::uint64_t, kKeys> fence{};     // Of the hold; 0: none.
  std::array<std::int64_t, kKeys> until{};      // End of the hold.
  std::array<int, kKeys> at_work{};
  std::uint64_t born = 0;
  std::atomic<bool> ended{false};
  // Its connections have been closed.
  std::atomic<bool> closed{false};
  int running = 0;
  int waiting = 0;
  std::condition_variable changed;

  bool Holds(int key, std::int64_t now) const {
    return fence[static_cast<std::size_t>(key)] != 0 &&
           now < until[static_cast<std::size_t>(key)];
  }
};

struct InstanceOptions {
  std::string id = {};
  std::string service;
  bool keyed = false;
  std::string zone = "zone-1";
  int slots = 3;
  int queue = 12;
  std::int64_t work_ms = 20;
  std::int64_t heartbeat_ms = 870;
  std::size_t body_bytes = 1500;
};

class Instance {
 public:
  Instance(Store& store, Judge& judge, InstanceOptions options)
      : store_(store), judge_(judge), options_(std::move(options)) {
    const Lock lock(judge_.mutex);
    judge_.instances.push_back(this);
  }
  ~Instance() {
    Stop();
    stopping_ = true;
    if (beats_.joinable()) {
      beats_.join();
    }
  }

  // Faults.
  std::atomic<bool> cut_from_store{false};
  // Orders get no answer and are not applied, as if their sender were cut off.
  std::atomic<bool> drops_orders{false};
  // Share of the answers that are sent a second time, late: where the next
  // answer on the connection is due.
  std::atomic<double> extra_share{0};
  // Asked before a request begins to run; true: the instance crashes.
  std::function<bool(const Message&)> crashes_on;
  // Called for each accepted grant.
  std::function<void(int from, int to, std::uint64_t fence)> on_grant;

  const std::string& id() const { return options_.id; }
  const Address& address() const { return address_; }
  std::shared_ptr<Life> life() const {
    const Lock lock(judge_.mutex);
    return life_;
  }

  bool Start() {
    if (const auto before = this->life()) {
      // It may have ended silently.
      listener_->Kill();
      before->closed = true;
    }
    auto life = std::make_shared<Life>();
    life->born = static_cast<std::uint64_t>(UnixMs());
    {
      const Lock lock(judge_.mutex);
      life_ = life;
      state_ = "ready";
      sequence_ = 0;
      up_ = true;
    }
    listener_ = std::make_unique<Listener>();
    if (!listener_->Open(&address_,
                         [this, life](int fd) { Serve(fd, life); })) {
      return false;
    }
    RECORD("instance %s starts at %s, born %llu", id().c_str(),
           address_.Text().c_str(),
           static_cast<unsigned long long>(life->born));
    Report();
    if (!beats_.joinable()) {
      beats_ = std::thread([this] { Beat(); });
    }
    return true;
  }
  // Ends at once, as a crash does. Another Start() is another life.
  void Stop() {
    if (!EndLife()) {
      return;
    }
    listener_->Kill();
    life()->closed = true;
    RECORD("instance %s ends", id().c_str());
  }
  // The same, but nothing at its address answers until the next Start().
  void StopSilently() {
    if (!EndLife()) {
      return;
    }
    listener_->Silence();
    RECORD("instance %s ends silently", id().c_str());
  }
  // Reports that it drains. Returns when the store has accepted that.
  std::int64_t Drain() {
    {
      const Lock lock(judge_.mutex);
      state_ = "draining";
    }
    Report();
    RECORD("instance %s: the store has accepted that it drains", id().c_str());
    return Now();
  }
  // Arrivals of requests by time, rejected ones included.
  std::vector<std::int64_t> Arrivals() {
    const Lock lock(judge_.mutex);
    return arrivals_;
  }
  std::atomic<int> answers{0};
  std::atomic<int> extras{0};

 private:
  bool EndLife() {
    const Lock lock(judge_.mutex);
    if (!up_) {
      return false;
    }
    up_ = false;
    life_->ended = true;
    life_->changed.notify_all();
    return true;
  }
  void Report() {
    json entry;
    {
      const Lock lock(judge_.mutex);
      if (!up_ || cut_from_store) {
        return;
      }
      entry = {{"address", address_.Text()},
               {"born", life_->born},
               {"info",
                {{"service", options_.service},
                 {"configVersion", "v1"},
                 {"zone", options_.zone},
                 {"slots", options_.slots}}},
               {"status",
                {{"state", state_},
                 {"seq", ++sequence_},
                 {"warmupLeftMs", 0}}}};
      last_report_ = Now();
    }
    // An entry changes only when more than its number does.
    json old = store_.Spec("servers", options_.id);
    if (old.is_object() && old.contains("status")) {
      old["status"]["seq"] = entry["status"]["seq"];
      if (old == entry) {
        return;
      }
    }
    store_.Put("servers", options_.id, entry);
  }
  void Beat() {
    std::int64_t next = Now() + options_.heartbeat_ms;
    while (!stopping_) {
      Sleep(20);
      if (Now() >= next) {
        next += options_.heartbeat_ms;
        Report();
      }
      bool expired = false;
      {
        const Lock lock(judge_.mutex);
        expired = last_report_ != 0 &&
                  Now() > last_report_ + 3 * options_.heartbeat_ms;
        last_report_ = expired ? 0 : last_report_;
      }
      if (expired) {
        RECORD("the entry of instance %s expires", id().c_str());
        store_.Remove("servers", options_.id);
      }
    }
  }

  void Serve(int fd, const std::shared_ptr<Life>& life) {
    Reader reader(fd);
    Message request;
    std::string late;  // A second copy of the answer before.
    std::mt19937 generator(std::random_device{}());
    while (reader.Read(&request)) {
      while (life->ended && !life->closed) {
        Sleep(10);  // Silent.
      }
      if (life->ended) {
        return;
      }
      // The copy comes first: at the point where the next answer is due.
      if (!late.empty()) {
        RECORD("instance %s sends the second copy, before the answer to %s %s",
               id().c_str(), request.Word(1).c_str(),
               request.Header("Gentianreach-Request-Id").c_str());
        if (!SendAll(fd, late)) {
          return;
        }
      }
      late.clear();
      const std::string answer = Answer(request, life);
      while (life->ended && !life->closed) {
        Sleep(10);  // Silent.
      }
      if (answer.empty() || life->ended || !SendAll(fd, answer)) {
        return;
      }
      ++answers;
      const bool order = request.Word(1).rfind("/api/", 0) == 0;
      const double share = order ? 0 : extra_share.load();
      if (share > 0 &&
          std::uniform_real_distribution<double>()(generator) < share) {
        ++extras;
        late = answer;
        RECORD("instance %s will send a second copy of the answer '%s' to "
               "%s",
               id().c_str(), answer.substr(0, answer.find('\r')).c_str(),
               (request.Word(1) + " " +
                request.Header("Gentianreach-Request-Id"))
                   .c_str());
      }
    }
  }
  std::string Rejection(int status,
                        const std::string& reason,
                        const std::string& id) const {
    return Response(status, reason,
                    "Gentianreach-Not-Executed: 1\r\n"
                    "Gentianreach-Request-Id: " +
                        id + "\r\nGentianreach-Instance-Id: " + options_.id +
                        "\r\n",
                    "");
  }
  std::string Answer(const Message& request,
                     const std::shared_ptr<Life>& life) {
    const std::string path = request.Word(1);
    const std::string request_id = request.Header("Gentianreach-Request-Id");
    const std::string expected = request.Header("Gentianreach-Expect-Instance");
    if (path == "/health") {
      return Response(200, "OK",
                      "Gentianreach-Instance-Id: " + options_.id + "\r\n", "");
    }
    const bool order = path == "/api/grant" || path == "/api/release";
    if (order && drops_orders) {
      while (!life->ended && drops_orders) {
        Sleep(10);
      }
      return "";
    }
    if (!expected.empty() && expected != options_.id) {
      return Rejection(421, "Misdirected Request", request_id);
    }
    if (order) {
      const json body = json::parse(request.body, nullptr, false);
      if (!options_.keyed || !body.is_object()) {
        return Response(400, "Bad Request", "", "");
      }
      return path == "/api/grant" ? Grant(body, *life) : Release(body, *life);
    }
    return Work(request, request_id, *life);
  }
  std::string Grant(const json& body, Life& life) {
    const std::size_t from = body["from"];
    const std::size_t to = body["to"];
    const std::uint64_t fence = body["fence"];
    const std::int64_t hold = body["holdMs"];
    bool refused = false;
    {
      const Lock lock(judge_.mutex);
      const std::int64_t now = Now();
      for (std::size_t k = from; k <= to; ++k) {
        refused = refused || life.seen[k] > fence;
      }
      if (!refused) {
        CheckGrant(from, to, fence, life, now);
        for (std::size_t k = from; k <= to; ++k) {
          life.seen[k] = fence;
          life.fence[k] = fence;
          life.until[k] = now + hold;
          if (fence >= judge_.highest[k]) {
            judge_.highest[k] = fence;
            judge_.highest_life[k] = &life;
          }
        }
      }
    }
    RECORD("instance %s: grant %zu-%zu fence %llu hold %lld: %s", id().c_str(),
           from, to, static_cast<unsigned long long>(fence),
           static_cast<long long>(hold), refused ? "409" : "200");
    if (!refused && on_grant) {
      on_grant(static_cast<int>(from), static_cast<int>(to), fence);
    }
    return refused ? Response(409, "Conflict", "", "")
                   : Response(200, "OK", "", "");
  }
  // Rule OWNER, for keys that this life does not hold already.
  void CheckGrant(std::size_t from,
                  std::size_t to,
                  std::uint64_t fence,
                  const Life& life,
                  std::int64_t now);
  std::string Release(const json& body, Life& life) {
    const std::size_t from = body["from"];
    const std::size_t to = body["to"];
    RECORD("instance %s: release %zu-%zu arrives", id().c_str(), from, to);
    Lock lock(judge_.mutex);
    for (std::size_t k = from; k <= to; ++k) {
      life.fence[k] = 0;
    }
    life.changed.wait(lock, [&] {
      return life.ended || std::all_of(life.at_work.begin() + from,
                                       life.at_work.begin() + to + 1,
                                       [](int n) { return n == 0; });
    });
    lock.unlock();
    RECORD("instance %s: release %zu-%zu is answered", id().c_str(), from, to);
    return Response(200, "OK",
                    "Gentianreach-Handover: of-" + options_.id + "\r\n", "");
  }
  std::string Work(const Message& request,
                   const std::string& request_id,
                   Life& life) {
    const std::int64_t arrived = Now();
    const std::int64_t deadline =
        arrived + std::strtoll(
                      request.Header("Gentianreach-Deadline-Ms").c_str(),
                      nullptr, 10);
    const std::string key_text = request.Header("Gentianreach-Shard-Key");
    const int key = options_.keyed ? std::atoi(key_text.c_str()) : -1;
    const auto k = static_cast<std::size_t>(std::max(key, 0));
    Lock lock(judge_.mutex);
    arrivals_.push_back(arrived);
    if (options_.keyed && (key_text.empty() || !life.Holds(key, arrived))) {
      lock.unlock();
      RECORD("instance %s: %s key %d arrives: 421, not held", id().c_str(),
             request_id.c_str(), key);
      return Rejection(421, "Misdirected Request", request_id);
    }
    if (life.waiting >= options_.queue) {
      lock.unlock();
      RECORD("instance %s: %s arrives: 503, full", id().c_str(),
             request_id.c_str());
      return Rejection(503, "Service Unavailable", request_id);
    }
    ++life.waiting;
    life.changed.wait(lock, [&] {
      return life.ended || life.running < options_.slots;
    });
    --life.waiting;
    if (life.ended) {
      return "";
    }
    if (Now() >= deadline) {
      return Rejection(503, "Service Unavailable", request_id);
    }
    if (options_.keyed && !life.Holds(key, Now())) {
      return Rejection(421, "Misdirected Request", request_id);
    }
    ++life.running;
    ++life.at_work[k];
    const std::size_t run = judge_.runs.size();
    judge_.runs.push_back({request_id, options_.id, key, Now(), 0});
    const int times = ++judge_.run_counts[request_id];
    lock.unlock();
    if (crashes_on && crashes_on(request)) {
      RECORD("instance %s: begins %s %s %s and crashes", id().c_str(),
             request_id.c_str(), request.Word(0).c_str(),
             request.Word(1).c_str());
      Stop();
      return "";
    }
    RECORD("instance %s: RUNS %s %s %s key %d%s", id().c_str(),
           request_id.c_str(), request.Word(0).c_str(),
           request.Word(1).c_str(), key,
           times > 1 ? " (AGAIN)" : "");
    const std::int64_t end = std::min(Now() + options_.work_ms, deadline);
    SleepUntil(end);
    lock.lock();
    --life.running;
    --life.at_work[k];
    judge_.runs[run].ended = Now();
    judge_.runs[run].cut = life.ended;
    life.changed.notify_all();
    const bool lapsed = options_.keyed && life.fence[k] != 0 &&
                        Now() >= life.until[k];
    const std::string load = std::to_string(life.running) + "," +
                             std::to_string(life.waiting) + "," +
                             std::to_string(options_.slots);
    lock.unlock();
    return Response(lapsed ? 500 : 200, lapsed ? "Internal Server Error" : "OK",
                    "Gentianreach-Request-Id: " + request_id +
                        "\r\nGentianreach-Response-Stamp: " + options_.id +
                        "." + request_id +
                        "\r\nGentianreach-Server-Load: " + load +
                        "\r\nKeep-Alive: timeout=10\r\n",
                    std::string(options_.body_bytes, 'x'));
  }

  Store& store_;
  Judge& judge_;
  const InstanceOptions options_;
  Address address_;
  std::unique_ptr<Listener> listener_;
  std::shared_ptr<Life> life_;
  std::string state_ = "ready";
  std::uint64_t sequence_ = 0;
  std::int64_t last_report_ = 0;
  bool up_ = false;
  std::vector<std::int64_t> arrivals_;
  std::atomic<bool> stopping_{false};
  std::thread beats_;
};

inline void Instance::CheckGrant(std::size_t from,
                                 std::size_t to,
                                 std::uint64_t fence,
                                 const Life& life,
                                 std::int64_t now) {
  std::string why;
  std::size_t bad = 0;
  for (std::size_t k = from; k <= to; ++k) {
    if (life.Holds(static_cast<int>(k), now) && life.fence[k] == fence) {
      continue;  // A renewal.
    }
    std::string found;
    if (judge_.highest[k] >= fence && judge_.highest_life[k] != &life) {
      found = "the fencing token " + std::to_string(fence) +
              " is not above that of another life, " +
              std::to_string(judge_.highest[k]);
    }
    for (Instance* other : judge_.instances) {
      if (other == this || other->life_ == nullptr || !other->up_) {
        continue;
      }
      const Life& it = *other->life_;
      if (it.at_work[k] > 0 && now < it.until[k]) {
        found = other->id() + " is still at work on a key, and its hold lasts " +
                std::to_string(it.until[k] - now) + " ms more";
      }
    }
    if (!found.empty()) {
      ++bad;
      why = why.empty() ? "key " + std::to_string(k) + ": " + found : why;
    }
  }
  if (bad > 0) {
    const std::string text = id() + " is granted " + std::to_string(from) +
                             "-" + std::to_string(to) + " fence " +
                             std::to_string(fence) + "; " + why;
    judge_.owner_violations.push_back(text);
    RECORD("OWNER: %s", text.c_str());
  }
}

// ---------------------------------------------------------------- daemons

struct Bounds {
  int drain_ms = 2000;
  int config_apply_ms = 2000;
  int grace_s = 6;
  int heartbeat_ms = 870;
  int budget_slack = 56;
  int hold_max_ms = 10000;
};

// The daemons of a deployment, on 127.0.1.1, 127.0.1.2 and so on.
class Fleet {
 public:
  Fleet(const Store& store, int count, Bounds bounds, std::string folder)
      : bounds_(bounds), folder_(std::move(folder)), store_(store.address) {
    static std::mt19937 generator(std::random_device{}());
    const int block = 1 + static_cast<int>(generator() % 200);
    for (int i = 0; i < count; ++i) {
      ips_.push_back("127.77." + std::to_string(block) + "." +
                     std::to_string(i + 1));
      pids_.push_back(0);
    }
    for (int& it : ports_) {
      it = FreePort(ips_);
    }
  }
  ~Fleet() {
    for (std::size_t i = 0; i < pids_.size(); ++i) {
      Kill(i);
    }
  }

  std::size_t size() const { return ips_.size(); }
  Address Front(std::size_t i) const { return {ips_[i], ports_[0]}; }
  std::string Name(std::size_t i) const {
    return "edge-" + std::to_string(i + 1);
  }

  bool Start(std::size_t i) {
    const std::string& ip = ips_[i];
    const std::string config = folder_ + "/" + Name(i) + ".conf";
    std::FILE* file = std::fopen(config.c_str(), "w");
    std::string seeds;
    for (std::size_t k = 0; k < ips_.size() && k < 3; ++k) {
      seeds += (k == 0 ? "" : ",") + ips_[k] + ":" + std::to_string(ports_[5]);
    }
    std::fprintf(
        file,
        "[entry]\nname = %s\nzone = zone-1\ncaller_address = %s:%d\n"
        "ready_address = %s:%d\nmember_address = %s:%d\n"
        "forward_address = %s:%d\nmetrics_address = %s:%d\n"
        "seed_addresses = %s\nready_path = /api/readiness\n"
        "metrics_path = /metrics\nstore_address = %s\nprocessor_share = 0.2\n"
        "longest_lease_ms = %d\nserver_report_ms = %d\nretry_ratio = 0.2\n"
        "retry_slack = %d\nconfig_apply_ms = %d\ndrain_ms = %d\n"
        "memory_mb = 260\nstop_grace_s = %d\n",
        Name(i).c_str(), ip.c_str(), ports_[0], ip.c_str(), ports_[1],
        ip.c_str(), ports_[2], ip.c_str(), ports_[3], ip.c_str(), ports_[4],
        seeds.c_str(), store_.Text().c_str(), bounds_.hold_max_ms,
        bounds_.heartbeat_ms, bounds_.budget_slack, bounds_.config_apply_ms,
        bounds_.drain_ms, bounds_.grace_s);
    std::fclose(file);
    const std::string log = folder_ + "/" + Name(i) + ".log";
    const char* program = std::getenv("ENTRYD");
    const std::string path =
        program != nullptr ? program : "target/gentianreach_entryd";
    // The environment of the deploy file.
    setenv("GSETTINGS_BACKEND", "memory", 1);
    setenv("GIO_USE_PROXY_RESOLVER", "dummy", 1);
    setenv("GIO_USE_VFS", "local", 1);
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd =
          open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      execl(path.c_str(), path.c_str(), "--config", config.c_str(),
            static_cast<char*>(nullptr));
      _exit(127);
    }
    pids_[i] = pid;
    RECORD("daemon %s starts at %s", Name(i).c_str(),
           Front(i).Text().c_str());
    return pid > 0;
  }
  bool StartAll() {
    for (std::size_t i = 0; i < ips_.size(); ++i) {
      if (!Start(i)) {
        return false;
      }
    }
    return true;
  }
  void Signal(std::size_t i, int signal_number) {
    if (pids_[i] > 0) {
      RECORD("daemon %s gets signal %d", Name(i).c_str(), signal_number);
      kill(pids_[i], signal_number);
    }
  }
  void Kill(std::size_t i) {
    if (pids_[i] > 0) {
      kill(pids_[i], SIGKILL);
      waitpid(pids_[i], nullptr, 0);
      pids_[i] = 0;
    }
  }
  // Returns whether the process is gone, and reaps it.
  bool HasEnded(std::size_t i) {
    if (pids_[i] > 0 && waitpid(pids_[i], nullptr, WNOHANG) == pids_[i]) {
      RECORD("daemon %s has exited", Name(i).c_str());
      pids_[i] = 0;
    }
    return pids_[i] == 0;
  }
  bool IsReady(std::size_t i) const {
    const int fd = ConnectTo({ips_[i], ports_[1]});
    if (fd < 0) {
      return false;
    }
    SendAll(fd, "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    Reader reader(fd);
    Message answer;
    const bool ready =
        reader.Read(&answer, Now() + 1000) && answer.Word(1) == "200";
    close(fd);
    return ready;
  }
  bool WaitReady(std::int64_t ms) const {
    const std::int64_t until = Now() + ms;
    for (std::size_t i = 0; i < ips_.size(); ++i) {
      while (!IsReady(i)) {
        if (Now() > until) {
          return false;
        }
        Sleep(100);
      }
    }
    return true;
  }
  // Returns the index of the daemon that the leader record names, or -1.
  int Leader(Store& store) const {
    const json record = store.Spec("gentianreach-leadership", "entry");
    if (!record.is_object()) {
      return -1;
    }
    for (std::size_t i = 0; i < ips_.size(); ++i) {
      if (record.value("name", "") == Name(i)) {
        return static_cast<int>(i);
      }
    }
    return -1;
  }

 private:
  const Bounds bounds_;
  const std::string folder_;
  const Address store_;
  std::vector<std::string> ips_;
  std::vector<pid_t> pids_;
  std::array<int, 6> ports_{};
};

// ---------------------------------------------------------------- clients

struct Reply {
  bool complete = false;
  int status = 0;
  Message message;
  bool connected = false;
  bool reset = false;
  bool timed_out = false;
  std::size_t received = 0;
};

struct Call {
  std::string method = "GET";
  std::string host = "shop.example";
  std::string path = "/";
  std::string id = {};
  std::int64_t deadline_ms = 2000;
  int key = -1;
  std::string body = {};
  std::string caller = {};
};

inline std::string RequestText(const Call& call) {
  std::string text = call.method + " " + call.path + " HTTP/1.1\r\nHost: " +
                     call.host + "\r\nGentianreach-Request-Id: " + call.id +
                     "\r\nGentianreach-Deadline-Ms: " +
                     std::to_string(call.deadline_ms) + "\r\n";
  if (!call.caller.empty()) {
    text += "Authorization: Bearer " + call.caller + "\r\n";
  }
  if (call.key >= 0) {
    text += "Gentianreach-Shard-Key: " + std::to_string(call.key) + "\r\n";
  }
  if (call.method == "POST" || !call.body.empty()) {
    text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  }
  return text + "\r\n" + call.body;
}

// A client's connection to one daemon, kept for many requests.
class Client {
 public:
  explicit Client(Address address) : address_(std::move(address)) {}
  ~Client() { Close(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  Reply Send(const Call& call) {
    Reply reply;
    if (fd_ < 0) {
      fd_ = ConnectTo(address_);
      if (fd_ < 0) {
        return reply;
      }
      reader_ = std::make_unique<Reader>(fd_);
    }
    reply.connected = true;
    RECORD("client sends %s %s %s key %d to %s", call.id.c_str(),
           call.method.c_str(), call.path.c_str(), call.key,
           address_.Text().c_str());
    const bool sent = SendAll(fd_, RequestText(call));
    reply.complete = sent && reader_->Read(&reply.message,
                                           Now() + call.deadline_ms + 1500);
    reply.reset = reader_->closed_by_reset;
    reply.timed_out = reader_->timed_out;
    reply.status = std::atoi(reply.message.Word(1).c_str());
    RECORD("client gets %s: %s %s", call.id.c_str(),
           reply.message.start.empty() ? "no answer"
                                       : reply.message.start.c_str(),
           reply.complete ? (reply.status / 100 == 2 ? "" : reply.message.body.c_str())
                          : "INCOMPLETE");
    if (!reply.complete ||
        strcasecmp(reply.message.Header("Connection").c_str(), "close") == 0) {
      Close();
    }
    return reply;
  }
  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }

 private:
  const Address address_;
  int fd_ = -1;
  std::unique_ptr<Reader> reader_;
};

inline std::string NewId() {
  static std::mutex mutex;
  static std::mt19937_64 generator(std::random_device{}());
  const Lock lock(mutex);
  char text[20];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(generator()));
  return text;
}

// ---------------------------------------------------------------- config

struct RouteSpec {
  std::string prefix;
  std::string service;
  bool safe = true;
  int timeout_ms = 2000;
  int max_attempts = 2;
  int target_ms = 500;
};

inline json Config(int version,
                   const std::vector<RouteSpec>& routes,
                   const std::map<std::string, bool>& services,
                   std::uint64_t max_body_bytes = 67108864) {
  json rules = json::array();
  for (const RouteSpec& it : routes) {
    rules.push_back(
        {{"name", "r" + it.prefix},
         {"kind", it.safe ? "safe" : "unsafe"},
         {"targetLatencyMs", it.target_ms},
         {"priority", 1},
         {"match", {{"pathPrefix", it.prefix}}},
         {"action",
          {{"service", it.service},
           {"timeoutMs", it.timeout_ms},
           {"maxAttempts", it.max_attempts}}}});
  }
  json clusters = json::array();
  for (const auto& [name, keyed] : services) {
    json it = {{"name", name},
               {"healthPath", "/health"},
               {"maxConns", 110},
               {"protocol", "h1"},
               {"tls", false}};
    if (keyed) {
      it["sharded"] = true;
      it["warmS"] = 2.0;
      it["grants"] = "invoke";
    }
    clusters.push_back(it);
  }
  return {{"configVersion", "r" + std::to_string(version)},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", max_body_bytes},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"listeners",
           json::array({{{"hostname", "shop.example"}, {"rules", rules}}})},
          {"clusters", clusters}};
}

// What a case's main() needs: its folder, whether there is trouble, and a
// temporary folder.
struct Case {
  std::string folder;
  std::string temporary;
  bool trouble = true;

  explicit Case(int argc, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    StartTime();
    folder = argc > 1 ? argv[1] : ".";
    const char* text = std::getenv("TROUBLE");
    trouble = text == nullptr || std::string(text) != "0";
    Record::Get().Open(folder + "/record.txt");
    char name[] = "/tmp/review-XXXXXX";
    temporary = mkdtemp(name);
    SAY("trouble: %s; logs of the daemons: %s", trouble ? "yes" : "no",
        temporary.c_str());
  }
};

}  // namespace rig

#endif  // REVIEW_STANDINS_RIG_H_
