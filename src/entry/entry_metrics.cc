#include "entry/entry_metrics.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <iomanip>
#include <sstream>

#include "gentianreach/check.h"

namespace gentianreach::entry {
namespace {

namespace bh = boost::histogram;

constexpr std::string_view kPrefix = "gentianreach_";
// Histograms: 24 bins of equal width on a logarithmic scale, from the fastest
// responses over the network to beyond the longest deadlines.
constexpr unsigned kBinCount = 24;
constexpr double kMinSeconds = 0.001;
constexpr double kMaxSeconds = 20;
constexpr std::string_view kLatency = "request_duration_seconds";
constexpr std::string_view kEntriesAge = "send_entries_age_seconds";
constexpr std::string_view kSendDelay = "send_delay_seconds";

struct Description {
  std::string_view name;
  std::string_view type;
  std::string_view help;
};
constexpr std::array kDescriptions = {
    Description{"requests_total", "counter", "Requests by how they ended."},
    Description{"attempts_failed_total", "counter",
                "Attempts at a server without an answer for the caller."},
    Description{"hedges_total", "counter",
                "Second attempts against slow responses by service."},
    Description{"hedges_decided_total", "counter",
                "Requests with a second attempt by the attempt that answered."},
    Description{"hedges_refused_total", "counter",
                "Slow attempts without a second one by reason."},
    Description{"invalid_responses_total", "counter",
                "Malformed responses, also by their status, by who sent them."},
    Description{"orders_total", "counter", "Orders sent to servers by kind."},
    Description{"order_replies_total", "counter",
                "Orders to servers by how they ended."},
    Description{"relay_failures_total", "counter",
                "Fetches of changes from the leader that failed."},
    Description{"store_history_losses_total", "counter",
                "Calls that the store refused for a lost history."},
    Description{"store_revisions_back_total", "counter",
                "Lists of the store with a lower revision than before."},
    Description{"store_objects_unreadable_total", "counter",
                "Objects read from the store that could not be parsed."},
    Description{"server_entries_unusable", "gauge",
                "Entries that name no server to use."},
    Description{"event_loop_delay_seconds", "gauge",
                "Largest delay of the event loop since the last scrape."},
    Description{"callers_turned_away_total", "counter",
                "Connections of callers beyond those that a daemon takes."},
    Description{"store_calls_total", "counter", "Calls to the store."},
    Description{"store_calls_by_kind_total", "counter",
                "Calls to the store by kind of object and call."},
    Description{"log_lines_dropped_total", "counter",
                "Log lines that the reader of standard output did not take."},
    Description{"in_flight_requests", "gauge", "Requests without an answer."},
    Description{"request_body_bytes", "gauge",
                "Memory reserved for the bodies of requests."},
    Description{"held_requests", "gauge",
                "Requests that wait for an owner of their key."},
    Description{"members", "gauge", "Daemons that share servers and budgets."},
    Description{"datagrams_unsent_total", "counter",
                "Datagrams to other daemons that could not be sent."},
    Description{"datagrams_dropped_total", "counter",
                "Datagrams of other daemons that did not fit into the buffer."},
    Description{"leading", "gauge", "1 where this daemon leads."},
    Description{"leader_epoch", "gauge", "Epoch of the leader it follows."},
    Description{"leader_silence_seconds", "gauge",
                "Time since the leader was last heard."},
    Description{"store_lost", "gauge", "1 while the store does not answer."},
    Description{"store_silence_seconds", "gauge",
                "Time since the store last answered this daemon."},
    Description{"copy_age_seconds", "gauge",
                "Time since the copies of the store's objects were complete."},
    Description{"rests_requested_total", "counter",
                "Rejections by which a server asked for a rest."},
    Description{"leaving_servers", "gauge",
                "Servers that have stated that they leave."},
    Description{"deferred_removals", "gauge",
                "Servers without an entry that are kept for now."},
    Description{"requests_to_draining_total", "counter",
                "Requests sent to an owner that drains."},
    Description{"sends_without_drain_bound_total", "counter",
                "Requests sent by server entries that were too old, as the "
                "store was lost."},
    Description{"requests_by_outdated_config_total", "counter",
                "Requests decided by a configuration that may have been "
                "replaced."},
    Description{"load_reports_unusable_total", "counter",
                "Load reports of servers that could not be parsed."},
    Description{"shared_loads_named_total", "counter",
                "Busy servers in heartbeats of the leader."},
    Description{"shared_loads_taken_total", "counter",
                "Load reports of other daemons taken into the estimates."},
    Description{"shared_loads_unknown_total", "counter",
                "Servers named as busy that this daemon does not know."},
    Description{"shared_loads_unusable_total", "counter",
                "Load reports of other daemons that cannot be used."},
    Description{"zone_crossings_total", "counter",
                "Requests sent to a server of another zone."},
    Description{"evacuated_zones", "gauge",
                "Availability zones that operators evacuate."},
    Description{"evacuated_zones_without_servers", "gauge",
                "Evacuated zones in which no server is known."},
    Description{"limited_servers", "gauge",
                "Servers that name a limit for their requests."},
    Description{"cold_servers", "gauge",
                "Servers whose requests are limited as they are cold."},
    Description{"warmups_total", "counter",
                "Servers found cold by the sign that told first."},
    Description{"requests_to_cold_total", "counter",
                "Requests sent to servers while they were cold."},
    Description{"warmup_statements_unusable_total", "counter",
                "Responses whose time until the server is warm is no number."},
    Description{"config_values_ignored_total", "counter",
                "Unusable values of configurations that were ignored."},
    Description{"server_path_lost", "gauge",
                "1 while no server answers on a new connection."},
    Description{"server_silence_seconds", "gauge",
                "Time since a server last answered this daemon."},
    Description{"relays", "gauge",
                "Daemons that would forward requests for this one."},
    Description{"cut_members", "gauge",
                "Daemons that have lost their path to the servers."},
    Description{"forwards_total", "counter",
                "Requests sent through another daemon by how that ended."},
    Description{"forwarded_requests_total", "counter",
                "Requests taken from other daemons."},
    Description{"probes_total", "counter",
                "Probes of the path to the servers by how they ended."},
    Description{"resting_servers", "gauge",
                "Servers that have asked this daemon for a rest."},
    Description{"servers", "gauge", "Servers that are known, by service."},
    Description{"slots_known_free", "gauge",
                "Slots of servers without a request, by service, as reported."},
    Description{"ranges", "gauge", "Ranges of keys by service."},
    Description{"ranges_moving", "gauge",
                "Ranges whose new owner has no grant yet, by service."},
    Description{"retries_left", "gauge",
                "Repeats that the budget allows now, by service."},
    Description{"config_version", "gauge", "Version in force; 0: none."},
    Description{kLatency, "histogram",
                "Time from a request's head to its answer."},
    Description{kEntriesAge, "histogram",
                "Age of the server entries when a request was sent by them."},
    Description{kSendDelay, "histogram",
                "Time from the choice of a server to the first byte sent."},
};

const Description& DescriptionOf(std::string_view name) {
  const auto* it = std::ranges::find(kDescriptions, name, &Description::name);
  GENTIANREACH_CHECK(it != kDescriptions.end());
  return *it;
}

void AppendDescription(std::ostream& out, std::string_view name) {
  const Description& it = DescriptionOf(name);
  out << "# HELP " << kPrefix << name << " " << it.help << "\n# TYPE "
      << kPrefix << name << " " << it.type << "\n";
}

// Writes the buckets, the sum and the count of a histogram.
void AppendTimes(std::ostream& out,
                 const std::string& name,
                 const std::string& labels,
                 const auto& histogram,
                 double sum_seconds) {
  const std::string bucket_labels = labels.empty() ? "" : labels + ",";
  const std::string total_labels = labels.empty() ? "" : "{" + labels + "}";
  std::uint64_t count = 0;
  for (auto&& bin : bh::indexed(histogram, bh::coverage::all)) {
    count += static_cast<std::uint64_t>(*bin);
    const double upper = bin.bin().upper();
    out << kPrefix << name << "_bucket{" << bucket_labels << "le=\"";
    if (std::isinf(upper)) {
      out << "+Inf";
    } else {
      out << upper;
    }
    out << "\"} " << count << "\n";
  }
  out << kPrefix << name << "_sum" << total_labels << " " << sum_seconds << "\n"
      << kPrefix << name << "_count" << total_labels << " " << count << "\n";
}

}  // namespace

void EntryMetrics::Count(std::string_view name,
                         std::string_view label,
                         std::uint64_t n) {
  static_cast<void>(DescriptionOf(name));
  values_[std::string(name)][std::string(label)] += static_cast<double>(n);
}

void EntryMetrics::Set(std::string_view name,
                       double value,
                       std::string_view label) {
  static_cast<void>(DescriptionOf(name));
  values_[std::string(name)][std::string(label)] = value;
}

void EntryMetrics::RecordTime(std::string_view name,
                              const std::string& labels,
                              Duration time) {
  auto& by_labels = times_[std::string(name)];
  auto it = by_labels.find(labels);
  if (it == by_labels.end()) {
    it = by_labels
             .emplace(labels,
                      Times{bh::make_histogram(
                          bh::axis::regular<double, bh::axis::transform::log>(
                              kBinCount, kMinSeconds, kMaxSeconds))})
             .first;
  }
  const double seconds = std::chrono::duration<double>(time).count();
  it->second.histogram(seconds);
  it->second.sum_seconds += seconds;
}

void EntryMetrics::RecordLatency(const std::string& route,
                                 const std::string& service,
                                 Duration latency) {
  RecordTime(kLatency, "route=\"" + route + "\",service=\"" + service + "\"",
             latency);
}

void EntryMetrics::RecordEntriesAge(std::string_view source, Duration age) {
  RecordTime(kEntriesAge, "source=\"" + std::string(source) + "\"", age);
}

void EntryMetrics::RecordSendDelay(Duration delay) {
  RecordTime(kSendDelay, {}, delay);
}

std::string EntryMetrics::Text() const {
  std::ostringstream out;
  for (const auto& [name, by_label] : values_) {
    AppendDescription(out, name);
    for (const auto& [label, value] : by_label) {
      out << kPrefix << name;
      if (!label.empty()) {
        out << "{" << label << "}";
      }
      // Whole numbers are written without decimals or an exponent.
      out << " " << std::fixed
          << std::setprecision(value == std::floor(value) ? 0 : 3) << value
          << "\n";
    }
  }
  out << std::defaultfloat << std::setprecision(6);
  for (const auto& [name, by_labels] : times_) {
    AppendDescription(out, name);
    for (const auto& [labels, it] : by_labels) {
      AppendTimes(out, name, labels, it.histogram, it.sum_seconds);
    }
  }
  return out.str();
}

}  // namespace gentianreach::entry
