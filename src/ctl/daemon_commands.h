// Commands of gentianreachctl that call a daemon: owners, servers, drain and
// explain.
#ifndef SRC_CTL_DAEMON_COMMANDS_H_
#define SRC_CTL_DAEMON_COMMANDS_H_

#include <string>

#include "ctl/context.h"

namespace gentianreach::ctl {

// Prints the owner of `key` of `service`. Returns an exit code, like all
// commands.
int ShowOwner(Context& context,
              const std::string& service,
              const std::string& key);
// Prints the backend servers of the cell.
int ShowServers(Context& context);
// Requests that the cell drains `server` or, with `undo`, stops draining it.
int Drain(Context& context, const std::string& server, bool undo);
// Prints the log lines of entry daemons in `file` ("-": standard input) that
// concern a request, and a summary of them.
int ExplainFromLines(Context& context,
                     const std::string& file,
                     const std::string& request);
// Prints how a request was routed and why or, with a service, the recent
// requests for a key.
int Explain(Context& context,
            const std::string& request_or_key,
            const std::string& service);

}  // namespace gentianreach::ctl

#endif  // SRC_CTL_DAEMON_COMMANDS_H_
