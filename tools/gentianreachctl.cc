// The command-line tool for operators.

#include <glib.h>

#include <functional>
#include <map>
#include <string>

#include <CLI/CLI.hpp>

#include "ctl/audit_commands.h"
#include "ctl/context.h"
#include "ctl/daemon_commands.h"
#include "ctl/settings_commands.h"

namespace {

namespace ctl = gentianreach::ctl;
using ctl::Context;

// The parsed command-line arguments. CLI11 writes to the members.
struct Arguments {
  ctl::Options options;
  ctl::ChangeOptions change;
  std::string path;
  std::string value;
  std::string file;
  std::string service;
  std::string key;
  std::string server;
  std::string request;
  std::string lines;
  std::string since;
  std::string until;
  std::string filter_actor;
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  std::uint64_t version = 0;
  std::uint64_t limit = 20;
  std::uint64_t wait_seconds = 30;
  std::uint64_t base = 0;
  bool origin = false;
  bool undo = false;
};

using Command = std::function<int(Context&, Arguments&)>;
// The function that each subcommand runs.
using Commands = std::map<CLI::App*, Command>;

void AddChangeFlags(CLI::App* command, Arguments& args) {
  command->add_flag("--dry-run", args.change.dry_run,
                    "Validate and print the differences without writing");
  command->add_flag("--merge", args.change.merge,
                    "Merge with concurrent changes of other branches");
  command->add_flag("--wait", args.change.wait,
                    "Wait until the version is active on all daemons");
  command
      ->add_option("--wait-seconds", args.wait_seconds,
                   "Maximum time to wait, in seconds")
      ->capture_default_str();
  command->add_option("--reason", args.change.reason,
                      "Reason, for the history and the audit trail");
}

void AddReadCommands(CLI::App* settings, Arguments& args, Commands& commands) {
  auto* get =
      settings->add_subcommand("get", "Print all settings or one value");
  get->add_option("path", args.path, "Branch or key");
  get->add_flag("--origin", args.origin, "Print where the value was set");
  commands[get] = [](Context& context, Arguments& it) {
    return ctl::GetSettings(context, it.path, it.origin);
  };
  auto* diff =
      settings->add_subcommand("diff", "Compare a file or two versions");
  diff->add_option("file", args.file,
                   "File to compare with the current version");
  diff->add_option("--from", args.from, "Version; 0: the current one");
  diff->add_option("--to", args.to, "Version; 0: the current one");
  commands[diff] = [](Context& context, Arguments& it) {
    return it.file.empty() ? ctl::DiffVersions(context, it.from, it.to)
                           : ctl::DiffFile(context, it.file);
  };
  auto* history =
      settings->add_subcommand("history", "Print the latest versions");
  history->add_option("--limit", args.limit, "Maximum number of versions")
      ->capture_default_str();
  commands[history] = [](Context& context, Arguments& it) {
    return ctl::ShowHistory(context, it.limit);
  };
  auto* status = settings->add_subcommand(
      "status", "Print the accepted version and the daemons' active versions");
  commands[status] = [](Context& context, Arguments&) {
    return ctl::ShowSettingsStatus(context);
  };
}

void AddChangeCommands(CLI::App* settings,
                       Arguments& args,
                       Commands& commands) {
  auto* set = settings->add_subcommand("set", "Set one value");
  set->add_option("path", args.path, "BRANCH/KEY")->required();
  set->add_option("value", args.value)->required();
  AddChangeFlags(set, args);
  commands[set] = [](Context& context, Arguments& it) {
    return ctl::SetSetting(context, it.path, it.value, it.change);
  };
  auto* apply =
      settings->add_subcommand("apply", "Replace the settings with a file");
  apply->add_option("file", args.file, "File; -: standard input")->required();
  apply->add_option("--base", args.base,
                    "Version that the file is based on; default: current");
  AddChangeFlags(apply, args);
  commands[apply] = [apply](Context& context, Arguments& it) {
    if (apply->count("--base") > 0) {
      it.change.base = it.base;
    }
    return ctl::ApplySettings(context, it.file, it.change);
  };
  auto* restore = settings->add_subcommand(
      "restore", "Restore an earlier version as a new version");
  restore->add_option("version", args.version)->required();
  AddChangeFlags(restore, args);
  commands[restore] = [](Context& context, Arguments& it) {
    return ctl::RestoreSettings(context, it.version, it.change);
  };
}

void AddDaemonCommands(CLI::App& app, Arguments& args, Commands& commands) {
  auto* owners = app.add_subcommand("owners", "Print the owner of a key");
  owners->add_option("key", args.key)->required();
  owners->add_option("--service", args.service)->required();
  commands[owners] = [](Context& context, Arguments& it) {
    return ctl::ShowOwner(context, it.service, it.key);
  };
  auto* servers = app.add_subcommand("servers", "Print the backend servers");
  commands[servers] = [](Context& context, Arguments&) {
    return ctl::ShowServers(context);
  };
  auto* drain = app.add_subcommand("drain", "Drain a backend server");
  drain->add_option("server", args.server)->required();
  drain->add_flag("--undo", args.undo, "Stop draining the server");
  commands[drain] = [](Context& context, Arguments& it) {
    return ctl::Drain(context, it.server, it.undo);
  };
  auto* explain =
      app.add_subcommand("explain", "Explain how a request was routed");
  explain
      ->add_option("request", args.request,
                   "Request id, or a key with --service")
      ->required();
  explain->add_option("--service", args.service, "Service of the key");
  explain->add_option(
      "--lines", args.lines,
      "File with log lines of entry daemons; -: standard input");
  commands[explain] = [](Context& context, Arguments& it) {
    if (!it.lines.empty()) {
      return ctl::ExplainFromLines(context, it.lines, it.request);
    }
    return ctl::Explain(context, it.request, it.service);
  };
}

int RunAudit(Context& context, Arguments& args) {
  gentianreach::audit::Filter filter;
  filter.service = args.service;
  filter.key = args.key;
  filter.actor = args.filter_actor;
  const auto now = ctl::WallNow();
  filter.since = ctl::ParseSince(args.since, now);
  filter.until = ctl::ParseSince(args.until, now);
  const bool invalid = (!args.since.empty() && !filter.since) ||
                       (!args.until.empty() && !filter.until);
  if (invalid) {
    ctl::PrintError("expected a time like 2h or 2026-01-31T12:00:00Z");
    return ctl::kExitInvalid;
  }
  return ctl::ShowAudit(context, filter);
}

void AddAuditCommand(CLI::App& app, Arguments& args, Commands& commands) {
  auto* audit = app.add_subcommand("audit", "Print the audit trail of changes");
  audit->add_option("--since", args.since,
                    "Age like 2h or 15min, or an ISO 8601 time");
  audit->add_option("--until", args.until, "Same format as --since");
  audit->add_option("--service", args.service);
  audit->add_option("--key", args.key);
  audit->add_option("--actor", args.filter_actor);
  commands[audit] = RunAudit;
}

void AddCommonOptions(CLI::App& app, Arguments& args) {
  app.add_option("--store", args.options.store, "Address of the store")
      ->envname("GENTIANREACH_STORE");
  app.add_option("--daemon", args.options.daemons,
                 "Operator addresses of daemons, separated by commas")
      ->envname("GENTIANREACH_DAEMON")
      ->delimiter(',');
  app.add_option("--as", args.options.actor,
                 "Name of the person or program making the change")
      ->default_val(g_get_user_name());
  app.add_flag("--json", args.options.json, "Print JSON");
  app.set_version_flag("--version", "gentianreachctl 0.1.0");
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Operates gentianreach: settings, owners, servers, audit.");
  app.require_subcommand(1);
  Arguments args;
  Commands commands;
  AddCommonOptions(app, args);
  auto* settings =
      app.add_subcommand("settings", "Read and change the settings tree");
  settings->require_subcommand(1);
  settings->fallthrough();
  AddReadCommands(settings, args, commands);
  AddChangeCommands(settings, args, commands);
  AddDaemonCommands(app, args, commands);
  AddAuditCommand(app, args, commands);
  for (const auto& [command, run] : commands) {
    command->fallthrough();
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? ctl::kExitOk : ctl::kExitInvalid;
  }
  args.change.wait_timeout = std::chrono::seconds(args.wait_seconds);
  Context context(args.options);
  for (const auto& [command, run] : commands) {
    if (command->parsed()) {
      return run(context, args);
    }
  }
  return ctl::kExitInvalid;
}
