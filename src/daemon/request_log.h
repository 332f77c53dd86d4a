// The requests that ended last, for operators who ask why one went where it
// went.
#ifndef SRC_DAEMON_REQUEST_LOG_H_
#define SRC_DAEMON_REQUEST_LOG_H_

#include <cstddef>
#include <string>
#include <vector>

#include "proxy/request_record.h"

namespace gentianreach {

// Keeps a bounded number of finished requests; the oldest goes first.
class RequestLog {
 public:
  explicit RequestLog(std::size_t capacity);

  void Add(proxy::RequestRecord record);

  // Returns the requests whose id is `id`, newest first.
  [[nodiscard]] std::vector<proxy::RequestRecord> FindId(
      const std::string& id) const;
  // Returns the requests for a key's position, newest first.
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
