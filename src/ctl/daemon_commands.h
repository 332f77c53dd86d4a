// Commands that ask a daemon: owners, servers, drain, explain.
#ifndef SRC_CTL_DAEMON_COMMANDS_H_
#define SRC_CTL_DAEMON_COMMANDS_H_

#include <string>

#include "ctl/context.h"

namespace gentianreach::ctl {

// Prints who owns `key` of `service`. Returns an exit code, as all commands do.
int ShowOwner(Context& context,
              const std::string& service,
              const std::string& key);
// Prints the backend servers that the cell knows.
int ShowServers(Context& context);
// Tells the cell to drain `server`, or to take it back.
int Drain(Context& context, const std::string& server, bool undo);
// Prints where a request went and why; with a service, the recent requests of
// a key.
// Prints what the log lines of entry daemons in `file` ("-": standard input)
// say of a request.
int ExplainFromLines(Context& context,
                     const std::string& file,
                     const std::string& request);
int Explain(Context& context,
            const std::string& request_or_key,
            const std::string& service);

}  // namespace gentianreach::ctl

#endif  // SRC_CTL_DAEMON_COMMANDS_H_
