// Names of the headers that callers, daemons and servers exchange. The
// deployment's adapter sets them.
#ifndef SRC_ENTRY_HEADER_NAMES_H_
#define SRC_ENTRY_HEADER_NAMES_H_

#include <string>

namespace gentianreach::entry {

struct HeaderNames {
  // Requests and responses: id of one attempt of a caller; servers echo it.
  std::string request_id;
  // Requests: time left for the response, in milliseconds.
  std::string deadline_ms;
  // Responses: the server's signature, which only servers can create.
  std::string response_stamp;
  // Requests: id of the only server that may run the request.
  std::string expected_server;
  // Responses: load of the server as "running,waiting,slots".
  std::string server_load;
  // Responses: number of requests per second that the server takes from all
  // daemons together.
  std::string server_limit;
  // Responses: for how many milliseconds more the server is cold.
  std::string warmup_ms;
  // Responses: "1" if the server is about to leave and wants no new requests.
  std::string server_leaving;
  // Responses: present if the server has not run the request.
  std::string not_run;
  // Requests: the key, a number from 0 to 65535.
  std::string key;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_HEADER_NAMES_H_
