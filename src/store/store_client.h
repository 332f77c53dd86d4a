// Client of the platform's object store and VM list (docs/PROTOCOLS.md).
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
  kAbsent,       // Reads only: no such object.
  kConflict,     // Writes only: the object has another version. An earlier
                 // attempt of the same write may still have taken effect.
  kUnavailable,  // Failed, and certain to have had no effect.
  kUnknown,      // Writes only: no response; the write may have taken effect,
                 // which a later read shows.
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

// Objects that changed under a prefix. The next watch continues at `revision`.
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

// Sends requests to the store. Every call runs its callback exactly once. A
// call without a response by its deadline ends as kUnavailable (reads) or
// kUnknown (writes). Must be used on one thread only.
class StoreClient {
 public:
  // `base_url` has the form "http://127.0.0.1:7000".
  explicit StoreClient(std::string base_url);
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  // Returns the reason why the store could not be reached, or nullopt if it
  // sent any response, even an error. Runs the main context until then.
  [[nodiscard]] std::optional<std::string> CheckConnection(TimePoint deadline);

  void Read(const std::string& name,
            TimePoint deadline,
            std::function<void(ObjectRead)> done);
  // Writes the object if it has the version `expected` or, if that is nullopt,
  // if it does not exist.
  void Write(const std::string& name,
             std::optional<ObjectVersion> expected,
             std::string bytes,
             TimePoint deadline,
             std::function<void(ObjectWritten)> done);
  // Lists the objects whose names begin with `prefix`, sorted by name.
  void List(const std::string& prefix,
            TimePoint deadline,
            std::function<void(StoreChanges)> done);
  // Waits until an object under `prefix` changes after `revision`. Shortly
  // before `deadline`, ends with an empty list of changes.
  void Watch(const std::string& prefix,
             std::uint64_t revision,
             TimePoint deadline,
             std::function<void(StoreChanges)> done);
  // Reads the list of VMs, which may be out of date.
  void ListVms(TimePoint deadline, std::function<void(VmList)> done);

 private:
  [[nodiscard]] std::string ObjectUrl(const std::string& name) const;

  std::string base_url_;
  HttpClient http_;
};

}  // namespace gentianreach

#endif  // SRC_STORE_STORE_CLIENT_H_
