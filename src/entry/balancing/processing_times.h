// How long servers process requests, without queueing, at their usual speed.
#ifndef SRC_ENTRY_BALANCING_PROCESSING_TIMES_H_
#define SRC_ENTRY_BALANCING_PROCESSING_TIMES_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"

namespace gentianreach::entry {

// Weight of a new sample in the moving averages of one server.
inline constexpr double kLatencyWeight = 0.15;

// What the processing time of a request depends on besides the server. An empty
// route stands for the mix of the service's requests, an empty service for
// requests of which nothing is known.
struct RequestKind {
  std::string_view service;
  std::string_view route;
};

// Average of processing times over servers. Some time after the last sample it
// decays to the time that is assumed before any, if it is higher, so that it
// does not refuse requests for good that alone could correct it. What was
// learned is kept beside it, for comparisons.
class UsualTime {
 public:
  // Adds a sample. `min_weight` bounds its weight from below.
  void Add(double seconds, TimePoint now, double min_weight);
  // Returns the average.
  [[nodiscard]] double Get(TimePoint now) const;
  // Returns the average without the decay; 0 if there are no samples.
  [[nodiscard]] double level() const { return level_; }
  // Returns a slower average without the decay, to which samples are related; 0
  // if there are no samples. The decay would let each request of a route with
  // few requests look slow.
  [[nodiscard]] double learned() const { return learned_; }
  [[nodiscard]] TimePoint latest_at() const { return at_; }
  [[nodiscard]] std::uint32_t samples() const { return samples_; }
  // Returns the variance of learned(), estimated high.
  [[nodiscard]] double ErrorVariance() const { return variance_ * weight_; }

 private:
  double seconds_ = 0;
  double level_ = 0;
  double learned_ = 0;
  double variance_ = 0;  // Of the samples.
  double weight_ = 1;    // Of the last sample.
  TimePoint at_{};
  std::uint32_t samples_ = 0;
};

// Learns a processing time for each server from the requests that it answered.
//
// The routes of a service may take different times. A server that got more of
// the long requests than others would look slow by its average alone. For each
// service and route the usual time over all servers is therefore learned as
// well, and for each server how its times relate to the usual times of the
// requests it got. Where routes of a service are known to differ by
// kSeparatingFactor or more, the product of both is its time; otherwise its
// average is.
class ProcessingTimes {
 public:
  // Records that `server` processed a request of `kind` for `seconds`. Returns
  // the sample as a request of the service's mix would have had it, which can
  // be compared with those of other daemons.
  double Add(const ServerId& server,
             const RequestKind& kind,
             double seconds,
             TimePoint now);
  // Drops the state of a server.
  void Forget(const ServerId& server) { servers_.erase(server); }

  // Returns how many seconds the server processes a request of `kind`. Without
  // new samples it decays to the average over all servers.
  [[nodiscard]] double Get(const ServerId& server,
                           const RequestKind& kind,
                           TimePoint now) const;
  // Returns how much longer a request of the service's mix takes than one of
  // `kind`, at any server; 1 where its routes are not told apart.
  [[nodiscard]] double MixRatio(const RequestKind& kind) const;
  // Returns the average over all servers and services.
  [[nodiscard]] double Average(TimePoint now) const {
    return average_.Get(now);
  }

 private:
  struct ServerTimes {
    double seconds = 0;
    TimePoint at{};
    // The server's times as a multiple of what was learned of their routes; 0
    // if unknown. Decays to the usual time as a multiple of the same: what was
    // learned changes later than the usual time, and a change of all servers
    // would otherwise count twice in their product.
    double relative = 0;
    TimePoint relative_at{};
  };
  struct ServiceTimes {
    UsualTime mix;
    std::map<std::string, UsualTime, std::less<>> routes;
    // Whether the routes differ, so that they are told apart.
    bool separated = false;
  };

  // Returns the times of a service whose routes are told apart, or null.
  [[nodiscard]] const ServiceTimes* FindSeparated(
      std::string_view service) const;
  // Returns the average of the route, or of the mix if too little is known of
  // the route.
  [[nodiscard]] static const UsualTime& UsualOf(const ServiceTimes& service,
                                                std::string_view route);
  // Returns whether routes of the service are known to differ.
  [[nodiscard]] static bool RoutesDiffer(const ServiceTimes& service);
  [[nodiscard]] double Seconds(const ServerTimes& server, TimePoint now) const;

  void AddToService(ServerTimes& server,
                    const RequestKind& kind,
                    double seconds,
                    TimePoint now);
  // Drops the routes that have had no samples for a long time.
  void DropUnused(TimePoint now);

  std::unordered_map<ServerId, ServerTimes> servers_;
  std::map<std::string, ServiceTimes, std::less<>> services_;
  // Used for servers without samples.
  UsualTime average_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_BALANCING_PROCESSING_TIMES_H_
