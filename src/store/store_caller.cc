#include "store/store_caller.h"

#include <optional>
#include <utility>

namespace gentianreach {
namespace {

using ReplyCallback = std::function<void(const store::Reply&)>;

store::Status ToStatus(StoreStatus status) {
  switch (status) {
    case StoreStatus::kOk:
      return store::Status::kOk;
    case StoreStatus::kAbsent:
      return store::Status::kAbsent;
    case StoreStatus::kConflict:
      return store::Status::kConflict;
    case StoreStatus::kUnavailable:
      return store::Status::kUnavailable;
    case StoreStatus::kUnknown:
      return store::Status::kUnknown;
  }
  return store::Status::kUnknown;
}

std::function<void(StoreChanges)> ToChangesCallback(ReplyCallback done) {
  return [done = std::move(done)](const StoreChanges& changes) {
    store::Reply reply{ToStatus(changes.status)};
    reply.revision = changes.revision;
    reply.error = changes.error;
    for (const ObjectInfo& it : changes.objects) {
      reply.names.push_back(it.name);
    }
    done(reply);
  };
}

}  // namespace

void MakeStoreCall(StoreClient& client,
                   const store::Call& call,
                   ReplyCallback done) {
  switch (call.kind) {
    case store::CallKind::kRead:
      client.Read(call.name, call.deadline,
                  [done = std::move(done)](ObjectRead read) {
                    store::Reply reply{ToStatus(read.status), read.version};
                    reply.bytes = std::move(read.bytes);
                    reply.error = std::move(read.error);
                    done(reply);
                  });
      return;
    case store::CallKind::kWrite:
      client.Write(
          call.name, call.expected, call.bytes, call.deadline,
          [done = std::move(done)](ObjectWritten written) {
            store::Reply reply{ToStatus(written.status), written.version};
            reply.error = std::move(written.error);
            done(reply);
          });
      return;
    case store::CallKind::kList:
      client.List(call.name, call.deadline, ToChangesCallback(std::move(done)));
      return;
    case store::CallKind::kWatch:
      client.Watch(call.name, call.revision, call.deadline,
                   ToChangesCallback(std::move(done)));
      return;
  }
}

store::Reply MakeStoreCallAndWait(StoreClient& client,
                                  const store::Call& call) {
  std::optional<store::Reply> result;
  MakeStoreCall(client, call,
                [&result](const store::Reply& reply) { result = reply; });
  while (!result) {
    g_main_context_iteration(g_main_context_get_thread_default(), TRUE);
  }
  return *std::move(result);
}

}  // namespace gentianreach
