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
// The store ends a watch this long before the deadline, so that the response
// arrives in time.
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

std::string Describe(const HttpResponse& response) {
  return response.status == 0 ? response.error
                              : "status " + std::to_string(response.status);
}

ObjectRead ToRead(HttpResponse response) {
  ObjectRead read;
  if (response.status == kNotFound) {
    read.status = StoreStatus::kAbsent;
    return read;
  }
  if (response.status != kOk) {
    read.error = Describe(response);
    return read;
  }
  read.status = StoreStatus::kOk;
  read.version = ParseEtag(response.etag);
  read.bytes = std::move(response.body);
  return read;
}

ObjectWritten ToWritten(const HttpResponse& response) {
  ObjectWritten written;
  if (response.status == kOk) {
    written.status = StoreStatus::kOk;
    written.version = ParseEtag(response.etag);
    return written;
  }
  written.error = Describe(response);
  if (response.status == kPreconditionFailed) {
    written.status = StoreStatus::kConflict;
    return written;
  }
  const bool client_error = response.status >= 400 && response.status < 500;
  // A 503 does not show that the write had no effect: a proxy in front of the
  // store may send it after the store has executed the write.
  const bool no_effect = client_error || !response.may_have_arrived;
  written.status =
      no_effect ? StoreStatus::kUnavailable : StoreStatus::kUnknown;
  return written;
}

StoreChanges ToChanges(const HttpResponse& response) {
  StoreChanges changes;
  const Json json = Json::parse(response.body, nullptr, false);
  if (response.status != kOk || !json.is_object()) {
    changes.error = Describe(response);
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

VmList ToVmList(const HttpResponse& response) {
  VmList list;
  const Json json = Json::parse(response.body, nullptr, false);
  if (response.status != kOk || !json.is_object()) {
    list.error = Describe(response);
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

std::optional<std::string> StoreClient::CheckConnection(TimePoint deadline) {
  const HttpResponse response =
      http_.SendAndWait({"GET", base_url_ + "/v1/vms", {}, {}, deadline});
  return response.status != 0 ? std::nullopt : std::optional(response.error);
}

void StoreClient::Read(const std::string& name,
                       TimePoint deadline,
                       std::function<void(ObjectRead)> done) {
  http_.Send({"GET", ObjectUrl(name), {}, {}, deadline},
             [done = std::move(done)](HttpResponse response) {
               done(ToRead(std::move(response)));
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
             [done = std::move(done)](const HttpResponse& response) {
               done(ToWritten(response));
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
             [done = std::move(done)](const HttpResponse& response) {
               done(ToChanges(response));
             });
}

void StoreClient::Watch(const std::string& prefix,
                        std::uint64_t revision,
                        TimePoint deadline,
                        std::function<void(StoreChanges)> done) {
  const auto remaining = std::chrono::duration_cast<milliseconds>(
      deadline - MonotonicClock().Now() - kWatchMargin);
  const auto wait = std::max(remaining, milliseconds{0});
  http_.Send({"GET",
              base_url_ + "/v1/watch?prefix=" + Escape(prefix, nullptr) +
                  "&after=" + std::to_string(revision) +
                  "&wait_ms=" + std::to_string(wait.count()),
              {},
              {},
              deadline},
             [done = std::move(done)](const HttpResponse& response) {
               done(ToChanges(response));
             });
}

void StoreClient::ListVms(TimePoint deadline,
                          std::function<void(VmList)> done) {
  http_.Send({"GET", base_url_ + "/v1/vms", {}, {}, deadline},
             [done = std::move(done)](const HttpResponse& response) {
               done(ToVmList(response));
             });
}

}  // namespace gentianreach
