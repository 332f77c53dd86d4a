// One request of a caller at an entry daemon, from its head to its answer.
#ifndef SRC_ENTRY_ENTRY_REQUEST_H_
#define SRC_ENTRY_ENTRY_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "entry/entry_state.h"
#include "entry/request_rules.h"
#include "entry/server_choice.h"
#include "gentianreach/verdict.h"
#include "net/deadline_timer.h"
#include "proxy/caller_connection.h"
#include "proxy/server_connection.h"
#include "proxy/server_pool.h"

namespace gentianreach::entry {

// Finds the route and a server, makes attempts until one is answered or none
// is allowed any more, and gives the caller a whole answer or a true refusal.
//
// The request is read in full before it is sent, and an answer of usual size
// is held until it is whole: so a broken answer still becomes another attempt
// or a true status. Keeps itself alive until it is done.
class EntryRequest : public std::enable_shared_from_this<EntryRequest> {
 public:
  EntryRequest(std::shared_ptr<EntryState> state,
               std::shared_ptr<proxy::CallerConnection> caller);
  ~EntryRequest();
  EntryRequest(const EntryRequest&) = delete;
  EntryRequest& operator=(const EntryRequest&) = delete;

  // Handles one event of the caller's connection.
  void OnCallerEvent(proxy::CallerEvent event);
  // The daemon ends: answers at once, since nobody could later.
  void OnStopDeadline();
  // Returns whether the request has its answer.
  [[nodiscard]] bool done() const { return done_; }

 private:
  void OnHead();
  void OnBody();
  void OnBodyEnd();
  void OnRefused();
  void OnDeadline();
  // Leaves the attempt under way and ends the request with a status that says
  // whether it may have run.
  void GiveUp(Reason reason);

  void Attempt();
  [[nodiscard]] ServerChoice Choose() const;
  void HoldForOwner(const ServerChoice& choice);
  void StopWaiting();

  void Send(const routing::BackendServer& server);
  void SendOver(std::shared_ptr<proxy::ServerConnection> connection,
                const routing::BackendServer& server);
  void OnServerEvent(proxy::ServerEvent event);
  void OnResponseHead();
  void OnResponseBody();
  void OnResponseEnd();
  void OnNotRun(const http::MessageHead& head);
  void OnConnectionFailed();
  void OnSilence();
  void EndAttempt(AttemptResult result);

  // Makes another attempt where that is allowed, or ends the request.
  void RetryOrEnd(bool sent, Reason reason, Duration retry_after);
  [[nodiscard]] bool MayRetry(bool sent);
  void Deliver();
  void CommitResponse();
  void End(int status, Reason reason, Duration retry_after);
  void Finish(int status, std::string_view outcome);
  [[nodiscard]] bool KeepsAlive() const;
  [[nodiscard]] Duration TimeLeft() const;
  // Returns how long the body may be.
  [[nodiscard]] std::uint64_t MostBodyBytes() const;

  std::shared_ptr<EntryState> state_;
  std::shared_ptr<proxy::CallerConnection> caller_;
  // Keeps the configuration that the request began with.
  std::shared_ptr<routing::HostRoutes> routes_;
  const routing::Route* route_ = nullptr;
  const routing::Service* service_ = nullptr;
  std::string id_;
  std::string body_;
  std::optional<std::uint32_t> key_;
  Fingerprint fingerprint_;
  TimePoint started_;
  TimePoint deadline_;
  bool done_ = false;

  // The current attempt.
  std::shared_ptr<proxy::ServerPool> pool_;
  std::shared_ptr<proxy::ServerConnection> connection_;
  ServerId server_;
  TimePoint attempt_started_;
  std::optional<LoadReport> report_;
  int skipped_responses_ = 0;
  net::DeadlineTimer silence_timer_;

  // Earlier attempts.
  std::vector<ServerId> tried_;
  std::uint32_t attempts_ = 0;
  std::uint32_t failed_connects_ = 0;
  // A server may have begun to run it.
  bool may_have_run_ = false;

  // Waiting for an owner.
  std::uint64_t hold_ = 0;
  net::DeadlineTimer hold_timer_;
  TimePoint hold_until_{};

  // The answer.
  std::string response_body_;
  http::MessageHead response_head_;
  bool committed_ = false;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_ENTRY_REQUEST_H_
