// Loads the settings of an entry daemon.
#ifndef SRC_ENTRY_ENTRY_SETTINGS_H_
#define SRC_ENTRY_ENTRY_SETTINGS_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gentianreach/settings.h"
#include "gentianreach/time.h"
#include "settings_generated.h"

namespace gentianreach::entry {

struct RetryBounds;

// The settings, or all errors in the order of their lines.
struct EntrySettingsResult {
  std::unique_ptr<settings::EntryDaemonT> entry;
  std::vector<settings::SettingsError> errors;
};

// Returns the parsed and validated section [entry] of `text`. `file` is used
// only in errors. Optional settings that are absent get their defaults.
[[nodiscard]] EntrySettingsResult LoadEntrySettings(std::string_view text,
                                                    std::string_view file);

// Returns where other daemons reach this one's `address` ("IP:port"), which is
// the member address or the forward address; empty if `address` is.
[[nodiscard]] std::string AdvertisedAddress(
    const settings::EntryDaemonT& settings,
    const std::string& address);

// Returns the addresses at which the seeds receive datagrams, which have the
// same port as this daemon's.
[[nodiscard]] std::vector<std::string> SeedsOf(
    const settings::EntryDaemonT& settings);

// Returns the limits of retries and second attempts.
[[nodiscard]] RetryBounds RetryBoundsOf(const settings::EntryDaemonT& settings);

// Returns how many bytes the bodies of all requests may take together.
[[nodiscard]] std::uint64_t BodyBytes(const settings::EntryDaemonT& settings);

// Returns the time within which a change of the configuration takes effect.
[[nodiscard]] Duration ConfigApplyTime(const settings::EntryDaemonT& settings);

// Returns the cost of sending a request to another zone, as time that callers
// may wait instead.
[[nodiscard]] Duration ZoneCrossing(const settings::EntryDaemonT& settings);

// Returns the time after which a server that leaves gets no more requests.
[[nodiscard]] Duration DrainTime(const settings::EntryDaemonT& settings);

// Returns the time after which servers of an evacuated zone get no more
// requests; 0 if evacuations are not read.
[[nodiscard]] Duration EvacuationTime(const settings::EntryDaemonT& settings);

// Returns the time that decides how old the copies may be that requests are
// sent by: the shorter one of the times within which draining servers and
// evacuations take effect.
[[nodiscard]] Duration ShortestSendBound(
    const settings::EntryDaemonT& settings);

// Returns how long the store has to be away at least until entries of live
// servers expire.
[[nodiscard]] Duration ShortestExpiry(const settings::EntryDaemonT& settings);

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_ENTRY_SETTINGS_H_
