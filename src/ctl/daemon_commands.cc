#include "ctl/daemon_commands.h"

#include <cstdio>
#include <fstream>
#include <iostream>

#include "ctl/explain_lines.h"

namespace gentianreach::ctl {
namespace {

// Prints the given fields of a list of objects as a table.
void PrintFields(const Json& list, const std::vector<std::string>& fields) {
  std::vector<std::vector<std::string>> rows;
  for (const Json& it : list) {
    std::vector<std::string> row;
    row.reserve(fields.size());
    for (const std::string& field : fields) {
      row.push_back(TextOf(it, field.c_str()));
    }
    rows.push_back(std::move(row));
  }
  PrintTable(fields, rows);
}

}  // namespace

int ShowOwner(Context& context,
              const std::string& service,
              const std::string& key) {
  const auto json = context.CallAnyDaemon(
      "/owners?service=" + EscapeQuery(service) + "&key=" + EscapeQuery(key));
  if (!json) {
    return kExitFailure;
  }
  if (context.options().json) {
    PrintJson(*json);
  } else {
    PrintFields(Json::array({*json}),
                {"key", "service", "state", "server", "address", "token"});
  }
  return TextOf(*json, "server").empty() ? kExitNotFound : kExitOk;
}

int ShowServers(Context& context) {
  const auto json = context.CallAnyDaemon("/servers");
  if (!json) {
    return kExitFailure;
  }
  if (context.options().json) {
    PrintJson(*json);
    return kExitOk;
  }
  PrintFields(json->value("servers", Json::array()),
              {"server", "service", "zone", "address", "state", "generation",
               "ranges", "share"});
  return kExitOk;
}

int Drain(Context& context, const std::string& server, bool undo) {
  const Json body = {
      {"server", server}, {"drain", !undo}, {"actor", context.options().actor}};
  const auto json = context.CallAnyDaemon("/drain", body);
  if (!json) {
    return kExitFailure;
  }
  if (context.options().json) {
    PrintJson(*json);
  } else {
    std::printf("%s: %s requested\n", server.c_str(),
                undo ? "end of draining" : "draining");
  }
  return kExitOk;
}

int ExplainFromLines(Context& context,
                     const std::string& file,
                     const std::string& request) {
  std::ifstream opened;
  if (file != "-") {
    opened.open(file);
    if (!opened) {
      PrintError(file + ": cannot be read");
      return kExitFailure;
    }
  }
  const auto explanation =
      ExplainRequest(file == "-" ? std::cin : opened, request);
  if (!explanation) {
    PrintError("no log line contains the request " + request);
    return kExitNotFound;
  }
  if (context.options().json) {
    PrintJson({{"lines", explanation->lines},
               {"context", explanation->context},
               {"summary", explanation->summary}});
    return kExitOk;
  }
  for (const std::string& it : explanation->context) {
    std::printf("before: %s\n", it.c_str());
  }
  for (const std::string& it : explanation->lines) {
    std::printf("request: %s\n", it.c_str());
  }
  std::printf("%s\n", explanation->summary.empty()
                          ? "The final log line of the request is missing."
                          : explanation->summary.c_str());
  return kExitOk;
}

int Explain(Context& context,
            const std::string& request_or_key,
            const std::string& service) {
  std::string path = "/explain?id=" + EscapeQuery(request_or_key);
  if (!service.empty()) {
    path += "&service=" + EscapeQuery(service);
  }
  const auto json = context.CallAnyDaemon(path);
  if (!json) {
    return kExitFailure;
  }
  const Json requests = json->value("requests", Json::array());
  if (context.options().json) {
    PrintJson(*json);
  } else if (!requests.empty()) {
    PrintFields(requests, {"id", "method", "target", "route", "service",
                           "server", "attempts", "verdict", "reason", "ms"});
  }
  if (requests.empty()) {
    PrintError("the daemon's request log does not contain " + request_or_key);
    return kExitNotFound;
  }
  return kExitOk;
}

}  // namespace gentianreach::ctl
