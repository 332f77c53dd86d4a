#include "daemon/quarantine_driver.h"

#include <utility>

namespace gentianreach {
namespace {

// Changes are sent immediately after a server contact; the periodic flush sends
// all others.
constexpr std::chrono::milliseconds kFlushInterval{50};

}  // namespace

QuarantineDriver::QuarantineDriver(CellLinks links)
    : links_(std::move(links)), quarantine_(QuarantineOptions{}) {}

void QuarantineDriver::Start() {
  Tick();
}

void QuarantineDriver::Tick() {
  Flush();
  tick_.Set(clock_.Now() + kFlushInterval, [this] { Tick(); });
}

void QuarantineDriver::OnServerAnswered(const ServerId& server,
                                        Incarnation incarnation,
                                        TimePoint asked_at) {
  quarantine_.OnServerAlive(server, incarnation, asked_at, clock_.Now());
  Flush();
}

void QuarantineDriver::OnServerRefused(const ServerId& server,
                                       Incarnation incarnation) {
  if (incarnation.value() != 0) {
    quarantine_.OnServerGone(server, incarnation, clock_.Now());
  }
  quarantine_.OnServerRefused(server, clock_.Now());
  Flush();
}

void QuarantineDriver::OnUpdate(const peer::QuarantineUpdateT& update) {
  quarantine_.Merge(update, clock_.Now());
}

void QuarantineDriver::Flush() {
  auto update = quarantine_.TakeUpdate();
  if (!update.has_value()) {
    return;
  }
  peer::MessageUnion message;
  message.Set(*std::move(update));
  links_.send_all(message);
}

}  // namespace gentianreach
