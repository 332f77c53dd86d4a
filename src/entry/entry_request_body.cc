// The part of EntryRequest that receives the body of a request.
#include <algorithm>
#include <cstdint>

#include "entry/entry_request.h"
#include "http/status.h"

namespace gentianreach::entry {
namespace {

using http::status::kTooLarge;
using http::status::kUnavailable;

// Largest request body; it is buffered until the request ends, for retries.
constexpr std::uint64_t kMaxBodyBytes = 16 * 1024 * 1024;
// Memory reserved per byte of a body: the body, and its copy in the connection
// to the server while it is sent.
constexpr std::uint64_t kBodyCopies = 2;

}  // namespace

bool EntryRequest::ReserveBody(std::uint64_t bytes) {
  const std::uint64_t wanted = bytes * kBodyCopies;
  if (wanted <= reserved_body_) {
    return true;
  }
  if (!state_->body_memory.Reserve(wanted - reserved_body_)) {
    Refuse(kUnavailable, Reason::kOverload, kRejectedRetryAfter);
    return false;
  }
  reserved_body_ = wanted;
  return true;
}

std::uint64_t EntryRequest::MaxBodyBytes() const {
  return std::min(routes_->config().limits.max_body_bytes, kMaxBodyBytes);
}

void EntryRequest::OnBody() {
  if (done_ || not_relayed_ != Reason::kNone) {
    return;
  }
  body_.append(caller_->body());
  if (body_.size() > MaxBodyBytes()) {
    RefuseByConfig(kTooLarge, Reason::kTooLarge);
    return;
  }
  ReserveBody(body_.size());
}

void EntryRequest::OnBodyEnd() {
  if (done_) {
    return;
  }
  if (not_relayed_ != Reason::kNone) {
    Refuse(kUnavailable, not_relayed_, kNotReadyRetryAfter);
    return;
  }
  const http::MessageHead& head = caller_->head();
  fingerprint_ = MakeFingerprint(ServiceName(service_->name), head.method,
                                 head.target, DigestBody(body_));
  if (state_->crashes.IsRefused(fingerprint_, started_)) {
    Refuse(kUnavailable, Reason::kQuarantined, {});
    return;
  }
  Attempt();
}

}  // namespace gentianreach::entry
