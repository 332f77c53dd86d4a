// The platform's object store and VM list (docs/PROTOCOLS.md).
#ifndef SRC_STORE_STORE_CLIENT_H_
#define SRC_STORE_STORE_CLIENT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "net/http_client.h"

namespace gentianreach {

enum class StoreStatus : std::uint8_t {
  kOk,
  kAbsent,       // Reads: no object of that name.
  kConflict,     // Writes: another version is there; the write had no effect,
                 // unless an earlier sending of the same write had it.
  kUnavailable,  // Proven: no effect.
  kUnknown,      // Writes: the answer was lost; read to see what holds.
};

struct ObjectRead {
  StoreStatus status = StoreStatus::kUnavailable;
  ObjectVersion version;
  std::string bytes;
  std::string error;
};

struct ObjectWritten {
  StoreStatus status = StoreStatus::kUnavailable;
  ObjectVersion version;
  std::string error;
};

struct ObjectInfo {
  std::string name;
  ObjectVersion version;
};

// What changed under a prefix. `revision` is where the next watch goes on.
struct StoreChanges {
  StoreStatus status = StoreStatus::kUnavailable;
  std::uint64_t revision = 0;
  std::vector<ObjectInfo> objects;
  std::string error;
};

enum class VmRole : std::uint8_t { kEntry, kBackend };

struct Vm {
  std::string id;
  std::string address;  // "IP:port"
  std::string zone;
  std::string service;  // Backend servers only.
  VmRole role = VmRole::kBackend;
  bool leaving = false;
};

struct VmList {
  StoreStatus status = StoreStatus::kUnavailable;
  std::vector<Vm> vms;
  std::string error;
};

// Calls the store. Every call ends in its callback exactly once; a call that
// has no answer by its deadline ends as kUnavailable (reads) or kUnknown
// (writes). Belongs to one thread.
class StoreClient {
 public:
  // `base_url` is like "http://127.0.0.1:7000".
  explicit StoreClient(std::string base_url);
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  // Runs the main context until the store has answered anything, an error
  // included. Returns why there was no answer, or nothing.
  [[nodiscard]] std::optional<std::string> WhyUnreachable(TimePoint deadline);

  void Read(const std::string& name,
            TimePoint deadline,
            std::function<void(ObjectRead)> done);
  // Writes where the object has the version `expected`, or is absent where
  // that is nothing.
  void Write(const std::string& name,
             std::optional<ObjectVersion> expected,
             std::string bytes,
             TimePoint deadline,
             std::function<void(ObjectWritten)> done);
  // Lists the objects whose names begin with `prefix`, in order of name.
  void List(const std::string& prefix,
            TimePoint deadline,
            std::function<void(StoreChanges)> done);
  // Waits until something under `prefix` changes after `revision`, or until
  // shortly before `deadline`, when it ends with nothing changed.
  void Watch(const std::string& prefix,
             std::uint64_t revision,
             TimePoint deadline,
             std::function<void(StoreChanges)> done);
  // Reads the list of VMs, which lags.
  void ListVms(TimePoint deadline, std::function<void(VmList)> done);

 private:
  [[nodiscard]] std::string ObjectUrl(const std::string& name) const;

  std::string base_url_;
  HttpClient http_;
};

}  // namespace gentianreach

#endif  // SRC_STORE_STORE_CLIENT_H_
