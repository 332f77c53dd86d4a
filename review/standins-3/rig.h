// Stand-ins of the platform for the review's scripts: the platform's store,
// instances and clients, as threads of one process, and the entry daemons as
// processes of their own. Everything listens on 127.0.0.1.
#ifndef REVIEW_STANDINS_3_RIG_H_
#define REVIEW_STANDINS_3_RIG_H_

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

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace rig {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

// Exit codes of a script.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

inline const Clock::time_point kBegin = Clock::now();
// Returns the seconds since the start of the program.
inline double Now() {
  return std::chrono::duration<double>(Clock::now() - kBegin).count();
}
inline void SleepUntil(double at) {
  std::this_thread::sleep_until(kBegin +
                                std::chrono::duration_cast<Clock::duration>(
                                    std::chrono::duration<double>(at)));
}
inline void Sleep(double seconds) {
  SleepUntil(Now() + seconds);
}

// The record of what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  template <typename... Parts>
  void Line(const Parts&... parts) {
    const std::lock_guard lock(mutex_);
    char at[32];
    std::snprintf(at, sizeof at, "%8.3f", Now());
    out_ << at;
    ((out_ << ' ' << parts), ...);
    out_ << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

// Returns an address of 127.0.0.0/24.
inline sockaddr_in Loopback(int port, int host = 1) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr =
      htonl(INADDR_LOOPBACK - 1 + static_cast<std::uint32_t>(host));
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

// Listens at `port`, or at a free one if it is 0. Returns the descriptor and
// the port.
inline std::pair<int, int> Listen(int port = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Loopback(port);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(fd, 512) != 0) {
    std::perror("listen");
    std::exit(kCouldNotRun);
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return {fd, ntohs(address.sin_port)};
}

// Returns a port that is free for TCP and UDP at the first `hosts` daemons'
// addresses.
inline constexpr int kFirstDaemonHost = 11;
inline int FreePort(int hosts) {
  static std::set<int> used;
  while (true) {
    const auto [fd, port] = Listen();
    bool is_free = true;
    for (int host = kFirstDaemonHost; host < kFirstDaemonHost + hosts; ++host) {
      for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int it = socket(AF_INET, type | SOCK_CLOEXEC, 0);
        const sockaddr_in address = Loopback(port, host);
        is_free =
            is_free && bind(it, reinterpret_cast<const sockaddr*>(&address),
                            sizeof address) == 0;
        close(it);
      }
    }
    close(fd);
    if (is_free && used.insert(port).second) {
      return port;
    }
  }
}

inline std::string Lower(std::string text) {
  for (char& it : text) {
    it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
  }
  return text;
}

struct Message {
  std::string first, second, third;  // Words of the first line.
  std::map<std::string, std::string> headers;
  std::string body;
  [[nodiscard]] std::string Get(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

// Reads one message that has a length or no body. `pending` holds bytes that
// have been read already. Returns false at the end of the connection, or if
// nothing arrives for `timeout` seconds.
inline bool ReadMessage(int fd,
                        std::string& pending,
                        Message& message,
                        double timeout = 1e6) {
  const auto more = [&] {
    pollfd it{.fd = fd, .events = POLLIN, .revents = 0};
    if (poll(&it, 1, static_cast<int>(std::min(timeout, 1e6) * 1000)) <= 0) {
      return false;
    }
    char buf[65536];
    const ssize_t n = recv(fd, buf, sizeof buf, 0);
    if (n <= 0) {
      return false;
    }
    pending.append(buf, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end = 0;
  while ((end = pending.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  message = {};
  std::istringstream head(pending.substr(0, end));
  pending.erase(0, end + 4);
  std::string line;
  std::getline(head, line);
  std::istringstream(line) >> message.first >> message.second >> message.third;
  while (std::getline(head, line)) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    value.erase(value.find_last_not_of(" \r") + 1);
    message.headers[Lower(line.substr(0, colon))] = value;
  }
  const std::size_t length =
      std::strtoul(message.Get("content-length").c_str(), nullptr, 10);
  while (pending.size() < length) {
    if (!more()) {
      return false;
    }
  }
  message.body = pending.substr(0, length);
  pending.erase(0, length);
  return true;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

inline std::string Response(int status,
                            const std::string& headers,
                            const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's metadata store, with the calls of PROTOCOL.md.
class Store {
 public:
  Store() {
    const auto [fd, port] = Listen();
    port_ = port;
    std::thread([this, fd = fd] {
      while (true) {
        const int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
          return;
        }
        const int on = 1;
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, client] { Serve(client); }).detach();
      }
    }).detach();
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(port_);
  }
  // Writes an object without a condition. Returns once it is acknowledged.
  void Put(const std::string& kind, const std::string& name, const json& spec) {
    const std::lock_guard lock(mutex_);
    Write(kind, name, spec);
  }
  void Remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto it = objects_[kind].find(name);
    if (it == objects_[kind].end()) {
      return;
    }
    ++revision_;
    history_.push_back(
        {revision_, kind, {{"object", it->second}, {"deleted", true}}});
    objects_[kind].erase(it);
    changed_.notify_all();
  }

 private:
  struct Change {
    std::uint64_t revision;
    std::string kind;
    json event;
  };

  const json& Write(const std::string& kind,
                    const std::string& name,
                    const json& spec) {
    json& object = objects_[kind][name];
    if (!object.is_null() && object["spec"] == spec) {
      return object;
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
    object["metadata"]["rev"] = revision_;
    object["spec"] = spec;
    history_.push_back(
        {revision_, kind, {{"object", object}, {"deleted", false}}});
    changed_.notify_all();
    return object;
  }

  static std::string Query(const std::string& target, const std::string& name) {
    std::istringstream in(
        target.substr(std::min(target.find('?'), target.size() - 1) + 1));
    std::string part;
    while (std::getline(in, part, '&')) {
      if (part.starts_with(name + "=")) {
        return part.substr(name.size() + 1);
      }
    }
    return "";
  }

  std::pair<int, json> Handle(const Message& it) {
    const std::string path = it.second.substr(0, it.second.find('?'));
    const std::string prefix = "/api/objects/";
    if (!path.starts_with(prefix)) {
      return {404, json::object()};
    }
    const std::string rest = path.substr(prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    std::unique_lock lock(mutex_);
    auto& objects = objects_[kind];
    if (it.first == "GET" && !name.empty()) {
      const auto found = objects.find(name);
      return found == objects.end() ? std::pair<int, json>(404, json::object())
                                    : std::pair<int, json>(200, found->second);
    }
    if (it.first == "GET") {
      const std::string watch = Query(it.second, "watch");
      if (watch.empty()) {
        json items = json::array();
        const std::string after = Query(it.second, "after");
        for (const auto& [key, object] : objects) {
          if (key > after) {
            items.push_back(object);
          }
        }
        return {200, {{"items", items}, {"hasMore", false}, {"at", revision_}}};
      }
      const std::uint64_t since = std::stoull(watch);
      const auto until =
          Clock::now() + std::chrono::milliseconds(
                             std::atoi(Query(it.second, "waitMs").c_str()));
      json events = json::array();
      const auto collect = [&] {
        for (const Change& change : history_) {
          if (change.kind == kind && change.revision > since) {
            events.push_back(change.event);
          }
        }
        return !events.empty();
      };
      while (!collect() &&
             changed_.wait_until(lock, until) != std::cv_status::timeout) {
      }
      if (events.empty()) {
        collect();
      }
      return {200, {{"events", events}, {"at", revision_}}};
    }
    const json body = json::parse(it.body, nullptr, false);
    if (!body.is_object()) {
      return {400, json::object()};
    }
    if (it.first == "POST") {
      name = body["metadata"]["name"];
      if (objects.contains(name)) {
        return {409, objects[name]};
      }
      return {201, Write(kind, name, body["spec"])};
    }
    const auto found = objects.find(name);
    if (found == objects.end()) {
      return {404, json::object()};
    }
    const std::string rev = Query(it.second, "rev");
    if (!rev.empty() && std::stoull(rev) != found->second["metadata"]["rev"]) {
      return {409, found->second};
    }
    return {200, Write(kind, name, body["spec"])};
  }

  void Serve(int fd) {
    std::string pending;
    Message message;
    while (ReadMessage(fd, pending, message)) {
      const auto [status, body] = Handle(message);
      if (!SendAll(fd, Response(status, "Content-Type: application/json\r\n",
                                body.dump()))) {
        break;
      }
    }
    close(fd);
  }

  int port_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, json>> objects_;
  std::vector<Change> history_;
  std::uint64_t revision_ = 1;
};

// A run of a request at an instance.
struct Run {
  double at = 0;
  std::string id, instance, caller, path;
};

// One instance of a service without keys. A request for which `crashes` holds
// crashes it when it begins to run; it is back after some seconds, under a new
// id at another address.
class Instance {
 public:
  static constexpr double kHeartbeat = 0.87;

  Instance(Store& store,
           Record& record,
           std::string service,
           int number,
           double work)
      : store_(store),
        record_(record),
        service_(std::move(service)),
        number_(number),
        work_(work) {
    StartLife();
  }

  static std::function<bool(const Message&)>& crashes() {
    static std::function<bool(const Message&)> it = [](const Message&) {
      return false;
    };
    return it;
  }
  static std::vector<Run> Runs() {
    const std::lock_guard lock(runs_mutex());
    return runs();
  }
  // Whether a crash is dark: the instance's machine falls silent, and resets
  // its old connections only once it is back.
  static bool& dark() {
    static bool it = false;
    return it;
  }
  static double& back_after() {
    static double seconds = 3;
    return seconds;
  }

 private:
  struct Life {
    std::string id;
    int listener = -1;
    std::mutex mutex;
    bool ended = false;
    bool closed = false;
    std::set<int> connections;
  };

  // Returns whether the instance has crashed. In a dark crash it returns only
  // once the connections are closed.
  static bool HasEnded(Life& life) {
    while (true) {
      {
        const std::lock_guard lock(life.mutex);
        if (!life.ended || life.closed) {
          return life.ended;
        }
      }
      Sleep(0.02);
    }
  }

  static std::vector<Run>& runs() {
    static std::vector<Run> it;
    return it;
  }
  static std::mutex& runs_mutex() {
    static std::mutex it;
    return it;
  }

  void StartLife() {
    auto life = std::make_shared<Life>();
    life->id = "i-" + service_ + "-" + std::to_string(number_) + "-" +
               std::to_string(++lives_);
    const auto [fd, port] = Listen();
    life->listener = fd;
    const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    store_.Put(
        "servers", life->id,
        {{"address", "127.0.0.1:" + std::to_string(port)},
         {"born", born.count()},
         {"info",
          {{"service", service_},
           {"configVersion", "v1"},
           {"zone", "zone-1"},
           {"slots", 3}}},
         {"status", {{"state", "ready"}, {"seq", 1}, {"warmupLeftMs", 0}}}});
    record_.Line("instance", life->id, "up");
    std::thread([this, life] {
      while (true) {
        const int client =
            accept4(life->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
          close(life->listener);
          return;
        }
        {
          const std::lock_guard lock(life->mutex);
          if (life->closed) {
            close(client);
            return;
          }
          life->connections.insert(client);
        }
        const int on = 1;
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, life, client] { Serve(life, client); }).detach();
      }
    }).detach();
  }

  void Crash(const std::shared_ptr<Life>& life) {
    {
      const std::lock_guard lock(life->mutex);
      if (std::exchange(life->ended, true)) {
        return;
      }
      if (!dark()) {
        CloseAll(*life);
      }
    }
    record_.Line("instance", life->id, "CRASHED");
    std::thread([this, life] {
      // The entry is removed after three heartbeat intervals of silence.
      Sleep(3 * kHeartbeat);
      store_.Remove("servers", life->id);
      Sleep(std::max(0.0, back_after() - 3 * kHeartbeat));
      if (dark()) {
        const std::lock_guard lock(life->mutex);
        CloseAll(*life);
      }
      StartLife();
    }).detach();
  }

  static void CloseAll(Life& life) {
    shutdown(life.listener, SHUT_RDWR);
    for (const int it : life.connections) {
      shutdown(it, SHUT_RDWR);
    }
    life.closed = true;
  }

  void Serve(const std::shared_ptr<Life>& life, int fd) {
    std::string pending;
    Message it;
    while (ReadMessage(fd, pending, it) && !HasEnded(*life) &&
           Answer(life, fd, it)) {
    }
    HasEnded(*life);
    const std::lock_guard lock(life->mutex);
    life->connections.erase(fd);
    close(fd);
  }

  bool Answer(const std::shared_ptr<Life>& life, int fd, const Message& it) {
    const std::string instance =
        "Gentianreach-Instance-Id: " + life->id + "\r\n";
    if (it.second == "/health") {
      return SendAll(fd, Response(200, instance, "ok"));
    }
    const std::string id = it.Get("gentianreach-request-id");
    const std::string echo = "Gentianreach-Request-Id: " + id + "\r\n";
    const std::string not_run = "Gentianreach-Not-Executed: 1\r\n";
    if (id.empty()) {
      return SendAll(fd, Response(400, not_run, ""));
    }
    const std::string expected = it.Get("gentianreach-expect-instance");
    if (!expected.empty() && expected != life->id) {
      return SendAll(fd, Response(421, echo + instance + not_run, ""));
    }
    if (running_.fetch_add(1) >= 15) {
      running_.fetch_sub(1);
      return SendAll(fd, Response(503, echo + not_run, ""));
    }
    const Run run{Now(), id, life->id, it.Get("authorization"), it.second};
    {
      const std::lock_guard lock(runs_mutex());
      runs().push_back(run);
    }
    record_.Line("run", id, it.first, it.second, "caller", run.caller, "at",
                 life->id);
    if (crashes()(it)) {
      running_.fetch_sub(1);
      Crash(life);
      return false;
    }
    Sleep(work_);
    running_.fetch_sub(1);
    return !HasEnded(*life) &&
           SendAll(fd,
                   Response(200,
                            echo + "Gentianreach-Response-Stamp: stamp." + id +
                                "." + life->id + "\r\n" +
                                "Gentianreach-Server-Load: " +
                                std::to_string(running_.load()) + ",0,3\r\n",
                            "body of " + id + " from " + life->id));
  }

  Store& store_;
  Record& record_;
  const std::string service_;
  const int number_;
  const double work_;
  int lives_ = 0;
  std::atomic<int> running_ = 0;
};

// The ports of the daemons; each has them at an address of its own.
struct Ports {
  int caller, ready, member, forward, metrics;
  explicit Ports(int daemons)
      : caller(FreePort(daemons)),
        ready(FreePort(daemons)),
        member(FreePort(daemons)),
        forward(FreePort(daemons)),
        metrics(FreePort(daemons)) {}
};

// An entry daemon as a process.
class Daemon {
 public:
  // Starts with the command of the deploy file, and settings like those of its
  // template.
  Daemon(const std::string& folder,
         const std::string& program,
         int index,
         const Store& store,
         const Ports& ports,
         int daemons)
      : name_("edge-zone-1-" + std::to_string(index + 1)),
        host_(kFirstDaemonHost + index),
        ports_(ports),
        file_(folder + "/" + name_ + ".ini"),
        log_(folder + "/" + name_ + ".log"),
        program_(program) {
    const auto ip = [](int i) {
      return "127.0.0." + std::to_string(kFirstDaemonHost + i);
    };
    std::string seeds;
    for (int i = 0; i < std::min(daemons, 3); ++i) {
      seeds += (seeds.empty() ? "" : ",") + ip(i) + ":" +
               std::to_string(ports.member);
    }
    std::ofstream(file_)
        << "[entry]\nname = " << name_ << "\nzone = zone-1\n"
        << "caller_address = " << ip(index) << ":" << ports.caller << "\n"
        << "ready_address = " << ip(index) << ":" << ports.ready << "\n"
        << "member_address = " << ip(index) << ":" << ports.member << "\n"
        << "forward_address = " << ip(index) << ":" << ports.forward << "\n"
        << "metrics_address = " << ip(index) << ":" << ports.metrics << "\n"
        << "seed_addresses = " << seeds << "\n"
        << "ready_path = /api/readiness\nmetrics_path = /metrics\n"
        << "store_address = " << store.address() << "\n"
        << "processor_share = 0.2\nlongest_lease_ms = 10000\nserver_report_ms "
           "= 870\n"
        << "retry_ratio = 0.2\nretry_slack = 56\nconfig_apply_ms = "
           "2000\ndrain_ms = 2000\n"
        << "memory_mb = 260\nstop_grace_s = 6\n";
    Start();
  }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon() { Kill(); }
  void Start() {
    pid_ = fork();
    if (pid_ == 0) {
      // Ends with the script, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open(log_.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("GSETTINGS_BACKEND", "memory", 1);
      setenv("GIO_USE_PROXY_RESOLVER", "dummy", 1);
      setenv("GIO_USE_VFS", "local", 1);
      execl(program_.c_str(), program_.c_str(), "--config", file_.c_str(),
            nullptr);
      _exit(127);
    }
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  [[nodiscard]] bool Runs() const {
    return pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == 0;
  }
  [[nodiscard]] pid_t pid() const { return pid_; }
  [[nodiscard]] sockaddr_in caller() const {
    return Loopback(ports_.caller, host_);
  }
  [[nodiscard]] sockaddr_in ready() const {
    return Loopback(ports_.ready, host_);
  }
  [[nodiscard]] const std::string& name() const { return name_; }

 private:
  const std::string name_;
  const int host_;
  const Ports ports_;
  const std::string file_;
  const std::string log_;
  const std::string program_;
  pid_t pid_ = -1;
};

// What a client got for one attempt. Status 0: the connection ended without an
// answer; -1: nothing until `timeout`.
struct Answer {
  int status = 0;
  double sent_at = 0;
  double at = 0;
  std::string stamp, body;
};

// Sends one request on a new connection.
inline Answer Ask(const sockaddr_in& address,
                  const std::string& request,
                  double timeout) {
  Answer answer;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  answer.sent_at = Now();
  std::string pending;
  Message message;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) == 0 &&
      SendAll(fd, request)) {
    if (ReadMessage(fd, pending, message, timeout)) {
      answer.status = std::atoi(message.second.c_str());
      answer.stamp = message.Get("gentianreach-response-stamp");
      answer.body = message.body;
    } else if (Now() >= answer.sent_at + timeout - 0.01) {
      answer.status = -1;
    }
  }
  close(fd);
  answer.at = Now();
  return answer;
}

inline std::string Request(const std::string& method,
                           const std::string& path,
                           const std::string& id,
                           int deadline_ms,
                           const std::string& caller,
                           const std::string& body = "") {
  return method + " " + path +
         " HTTP/1.1\r\nHost: shop.example\r\nGentianreach-Request-Id: " + id +
         "\r\nGentianreach-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: " + caller + "\r\n" +
         (body.empty()
              ? ""
              : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "Connection: close\r\n\r\n" + body;
}

inline bool IsReady(const Daemon& daemon) {
  return Ask(daemon.ready(),
             "GET /api/readiness HTTP/1.1\r\nHost: a\r\nConnection: "
             "close\r\n\r\n",
             1)
             .status == 200;
}

// Returns one rule of a configuration. `parts` are services and weights.
inline json Rule(
    const std::string& name,
    const std::string& prefix,
    const std::string& kind,
    const std::vector<std::pair<std::string, std::uint64_t>>& parts,
    int timeout_ms) {
  json action = {{"timeoutMs", timeout_ms}, {"maxAttempts", 2}};
  if (parts.size() == 1) {
    action["service"] = parts[0].first;
  } else {
    for (const auto& [service, weight] : parts) {
      action["trafficSplit"].push_back(
          {{"service", service}, {"weight", weight}});
    }
  }
  return {{"name", name},
          {"kind", kind},
          {"priority", 1},
          {"targetLatencyMs", timeout_ms / 2},
          {"match", {{"pathPrefix", prefix}}},
          {"action", action}};
}

inline json Config(int version,
                   const std::vector<std::string>& services,
                   const json& rules) {
  json clusters = json::array();
  for (const std::string& it : services) {
    clusters.push_back({{"name", it},
                        {"healthPath", "/health"},
                        {"maxConns", 110},
                        {"protocol", "h1"},
                        {"tls", false}});
  }
  return {{"configVersion", "r" + std::to_string(version)},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 67108864},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"listeners", {{{"hostname", "shop.example"}, {"rules", rules}}}},
          {"clusters", clusters}};
}

// Returns whether the script brings the disruption about.
inline bool HasTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

// The daemons, ready and with one leader.
struct Fleet {
  std::vector<std::unique_ptr<Daemon>> daemons;
  Fleet(const std::string& folder,
        const std::string& program,
        const Store& store,
        int n) {
    const Ports ports(n);
    for (int i = 0; i < n; ++i) {
      daemons.push_back(
          std::make_unique<Daemon>(folder, program, i, store, ports, n));
    }
  }
  // Waits until all are ready. Returns whether they are.
  [[nodiscard]] bool AwaitReady(double seconds) const {
    const double until = Now() + seconds;
    for (const auto& it : daemons) {
      while (!IsReady(*it)) {
        if (Now() > until) {
          return false;
        }
        Sleep(0.05);
      }
    }
    return true;
  }
  // Ends the daemons and the program.
  [[noreturn]] void Exit(int code) {
    daemons.clear();
    std::fflush(stdout);
    _exit(code);
  }
  // Returns whether no daemon has ended by itself.
  [[nodiscard]] bool AllRun() const {
    for (const auto& it : daemons) {
      if (!it->Runs()) {
        return false;
      }
    }
    return true;
  }
};

}  // namespace rig

#endif  // REVIEW_STANDINS_3_RIG_H_
