#include "ctl/context.h"

#include <glib.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <thread>
#include <utility>

#include "store/store_caller.h"

namespace gentianreach::ctl {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kCallTimeout{2};
constexpr seconds kRetryTimeout{10};
constexpr int kFirstStatusAfterSuccess = 300;

std::string ToUrl(const std::string& address) {
  return address.find("://") == std::string::npos ? "http://" + address
                                                  : address;
}

}  // namespace

Context::Context(Options options) : options_(std::move(options)) {
  if (!options_.store.empty()) {
    store_ = std::make_unique<StoreClient>(ToUrl(options_.store));
  }
}

store::Reply Context::Call(const store::Call& call) {
  if (store_ == nullptr) {
    store::Reply reply;
    reply.error = "no store given: use --store or GENTIANREACH_STORE";
    return reply;
  }
  return MakeStoreCallAndWait(*store_, call);
}

store::Reply Context::Read(const std::string& name) {
  const TimePoint retry_deadline = clock_.Now() + kRetryTimeout;
  store::Backoff backoff;
  while (true) {
    store::Call call{store::CallKind::kRead, name};
    call.deadline = clock_.Now() + kCallTimeout;
    store::Reply reply = Call(call);
    const bool retry = reply.status == store::Status::kUnavailable &&
                       store_ != nullptr && clock_.Now() < retry_deadline;
    if (!retry) {
      return reply;
    }
    backoff.Fail(clock_.Now());
    WaitUntil(backoff.until());
  }
}

store::Reply Context::List(const std::string& prefix) {
  store::Call call{store::CallKind::kList, prefix};
  call.deadline = clock_.Now() + kRetryTimeout;
  return Call(call);
}

std::optional<Json> Context::CallDaemon(const std::string& address,
                                        const std::string& path,
                                        const std::optional<Json>& body) {
  HttpCall call;
  call.method = body ? "POST" : "GET";
  call.url = ToUrl(address) + path;
  call.deadline = clock_.Now() + kCallTimeout;
  if (body) {
    call.body = body->dump();
    call.headers.emplace_back("Content-Type", "application/json");
  }
  const HttpResponse response = http_.SendAndWait(std::move(call));
  Json json = Json::parse(response.body, nullptr, false);
  const bool succeeded = response.status >= 200 &&
                         response.status < kFirstStatusAfterSuccess &&
                         !json.is_discarded();
  if (succeeded) {
    return json;
  }
  std::string error = response.status == 0
                          ? response.error
                          : "status " + std::to_string(response.status);
  if (json.is_object() && json.contains("error")) {
    error += ": " + TextOf(json, "error");
  }
  PrintError("daemon " + address + ": " + error);
  return std::nullopt;
}

std::optional<Json> Context::CallAnyDaemon(const std::string& path,
                                           const std::optional<Json>& body) {
  if (options_.daemons.empty()) {
    PrintError("no daemon given: use --daemon or GENTIANREACH_DAEMON");
  }
  for (const std::string& it : options_.daemons) {
    if (auto json = CallDaemon(it, path, body)) {
      return json;
    }
  }
  return std::nullopt;
}

void Context::WaitUntil(TimePoint deadline) {
  const Duration left = deadline - clock_.Now();
  std::this_thread::sleep_for(std::max<Duration>(left, milliseconds(1)));
}

void PrintError(const std::string& message) {
  std::fprintf(stderr, "gentianreachctl: %s\n", message.c_str());
}

void PrintTable(const std::vector<std::string>& headings,
                const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  widths.reserve(headings.size());
  for (const std::string& it : headings) {
    widths.push_back(it.size());
  }
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  const auto print = [&](const std::vector<std::string>& row) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(i + 1 < row.size() ? widths[i] + 2 - row[i].size() : 0, ' ');
    }
    std::puts(line.c_str());
  };
  print(headings);
  for (const auto& row : rows) {
    print(row);
  }
}

void PrintJson(const Json& json) {
  std::puts(json.dump(2, ' ', false, Json::error_handler_t::replace).c_str());
}

std::string TextOf(const Json& object, const char* field) {
  const auto it = object.find(field);
  if (it == object.end() || it->is_null()) {
    return {};
  }
  return it->is_string() ? it->get<std::string>() : it->dump();
}

std::string FormatTime(WallTime time) {
  const std::time_t when = std::chrono::system_clock::to_time_t(time);
  std::tm parts{};
  gmtime_r(&when, &parts);
  std::array<char, 32> buf{};
  std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return buf.data();
}

WallTime WallNow() {
  return std::chrono::time_point_cast<milliseconds>(
      std::chrono::system_clock::now());
}

std::string EscapeQuery(const std::string& text) {
  char* escaped = g_uri_escape_string(text.c_str(), nullptr, FALSE);
  std::string result(escaped);
  g_free(escaped);
  return result;
}

}  // namespace gentianreach::ctl
