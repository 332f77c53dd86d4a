// What the data path tells the rest of the daemon: one record per finished
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

// A finished request: what was asked, where it went and how it ended.
struct RequestRecord {
  std::string id;      // The value of `gentianreach-request-id`.
  std::string method;  // As sent by the caller.
  std::string target;  // Path and query.
  std::string route;   // Name of the route; empty where none matched.
  ServiceName service;
  ServerId server;             // Of the last attempt; empty: none was made.
  Token token;                 // Of the last attempt; keyed services only.
  std::optional<KeyHash> key;  // Keyed services only.
  HashRange range;             // Of the last attempt; keyed services only.
  std::uint32_t attempts = 0;  // Times that a server was chosen.
  std::uint32_t sent = 0;      // Attempts that handed bytes to a socket.
  Verdict verdict = Verdict::NotRun(Reason::kNone);
  int status = 0;     // Status code for the caller; 0: none sent.
  TimePoint started;  // When the head had been received.
  TimePoint deadline;
  TimePoint finished;
};

// What a use of a connection showed about a backend server.
enum class ContactKind : std::uint8_t {
  kAnswered,       // A whole response arrived.
  kRefused,        // The server said that it did not run the request.
  kConnectFailed,  // No connection could be opened.
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

// Calls from the data path into the daemon, made on the loop that owns the
// proxy. Empty ones are skipped. They must not block.
struct ProxyHooks {
  std::function<void(const RequestRecord&)> on_finished;
  std::function<void(const ServerContact&)> on_contact;
};

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_REQUEST_RECORD_H_
