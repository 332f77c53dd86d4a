// A change of the settings in the platform's store.
//
// The store's object `settings/current` is the accepted version; a change is
// accepted at the moment when a conditional update replaces it. Every version
// is kept under `settings/history/` before the next one replaces it, so that
// the fate of a write whose answer was lost can always be read.
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

// What an operator asks for: a whole text, one value, or an earlier version.
struct ChangeRequest {
  // The wanted text and the name by which its errors are reported.
  std::string text;
  std::string file;
  // Where `path` is not empty: this one value is set instead.
  std::string path;
  std::string value;
  // Where not 0: the text of this earlier version is wanted instead.
  std::uint64_t restore = 0;
  // The version that the operator's text was made from; where absent, the one
  // that is current when the change first reads the store.
  std::optional<std::uint64_t> base;
  // Whether to merge with changes of other branches made since.
  bool merge = false;
  // Whether to stop before writing.
  bool dry_run = false;
  std::string author;
  std::string reason;
  WallTime time{};
  // Unique to this change; its retries carry the same.
  std::string write_id;
};

enum class ChangeOutcome : std::uint8_t {
  kAccepted,
  kUnchanged,    // The current text is already the wanted one.
  kWouldAccept,  // Dry run.
  kInvalid,      // `errors` says why.
  kConflict,     // Others changed the settings since the base.
  kNoVersion,    // The base or the version to restore is not kept.
  kUnavailable,  // The store did not answer in time; nothing was written.
  kUnknown,      // As before, but the write may still take effect.
};

struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kUnavailable;
  // The version accepted, or else the current one where it was read.
  std::uint64_t version = 0;
  // Whether changes of others were merged in.
  bool merged = false;
  // The text that was accepted or would be.
  std::string text;
  std::vector<SettingsError> errors;
  // What the change alters in the current version.
  std::vector<Difference> changes;
  // kConflict: what each side altered since the base, and the branches that
  // both did.
  std::vector<Difference> mine;
  std::vector<Difference> theirs;
  std::vector<std::string> conflicts;
  std::string detail;
};

// One change, from the first read to its result. Deterministic; makes no calls
// itself. After its result it has nothing more to do.
class SettingsChange {
 public:
  // Gives up at `deadline`.
  SettingsChange(ChangeRequest request, TimePoint deadline);

  // Returns the call to make now, or nothing while a reply is due, before
  // RetryAt() or after the result.
  [[nodiscard]] std::optional<store::Call> Poll(TimePoint now);
  // Takes the reply to the last call.
  void OnReply(const store::Reply& reply, TimePoint now);
  // Returns when to poll again after Poll() gave no call.
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
    kReadOutcome,  // Whether a write with a lost answer took effect.
  };

  // The current version as last read.
  struct Current {
    std::optional<ObjectVersion> object;
    stored::SettingsVersionT version;
  };

  void OnCurrent(const store::Reply& reply, TimePoint now);
  void OnRestored(const store::Reply& reply, TimePoint now);
  void OnBase(const store::Reply& reply, TimePoint now);
  void OnHistory(const store::Reply& reply, TimePoint now);
  void OnHistoryWritten(const store::Reply& reply, TimePoint now);
  void OnWritten(const store::Reply& reply, TimePoint now);
  void OnOutcome(const store::Reply& reply, TimePoint now);

  // Returns whether the read current version settles an earlier write.
  bool SettleEarlierWrite();
  // Decides what to do about the current version, the base being known.
  void Plan();
  // Ends with a conflict or goes on with a merged text.
  bool Reconcile();
  void PlanWrite(std::string text);
  void Finish(ChangeOutcome outcome, std::string detail = {});
  // Reads a kept version of `number`; finishes with kNoVersion without one.
  std::optional<std::string> KeptText(const store::Reply& reply,
                                      std::uint64_t number,
                                      TimePoint now);
  [[nodiscard]] stored::SettingsVersionT NextVersion() const;

  ChangeRequest request_;
  TimePoint deadline_;
  Step step_ = Step::kReadCurrent;
  bool reply_due_ = false;
  store::Backoff backoff_;
  Current current_;
  // The text wanted, made once from the base, and the base itself.
  std::optional<std::string> wanted_;
  std::optional<std::uint64_t> base_number_;
  std::optional<std::string> base_text_;
  // The text to write, made for `current_`.
  std::string text_;
  std::vector<Difference> changes_;
  bool merged_ = false;
  std::optional<ObjectVersion> history_object_;
  // The number of a version whose write may have taken effect.
  std::uint64_t pending_ = 0;
  std::optional<ChangeResult> result_;
};

}  // namespace gentianreach::settings

#endif  // SRC_SETTINGS_SETTINGS_STORE_H_
