#include "store/store_client.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

namespace gentianreach {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
// A watch ends this long before its deadline, so that its answer arrives.
constexpr milliseconds kWatchMargin{500};

std::string Escape(const std::string& text, const char* allowed) {
  char* escaped = g_uri_escape_string(text.c_str(), allowed, FALSE);
  std::string result(escaped);
  g_free(escaped);
  return result;
}

ObjectVersion ParseEtag(std::string_view etag) {
  if (etag.size() >= 2 && etag.front() == '"') {
    etag = etag.substr(1, etag.size() - 2);
  }
  std::uint64_t version = 0;
  std::from_chars(etag.data(), etag.data() + etag.size(), version);
  return ObjectVersion(version);
}

std::string Describe(const HttpResponse& reply) {
  return reply.status == 0 ? reply.error
                           : "status " + std::to_string(reply.status);
}

ObjectRead ToRead(HttpResponse reply) {
  ObjectRead read;
  if (reply.status == kNotFound) {
    read.status = StoreStatus::kAbsent;
    return read;
  }
  if (reply.status != kOk) {
    read.error = Describe(reply);
    return read;
  }
  read.status = StoreStatus::kOk;
  read.version = ParseEtag(reply.etag);
  read.bytes = std::move(reply.body);
  return read;
}

ObjectWritten ToWritten(const HttpResponse& reply) {
  ObjectWritten written;
  if (reply.status == kOk) {
    written.status = StoreStatus::kOk;
    written.version = ParseEtag(reply.etag);
    return written;
  }
  written.error = Describe(reply);
  if (reply.status == kPreconditionFailed) {
    written.status = StoreStatus::kConflict;
    return written;
  }
  const bool refused = reply.status >= 400 && reply.status < 500;
  // A 503 proves nothing: it may come from something in front of the store,
  // after the write.
  const bool no_effect = refused || !reply.may_have_arrived;
  written.status =
      no_effect ? StoreStatus::kUnavailable : StoreStatus::kUnknown;
  return written;
}

StoreChanges ToChanges(const HttpResponse& reply) {
  StoreChanges changes;
  const Json json = Json::parse(reply.body, nullptr, false);
  if (reply.status != kOk || !json.is_object()) {
    changes.error = Describe(reply);
    return changes;
  }
  changes.status = StoreStatus::kOk;
  changes.revision = json.value("revision", std::uint64_t{0});
  for (const Json& it : json.value("objects", Json::array())) {
    changes.objects.push_back(
        {it.value("name", ""), ObjectVersion(it.value("version", 0ULL))});
  }
  return changes;
}

VmList ToVmList(const HttpResponse& reply) {
  VmList list;
  const Json json = Json::parse(reply.body, nullptr, false);
  if (reply.status != kOk || !json.is_object()) {
    list.error = Describe(reply);
    return list;
  }
  list.status = StoreStatus::kOk;
  for (const Json& it : json.value("vms", Json::array())) {
    list.vms.push_back(
        {it.value("id", ""), it.value("address", ""), it.value("zone", ""),
         it.value("service", ""),
         it.value("role", "") == "entry" ? VmRole::kEntry : VmRole::kBackend,
         it.value("state", "") == "leaving"});
  }
  return list;
}

}  // namespace

StoreClient::StoreClient(std::string base_url)
    : base_url_(std::move(base_url)) {}

std::string StoreClient::ObjectUrl(const std::string& name) const {
  return base_url_ + "/v1/objects/" + Escape(name, "/");
}

std::optional<std::string> StoreClient::WhyUnreachable(TimePoint deadline) {
  const HttpResponse reply =
      http_.SendAndWait({"GET", base_url_ + "/v1/vms", {}, {}, deadline});
  return reply.status != 0 ? std::nullopt : std::optional(reply.error);
}

void StoreClient::Read(const std::string& name,
                       TimePoint deadline,
                       std::function<void(ObjectRead)> done) {
  http_.Send({"GET", ObjectUrl(name), {}, {}, deadline},
             [done = std::move(done)](HttpResponse reply) {
               done(ToRead(std::move(reply)));
             });
}

void StoreClient::Write(const std::string& name,
                        std::optional<ObjectVersion> expected,
                        std::string bytes,
                        TimePoint deadline,
                        std::function<void(ObjectWritten)> done) {
  HttpCall call{"PUT", ObjectUrl(name), {}, std::move(bytes), deadline};
  if (expected.has_value()) {
    call.headers.emplace_back("If-Match",
                              '"' + std::to_string(expected->value()) + '"');
  } else {
    call.headers.emplace_back("If-None-Match", "*");
  }
  http_.Send(std::move(call),
             [done = std::move(done)](const HttpResponse& reply) {
               done(ToWritten(reply));
             });
}

void StoreClient::List(const std::string& prefix,
                       TimePoint deadline,
                       std::function<void(StoreChanges)> done) {
  http_.Send({"GET",
              base_url_ + "/v1/objects?prefix=" + Escape(prefix, nullptr),
              {},
              {},
              deadline},
             [done = std::move(done)](const HttpResponse& reply) {
               done(ToChanges(reply));
             });
}

void StoreClient::Watch(const std::string& prefix,
                        std::uint64_t revision,
                        TimePoint deadline,
                        std::function<void(StoreChanges)> done) {
  const auto left = std::chrono::duration_cast<milliseconds>(
      deadline - MonotonicClock().Now() - kWatchMargin);
  const auto wait = std::max(left, milliseconds{0});
  http_.Send({"GET",
              base_url_ + "/v1/watch?prefix=" + Escape(prefix, nullptr) +
                  "&after=" + std::to_string(revision) +
                  "&wait_ms=" + std::to_string(wait.count()),
              {},
              {},
              deadline},
             [done = std::move(done)](const HttpResponse& reply) {
               done(ToChanges(reply));
             });
}

void StoreClient::ListVms(TimePoint deadline,
                          std::function<void(VmList)> done) {
  http_.Send({"GET", base_url_ + "/v1/vms", {}, {}, deadline},
             [done = std::move(done)](const HttpResponse& reply) {
               done(ToVmList(reply));
             });
}

}  // namespace gentianreach
