// HTTP for operators and the balancer's health check, by libsoup.
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

  // Returns a query parameter, or "".
  [[nodiscard]] std::string Query(const std::string& name) const;
};

struct OperatorResponse {
  guint status = SOUP_STATUS_OK;
  std::string type = "application/json";
  std::string body;
};

// Serves handlers by path. A path without one is answered with 404. Belongs to
// one thread.
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
  [[nodiscard]] OperatorResponse Answer(const std::string& path,
                                        const OperatorRequest& request) const;

  GObjectPtr<SoupServer> server_;
  std::map<std::string, std::map<std::string, Handler>> handlers_;
};

}  // namespace gentianreach

#endif  // SRC_DAEMON_OPERATOR_SERVER_H_
