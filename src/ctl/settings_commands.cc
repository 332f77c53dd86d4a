#include "ctl/settings_commands.h"

#include <glib.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

#include "ctl/audit_commands.h"
#include "ctl/settings_status.h"
#include "settings/document.h"
#include "settings/schema.h"
#include "settings/settings_store.h"

namespace gentianreach::ctl {
namespace {

using settings::ChangeOutcome;
using settings::ChangeRequest;
using settings::ChangeResult;
using settings::Difference;
using settings::Document;
using stored::SettingsVersionT;

constexpr std::chrono::seconds kChangeTimeout{15};

std::optional<std::string> ReadFile(const std::string& name) {
  if (name == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(name, std::ios::binary);
  if (!file) {
    PrintError(name + ": cannot be read");
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

// Returns the settings version stored in the object `name`; its number is 0 if
// the object does not exist. Prints an error and returns nullopt if it cannot
// be read.
std::optional<SettingsVersionT> ReadVersion(Context& context,
                                            std::string_view name) {
  const store::Reply reply = context.Read(std::string(name));
  if (reply.status == store::Status::kAbsent) {
    return SettingsVersionT();
  }
  if (reply.status != store::Status::kOk) {
    PrintError("store: " + reply.error);
    return std::nullopt;
  }
  auto version = settings::Decode(reply.bytes);
  if (!version) {
    PrintError("store: " + std::string(name) + " is corrupted");
  }
  return version;
}

// Returns the settings version `number`; 0 is the current version. Prints an
// error and returns nullopt if it cannot be read.
std::optional<SettingsVersionT> ReadVersionNumber(Context& context,
                                                  std::uint64_t number) {
  auto current = ReadVersion(context, settings::kCurrentName);
  if (!current || number == 0 || number == current->number) {
    return current;
  }
  auto version = ReadVersion(context, settings::HistoryName(number));
  if (version && version->number != number) {
    PrintError("version " + std::to_string(number) + " is not stored");
    return std::nullopt;
  }
  return version;
}

Json ToJson(const std::vector<Difference>& list) {
  Json json = Json::array();
  for (const Difference& it : list) {
    Json difference = {{"path", it.path}, {"from", nullptr}, {"to", nullptr}};
    if (it.from) {
      difference["from"] = *it.from;
    }
    if (it.to) {
      difference["to"] = *it.to;
    }
    json.push_back(std::move(difference));
  }
  return json;
}

void PrintDifferences(const char* heading,
                      const std::vector<Difference>& list) {
  if (heading != nullptr) {
    std::puts(heading);
  }
  for (const Difference& it : list) {
    std::printf("  %s\n", ToString(it).c_str());
  }
}

const char* NameOf(ChangeOutcome outcome) {
  switch (outcome) {
    case ChangeOutcome::kAccepted:
      return "accepted";
    case ChangeOutcome::kUnchanged:
      return "unchanged";
    case ChangeOutcome::kWouldAccept:
      return "would-accept";
    case ChangeOutcome::kInvalid:
      return "invalid";
    case ChangeOutcome::kConflict:
      return "conflict";
    case ChangeOutcome::kNoVersion:
      return "no-version";
    case ChangeOutcome::kUnavailable:
      return "unavailable";
    case ChangeOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

int ExitCodeOf(ChangeOutcome outcome) {
  switch (outcome) {
    case ChangeOutcome::kAccepted:
    case ChangeOutcome::kUnchanged:
    case ChangeOutcome::kWouldAccept:
      return kExitOk;
    case ChangeOutcome::kInvalid:
      return kExitInvalid;
    case ChangeOutcome::kConflict:
      return kExitConflict;
    case ChangeOutcome::kNoVersion:
      return kExitNotFound;
    case ChangeOutcome::kUnavailable:
      return kExitFailure;
    case ChangeOutcome::kUnknown:
      return kExitUnknown;
  }
  return kExitFailure;
}

void PrintText(const ChangeResult& result) {
  switch (result.outcome) {
    case ChangeOutcome::kAccepted:
      std::printf("accepted as version %llu%s\n",
                  static_cast<unsigned long long>(result.version),
                  result.merged ? ", merged with changes of others" : "");
      PrintDifferences(nullptr, result.changes);
      return;
    case ChangeOutcome::kUnchanged:
      std::printf("unchanged: version %llu\n",
                  static_cast<unsigned long long>(result.version));
      return;
    case ChangeOutcome::kWouldAccept:
      std::puts("would be accepted");
      PrintDifferences(nullptr, result.changes);
      return;
    case ChangeOutcome::kConflict:
      PrintError("conflict: " + result.detail);
      PrintDifferences("changed by others:", result.theirs);
      PrintDifferences("changed by you:", result.mine);
      for (const std::string& it : result.conflicts) {
        PrintError("changed by both: [" + it + "]");
      }
      if (result.conflicts.empty()) {
        PrintError(
            "the changes are in different branches: use --merge to keep both");
      }
      return;
    case ChangeOutcome::kUnknown:
      PrintError("unknown whether the change was accepted: " + result.detail +
                 "; check with settings history");
      return;
    default:
      if (!result.detail.empty()) {
        PrintError(result.detail);
      }
  }
}

void PrintResult(const Context& context, const ChangeResult& result) {
  for (const settings::SettingsError& it : result.errors) {
    std::fprintf(stderr, "%s\n", ToString(it).c_str());
  }
  if (!context.options().json) {
    PrintText(result);
    return;
  }
  Json errors = Json::array();
  for (const settings::SettingsError& it : result.errors) {
    errors.push_back({{"file", it.file},
                      {"line", it.line},
                      {"path", it.path},
                      {"message", it.message}});
  }
  PrintJson({{"outcome", NameOf(result.outcome)},
             {"version", result.version},
             {"merged", result.merged},
             {"changes", ToJson(result.changes)},
             {"theirs", ToJson(result.theirs)},
             {"mine", ToJson(result.mine)},
             {"conflicts", result.conflicts},
             {"errors", errors},
             {"detail", result.detail}});
}

// Appends one audit entry for the change. The entry contains the key and its
// values if only one key changed, otherwise the version numbers.
void AuditChange(Context& context,
                 const ChangeResult& result,
                 const ChangeRequest& request) {
  audit::Entry entry;
  entry.kind = "settings";
  entry.version = result.version;
  entry.reason = request.reason;
  if (request.restore != 0) {
    entry.reason += (entry.reason.empty() ? "" : "; ") +
                    std::string("back to version ") +
                    std::to_string(request.restore);
  }
  entry.from = "version " + std::to_string(result.version - 1);
  entry.to = "version " + std::to_string(result.version);
  if (result.changes.size() == 1) {
    const Difference& only = result.changes.front();
    entry.key = only.path;
    entry.from = only.from.value_or("");
    entry.to = only.to.value_or("");
  }
  AppendAudit(context, std::move(entry));
}

int Change(Context& context,
           ChangeRequest request,
           const ChangeOptions& options) {
  request.base = options.base;
  request.merge = options.merge;
  request.dry_run = options.dry_run;
  request.reason = options.reason;
  request.author = context.options().actor;
  request.time = WallNow();
  char* uuid = g_uuid_string_random();
  request.write_id = uuid;
  g_free(uuid);
  settings::SettingsChange change(request,
                                  context.clock().Now() + kChangeTimeout);
  std::string store_error;
  while (!change.result()) {
    if (const auto call = change.Poll(context.clock().Now())) {
      const store::Reply reply = context.Call(*call);
      store_error = reply.error.empty() ? store_error : reply.error;
      change.OnReply(reply, context.clock().Now());
      continue;
    }
    if (!change.result()) {
      context.WaitUntil(change.RetryAt());
    }
  }
  ChangeResult result = *change.result();
  const int code = ExitCodeOf(result.outcome);
  if (code != kExitOk && !store_error.empty()) {
    result.detail += " (" + store_error + ")";
  }
  PrintResult(context, result);
  if (result.outcome == ChangeOutcome::kAccepted) {
    AuditChange(context, result, request);
  }
  const bool should_wait = options.wait && code == kExitOk && !options.dry_run;
  return should_wait
             ? WaitUntilActive(context, result.version,
                               context.clock().Now() + options.wait_timeout)
             : code;
}

// The effective value of one key and where it was set.
struct EffectiveValue {
  std::string path;
  std::string value;
  std::string origin;
  int line = 0;
};

EffectiveValue LookUpKey(const Document& doc,
                         std::string_view branch,
                         const settings::Key& key) {
  const std::string path = std::string(branch) + "/" + std::string(key.name());
  const auto found = doc.Lookup(branch, key.name());
  if (!found) {
    return {path, key.DefaultText(), "default", 0};
  }
  return {path, found->entry->value, "[" + found->origin->path + "]",
          found->entry->line};
}

// Returns the values of all keys if `path` is a branch, or of one key if it is
// a key. Returns nullopt if `path` does not exist.
std::optional<std::vector<EffectiveValue>> FindEffectiveValues(
    const Document& doc,
    const std::string& path) {
  const auto section = settings::FindSection(settings::RootOf(path));
  if (!section) {
    return std::nullopt;
  }
  const bool is_root = settings::NameOf(path).empty();
  if (is_root || doc.Find(path) != nullptr || doc.HasChildren(path)) {
    std::vector<EffectiveValue> all;
    for (const settings::Key& it : section->Keys()) {
      all.push_back(LookUpKey(doc, path, it));
    }
    return all;
  }
  const std::string_view branch = settings::ParentOf(path);
  const auto key =
      section->Find(std::string_view(path).substr(branch.size() + 1));
  const bool known = settings::NameOf(branch).empty() ||
                     doc.Find(branch) != nullptr || doc.HasChildren(branch);
  if (!key || !known) {
    return std::nullopt;
  }
  return std::vector{LookUpKey(doc, branch, *key)};
}

void PrintEffectiveValues(const Context& context,
                          const std::vector<EffectiveValue>& list,
                          bool origin) {
  if (context.options().json) {
    Json json = Json::array();
    for (const EffectiveValue& it : list) {
      json.push_back({{"path", it.path},
                      {"value", it.value},
                      {"origin", it.origin},
                      {"line", it.line}});
    }
    PrintJson(json);
    return;
  }
  if (list.size() == 1 && !origin) {
    std::puts(list.front().value.c_str());
    return;
  }
  std::vector<std::vector<std::string>> rows;
  for (const EffectiveValue& it : list) {
    rows.push_back({it.path, it.value});
    if (origin) {
      rows.back().push_back(it.origin);
      rows.back().push_back(it.line == 0 ? "" : std::to_string(it.line));
    }
  }
  PrintTable(origin
                 ? std::vector<std::string>{"path", "value", "origin", "line"}
                 : std::vector<std::string>{"path", "value"},
             rows);
}

}  // namespace

int GetSettings(Context& context, const std::string& path, bool origin) {
  const auto version = ReadVersion(context, settings::kCurrentName);
  if (!version) {
    return kExitFailure;
  }
  if (path.empty()) {
    if (context.options().json) {
      PrintJson({{"version", version->number}, {"text", version->text}});
    } else {
      std::fputs(version->text.c_str(), stdout);
    }
    return kExitOk;
  }
  std::vector<settings::SettingsError> errors;
  const Document doc =
      Document::Parse(version->text, settings::kCurrentName, &errors);
  const auto values = FindEffectiveValues(doc, path);
  if (!values) {
    PrintError(path + ": no such setting");
    return kExitNotFound;
  }
  PrintEffectiveValues(context, *values, origin);
  return kExitOk;
}

int SetSetting(Context& context,
               const std::string& path,
               const std::string& value,
               const ChangeOptions& options) {
  if (settings::ParentOf(path).empty()) {
    PrintError(path + ": expected BRANCH/KEY");
    return kExitInvalid;
  }
  if (value.find_first_of("\r\n") != std::string::npos) {
    PrintError(path + ": a value must be a single line");
    return kExitInvalid;
  }
  ChangeRequest request;
  request.path = path;
  request.value = value;
  request.file = "settings";
  return Change(context, std::move(request), options);
}

int ApplySettings(Context& context,
                  const std::string& file,
                  const ChangeOptions& options) {
  auto text = ReadFile(file);
  if (!text) {
    return kExitInvalid;
  }
  ChangeRequest request;
  request.text = *std::move(text);
  request.file = file;
  return Change(context, std::move(request), options);
}

int RestoreSettings(Context& context,
                    std::uint64_t version,
                    const ChangeOptions& options) {
  ChangeRequest request;
  request.restore = version;
  request.file = "version " + std::to_string(version);
  return Change(context, std::move(request), options);
}

int DiffFile(Context& context, const std::string& file) {
  const auto text = ReadFile(file);
  if (!text) {
    return kExitInvalid;
  }
  const auto current = ReadVersion(context, settings::kCurrentName);
  if (!current) {
    return kExitFailure;
  }
  const auto list = settings::Compare(current->text, *text);
  if (context.options().json) {
    PrintJson(ToJson(list));
  } else {
    PrintDifferences(nullptr, list);
  }
  return kExitOk;
}

int DiffVersions(Context& context, std::uint64_t from, std::uint64_t to) {
  const auto old = ReadVersionNumber(context, from);
  const auto now = ReadVersionNumber(context, to);
  if (!old || !now) {
    return kExitNotFound;
  }
  const auto list = settings::Compare(old->text, now->text);
  if (context.options().json) {
    PrintJson(ToJson(list));
  } else {
    PrintDifferences(nullptr, list);
  }
  return kExitOk;
}

int ShowHistory(Context& context, std::uint64_t limit) {
  const auto current = ReadVersion(context, settings::kCurrentName);
  if (!current) {
    return kExitFailure;
  }
  Json json = Json::array();
  std::vector<std::vector<std::string>> rows;
  for (std::uint64_t i = 0; i < limit && i < current->number; ++i) {
    const std::uint64_t number = current->number - i;
    const auto version =
        i == 0 ? current : ReadVersion(context, settings::HistoryName(number));
    if (!version || version->number != number) {
      break;
    }
    const std::string time =
        FormatTime(WallTime(std::chrono::milliseconds(version->time_ms)));
    const std::string back = version->restored_from == 0
                                 ? ""
                                 : std::to_string(version->restored_from);
    rows.push_back(
        {std::to_string(number), time, version->author, version->reason, back});
    json.push_back({{"version", number},
                    {"time", time},
                    {"author", version->author},
                    {"reason", version->reason},
                    {"restored_from", version->restored_from}});
  }
  if (context.options().json) {
    PrintJson(json);
  } else {
    PrintTable({"version", "time", "author", "reason", "back to"}, rows);
  }
  return kExitOk;
}

int ShowSettingsStatus(Context& context) {
  const auto current = ReadVersion(context, settings::kCurrentName);
  const std::vector<DaemonVersion> daemons = GetDaemonVersions(context);
  if (context.options().json) {
    Json list = Json::array();
    for (const DaemonVersion& it : daemons) {
      list.push_back({{"daemon", it.daemon},
                      {"version", it.version},
                      {"detail", it.detail}});
    }
    Json json = {{"accepted", nullptr}, {"daemons", list}};
    if (current) {
      json["accepted"] = current->number;
    }
    PrintJson(json);
    return current ? kExitOk : kExitFailure;
  }
  if (current) {
    std::printf("accepted: version %llu by %s\n",
                static_cast<unsigned long long>(current->number),
                current->author.c_str());
  }
  std::vector<std::vector<std::string>> rows;
  for (const DaemonVersion& it : daemons) {
    const bool behind = current && it.version < current->number;
    rows.push_back({it.daemon, std::to_string(it.version),
                    behind ? "behind" : "", it.detail});
  }
  PrintTable({"daemon", "version", "", "detail"}, rows);
  return current ? kExitOk : kExitFailure;
}

}  // namespace gentianreach::ctl
