// Reference implementation of how a backend server handles orders, as specified
// in docs/PROTOCOLS.md.
#ifndef SRC_SERVER_GRANT_TABLE_H_
#define SRC_SERVER_GRANT_TABLE_H_

#include <map>
#include <vector>

#include "gentianreach/cell_agent.h"
#include "gentianreach/ids.h"
#include "gentianreach/key.h"
#include "gentianreach/time.h"

namespace gentianreach {

// The optional checks that a server performs: that an order does not come from
// an issuer of an older epoch, and that its lease has not expired.
struct ServerChecks {
  bool issuer = true;
  bool lease_end = true;
};

// The lease and the grants of one incarnation of a server. The server calls
// Holds() before it runs a request and again before it commits the effect, and
// calls BeginRequest() and EndRequest() around the run. A grant is refused if
// its token is lower than the highest token seen for any of its positions
// during the lifetime of the server process.
class GrantTable {
 public:
  GrantTable(ServerId server, Incarnation incarnation, ServerChecks checks);

  // Returns the reply to `order` after executing or refusing it.
  ServerReply Handle(const ServerOrder& order, ServerTime now);

  // Returns whether a request with `token` for `hash` may run at `now`.
  [[nodiscard]] bool Holds(KeyHash hash, Token token, ServerTime now) const;

  // Records the start and the end of a request for `hash`. A release is not
  // confirmed while requests for its range are running.
  void BeginRequest(KeyHash hash);
  void EndRequest(KeyHash hash);

  // Returns the granted ranges in the order of their grants. They stay listed
  // when the lease expires.
  [[nodiscard]] const std::vector<GrantedRange>& grants() const {
    return grants_;
  }
  [[nodiscard]] ServerTime lease_until() const { return lease_until_; }

 private:
  // Returns why the order is refused, or an empty string if it is accepted.
  [[nodiscard]] std::string RefusalReason(const ServerOrder& order,
                                          ServerTime now) const;
  [[nodiscard]] bool HasStaleToken(const GrantedRange& grant) const;
  [[nodiscard]] bool HasRunningRequests(const HashRange& range) const;
  void RaiseMinToken(const GrantedRange& grant);
  void RemoveRange(const HashRange& range);
  void ApplyGrant(const ServerOrder& order);
  bool ApplyRelease(const ServerOrder& order);

  ServerId server_;
  Incarnation incarnation_;
  ServerChecks checks_;
  Epoch epoch_;
  LeaseGeneration generation_;
  ServerTime lease_until_;
  std::vector<GrantedRange> grants_;
  // Lowest acceptable token of each range ever granted or released.
  std::vector<GrantedRange> min_tokens_;
  std::map<KeyHash, int> running_requests_;
};

}  // namespace gentianreach

#endif  // SRC_SERVER_GRANT_TABLE_H_
