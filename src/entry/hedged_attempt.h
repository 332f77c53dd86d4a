// The second attempt of an EntryRequest, while the first one is under way.
#ifndef SRC_ENTRY_HEDGED_ATTEMPT_H_
#define SRC_ENTRY_HEDGED_ATTEMPT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "entry/balancing/server_loads.h"
#include "entry/entry_state.h"
#include "entry/request_rules.h"
#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "http/message_head.h"
#include "policy/quarantine.h"
#include "proxy/server_connection.h"
#include "proxy/server_pool.h"
#include "routing/backend_server.h"

namespace gentianreach::entry {

// What a second attempt has done since the last event.
enum class HedgeStatus : std::uint8_t {
  kRunning,
  kAnswered,  // The response is complete.
  kLarge,     // The response is too large to buffer.
  kFailed,    // The attempt has ended without a response for the caller.
};

// A second attempt that has become the only one. Its connection continues.
struct ContinuedAttempt {
  std::shared_ptr<proxy::ServerPool> pool;
  std::shared_ptr<proxy::ServerConnection> connection;
  ServerId server;
  Incarnation incarnation;
  TimePoint started;
  bool send_delay_recorded = false;
  std::optional<LoadReport> report;
  int skipped_responses = 0;
  // The response as far as it has arrived; `kind` is unset before its head.
  std::optional<ResponseKind> kind;
  http::MessageHead head;
  std::string body;
};

// Buffers its response apart from that of the first attempt and keeps the
// accounts of its server: load, failures, reachability and crashes. It never
// retries and never writes to the caller.
//
// Exactly one of the following ends it: an event for which OnEvent() returns
// kFailed, Cancel(), EndBeaten() or Continue().
class HedgedAttempt {
 public:
  // The request as the attempts have it in common.
  struct Request {
    std::string id;
    Fingerprint fingerprint;
    // Refers to the request's service and route, which outlive the attempt.
    RequestKind kind;
    std::size_t max_buffered_bytes = 0;
    int max_skipped_responses = 0;
  };

  HedgedAttempt(std::shared_ptr<EntryState> state,
                Request request,
                const routing::BackendServer& server,
                std::shared_ptr<proxy::ServerPool> pool,
                std::shared_ptr<proxy::ServerConnection> connection);
  HedgedAttempt(const HedgedAttempt&) = delete;
  HedgedAttempt& operator=(const HedgedAttempt&) = delete;

  // Sends `bytes`, the whole request; see proxy::ServerConnection::Start().
  void Start(std::string bytes,
             bool head_only,
             proxy::ServerConnection::Sink sink,
             TimePoint send_until);
  // Handles one event of the connection. After kAnswered and kLarge, call
  // Continue() and pass the event on to the request.
  [[nodiscard]] HedgeStatus OnEvent(proxy::ServerEvent event);
  // Closes the connection and ends the attempt with `result`.
  void Cancel(AttemptResult result);
  // Ends the attempt since the first one has answered. Closes the connection
  // unless reading the rest of the response is likely to cost less than a new
  // one.
  void EndBeaten();
  // Hands the attempt over to the request, which ends it.
  [[nodiscard]] ContinuedAttempt Continue() { return std::move(attempt_); }

  [[nodiscard]] const ServerId& server() const { return attempt_.server; }
  [[nodiscard]] TimePoint started() const { return attempt_.started; }
  [[nodiscard]] const proxy::ServerConnection* connection() const {
    return attempt_.connection.get();
  }
  // Returns whether any byte of the request was sent to the server.
  [[nodiscard]] bool sent() const { return sent_; }
  // Returns whether the server may have started to run the request.
  [[nodiscard]] bool may_have_run() const { return may_have_run_; }

 private:
  [[nodiscard]] HedgeStatus OnHead();
  [[nodiscard]] HedgeStatus OnBody();
  [[nodiscard]] HedgeStatus OnEnd();
  [[nodiscard]] HedgeStatus OnFailed();
  void RecordSendDelay();
  // Ends the attempt in the accounts of the server.
  void End(AttemptResult result);
  // Lets go of the connection; notes whether the request was sent on it.
  std::shared_ptr<proxy::ServerConnection> TakeConnection();

  const std::shared_ptr<EntryState> state_;
  const Request request_;
  ContinuedAttempt attempt_;
  bool sent_ = false;
  bool may_have_run_ = false;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_HEDGED_ATTEMPT_H_
