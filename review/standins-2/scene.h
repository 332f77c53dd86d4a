// Stand-ins for the platform of a small deployment: the store, instances,
// clients, and the entry daemons of the deploy file as child processes.
//
// They follow the users' pages. All run on loopback and the real clock. One
// program holds the stand-ins, so that a check sees all of their events in one
// order; the daemons are processes of their own.
#ifndef REVIEW_STANDINS_2_SCENE_H_
#define REVIEW_STANDINS_2_SCENE_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace scene {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

// Seconds since the scene began.
inline Clock::time_point& Beginning() {
  static Clock::time_point at = Clock::now();
  return at;
}
inline double Now() {
  return std::chrono::duration<double>(Clock::now() - Beginning()).count();
}
inline void SleepUntil(double t) {
  const double left = t - Now();
  if (left > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(left));
  }
}
inline void Sleep(double s) {
  std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

// What was sent, answered and run, one line an event.
class Record {
 public:
  explicit Record(const std::string& path) : file_(fopen(path.c_str(), "w")) {}
  template <typename... Args>
  void operator()(const char* format, Args... args) {
    char text[1024];
    const int n = snprintf(text, sizeof(text), format, args...);
    const std::lock_guard lock(mutex_);
    fprintf(file_, "%8.3f %.*s\n", Now(), std::min<int>(n, sizeof(text) - 1),
            text);
    fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_;
};

inline Record*& TheRecord() {
  static Record* record = nullptr;
  return record;
}
#define RECORD(...) (*scene::TheRecord())(__VA_ARGS__)

inline std::string Lower(std::string text) {
  for (char& it : text) {
    it = static_cast<char>(tolower(static_cast<unsigned char>(it)));
  }
  return text;
}

// One HTTP message. Header names are in lower case.
struct Message {
  std::string method, target;
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
  }
  std::string Path() const { return target.substr(0, target.find('?')); }
  std::string Query(const std::string& name) const {
    const auto at = target.find('?');
    if (at == std::string::npos) {
      return {};
    }
    std::stringstream in(target.substr(at + 1));
    for (std::string part; std::getline(in, part, '&');) {
      const auto eq = part.find('=');
      if (part.substr(0, eq) == name && eq != std::string::npos) {
        return part.substr(eq + 1);
      }
    }
    return {};
  }
};

// A connected socket with buffered reads. Closes the socket when destroyed.
class Stream {
 public:
  explicit Stream(int fd) : fd_(fd) {
    const int one = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~Stream() { Close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }
  int fd() const { return fd_; }
  bool Write(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n =
          send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  // Reads a message. Returns whether it came whole before `until`.
  bool Read(Message* message, bool response, double until = 1e9) {
    *message = {};
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) {
        return false;
      }
    }
    std::stringstream head(buffer_.substr(0, end + 2));
    buffer_.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    std::stringstream first(line);
    if (response) {
      std::string version;
      first >> version >> message->status;
    } else {
      first >> message->method >> message->target;
    }
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const auto colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      auto begin = line.find_first_not_of(' ', colon + 1);
      message->headers[Lower(line.substr(0, colon))] =
          begin == std::string::npos ? "" : line.substr(begin);
    }
    if (Lower(message->Header("transfer-encoding")) == "chunked") {
      return ReadChunks(message, until);
    }
    const std::size_t length =
        strtoul(message->Header("content-length").c_str(), nullptr, 10);
    while (buffer_.size() < length) {
      if (!Fill(until)) {
        return false;
      }
    }
    message->body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
  }
  bool started() const { return !buffer_.empty(); }

 private:
  bool ReadChunks(Message* message, double until) {
    while (true) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill(until)) {
          return false;
        }
      }
      const std::size_t n = strtoul(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < end + 2 + n + 2) {
        if (!Fill(until)) {
          return false;
        }
      }
      message->body += buffer_.substr(end + 2, n);
      buffer_.erase(0, end + 2 + n + 2);
      if (n == 0) {
        return true;
      }
    }
  }
  bool Fill(double until) {
    pollfd it{.fd = fd_, .events = POLLIN, .revents = 0};
    const double left = std::min(until - Now(), 1000.0);
    if (left <= 0 || poll(&it, 1, static_cast<int>(left * 1000) + 1) != 1) {
      return false;
    }
    char bytes[65536];
    const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }

  int fd_;
  std::string buffer_;
};

inline sockaddr_in Address(const std::string& text) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const auto colon = text.rfind(':');
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port =
      htons(static_cast<std::uint16_t>(atoi(text.c_str() + colon + 1)));
  return address;
}

inline std::unique_ptr<Stream> Connect(const std::string& to) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Address(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_unique<Stream>(fd);
}

inline std::string Reply(int status,
                         const std::string& body,
                         const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Serves each connection on a thread of its own. The handler returns the bytes
// of the answer, or nothing to close the connection.
class Server {
 public:
  using Handler = std::function<std::string(const Message&)>;
  explicit Server(Handler handler, const std::string& ip = "127.0.0.1")
      : handler_(std::move(handler)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Address(ip + ":0");
    socklen_t size = sizeof(address);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(fd_, 1024) != 0) {
      perror("listen");
      _exit(2);
    }
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    address_ = ip + ":" + std::to_string(ntohs(address.sin_port));
    std::thread([this] { Accept(); }).detach();
  }
  const std::string& address() const { return address_; }
  // Ends the process that the server stands for: nobody listens any more, and
  // all its connections are closed.
  void Stop() {
    stopped_ = true;
    shutdown(fd_, SHUT_RDWR);
    close(fd_);
    const std::lock_guard lock(mutex_);
    for (const int it : open_) {
      shutdown(it, SHUT_RDWR);
    }
  }

 private:
  void Accept() {
    while (!stopped_) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (stopped_) {
          return;
        }
        continue;
      }
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }
  void Serve(int fd) {
    {
      const std::lock_guard lock(mutex_);
      open_.insert(fd);
    }
    Stream stream(fd);
    Message request;
    while (!stopped_ && stream.Read(&request, false)) {
      const std::string answer = handler_(request);
      if (answer.empty() || stopped_ || !stream.Write(answer)) {
        break;
      }
    }
    const std::lock_guard lock(mutex_);
    open_.erase(fd);
  }

  Handler handler_;
  std::string address_;
  int fd_ = -1;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::set<int> open_;
};

// The platform's metadata store.
class Store {
 public:
  Store() : server_([this](const Message& it) { return Handle(it); }) {}
  const std::string& address() const { return server_.address(); }

  void Put(const std::string& kind, const std::string& name, const json& spec) {
    const std::lock_guard lock(mutex_);
    Change(kind, name, spec, nullptr);
  }
  void Remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    Erase(kind, name);
  }
  // Returns the content of an object, or null.
  json Content(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto it = objects_.find({kind, name});
    return it == objects_.end() ? json() : it->second.at("spec");
  }

 private:
  using Key = std::pair<std::string, std::string>;
  struct Event {
    std::uint64_t revision;
    std::string kind;
    json event;
  };

  void Change(const std::string& kind,
              const std::string& name,
              const json& spec,
              const json& status) {
    auto& object = objects_[{kind, name}];
    if (!object.is_null() && object["spec"] == spec &&
        (status.is_null() || object["status"] == status)) {
      return;
    }
    ++revision_;
    if (object.is_null()) {
      object = {{"metadata",
                 {{"name", name},
                  {"createRev", revision_},
                  {"finalizers", json::array()},
                  {"deleting", false}}},
                {"status", nullptr}};
    }
    object["spec"] = spec;
    if (!status.is_null()) {
      object["status"] = status;
    }
    object["metadata"]["rev"] = revision_;
    events_.push_back(
        {revision_, kind, {{"object", object}, {"deleted", false}}});
    changed_.notify_all();
  }
  void Erase(const std::string& kind, const std::string& name) {
    const auto it = objects_.find({kind, name});
    if (it == objects_.end()) {
      return;
    }
    it->second["metadata"]["rev"] = ++revision_;
    events_.push_back(
        {revision_, kind, {{"object", it->second}, {"deleted", true}}});
    objects_.erase(it);
    changed_.notify_all();
  }

  static std::string Json(int status, const json& body) {
    return Reply(status, body.dump(), "Content-Type: application/json\r\n");
  }
  std::string Handle(const Message& request) {
    constexpr const char* kPrefix = "/api/objects/";
    const std::string path = request.Path();
    if (path.rfind(kPrefix, 0) != 0) {
      return Json(404, json::object());
    }
    std::string kind = path.substr(strlen(kPrefix));
    std::string name;
    bool of_status = false;
    if (const auto slash = kind.find('/'); slash != std::string::npos) {
      name = kind.substr(slash + 1);
      kind.resize(slash);
      if (const auto at = name.find("/status"); at != std::string::npos) {
        name.resize(at);
        of_status = true;
      }
    }
    std::unique_lock lock(mutex_);
    if (request.method == "GET" && !name.empty()) {
      const auto it = objects_.find({kind, name});
      return it == objects_.end() ? Json(404, json::object())
                                  : Json(200, it->second);
    }
    if (request.method == "GET" && !request.Query("watch").empty()) {
      return Watch(lock, kind,
                   strtoull(request.Query("watch").c_str(), nullptr, 10),
                   atoi(request.Query("waitMs").c_str()) / 1000.0);
    }
    if (request.method == "GET") {
      json items = json::array();
      for (const auto& [key, it] : objects_) {
        if (key.first == kind) {
          items.push_back(it);
        }
      }
      return Json(200,
                  {{"items", items}, {"hasMore", false}, {"at", revision_}});
    }
    return Write(request, kind, name, of_status);
  }
  std::string Watch(std::unique_lock<std::mutex>& lock,
                    const std::string& kind,
                    std::uint64_t since,
                    double wait) {
    const auto until = Clock::now() + std::chrono::duration<double>(wait);
    json events = json::array();
    while (true) {
      for (const Event& it : events_) {
        if (it.revision > since && it.kind == kind) {
          events.push_back(it.event);
        }
      }
      if (!events.empty() || Clock::now() >= until) {
        return Json(200, {{"events", events}, {"at", revision_}});
      }
      changed_.wait_until(lock,
                          std::chrono::time_point_cast<Clock::duration>(until));
    }
  }
  std::string Write(const Message& request,
                    const std::string& kind,
                    std::string name,
                    bool of_status) {
    const json body = json::parse(request.body, nullptr, false);
    if (request.method == "POST") {
      name = body.at("metadata").at("name");
      if (objects_.contains({kind, name})) {
        return Json(409, objects_.at({kind, name}));
      }
      Change(kind, name, body.value("spec", json()), nullptr);
      return Json(201, objects_.at({kind, name}));
    }
    const auto it = objects_.find({kind, name});
    if (it == objects_.end()) {
      return Json(404, json::object());
    }
    std::optional<std::uint64_t> revision;
    if (!request.Query("rev").empty()) {
      revision = strtoull(request.Query("rev").c_str(), nullptr, 10);
    } else if (body.is_object() && body.contains("metadata") &&
               body["metadata"].contains("rev")) {
      revision = body["metadata"]["rev"].get<std::uint64_t>();
    }
    if (revision && it->second["metadata"]["rev"] != *revision) {
      return Json(409, it->second);
    }
    if (request.method == "DELETE") {
      const json object = it->second;
      Erase(kind, name);
      return Json(200, object);
    }
    if (of_status) {
      Change(kind, name, it->second["spec"], body.value("status", json()));
    } else {
      Change(kind, name, body.value("spec", json()), nullptr);
    }
    return Json(200, objects_.at({kind, name}));
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Key, json> objects_;
  std::deque<Event> events_;
  std::uint64_t revision_ = 7;
  Server server_;
};

// Keys that an instance held under one fencing token, for a time.
struct Holding {
  std::uint32_t from, to;
  std::uint64_t fence;
  double begin, end;
};

// A request that an instance began to work on.
struct Run {
  double at;
  std::string request, method, path;
  long key;
};

struct InstanceOptions {
  std::string service;
  std::string zone;
  bool keyed = false;
  int slots = 3;
  double work_s = 0.05;
};

constexpr double kHeartbeat = 0.87;

// An instance, which registers itself in the store.
class Instance {
 public:
  Instance(Store& store, std::string id, InstanceOptions options)
      : store_(store), id_(std::move(id)), options_(std::move(options)) {
    born_ = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    server_ = std::make_unique<Server>(
        [this](const Message& it) { return Handle(it); });
    std::thread([this] {
      while (!gone_) {
        Beat();
        Sleep(kHeartbeat);
      }
    }).detach();
  }

  // If set, tells whether a request crashes the instance when it begins to run.
  std::function<bool(const Run&)> crashes;
  // Called when the instance has crashed.
  std::function<void()> on_crash;
  // If set, may change the answer to an order or a request before it is sent.
  std::function<std::string(const Message&, std::string)> spoil;

  const std::string& id() const { return id_; }
  const std::string& address() const { return server_->address(); }
  const std::string& service() const { return options_.service; }
  std::size_t answers() const { return answers_; }
  void Drain() {
    draining_ = true;
    Beat();
    RECORD("instance %s drains", id_.c_str());
  }
  // The process has ended; its entry is gone.
  void End() {
    gone_ = true;
    store_.Remove("servers", id_);
    Crash();
  }
  // The process has ended without a word.
  void Crash() {
    gone_ = true;
    server_->Stop();
    free_.notify_all();
    work_done_.notify_all();
    const std::lock_guard lock(mutex_);
    const double now = Now();
    for (Holding& it : held_) {
      it.end = std::min(it.end, now);
      past_.push_back(it);
    }
    held_.clear();
    RECORD("instance %s has ended", id_.c_str());
  }
  std::vector<Holding> Holdings() {
    const std::lock_guard lock(mutex_);
    std::vector<Holding> all = past_;
    for (Holding it : held_) {
      it.end = std::min(it.end, Now());
      all.push_back(it);
    }
    return all;
  }
  std::vector<Run> Runs() {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

 private:
  void Beat() {
    const std::lock_guard lock(beat_mutex_);
    if (gone_) {
      return;
    }
    store_.Put("servers", id_,
               {{"address", address()},
                {"born", born_},
                {"info",
                 {{"service", options_.service},
                  {"configVersion", "v1"},
                  {"zone", options_.zone},
                  {"slots", options_.slots}}},
                {"status",
                 {{"state", draining_ ? "draining" : "ready"},
                  {"seq", ++seq_},
                  {"warmupLeftMs", 0}}}});
  }
  std::string Handle(const Message& request) {
    if (gone_) {
      return {};
    }
    std::string answer = Answer(request);
    ++answers_;
    return spoil ? spoil(request, std::move(answer)) : answer;
  }
  std::string Answer(const Message& request) {
    const bool order =
        request.target == "/api/grant" || request.target == "/api/release";
    if (request.target == "/health") {
      return Reply(draining_ ? 503 : 200, "",
                   "Gentianreach-Instance-Id: " + id_ + "\r\n");
    }
    const std::string expected = request.Header("gentianreach-expect-instance");
    if (!expected.empty() && expected != id_) {
      return Reply(421, "", "Gentianreach-Instance-Id: " + id_ + "\r\n");
    }
    if (order && !options_.keyed) {
      return Reply(400, "{}");
    }
    if (order) {
      const json body = json::parse(request.body, nullptr, false);
      if (!body.is_object() || !body.contains("from") || !body.contains("to") ||
          !body.contains("fence")) {
        return Reply(400, "{}");
      }
      return request.target == "/api/grant" ? Grant(body) : Release(body);
    }
    return Request(request);
  }
  // A handover is what an instance has handed out: 16 hexadecimal digits.
  static bool IsHandover(const json& it) {
    return it.is_string() && it.get_ref<const std::string&>().size() == 16 &&
           it.get_ref<const std::string&>().find_first_not_of(
               "0123456789abcdef") == std::string::npos;
  }
  std::string Grant(const json& body) {
    const std::uint32_t from = body["from"];
    const std::uint32_t to = body["to"];
    const std::uint64_t fence = body["fence"];
    const double hold = body.value("holdMs", 0) / 1000.0;
    const std::string shown =
        body.contains("handover")
            ? body["handover"].dump(-1, ' ', true,
                                    json::error_handler_t::replace)
            : "none";
    if (body.contains("handover") && !IsHandover(body["handover"])) {
      RECORD("instance %s answers 400 to grant %u-%u fence %llu: handover %s",
             id_.c_str(), from, to, static_cast<unsigned long long>(fence),
             shown.c_str());
      return Reply(400, "{}");
    }
    const std::lock_guard lock(mutex_);
    const double now = Now();
    for (const Holding& it : seen_) {
      if (it.from <= to && from <= it.to && it.fence > fence) {
        RECORD("instance %s answers 409 to grant %u-%u fence %llu", id_.c_str(),
               from, to, static_cast<unsigned long long>(fence));
        return Reply(409, "{}");
      }
    }
    See(from, to, fence);
    Expire(now);
    for (Holding& it : held_) {
      if (it.from == from && it.to == to && it.fence == fence) {
        it.end = now + hold;
        return Reply(200, "{}");
      }
    }
    TakeAway(from, to, now);
    held_.push_back({from, to, fence, now, now + hold});
    RECORD("instance %s takes grant %u-%u fence %llu for %.1f s, handover %s",
           id_.c_str(), from, to, static_cast<unsigned long long>(fence), hold,
           shown.c_str());
    return Reply(200, "{}");
  }
  std::string Release(const json& body) {
    const std::uint32_t from = body["from"];
    const std::uint32_t to = body["to"];
    const std::uint64_t fence = body["fence"];
    std::unique_lock lock(mutex_);
    const double now = Now();
    See(from, to, fence);
    Expire(now);
    TakeAway(from, to, now);
    work_done_.wait(lock, [&] {
      return gone_ || std::none_of(running_keys_.begin(), running_keys_.end(),
                                   [&](long it) {
                                     return it >= static_cast<long>(from) &&
                                            it <= static_cast<long>(to);
                                   });
    });
    char handover[17];
    snprintf(handover, sizeof(handover), "%016llx",
             static_cast<unsigned long long>(
                 std::hash<std::string>()(id_ + std::to_string(fence))));
    RECORD("instance %s has released %u-%u fence %llu", id_.c_str(), from, to,
           static_cast<unsigned long long>(fence));
    return Reply(200, "{}",
                 std::string("Gentianreach-Handover: ") + handover + "\r\n");
  }
  void See(std::uint32_t from, std::uint32_t to, std::uint64_t fence) {
    std::erase_if(seen_, [&](const Holding& it) {
      return from <= it.from && it.to <= to && it.fence <= fence;
    });
    seen_.push_back({from, to, fence, 0, 0});
  }
  void Expire(double now) {
    for (const Holding& it : held_) {
      if (it.end <= now) {
        past_.push_back(it);
      }
    }
    std::erase_if(held_, [&](const Holding& it) { return it.end <= now; });
  }
  void TakeAway(std::uint32_t from, std::uint32_t to, double now) {
    std::vector<Holding> kept;
    for (const Holding& it : held_) {
      if (it.to < from || to < it.from) {
        kept.push_back(it);
        continue;
      }
      past_.push_back({std::max(from, it.from), std::min(to, it.to), it.fence,
                       it.begin, now});
      if (it.from < from) {
        kept.push_back({it.from, from - 1, it.fence, it.begin, it.end});
      }
      if (to < it.to) {
        kept.push_back({to + 1, it.to, it.fence, it.begin, it.end});
      }
    }
    held_ = std::move(kept);
  }
  std::string Request(const Message& request) {
    const std::string id = request.Header("gentianreach-request-id");
    const std::string echo = "Gentianreach-Request-Id: " + id + "\r\n";
    const std::string not_run = echo + "Gentianreach-Not-Executed: 1\r\n";
    if (id.empty()) {
      return Reply(400, "", "Gentianreach-Not-Executed: 1\r\n");
    }
    long key = -1;
    std::unique_lock lock(mutex_);
    const auto holds = [&] {
      return std::any_of(held_.begin(), held_.end(), [&](const Holding& it) {
        return static_cast<long>(it.from) <= key &&
               key <= static_cast<long>(it.to) && Now() < it.end;
      });
    };
    if (options_.keyed) {
      key = atol(request.Header("gentianreach-shard-key").c_str());
      if (!holds()) {
        return Reply(421, "", not_run);
      }
    }
    if (waiting_ >= 12) {
      return Reply(503, "", not_run);
    }
    ++waiting_;
    free_.wait(lock, [&] { return running_ < options_.slots || gone_; });
    --waiting_;
    if (gone_) {
      return {};
    }
    if (options_.keyed && !holds()) {
      return Reply(421, "", not_run);
    }
    ++running_;
    running_keys_.insert(key);
    runs_.push_back({Now(), id, request.method, request.target, key});
    RECORD("instance %s runs %s %s %s key %ld", id_.c_str(), id.c_str(),
           request.method.c_str(), request.target.c_str(), key);
    const bool crash = crashes && crashes(runs_.back());
    lock.unlock();
    if (crash) {
      Crash();
      if (on_crash) {
        on_crash();
      }
      return {};
    }
    Sleep(options_.work_s);
    lock.lock();
    --running_;
    running_keys_.erase(running_keys_.find(key));
    free_.notify_one();
    work_done_.notify_all();
    if (gone_) {
      return {};
    }
    const std::string body = id_ + " ran " + id;
    return Reply(
        200, body,
        echo + "Gentianreach-Response-Stamp: " + id_ + "." + id +
            "\r\nGentianreach-Server-Load: " + std::to_string(running_) + "," +
            std::to_string(waiting_) + "," + std::to_string(options_.slots) +
            "\r\nKeep-Alive: timeout=10\r\n");
  }

  Store& store_;
  const std::string id_;
  const InstanceOptions options_;
  std::uint64_t born_ = 0;
  std::atomic<std::uint64_t> seq_ = 0;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> gone_ = false;
  std::atomic<std::size_t> answers_ = 0;
  std::mutex beat_mutex_;
  std::mutex mutex_;
  std::condition_variable free_, work_done_;
  int running_ = 0;
  int waiting_ = 0;
  std::multiset<long> running_keys_;
  std::vector<Holding> held_, past_, seen_;
  std::vector<Run> runs_;
  std::unique_ptr<Server> server_;
};

// An entry daemon of the deploy file, on a loopback address of its own.
class Daemon {
 public:
  Daemon(std::string folder,
         std::string name,
         std::string zone,
         std::string ip,
         const std::string& seeds,
         const std::string& store)
      : folder_(std::move(folder)), name_(std::move(name)), ip_(std::move(ip)) {
    settings_ = folder_ + "/" + name_ + ".conf";
    std::ofstream out(settings_);
    // As deploy/entry.ini fills in for a small deployment.
    out << "[entry]\nname = " << name_ << "\nzone = " << zone
        << "\ncaller_address = " << front() << "\nready_address = " << ip_
        << ":8388\nmember_address = " << ip_
        << ":7200\nforward_address = " << ip_
        << ":7201\nmetrics_address = " << ip_
        << ":9100\nseed_addresses = " << seeds
        << "\nready_path = /api/readiness\nmetrics_path = /metrics\n"
           "store_address = "
        << store
        << "\nprocessor_share = 0.2\nlongest_lease_ms = 10000\n"
           "server_report_ms = 870\nretry_ratio = 0.2\nretry_slack = 56\n"
           "config_apply_ms = 2000\ndrain_ms = 2000\nmemory_mb = 260\n"
           "stop_grace_s = 6\n";
  }
  std::string front() const { return ip_ + ":8381"; }
  std::string ready() const { return ip_ + ":8388"; }
  std::string metrics() const { return ip_ + ":9100"; }
  const std::string& name() const { return name_; }
  pid_t pid() const { return pid_; }
  int ended_by_itself() const { return ended_by_itself_; }
  // Returns whether the machine is in touch at `t`: for `stabilityMs` before it
  // the process ran, without a signal or a start.
  bool IsInTouch(double t) {
    constexpr double kStability = 3;
    const std::lock_guard lock(mutex_);
    return std::none_of(disturbed_.begin(), disturbed_.end(),
                        [&](const auto& it) {
                          return it.first <= t && t <= it.second + kStability;
                        });
  }

  // Starts the process. It is started again a second after it has ended, unless
  // the scene ends.
  void Start() {
    Spawn();
    std::thread([this] {
      while (true) {
        int status = 0;
        waitpid(pid_, &status, 0);
        if (closing_) {
          return;
        }
        if (!killed_.exchange(false)) {
          ++ended_by_itself_;
          RECORD("daemon %s has ended by itself: %s %d", name_.c_str(),
                 WIFSIGNALED(status) ? "signal" : "status",
                 WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
        }
        Sleep(1);
        if (closing_) {
          return;
        }
        Spawn();
      }
    }).detach();
  }
  void Signal(int signal) {
    if (signal == SIGKILL || signal == SIGTERM) {
      killed_ = true;
      // Until it has been started again.
      const std::lock_guard lock(mutex_);
      disturbed_.emplace_back(Now(), 1e9);
    }
    RECORD("daemon %s gets signal %d", name_.c_str(), signal);
    kill(pid_, signal);
  }
  void Close() {
    closing_ = true;
    kill(pid_, SIGKILL);
  }
  bool IsReady() const {
    const auto stream = Connect(ready());
    Message answer;
    return stream &&
           stream->Write("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n") &&
           stream->Read(&answer, true, Now() + 1) && answer.status == 200;
  }
  // Returns the daemon's metrics as text.
  std::string Metrics() const {
    const auto stream = Connect(metrics());
    Message answer;
    if (stream && stream->Write("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n") &&
        stream->Read(&answer, true, Now() + 2)) {
      return answer.body;
    }
    return {};
  }

 private:
  void Spawn() {
    const std::string log = folder_ + "/" + name_ + ".log";
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(1);
      }
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      setenv("GSETTINGS_BACKEND", "memory", 1);
      setenv("GIO_USE_PROXY_RESOLVER", "dummy", 1);
      setenv("GIO_USE_VFS", "local", 1);
      execl("target/gentianreach_entryd", "target/gentianreach_entryd",
            "--config", settings_.c_str(), nullptr);
      _exit(127);
    }
    pid_ = pid;
    {
      const std::lock_guard lock(mutex_);
      for (auto& it : disturbed_) {
        it.second = std::min(it.second, Now());
      }
      disturbed_.emplace_back(Now(), Now());
    }
    RECORD("daemon %s starts", name_.c_str());
  }

  const std::string folder_, name_, ip_;
  std::string settings_;
  std::atomic<pid_t> pid_ = 0;
  std::atomic<bool> killed_ = false;
  std::atomic<bool> closing_ = false;
  std::atomic<int> ended_by_itself_ = 0;
  std::mutex mutex_;
  // Spans from a signal to the start that follows.
  std::vector<std::pair<double, double>> disturbed_;
};

// What became of one client attempt.
struct Attempt {
  double sent = 0, ended = 0;
  std::string id, path, daemon;
  long key = -1;
  int status = 0;  // 0: no answer.
  bool stamped = false;
  bool closed = false;  // The connection ended without an answer.
  bool kept = false;    // The connection had carried an answer before.
};

// A whole deployment.
struct Scene {
  std::string folder;
  std::unique_ptr<Store> store;
  std::deque<std::unique_ptr<Instance>> instances;
  std::mutex instances_mutex;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::mutex mutex;
  std::vector<Attempt> attempts;
  std::atomic<std::uint64_t> last_id = 0;
  std::atomic<bool> stop = false;
  json config;

  Scene(const std::string& case_folder, std::size_t daemon_count)
      : folder(std::filesystem::temp_directory_path() /
               ("gentianreach-review-" + std::to_string(getpid()))) {
    signal(SIGPIPE, SIG_IGN);
    Beginning() = Clock::now();
    TheRecord() = new Record(case_folder + "/record.txt");
    std::filesystem::create_directories(folder);
    store = std::make_unique<Store>();
    // A block of loopback addresses that differs from that of other scenes.
    const std::string block = "127." + std::to_string(64 + getpid() % 128) +
                              "." + std::to_string(1 + getpid() / 128 % 250) +
                              ".";
    std::string seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(daemon_count, 3); ++i) {
      seeds += (i ? "," : "") + block + std::to_string(i + 1) + ":8382";
    }
    for (std::size_t i = 0; i < daemon_count; ++i) {
      daemons.push_back(std::make_unique<Daemon>(
          folder, "edge-" + std::to_string(i + 1), Zone(i),
          block + std::to_string(i + 1), seeds, store->address()));
    }
    config = {{"configVersion", "r5"},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", 67108864},
                {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000}}},
              {"listeners", json::array()},
              {"clusters", json::array()}};
  }
  static std::string Zone(std::size_t i) {
    return std::string("zone-") + static_cast<char>('a' + i % 3);
  }
  void AddService(const std::string& name, bool keyed) {
    json cluster = {{"name", name},
                    {"healthPath", "/health"},
                    {"maxConns", 110},
                    {"protocol", "h1"},
                    {"tls", false}};
    if (keyed) {
      cluster["sharded"] = true;
      cluster["warmS"] = 2.0;
      cluster["grants"] = "invoke";
    }
    config["clusters"].push_back(cluster);
  }
  void AddRoute(const std::string& prefix,
                const std::string& service,
                const std::string& kind,
                int timeout_ms = 1000) {
    config["listeners"].push_back(
        {{"hostname", prefix.substr(1, prefix.size() - 2) + ".example"},
         {"rules",
          {{{"name", "r-" + prefix.substr(1, prefix.size() - 2)},
            {"kind", kind},
            {"targetLatencyMs", 400},
            {"priority", 1},
            {"match", {{"pathPrefix", prefix}}},
            {"action",
             {{"service", service},
              {"timeoutMs", timeout_ms},
              {"maxAttempts", 2}}}}}}});
  }
  void PutConfig() { store->Put("config", "main", config); }
  Instance& AddInstance(const std::string& id, const InstanceOptions& options) {
    const std::lock_guard lock(instances_mutex);
    instances.push_back(std::make_unique<Instance>(*store, id, options));
    return *instances.back();
  }
  // Starts the daemons and waits until all are ready. Exits with 2 if they
  // don't get there.
  void StartDaemons() {
    if (access("target/gentianreach_entryd", X_OK) != 0) {
      fprintf(stderr, "target/gentianreach_entryd is missing\n");
      Finish(2);
    }
    for (const auto& it : daemons) {
      it->Start();
    }
    const double until = Now() + 15;
    for (const auto& it : daemons) {
      while (!it->IsReady()) {
        if (Now() > until) {
          fprintf(stderr, "%s isn't ready\n", it->name().c_str());
          Finish(2);
        }
        Sleep(0.1);
      }
    }
    RECORD("all daemons are ready");
  }
  std::string NewId() {
    char id[32];
    snprintf(id, sizeof(id), "%08x%08llx", static_cast<unsigned>(getpid()),
             static_cast<unsigned long long>(++last_id));
    return id;
  }
  // Sends one request on `stream` and waits for the answer until the client's
  // deadline.
  Attempt Ask(Stream& stream,
              const Daemon& daemon,
              const std::string& method,
              const std::string& path,
              long key,
              int deadline_ms,
              const std::string& body = "") {
    Attempt it;
    it.id = NewId();
    it.path = path;
    it.key = key;
    it.daemon = daemon.name();
    const std::string host = path.substr(1, path.find('/', 1) - 1) + ".example";
    std::string bytes =
        method + " " + path + " HTTP/1.1\r\nHost: " + host +
        "\r\nGentianreach-Request-Id: " + it.id +
        "\r\nGentianreach-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    if (key >= 0) {
      bytes += "Gentianreach-Shard-Key: " + std::to_string(key) + "\r\n";
    }
    if (!body.empty()) {
      bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    bytes += "\r\n" + body;
    it.sent = Now();
    RECORD("client sends %s to %s: %s %s key %ld", it.id.c_str(),
           daemon.name().c_str(), method.c_str(), path.c_str(), key);
    Message answer;
    const double until = it.sent + deadline_ms / 1000.0;
    if (stream.Write(bytes) && stream.Read(&answer, true, until)) {
      it.status = answer.status;
      it.stamped = !answer.Header("gentianreach-response-stamp").empty();
      it.closed = Lower(answer.Header("connection")) == "close";
    } else {
      it.closed = Now() < until;
    }
    it.ended = Now();
    RECORD("client has %s: %d%s", it.id.c_str(), it.status,
           it.status != 0 ? ""
           : it.closed    ? " (connection ended)"
                          : " (deadline)");
    return it;
  }
  // Sends requests from `n` clients, each on a kept connection to a daemon and
  // with `pause` seconds between an answer and the next request.
  void StartClients(
      std::size_t n,
      double pause,
      std::function<std::pair<std::string, long>(std::mt19937&)> choose,
      const std::string& method = "GET",
      int deadline_ms = 1000) {
    for (std::size_t i = 0; i < n; ++i) {
      std::thread([this, i, pause, choose, method, deadline_ms] {
        std::mt19937 random(static_cast<unsigned>(i + 1));
        Daemon& daemon = *daemons[i % daemons.size()];
        std::unique_ptr<Stream> stream;
        bool kept = false;
        while (!stop) {
          if (!stream) {
            stream = Connect(daemon.front());
            kept = false;
            if (!stream) {
              Sleep(0.3);
              continue;
            }
          }
          const auto [path, key] = choose(random);
          Attempt it = Ask(*stream, daemon, method, path, key, deadline_ms);
          it.kept = kept;
          kept = true;
          if (it.status == 0 || it.closed) {
            stream.reset();
          }
          {
            const std::lock_guard lock(mutex);
            attempts.push_back(it);
          }
          Sleep(pause);
        }
      }).detach();
    }
  }
  std::vector<Attempt> Attempts() {
    const std::lock_guard lock(mutex);
    return attempts;
  }
  Daemon* Leader() {
    const json record = store->Content("gentianreach-leadership", "entry");
    const std::string name = record.dump();
    for (const auto& it : daemons) {
      if (name.find("\"" + it->name() + "\"") != std::string::npos) {
        return it.get();
      }
    }
    return nullptr;
  }

  // OWNER: two instances that are up hold the same keys for over half a second,
  // or both begin requests on such keys meanwhile. Returns the number of pairs
  // of holdings that break it.
  int CountOwnerBreaks() {
    struct Of {
      Instance* instance;
      Holding holding;
    };
    std::vector<Of> all;
    for (const auto& it : instances) {
      for (const Holding& holding : it->Holdings()) {
        all.push_back({it.get(), holding});
      }
    }
    int breaks = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
      for (std::size_t j = i + 1; j < all.size(); ++j) {
        const Holding& a = all[i].holding;
        const Holding& b = all[j].holding;
        const double begin = std::max(a.begin, b.begin);
        const double end = std::min(a.end, b.end);
        const std::uint32_t from = std::max(a.from, b.from);
        const std::uint32_t to = std::min(a.to, b.to);
        if (all[i].instance == all[j].instance ||
            all[i].instance->service() != all[j].instance->service() ||
            begin >= end || from > to) {
          continue;
        }
        const auto began = [&](Instance* it) {
          const auto runs = it->Runs();
          return std::count_if(runs.begin(), runs.end(), [&](const Run& run) {
            return run.at >= begin && run.at < end &&
                   run.key >= static_cast<long>(from) &&
                   run.key <= static_cast<long>(to);
          });
        };
        const auto of_a = began(all[i].instance);
        const auto of_b = began(all[j].instance);
        if (end - begin <= 0.5 && (of_a == 0 || of_b == 0)) {
          continue;
        }
        ++breaks;
        RECORD(
            "OWNER: %s (fence %llu) and %s (fence %llu) hold keys %u-%u from "
            "%.3f to %.3f, %.3f s; they begin %ld and %ld requests on them",
            all[i].instance->id().c_str(),
            static_cast<unsigned long long>(a.fence),
            all[j].instance->id().c_str(),
            static_cast<unsigned long long>(b.fence), from, to, begin, end,
            end - begin, static_cast<long>(of_a), static_cast<long>(of_b));
      }
    }
    return breaks;
  }

  // Ends all processes of the scene, and the scene with `code`.
  [[noreturn]] void Finish(int code) {
    stop = true;
    for (const auto& it : daemons) {
      it->Close();
    }
    Sleep(0.2);
    RECORD("exit %d", code);
    if (getenv("KEEP") == nullptr) {
      std::error_code ec;
      std::filesystem::remove_all(folder, ec);
    } else {
      printf("logs in %s\n", folder.c_str());
    }
    fflush(nullptr);
    _exit(code);
  }
};

// Returns whether the disruption is to be played.
inline bool HasTrouble() {
  const char* it = getenv("TROUBLE");
  return it == nullptr || strcmp(it, "0") != 0;
}

}  // namespace scene

#endif  // REVIEW_STANDINS_2_SCENE_H_
