#include "entry/server_statements.h"

#include <string_view>

#include "entry/request_rules.h"
#include "http/status.h"

namespace gentianreach::entry {

std::optional<LoadReport> TakeServerStatements(EntryState& state,
                                               const ServerId& server,
                                               Incarnation incarnation,
                                               const http::MessageHead& head) {
  std::optional<LoadReport> report;
  if (const auto load = head.Get(std::string_view(state.headers.server_load))) {
    report = state.ReadLoadReport(server, *load);
  }
  if (head.status == http::status::kMisdirected) {
    // Possibly another server that has got the address since.
    return report;
  }
  if (const auto until = RequestedRest(head, state.loop.Now())) {
    state.OnRestRequested(server, *until);
  }
  if (IsLeaving(head, state.headers)) {
    state.OnLeaving(server, incarnation);
  }
  if (const auto left = head.Get(std::string_view(state.headers.warmup_ms))) {
    state.OnWarmupStated(server, *left);
  }
  return report;
}

}  // namespace gentianreach::entry
