// The most recently finished requests, so that operators can look up how a
// request was routed.
#ifndef SRC_DAEMON_REQUEST_LOG_H_
#define SRC_DAEMON_REQUEST_LOG_H_

#include <cstddef>
#include <string>
#include <vector>

#include "proxy/request_record.h"

namespace gentianreach {

// Ring buffer of finished requests; the oldest is overwritten first.
class RequestLog {
 public:
  explicit RequestLog(std::size_t capacity);

  void Add(proxy::RequestRecord record);

  // Returns the requests with the id `id`, newest first.
  [[nodiscard]] std::vector<proxy::RequestRecord> FindId(
      const std::string& id) const;
  // Returns the requests for the key with the hash `hash`, newest first.
  [[nodiscard]] std::vector<proxy::RequestRecord> FindKey(
      const ServiceName& service,
      KeyHash hash) const;

 private:
  template <typename Predicate>
  [[nodiscard]] std::vector<proxy::RequestRecord> Find(Predicate matches) const;

  std::size_t capacity_;
  std::size_t next_ = 0;
  std::vector<proxy::RequestRecord> records_;
};

}  // namespace gentianreach

#endif  // SRC_DAEMON_REQUEST_LOG_H_
