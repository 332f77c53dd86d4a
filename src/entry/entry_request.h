// One caller's request at an entry daemon, from its head to the response.
#ifndef SRC_ENTRY_ENTRY_REQUEST_H_
#define SRC_ENTRY_ENTRY_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "entry/balancing/hedge_policy.h"
#include "entry/balancing/server_choice.h"
#include "entry/entry_state.h"
#include "entry/hedged_attempt.h"
#include "entry/message_writer.h"
#include "entry/request_rules.h"
#include "gentianreach/verdict.h"
#include "net/deadline_timer.h"
#include "proxy/caller_connection.h"
#include "proxy/server_connection.h"
#include "proxy/server_pool.h"
#include "proxy/used_connections.h"

namespace gentianreach::entry {

// Who sent a request.
enum class RequestOrigin : std::uint8_t {
  kCaller,
  kDaemon,      // A daemon that has lost its path to the servers.
  kTurnedAway,  // A caller beyond those that a daemon takes.
};

// Finds the route and a server, makes attempts until one succeeds or no more
// are allowed, and sends the caller the complete response or a refusal whose
// status states correctly whether the request may have run.
//
// The request is read in full before it is sent, and a response is buffered
// until it is complete unless it is large. So an incomplete response can still
// lead to a retry or a correct status. The object keeps itself alive until the
// request is done.
//
// While the daemon has lost its path to all servers, attempts go through other
// daemons. Those treat a request like one of their own callers, except that
// they never forward it again: it passes at most two daemons.
class EntryRequest : public std::enable_shared_from_this<EntryRequest> {
 public:
  EntryRequest(std::shared_ptr<EntryState> state,
               std::shared_ptr<proxy::CallerConnection> caller,
               RequestOrigin origin);
  ~EntryRequest();
  EntryRequest(const EntryRequest&) = delete;
  EntryRequest& operator=(const EntryRequest&) = delete;

  // Handles one event of the caller's connection.
  void OnCallerEvent(proxy::CallerEvent event);
  // Ends the request at once, because the daemon is about to exit.
  void OnStopDeadline();
  // Sends the request another way if it waits for a server and may be sent
  // again, because the path to all servers is lost.
  void OnServersLost();
  // Returns whether the request has ended.
  [[nodiscard]] bool done() const { return done_; }

 private:
  // Responses up to this size are buffered until they are complete.
  static constexpr std::size_t kMaxBufferedBytes = 256 * 1024;
  // Responses to other requests that are skipped per attempt.
  static constexpr int kMaxSkippedResponses = 4;

  void OnHead();
  void OnBody();
  void OnBodyEnd();
  void OnRefused();
  void OnDeadline();
  // Abandons the current attempt and ends the request with a status that tells
  // whether it may have run.
  void GiveUp(Reason reason);

  // Chooses a server and sends the request to it, or holds, forwards or refuses
  // it.
  void Attempt();
  // Counts the request where its attempts are made: in the retry budget of its
  // service and in the load of its key.
  void CountOnce();
  [[nodiscard]] ServerChoice Choose() const;
  // Holds the request until its key has a new owner, or until the relays are
  // known, or until the hold times out.
  void Hold(const ServerChoice& choice);
  void StopWaiting();

  // Returns a connection of `pool` on which no response can be taken for that
  // of the next attempt; null if all are in use.
  [[nodiscard]] std::shared_ptr<proxy::ServerConnection> Acquire(
      proxy::ServerPool& pool) const;
  void Send(const ServerChoice& choice);
  void SendOver(std::shared_ptr<proxy::ServerConnection> connection,
                const ServerChoice& choice);
  // Returns when an attempt at `server` that starts at `now` is to be made
  // elsewhere unless the server has responded.
  [[nodiscard]] TimePoint ResponseDue(const routing::BackendServer& server,
                                      TimePoint now) const;
  // Returns when the path to the servers is in question if none has answered.
  [[nodiscard]] TimePoint AnswerDue(const routing::BackendServer& server,
                                    TimePoint now) const;
  // Records the age of the server entries that decide an attempt at `now`.
  void RecordEntriesAge(TimePoint now);
  // Records, once for each attempt, when its first bytes were sent if the
  // connection had to be opened.
  void RecordSendDelay();
  void OnServerEvent(proxy::ServerEvent event);
  void OnResponseHead();
  void OnResponseBody();
  void OnResponseEnd();
  // Handles what the server states about itself in a response.
  void OnServerStatements(const http::MessageHead& head);
  // Handles what the server states about itself in a response whose body is not
  // needed, and returns the connection to the pool.
  void DiscardResponse(const http::MessageHead& head);
  void OnNotRun(const http::MessageHead& head);
  void OnConnectionFailed();
  void OnResponseTimeout();
  // Closes the connection of the current attempt and counts the attempt if it
  // was sent. Returns whether it was.
  bool AbandonAttempt();
  void EndAttempt(AttemptResult result);

  // Counts an attempt that is sent for the share of second attempts, and sets
  // the time after which it gets one if the request may have one.
  void AwaitSlowness();
  // Makes a second attempt if that is allowed.
  void OnSlow();
  // Starts a second attempt, or returns why there is none.
  [[nodiscard]] HedgeRefusal StartHedge();
  // Handles an event of the second attempt. Once that has become the only one,
  // its events are those of the current attempt.
  void OnHedgeEvent(const proxy::ServerConnection* connection,
                    proxy::ServerEvent event);
  // Ends the first attempt, since the second one has answered before.
  void EndBeatenAttempt();
  // Makes the second attempt the current one. There must be no other.
  void ContinueHedge();
  // Ends the second attempt, if there is one, since the first has answered.
  void EndBeatenHedge();
  // Closes the second attempt, if there is one, and ends it with `result`.
  void CancelHedge(AttemptResult result);
  // Counts what the second attempt was in the accounts of the request.
  void CountHedge(const HedgedAttempt& hedge);
  // Records how long the current attempt took, or at least took.
  void RecordForHedging(TimePoint now);
  [[nodiscard]] RequestKind kind() const {
    return {service_->name, route_->name};
  }
  // Returns the number of attempts under way.
  [[nodiscard]] std::uint32_t AttemptsUnderWay() const {
    return (connection_ ? 1 : 0) + (hedge_ ? 1 : 0);
  }

  // Sends the request through another daemon, or holds or refuses it.
  void Forward();
  void ForwardThrough(const Relay& relay);
  // Returns a relay that has not been tried; null if there is none.
  [[nodiscard]] const Relay* ChooseRelay() const;
  // Returns why this daemon cannot make attempts for the one that has forwarded
  // the request, or kNone.
  [[nodiscard]] Reason ReasonNotToRelay() const;
  void OnRelayEvent(proxy::ServerEvent event);
  void OnRelayHead();
  // Handles what the response of a relay tells about the server.
  void OnRelayedServer();
  void OnRelayEnd();
  void OnRelayFailed();
  // Abandons the current attempt and makes another one.
  void SendAnotherWay();
  void EndForward(RelayResult result);

  // Makes another attempt if that is allowed, or refuses the request. `sent`
  // tells whether the last attempt may have reached the server.
  void RetryOrRefuse(bool sent, Reason reason, Duration retry_after);
  // Returns whether another attempt is allowed. If so, and if `sent`, takes it
  // from the retry budget.
  [[nodiscard]] bool MayRetry(bool sent);
  // Sends the caller the answer of a server.
  void Deliver();
  // Sends the caller the received response, or the end of one sent in parts,
  // and ends the request with `outcome`.
  void SendResponse(std::string_view outcome);
  // Starts sending a response that is too large to buffer; rules out retries.
  void CommitResponse();
  // Ends the request with a response of the daemon's own.
  void Refuse(int status, Reason reason, Duration retry_after);
  // Refuses a request that the known configuration does not allow. If a later
  // one may be in force, that is no final answer: the caller may retry.
  void RefuseByConfig(int status, Reason reason);
  void Finish(int status, std::string_view outcome);
  // Returns the server that has answered if another daemon wants to know.
  [[nodiscard]] std::optional<RelayedServer> Relayed() const;
  [[nodiscard]] bool KeepsAlive() const;
  [[nodiscard]] Duration TimeLeft() const;
  // Reserves memory for a body of `bytes`. If there is none, refuses the
  // request and returns false.
  bool ReserveBody(std::uint64_t bytes);
  // Returns the largest request body that is accepted.
  [[nodiscard]] std::uint64_t MaxBodyBytes() const;

  std::shared_ptr<EntryState> state_;
  std::shared_ptr<proxy::CallerConnection> caller_;
  const RequestOrigin origin_;
  // The configuration at the start of the request; kept until its end.
  std::shared_ptr<routing::HostRoutes> routes_;
  const routing::Route* route_ = nullptr;
  const routing::Service* service_ = nullptr;
  // Why the request of another daemon is refused; kNone if it is not.
  Reason not_relayed_ = Reason::kNone;
  std::string id_;
  std::string body_;
  // Bytes of EntryState::body_memory.
  std::uint64_t reserved_body_ = 0;
  std::optional<std::uint32_t> key_;
  Fingerprint fingerprint_;
  TimePoint started_;
  TimePoint deadline_;
  bool done_ = false;

  // The current attempt, at a server or through a relay.
  std::shared_ptr<proxy::ServerPool> pool_;
  std::shared_ptr<proxy::ServerConnection> connection_;
  ServerId server_;
  Incarnation incarnation_;
  // Name of the relay; empty if the attempt is made by this daemon.
  std::string relay_;
  TimePoint attempt_started_;
  bool send_delay_recorded_ = false;
  std::optional<LoadReport> report_;
  int skipped_responses_ = 0;
  net::DeadlineTimer response_timer_;

  // The second attempt; only beside a current one at another server.
  std::unique_ptr<HedgedAttempt> hedge_;
  net::DeadlineTimer hedge_timer_;
  // When the second attempt is to be made elsewhere if it is the only one.
  TimePoint hedge_response_due_{};
  // Whether a second attempt was made.
  bool hedged_ = false;
  // Whether a second attempt was refused; counted once for each request.
  bool hedge_refused_ = false;
  // Which of both the current attempt is: "first" or "second"; empty if it is
  // neither.
  std::string_view hedge_role_;

  // All attempts so far.
  std::vector<ServerId> tried_;
  std::vector<std::string> tried_relays_;
  proxy::UsedConnections used_connections_;
  bool counted_ = false;
  std::uint32_t attempts_ = 0;
  std::uint32_t failed_connects_ = 0;
  // Whether a server may have started to run the request.
  bool may_have_run_ = false;

  // Hold until the key has a new owner or the relays are known.
  std::uint64_t hold_id_ = 0;
  net::DeadlineTimer hold_timer_;
  TimePoint hold_until_{};

  // The response.
  std::string response_body_;
  // Whether the head of the current attempt's response has arrived.
  bool has_response_head_ = false;
  http::MessageHead response_head_;
  ResponseKind response_kind_ = ResponseKind::kUnusable;
  bool committed_ = false;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_ENTRY_REQUEST_H_
