#include "daemon/request_log.h"

#include <utility>

namespace gentianreach {

RequestLog::RequestLog(std::size_t capacity) : capacity_(capacity) {
  records_.reserve(capacity);
}

void RequestLog::Add(proxy::RequestRecord record) {
  if (records_.size() < capacity_) {
    records_.push_back(std::move(record));
    return;
  }
  records_.at(next_) = std::move(record);
  next_ = (next_ + 1) % capacity_;
}

template <typename Predicate>
std::vector<proxy::RequestRecord> RequestLog::Find(Predicate matches) const {
  std::vector<proxy::RequestRecord> found;
  const std::size_t n = records_.size();
  for (std::size_t i = 1; i <= n; ++i) {
    const proxy::RequestRecord& it = records_.at((next_ + n - i) % n);
    if (matches(it)) {
      found.push_back(it);
    }
  }
  return found;
}

std::vector<proxy::RequestRecord> RequestLog::FindId(
    const std::string& id) const {
  return Find([&id](const proxy::RequestRecord& it) { return it.id == id; });
}

std::vector<proxy::RequestRecord> RequestLog::FindKey(
    const ServiceName& service,
    KeyHash hash) const {
  return Find([&](const proxy::RequestRecord& it) {
    return it.service == service && it.key == hash;
  });
}

}  // namespace gentianreach
