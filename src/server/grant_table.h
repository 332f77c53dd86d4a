// What a backend server does with orders: the reference implementation of the
// server's side of docs/PROTOCOLS.md.
#ifndef SRC_SERVER_GRANT_TABLE_H_
#define SRC_SERVER_GRANT_TABLE_H_

#include <map>
#include <vector>

#include "gentianreach/cell_agent.h"
#include "gentianreach/ids.h"
#include "gentianreach/key.h"
#include "gentianreach/time.h"

namespace gentianreach {

// Whether a server checks who gives it an order, and whether it watches the
// end of its lease.
struct ServerChecks {
  bool issuer = true;
  bool deadline = true;
};

// The lease and the grants of one incarnation of a server. The server asks
// `Holds` before it runs a request and again before it commits its effect, and
// frames the run with `BeginRequest` and `EndRequest`. A grant refuses tokens
// that are older than the newest seen for any of its positions, for as long as
// the server lives.
class GrantTable {
 public:
  GrantTable(ServerId server, Incarnation incarnation, ServerChecks checks);

  // Obeys or refuses an order and returns the answer to send.
  ServerReply Handle(const ServerOrder& order, ServerTime now);

  // Returns whether a request with `token` for `hash` may run at `now`.
  [[nodiscard]] bool Holds(KeyHash hash, Token token, ServerTime now) const;

  // Notes that a request for `hash` runs, and that it has ended.
  void BeginRequest(KeyHash hash);
  void EndRequest(KeyHash hash);

  // Returns the ranges held, in order; a lapsed lease does not shorten them.
  [[nodiscard]] const std::vector<GrantedRange>& grants() const {
    return grants_;
  }
  [[nodiscard]] ServerTime lease_until() const { return lease_until_; }

 private:
  // Returns why an order is refused, or "" where it is not.
  [[nodiscard]] std::string Refusal(const ServerOrder& order,
                                    ServerTime now) const;
  [[nodiscard]] bool BelowFloor(const GrantedRange& grant) const;
  [[nodiscard]] bool AnyRunning(const HashRange& range) const;
  void RaiseFloor(const GrantedRange& grant);
  void Remove(const HashRange& range);
  void Grant(const ServerOrder& order);
  bool Release(const ServerOrder& order);

  ServerId server_;
  Incarnation incarnation_;
  ServerChecks checks_;
  Epoch epoch_;
  LeaseGeneration generation_;
  ServerTime lease_until_;
  std::vector<GrantedRange> grants_;
  // The least acceptable token of each range ever granted or released.
  std::vector<GrantedRange> floors_;
  std::map<KeyHash, int> running_;
};

}  // namespace gentianreach

#endif  // SRC_SERVER_GRANT_TABLE_H_
