// What the data path reports to the rest of the daemon: one record per finished
// request, and evidence of contact with backend servers.
#ifndef SRC_PROXY_REQUEST_RECORD_H_
#define SRC_PROXY_REQUEST_RECORD_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "gentianreach/ids.h"
#include "gentianreach/key.h"
#include "gentianreach/time.h"
#include "gentianreach/verdict.h"

namespace gentianreach::proxy {

// A finished request: its target, the server it was sent to and its outcome.
struct RequestRecord {
  std::string id;      // The value of `gentianreach-request-id`.
  std::string method;  // As sent by the caller.
  std::string target;  // Path and query.
  std::string route;   // Name of the route; empty if none matched.
  ServiceName service;
  ServerId server;             // Of the last attempt; empty: none was made.
  Token token;                 // Of the last attempt; keyed services only.
  std::optional<KeyHash> key;  // Keyed services only.
  HashRange range;             // Of the last attempt; keyed services only.
  std::uint32_t attempts = 0;  // Attempts started on a connection.
  std::uint32_t sent = 0;      // Attempts that passed bytes to a socket.
  Verdict verdict = Verdict::NotRun(Reason::kNone);
  int status = 0;     // Status code sent to the caller; 0: none.
  TimePoint started;  // When the head had been received.
  TimePoint deadline;
  TimePoint finished;
};

// What an attempt showed about a backend server.
enum class ContactKind : std::uint8_t {
  kAnswered,       // A complete response arrived.
  kRefused,        // The server stated that it did not run the request.
  kConnectFailed,  // No connection could be established.
  kLost,           // A connection broke with a request on it.
  kSilent,         // A connection made no progress with a request on it.
};

// Evidence of contact with one backend server.
struct ServerContact {
  ServerId server;
  ServiceName service;
  ContactKind kind = ContactKind::kAnswered;
  TimePoint at;
};

// Callbacks from the data path into the daemon, called on the proxy's loop.
// Empty ones are skipped. They must not block.
struct ProxyHooks {
  std::function<void(const RequestRecord&)> on_finished;
  std::function<void(const ServerContact&)> on_contact;
};

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_REQUEST_RECORD_H_
