// In-memory store for tests and benchmarks that can inject the faults of the
// platform's store.
#ifndef SRC_STORE_FAKE_STORE_H_
#define SRC_STORE_FAKE_STORE_H_

#include <cstdint>
#include <map>
#include <string>

#include "store/store_call.h"

namespace gentianreach::store {

// Object versions are taken from one counter for the whole store. The caller
// passes the fault to inject with each call.
class FakeStore {
 public:
  enum class Fault : std::uint8_t {
    kNone,
    kDown,         // No effect, and the reply says so.
    kRequestLost,  // No effect and no reply.
    kReplyLost,    // Takes effect, but the reply is lost.
  };

  // Returns the reply to the call. Watches do not wait: they return the names
  // of the objects that changed, if any.
  Reply Make(const Call& call, Fault fault = Fault::kNone) {
    ++calls_;
    if (fault == Fault::kDown) {
      return {Status::kUnavailable};
    }
    if (fault == Fault::kRequestLost) {
      return NoReply(call);
    }
    Reply reply = Apply(call);
    return fault == Fault::kReplyLost ? NoReply(call) : reply;
  }

  [[nodiscard]] std::uint64_t calls() const { return calls_; }
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  [[nodiscard]] bool Contains(const std::string& name) const {
    return objects_.contains(name);
  }
  // Returns a reference to an object's bytes, for a test to check or corrupt.
  std::string& Bytes(const std::string& name) { return objects_[name].bytes; }
  void Erase(const std::string& name) { objects_.erase(name); }

 private:
  struct Object {
    std::uint64_t version = 0;
    std::string bytes;
  };

  static Reply NoReply(const Call& call) {
    return {call.kind == CallKind::kWrite ? Status::kUnknown
                                          : Status::kUnavailable};
  }

  Reply Apply(const Call& call) {
    switch (call.kind) {
      case CallKind::kRead:
        return Read(call);
      case CallKind::kWrite:
        return Write(call);
      case CallKind::kList:
      case CallKind::kWatch:
        return ListNames(call);
    }
    return {};
  }

  Reply Read(const Call& call) {
    const auto it = objects_.find(call.name);
    if (it == objects_.end()) {
      return {Status::kAbsent};
    }
    return {Status::kOk, ObjectVersion(it->second.version), it->second.bytes};
  }

  Reply Write(const Call& call) {
    const auto it = objects_.find(call.name);
    const bool present = it != objects_.end();
    const bool matches =
        present == call.expected.has_value() &&
        (!present || it->second.version == call.expected->value());
    if (!matches) {
      return {Status::kConflict};
    }
    objects_[call.name] = {++revision_, call.bytes};
    return {Status::kOk, ObjectVersion(revision_)};
  }

  Reply ListNames(const Call& call) {
    Reply reply{Status::kOk};
    reply.revision = revision_;
    const std::uint64_t after =
        call.kind == CallKind::kWatch ? call.revision : 0;
    for (const auto& [name, object] : objects_) {
      if (name.starts_with(call.name) && object.version > after) {
        reply.names.push_back(name);
      }
    }
    return reply;
  }

  std::map<std::string, Object> objects_;
  std::uint64_t revision_ = 0;
  std::uint64_t calls_ = 0;
};

}  // namespace gentianreach::store

#endif  // SRC_STORE_FAKE_STORE_H_
