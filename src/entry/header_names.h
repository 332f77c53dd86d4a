// Names of the headers by which callers, daemon and servers understand each
// other. The deployment's adapter fills them in.
#ifndef SRC_ENTRY_HEADER_NAMES_H_
#define SRC_ENTRY_HEADER_NAMES_H_

#include <string>

namespace gentianreach::entry {

struct HeaderNames {
  // Both ways: identifies one attempt of a caller; servers echo it.
  std::string request_id;
  // Requests: milliseconds that are left for the answer.
  std::string deadline_ms;
  // Responses: the server's signature; only servers can make one.
  std::string response_stamp;
  // Requests: id of the only server that may run it.
  std::string expected_server;
  // Responses: "running,waiting,slots" of the server.
  std::string server_load;
  // Responses: the server has not run the request.
  std::string not_run;
  // Requests: the key, a number from 0 to 65535.
  std::string key;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_HEADER_NAMES_H_
