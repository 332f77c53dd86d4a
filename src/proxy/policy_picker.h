// Adapts the Picker of the policy library to the proxy's PlainPicker concept.
#ifndef SRC_PROXY_POLICY_PICKER_H_
#define SRC_PROXY_POLICY_PICKER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "policy/picker.h"
#include "proxy/plain_servers.h"

namespace gentianreach::proxy {

// Holds one Picker for each plain service.
class PolicyPicker {
 public:
  explicit PolicyPicker(std::uint64_t seed) : seed_(seed) {}

  // Sets the options of `service`. Must be called before Replace().
  void SetOptions(const ServiceName& service, const PickerOptions& options);
  // Replaces the servers of `service`. New servers are treated as cold if
  // `cold` is set.
  void Replace(const ServiceName& service,
               const std::vector<ServerChoice>& servers,
               bool cold,
               TimePoint now);
  // Returns the Picker of `service`, for reports and for draining servers, or
  // null if the service is unknown.
  [[nodiscard]] Picker* Find(const ServiceName& service);

  // See PlainPicker.
  std::optional<ServerChoice> Pick(const ServiceName& service,
                                   std::span<const ServerId> tried,
                                   TimePoint now);
  void Finished(const ServiceName& service,
                const ServerId& server,
                Verdict verdict,
                Duration service_time,
                TimePoint now);

 private:
  struct Group {
    std::unique_ptr<Picker> picker;
    std::map<ServerId, ServerChoice> servers;
  };

  std::uint64_t seed_;
  std::unordered_map<ServiceName, Group> groups_;
};

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_POLICY_PICKER_H_
