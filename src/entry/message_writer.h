// Writes what an entry daemon sends: requests to servers and answers to
// callers.
#ifndef SRC_ENTRY_MESSAGE_WRITER_H_
#define SRC_ENTRY_MESSAGE_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "entry/header_names.h"
#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "gentianreach/verdict.h"
#include "http/message_head.h"

namespace gentianreach::entry {

// What the daemon sets in a request to a server.
struct RequestFields {
  std::string_view id;  // As the caller sent it; empty: none.
  ServerId server;
  std::optional<std::uint32_t> key;
  Duration time_left;
  std::size_t body_size = 0;
};

// Returns the head of the request to a server; its body has a length.
[[nodiscard]] std::string RequestHead(const http::MessageHead& from_caller,
                                      const HeaderNames& names,
                                      const RequestFields& fields);

// Returns the beginning of a server's answer as the caller gets it, without its
// framing.
[[nodiscard]] std::string BeginPassedResponse(
    const http::MessageHead& from_server,
    const HeaderNames& names);
// Ends a head.
void EndResponseHead(std::string& out, bool keep_alive);

// Returns a server's whole answer as the caller gets it. `head_only`: the
// request was HEAD.
[[nodiscard]] std::string WholeResponse(const http::MessageHead& from_server,
                                        const HeaderNames& names,
                                        std::string_view body,
                                        bool head_only,
                                        bool keep_alive);

// An answer of the daemon itself.
struct Refusal {
  int status = 0;
  Reason reason = Reason::kNone;
  std::string_view request_id;
  std::optional<Duration> retry_after;
  bool head_only = false;
  bool keep_alive = true;
};

[[nodiscard]] std::string RefusalResponse(const Refusal& refusal,
                                          const HeaderNames& names);

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_MESSAGE_WRITER_H_
