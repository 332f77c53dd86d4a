// HTTP server for operators and the load balancer's health check, based on
// libsoup.
#ifndef SRC_DAEMON_OPERATOR_SERVER_H_
#define SRC_DAEMON_OPERATOR_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <libsoup/soup.h>
#include <boost/leaf/result.hpp>

#include "base/glib_ptr.h"
#include "peer/peer_net.h"

namespace gentianreach {

struct OperatorRequest {
  std::string method;
  std::map<std::string, std::string> query;
  std::string body;

  // Returns the value of a query parameter, or "" if it is absent.
  [[nodiscard]] std::string Query(const std::string& name) const;
};

struct OperatorResponse {
  guint status = SOUP_STATUS_OK;
  std::string type = "application/json";
  std::string body;
};

// Dispatches requests to handlers by path and method. Responds with 404 to an
// unknown path and with 405 to an unknown method. Not thread-safe: all calls
// must come from one thread.
class OperatorServer {
 public:
  using Handler = std::function<OperatorResponse(const OperatorRequest&)>;

  OperatorServer();
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  // Registers `handler` for `method` requests for `path`.
  void Handle(const std::string& method,
              const std::string& path,
              Handler handler);
  // Listens on "IP:port" and returns the port. Fails with ListenError.
  boost::leaf::result<std::uint16_t> Listen(const std::string& address);

 private:
  static void OnRequest(SoupServer* server,
                        SoupServerMessage* message,
                        const char* path,
                        GHashTable* query,
                        gpointer self);
  [[nodiscard]] OperatorResponse Dispatch(const std::string& path,
                                          const OperatorRequest& request) const;

  GObjectPtr<SoupServer> server_;
  std::map<std::string, std::map<std::string, Handler>> handlers_;
};

}  // namespace gentianreach

#endif  // SRC_DAEMON_OPERATOR_SERVER_H_
