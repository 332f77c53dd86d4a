#include "daemon/audit_driver.h"

#include <chrono>
#include <utility>

#include "base/log.h"
#include "store/store_caller.h"

namespace gentianreach {
namespace {

using std::chrono::milliseconds;

// Entries added within this time are written to the store in one batch.
constexpr milliseconds kBatchDelay{200};

std::int64_t UtcMillis() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

AuditDriver::AuditDriver(std::string writer, StoreClient& store)
    : store_(store), appender_(std::move(writer)) {}

void AuditDriver::Add(const AuditEvent& event) {
  audit::Entry entry;
  entry.actor = event.actor;
  entry.kind = event.what;
  const std::size_t slash = event.object.find('/');
  if (slash != std::string::npos) {
    entry.service = event.object.substr(0, slash);
  }
  entry.key = event.object;
  entry.from = event.from;
  entry.to = event.to;
  entry.reason = event.why;
  entry.version = event.version.value();
  Add(std::move(entry));
}

void AuditDriver::Add(audit::Entry entry) {
  entry.time_ms = UtcMillis();
  Log(LogLevel::kInfo, "audit",
      {{"kind", entry.kind},
       {"actor", entry.actor},
       {"object", entry.key},
       {"from", entry.from},
       {"to", entry.to},
       {"reason", entry.reason},
       {"version", entry.version}});
  appender_.Add(std::move(entry));
  if (!timer_.pending()) {
    timer_.Set(clock_.Now() + kBatchDelay, [this] { SendNextBatch(); });
  }
}

void AuditDriver::SendNextBatch() {
  const auto call = appender_.Poll(clock_.Now());
  if (call.has_value()) {
    MakeStoreCall(store_, *call, [this](const store::Reply& reply) {
      appender_.OnReply(reply, clock_.Now());
      SendNextBatch();
    });
    return;
  }
  if (appender_.pending() > 0 && appender_.RetryAt() > clock_.Now()) {
    timer_.Set(appender_.RetryAt(), [this] { SendNextBatch(); });
  }
}

}  // namespace gentianreach
