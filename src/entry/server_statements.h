// What servers state about themselves in their responses.
#ifndef SRC_ENTRY_SERVER_STATEMENTS_H_
#define SRC_ENTRY_SERVER_STATEMENTS_H_

#include <optional>

#include "entry/balancing/server_loads.h"
#include "entry/entry_state.h"
#include "gentianreach/ids.h"
#include "http/message_head.h"

namespace gentianreach::entry {

// Handles the statements in a response of `server`: the rest that it asks for,
// and whether it leaves. Returns the load that it reports, if any.
std::optional<LoadReport> TakeServerStatements(EntryState& state,
                                               const ServerId& server,
                                               Incarnation incarnation,
                                               const http::MessageHead& head);

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_SERVER_STATEMENTS_H_
