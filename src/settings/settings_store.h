// Changes the settings in the platform's store.
//
// The store's object `settings/current` holds the accepted version; a change is
// accepted when a conditional write replaces that object. Before that, the
// replaced version is copied to `settings/history/`, so that the outcome of a
// write whose reply was lost can be read later.
//
//   SettingsChange change(request, deadline);
//   while (!change.result()) {
//     if (auto call = change.Poll(now)) change.OnReply(MakeCall(*call), now);
//     else wait until change.RetryAt();
//   }
#ifndef SRC_SETTINGS_SETTINGS_STORE_H_
#define SRC_SETTINGS_SETTINGS_STORE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gentianreach/settings.h"
#include "gentianreach/time.h"
#include "settings/edit.h"
#include "settings/stored_version.h"
#include "store/store_call.h"

namespace gentianreach::settings {

// A change requested by an operator: to a whole text, to one value, or back to
// an earlier version.
struct ChangeRequest {
  // The new text, and the file name for its error messages.
  std::string text;
  std::string file;
  // If `path` is not empty, only this key is set, to `value`.
  std::string path;
  std::string value;
  // If not 0, the text of this earlier version is restored.
  std::uint64_t restore = 0;
  // The version on which the operator's text is based; if absent, the version
  // that is current when the change first reads the store.
  std::optional<std::uint64_t> base;
  // Whether to merge with changes made to other branches since the base.
  bool merge = false;
  // Whether to stop before writing.
  bool dry_run = false;
  std::string author;
  std::string reason;
  WallTime time{};
  // Unique ID of this change, also used by its retries.
  std::string write_id;
};

enum class ChangeOutcome : std::uint8_t {
  kAccepted,
  kUnchanged,    // The current text equals the requested one.
  kWouldAccept,  // Dry run only.
  kInvalid,      // See `errors`.
  kConflict,     // The settings were changed since the base.
  kNoVersion,    // Base or restored version not in the history.
  kUnavailable,  // No reply from the store in time; not written.
  kUnknown,      // No reply in time; the write may take effect.
};

struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kUnavailable;
  // The accepted version, or else the current one if it was read.
  std::uint64_t version = 0;
  // Whether changes made since the base were merged.
  bool merged = false;
  // The accepted text, or for a dry run the text that would be accepted.
  std::string text;
  std::vector<SettingsError> errors;
  // Differences between the current version and the requested text.
  std::vector<Difference> changes;
  // For kConflict: the changes on each side since the base, and the branches
  // that conflict.
  std::vector<Difference> mine;
  std::vector<Difference> theirs;
  std::vector<std::string> conflicts;
  std::string detail;
};

// State machine of one change, from the first read to the result.
// Deterministic; the caller makes the store calls.
class SettingsChange {
 public:
  // Without a result by `deadline`, ends as kUnavailable or kUnknown.
  SettingsChange(ChangeRequest request, TimePoint deadline);

  // Returns the call to make now, or nullopt while a reply is pending, before
  // RetryAt() or after the result.
  [[nodiscard]] std::optional<store::Call> Poll(TimePoint now);
  // Handles the reply to the last call.
  void OnReply(const store::Reply& reply, TimePoint now);
  // Returns the time of the next retry, for when Poll() returns no call.
  [[nodiscard]] TimePoint RetryAt() const { return backoff_.until(); }
  [[nodiscard]] const std::optional<ChangeResult>& result() const {
    return result_;
  }

 private:
  enum class Step : std::uint8_t {
    kReadCurrent,
    kReadRestored,
    kReadBase,
    kReadHistory,
    kWriteHistory,
    kWriteCurrent,
    kReadOutcome,  // Reads whether a write without a reply took effect.
  };

  // The current version as of the last read.
  struct Current {
    std::optional<ObjectVersion> object;
    stored::SettingsVersionT version;
  };

  void OnCurrent(const store::Reply& reply, TimePoint now);
  void OnRestored(const store::Reply& reply, TimePoint now);
  void OnBase(const store::Reply& reply, TimePoint now);
  void OnHistory(const store::Reply& reply, TimePoint now);
  void OnHistoryWritten(const store::Reply& reply, TimePoint now);
  void OnCurrentWritten(const store::Reply& reply, TimePoint now);
  void OnOutcome(const store::Reply& reply, TimePoint now);

  // Checks whether the current version shows the outcome of an earlier write
  // without a reply. Returns true if the change is finished or needs to read
  // the history for that.
  bool ResolvePendingWrite();
  // Chooses the next step, given the current version.
  void Plan();
  // Merges with the changes since the base. Returns false after finishing with
  // kConflict.
  bool Reconcile();
  void PlanWrite(std::string text);
  void Finish(ChangeOutcome outcome, std::string detail = {});
  // Returns the text of version `number` from the history. If it is not there,
  // finishes with kNoVersion and returns nullopt; if the read failed, schedules
  // a retry and returns nullopt.
  std::optional<std::string> TextFromHistory(const store::Reply& reply,
                                             std::uint64_t number,
                                             TimePoint now);
  [[nodiscard]] stored::SettingsVersionT NextVersion() const;

  ChangeRequest request_;
  TimePoint deadline_;
  Step step_ = Step::kReadCurrent;
  bool reply_pending_ = false;
  store::Backoff backoff_;
  Current current_;
  // The requested text, computed once from the base, and the base.
  std::optional<std::string> requested_text_;
  std::optional<std::uint64_t> base_number_;
  std::optional<std::string> base_text_;
  // The text to write in place of `current_`.
  std::string text_;
  std::vector<Difference> changes_;
  bool merged_ = false;
  std::optional<ObjectVersion> history_object_;
  // Number of the version whose write may have taken effect; 0 if none.
  std::uint64_t pending_ = 0;
  std::optional<ChangeResult> result_;
};

}  // namespace gentianreach::settings

#endif  // SRC_SETTINGS_SETTINGS_STORE_H_
