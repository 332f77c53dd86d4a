// The audit trail: who changed what, when, the old and new values, and why.
//
// Entries are kept in segments of bounded size, the store objects
// `audit/NNNNNNNN`. The chain value of an entry is the SHA-256 of the previous
// entry's chain value and its own fields, so that an entry that is altered,
// removed or inserted later breaks the chain.
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
// Limits of one segment.
inline constexpr std::size_t kMaxEntries = 256;
inline constexpr std::size_t kMaxSegmentBytes = 256 * 1024;
// Limit of one text field of an entry; longer texts are truncated.
inline constexpr std::size_t kMaxFieldBytes = 4096;
// Limit of the entries waiting to be written; beyond it the oldest are dropped.
inline constexpr std::size_t kMaxPending = 10'000;

using Entry = stored::AuditEntryT;
using Segment = stored::AuditSegmentT;

// Returns the object name of segment `number`; numbers start at 0.
[[nodiscard]] std::string SegmentName(std::uint64_t number);
// Returns the encoded segment.
[[nodiscard]] std::string Encode(const Segment& segment);
// Returns the segment in `bytes`, or nullopt if they are corrupt.
[[nodiscard]] std::optional<Segment> Decode(std::string_view bytes);
// Returns the chain value of `entry` in hexadecimal; `previous` is that of the
// entry before.
[[nodiscard]] std::string ChainOf(std::string_view previous,
                                  const Entry& entry);

// A place where segments or entries are missing or the chain is broken.
struct Gap {
  std::uint64_t segment = 0;
  std::uint64_t entry = 0;
  std::string message;
};

// Returns the gaps in `segments`, which are sorted by number. The first one may
// have any number, since old segments may have been deleted; the others must
// follow without a gap.
[[nodiscard]] std::vector<Gap> Verify(const std::vector<Segment>& segments);

// Selection of entries; empty fields match all entries.
struct Filter {
  std::optional<WallTime> since;
  std::optional<WallTime> until;
  std::string service;
  std::string key;
  std::string actor;
};

// Returns whether `filter` selects `entry`.
[[nodiscard]] bool Matches(const Filter& filter, const Entry& entry);

// Returns the entry formatted as key=value pairs for the log.
[[nodiscard]] std::string LogLine(const Entry& entry);

// Appends entries to the trail in batches, with conditional writes. Several
// processes may append concurrently. Deterministic; the caller makes the store
// calls.
class AuditAppender {
 public:
  // `writer` is the prefix of entry IDs. It must be unique to this incarnation
  // of the process.
  explicit AuditAppender(std::string writer) : writer_(std::move(writer)) {}

  // Queues an entry. The appender sets its number, ID and chain value.
  void Add(Entry entry);

  // Returns the call to make now, or nullopt while a reply is pending, no entry
  // waits, or before RetryAt().
  [[nodiscard]] std::optional<store::Call> Poll(TimePoint now);
  // Handles the reply to the last call.
  void OnReply(const store::Reply& reply, TimePoint now);

  [[nodiscard]] TimePoint RetryAt() const { return backoff_.until(); }
  // Returns the number of entries that are not yet known to be written.
  [[nodiscard]] std::size_t pending() const { return pending_.size(); }
  // Returns the number of entries dropped because of kMaxPending.
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  enum class Step : std::uint8_t { kList, kRead, kWrite };

  void OnList(const store::Reply& reply);
  void OnRead(const store::Reply& reply, TimePoint now);
  void OnWritten(const store::Reply& reply);
  // Removes entries from the queue that the segment already contains.
  void RemoveWritten(const Segment& segment);
  // Builds `next_`: the last or a new segment with waiting entries appended.
  void PrepareWrite();
  void StartNextSegment();

  std::string writer_;
  std::uint64_t last_id_ = 0;
  std::uint64_t dropped_ = 0;
  std::deque<Entry> pending_;
  Step step_ = Step::kList;
  bool reply_pending_ = false;
  store::Backoff backoff_;
  std::uint64_t segment_number_ = 0;
  // The last segment as stored (and its version), and the segment to write.
  std::optional<ObjectVersion> object_;
  Segment last_;
  Segment next_;
};

}  // namespace gentianreach::audit

#endif  // SRC_AUDIT_AUDIT_LOG_H_
