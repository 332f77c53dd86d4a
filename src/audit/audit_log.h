// The audit trail: who changed what, when, from what to what, and why.
//
// Entries stand in bounded store objects `audit/NNNN`, each chained to the one
// before by SHA-256 over the earlier chain and its own fields. An entry that
// is altered, left out or added later breaks the chain.
#ifndef SRC_AUDIT_AUDIT_LOG_H_
#define SRC_AUDIT_AUDIT_LOG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gentianreach/time.h"
#include "store/store_call.h"
#include "stored_settings_generated.h"

namespace gentianreach::audit {

inline constexpr std::string_view kPrefix = "audit/";
// Bounds of one object.
inline constexpr std::size_t kMaxEntries = 256;
inline constexpr std::size_t kMaxSegmentBytes = 256 * 1024;
// Bound of one text field of an entry; longer ones are cut.
inline constexpr std::size_t kMaxFieldBytes = 4096;
// Entries that wait to be written; beyond it the oldest are given up.
inline constexpr std::size_t kMaxPending = 10'000;

using Entry = stored::AuditEntryT;
using Segment = stored::AuditSegmentT;

// Returns the name of segment `number`, counted from 0.
[[nodiscard]] std::string SegmentName(std::uint64_t number);
// Returns the segment's bytes.
[[nodiscard]] std::string Encode(const Segment& segment);
// Returns the segment in `bytes`, or nothing where they are damaged.
[[nodiscard]] std::optional<Segment> Decode(std::string_view bytes);
// Returns the chain value of `entry` after `previous`, in hexadecimal.
[[nodiscard]] std::string ChainOf(std::string_view previous,
                                  const Entry& entry);

// A place where the trail does not hold together.
struct Gap {
  std::uint64_t segment = 0;
  std::uint64_t entry = 0;
  std::string message;
};

// Checks segments in order of number. The first one may have any number, since
// old segments may have been removed; all later ones must follow.
[[nodiscard]] std::vector<Gap> Verify(const std::vector<Segment>& segments);

// What to select; empty fields select everything.
struct Filter {
  std::optional<WallTime> since;
  std::optional<WallTime> until;
  std::string service;
  std::string key;
  std::string actor;
};

// Returns whether `entry` is selected.
[[nodiscard]] bool Matches(const Filter& filter, const Entry& entry);

// Returns the entry as key=value pairs for the log.
[[nodiscard]] std::string LogLine(const Entry& entry);

// Writes entries to the trail in batches by conditional update. Several
// processes may append at once. Deterministic; makes no calls itself.
class AuditAppender {
 public:
  // `writer` is unique to this process and its incarnation; it makes entries'
  // ids.
  explicit AuditAppender(std::string writer) : writer_(std::move(writer)) {}

  // Takes an entry; its number, id and chain are set here.
  void Add(Entry entry);

  // Returns the call to make now, or nothing while a reply is due, nothing
  // waits, or RetryAt() has not come.
  [[nodiscard]] std::optional<store::Call> Poll(TimePoint now);
  // Takes the reply to the last call.
  void OnReply(const store::Reply& reply, TimePoint now);

  [[nodiscard]] TimePoint RetryAt() const { return backoff_.until(); }
  // Returns the number of entries not yet known to be written.
  [[nodiscard]] std::size_t pending() const { return pending_.size(); }
  // Returns the number of entries given up because too many waited.
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  enum class Step : std::uint8_t { kList, kRead, kWrite };

  void OnList(const store::Reply& reply);
  void OnRead(const store::Reply& reply, TimePoint now);
  void OnWritten(const store::Reply& reply);
  // Forgets waiting entries that the segment already holds.
  void DropWritten(const Segment& segment);
  // Adds waiting entries to `next_`.
  void PrepareWrite();
  void StartNextSegment();

  std::string writer_;
  std::uint64_t last_id_ = 0;
  std::uint64_t dropped_ = 0;
  std::deque<Entry> pending_;
  Step step_ = Step::kList;
  bool reply_due_ = false;
  store::Backoff backoff_;
  std::uint64_t segment_number_ = 0;
  // The last segment as in the store, and as it is to be written.
  std::optional<ObjectVersion> object_;
  Segment last_;
  Segment next_;
};

}  // namespace gentianreach::audit

#endif  // SRC_AUDIT_AUDIT_LOG_H_
