#include "audit/audit_log.h"

#include <glib.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <memory>
#include <utility>

#include "base/log.h"

namespace gentianreach::audit {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(2);

struct ChecksumDeleter {
  void operator()(GChecksum* it) const { g_checksum_free(it); }
};

// Adds a field to the checksum, prefixed with its length, so that different
// entries never give the same input.
void UpdateChecksum(GChecksum* checksum, std::string_view field) {
  const std::string length = std::to_string(field.size()) + ":";
  g_checksum_update(checksum, reinterpret_cast<const guchar*>(length.data()),
                    static_cast<gssize>(length.size()));
  g_checksum_update(checksum, reinterpret_cast<const guchar*>(field.data()),
                    static_cast<gssize>(field.size()));
}

std::string_view LastChain(const Segment& segment) {
  return segment.entries.empty() ? segment.previous_chain
                                 : segment.entries.back()->chain;
}

std::uint64_t NumberOf(std::string_view name) {
  std::uint64_t number = 0;
  name.remove_prefix(std::min(kPrefix.size(), name.size()));
  std::from_chars(name.data(), name.data() + name.size(), number);
  return number;
}

std::size_t SizeOf(const Entry& entry) {
  // Allowance for everything but the texts: table, offsets, numbers, chain
  // value.
  constexpr std::size_t kFixedBytes = 256;
  return kFixedBytes + entry.actor.size() + entry.service.size() +
         entry.key.size() + entry.from.size() + entry.to.size() +
         entry.reason.size() + entry.id.size() + entry.kind.size();
}

// Returns whether the segment has no room for another entry of maximum size.
bool IsFull(const Segment& segment) {
  constexpr std::size_t kMaxEntryBytes = 8 * kMaxFieldBytes;
  std::size_t bytes = kMaxEntryBytes;
  for (const auto& it : segment.entries) {
    bytes += SizeOf(*it);
  }
  return segment.entries.size() >= kMaxEntries || bytes > kMaxSegmentBytes;
}

void TruncateTexts(Entry* entry) {
  for (std::string* it : {&entry->actor, &entry->service, &entry->key,
                          &entry->from, &entry->to, &entry->reason}) {
    it->resize(std::min(it->size(), kMaxFieldBytes));
  }
}

}  // namespace

std::string SegmentName(std::uint64_t number) {
  std::array<char, 32> buf{};
  // Fixed width, so that the store's order by name is the order by number.
  std::snprintf(buf.data(), buf.size(), "%08llu",
                static_cast<unsigned long long>(number));
  return std::string(kPrefix) + buf.data();
}

std::string Encode(const Segment& segment) {
  flatbuffers::FlatBufferBuilder fbb;
  fbb.Finish(stored::AuditSegment::Pack(fbb, &segment));
  return {reinterpret_cast<const char*>(fbb.GetBufferPointer()), fbb.GetSize()};
}

std::optional<Segment> Decode(std::string_view bytes) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!verifier.VerifyBuffer<stored::AuditSegment>(nullptr)) {
    return std::nullopt;
  }
  Segment segment;
  flatbuffers::GetRoot<stored::AuditSegment>(data)->UnPackTo(&segment);
  return segment;
}

std::string ChainOf(std::string_view previous, const Entry& entry) {
  const std::unique_ptr<GChecksum, ChecksumDeleter> checksum(
      g_checksum_new(G_CHECKSUM_SHA256));
  UpdateChecksum(checksum.get(), previous);
  for (const std::uint64_t it :
       {entry.number, static_cast<std::uint64_t>(entry.time_ms),
        entry.version}) {
    UpdateChecksum(checksum.get(), std::to_string(it));
  }
  for (const std::string* it :
       {&entry.id, &entry.actor, &entry.kind, &entry.service, &entry.key,
        &entry.from, &entry.to, &entry.reason}) {
    UpdateChecksum(checksum.get(), *it);
  }
  return g_checksum_get_string(checksum.get());
}

std::vector<Gap> Verify(const std::vector<Segment>& segments) {
  std::vector<Gap> gaps;
  const Segment* previous_segment = nullptr;
  std::uint64_t last_number = 0;
  for (const Segment& it : segments) {
    if (previous_segment != nullptr &&
        it.number != previous_segment->number + 1) {
      gaps.push_back({it.number, 0, "a segment is missing before this one"});
    } else if (previous_segment != nullptr &&
               it.previous_chain != LastChain(*previous_segment)) {
      gaps.push_back(
          {it.number, 0, "the chain does not continue the previous segment"});
    }
    std::string chain = it.previous_chain;
    for (const auto& entry : it.entries) {
      if (last_number != 0 && entry->number != last_number + 1) {
        gaps.push_back({it.number, entry->number, "entries are missing"});
      }
      chain = ChainOf(chain, *entry);
      if (chain != entry->chain) {
        gaps.push_back({it.number, entry->number, "the chain is broken"});
        chain = entry->chain;
      }
      last_number = entry->number;
    }
    previous_segment = &it;
  }
  return gaps;
}

bool Matches(const Filter& filter, const Entry& entry) {
  const WallTime time{std::chrono::milliseconds(entry.time_ms)};
  const auto fits = [](const std::string& wanted, const std::string& value) {
    return wanted.empty() || wanted == value;
  };
  return (!filter.since || time >= *filter.since) &&
         (!filter.until || time <= *filter.until) &&
         fits(filter.service, entry.service) && fits(filter.key, entry.key) &&
         fits(filter.actor, entry.actor);
}

std::string LogLine(const Entry& entry) {
  const std::array fields = {
      LogField("kind", entry.kind),       LogField("actor", entry.actor),
      LogField("service", entry.service), LogField("key", entry.key),
      LogField("from", entry.from),       LogField("to", entry.to),
      LogField("reason", entry.reason),   LogField("version", entry.version)};
  return FormatFields("audit", fields);
}

void AuditAppender::Add(Entry entry) {
  TruncateTexts(&entry);
  entry.id = writer_ + "-" + std::to_string(++last_id_);
  pending_.push_back(std::move(entry));
  if (pending_.size() > kMaxPending) {
    pending_.pop_front();
    ++dropped_;
  }
}

std::optional<store::Call> AuditAppender::Poll(TimePoint now) {
  if (reply_pending_ || pending_.empty() || now < backoff_.until()) {
    return std::nullopt;
  }
  store::Call call;
  call.deadline = now + kCallTimeout;
  switch (step_) {
    case Step::kList:
      call.kind = store::CallKind::kList;
      call.name = std::string(kPrefix);
      break;
    case Step::kRead:
      call.kind = store::CallKind::kRead;
      call.name = SegmentName(segment_number_);
      break;
    case Step::kWrite:
      PrepareWrite();
      call.kind = store::CallKind::kWrite;
      call.name = SegmentName(segment_number_);
      call.expected = object_;
      call.bytes = Encode(next_);
      break;
  }
  reply_pending_ = true;
  return call;
}

void AuditAppender::OnReply(const store::Reply& reply, TimePoint now) {
  reply_pending_ = false;
  const bool failed = reply.status == store::Status::kUnavailable ||
                      reply.status == store::Status::kUnknown;
  if (failed) {
    backoff_.Fail(now);
  } else {
    backoff_.Reset();
  }
  switch (step_) {
    case Step::kList:
      return OnList(reply);
    case Step::kRead:
      return OnRead(reply, now);
    case Step::kWrite:
      return OnWritten(reply);
  }
}

void AuditAppender::OnList(const store::Reply& reply) {
  if (reply.status != store::Status::kOk) {
    return;
  }
  segment_number_ = reply.names.empty() ? 0 : NumberOf(reply.names.back());
  step_ = Step::kRead;
}

void AuditAppender::OnRead(const store::Reply& reply, TimePoint now) {
  if (reply.status == store::Status::kAbsent) {
    if (last_.number + 1 != segment_number_ && segment_number_ != 0) {
      // Other writers changed the trail since: look up its end again.
      step_ = Step::kList;
      return;
    }
    object_.reset();
    step_ = Step::kWrite;
    return;
  }
  if (reply.status != store::Status::kOk) {
    return;
  }
  auto segment = Decode(reply.bytes);
  if (!segment) {
    // Continue after a corrupt segment with a new chain. Verify() reports the
    // gap.
    Segment damaged;
    damaged.number = segment_number_;
    last_ = std::move(damaged);
    StartNextSegment();
    backoff_.Fail(now);
    return;
  }
  object_ = reply.version;
  last_ = *std::move(segment);
  RemoveWritten(last_);
  step_ = Step::kWrite;
  if (IsFull(last_)) {
    StartNextSegment();
  }
}

void AuditAppender::StartNextSegment() {
  // Another writer may have created it already, so it is read first.
  ++segment_number_;
  object_.reset();
  step_ = Step::kRead;
}

void AuditAppender::RemoveWritten(const Segment& segment) {
  std::erase_if(pending_, [&](const Entry& waiting) {
    return std::ranges::any_of(
        segment.entries, [&](const auto& it) { return it->id == waiting.id; });
  });
}

void AuditAppender::PrepareWrite() {
  next_ = Segment();
  next_.number = segment_number_;
  if (object_) {
    next_ = last_;
  } else if (segment_number_ != 0) {
    next_.previous_chain = LastChain(last_);
  }
  std::string chain(LastChain(next_));
  std::uint64_t number =
      last_.entries.empty() ? 0 : last_.entries.back()->number;
  for (const Entry& it : pending_) {
    if (IsFull(next_)) {
      break;
    }
    auto entry = std::make_unique<Entry>(it);
    entry->number = ++number;
    entry->chain = ChainOf(chain, *entry);
    chain = entry->chain;
    next_.entries.push_back(std::move(entry));
  }
}

void AuditAppender::OnWritten(const store::Reply& reply) {
  if (reply.status == store::Status::kOk) {
    object_ = reply.version;
    last_ = std::exchange(next_, {});
    RemoveWritten(last_);
    if (IsFull(last_)) {
      StartNextSegment();
    }
    return;
  }
  if (reply.status != store::Status::kUnavailable) {
    // Another writer wrote the segment first, or the reply to this write was
    // lost.
    step_ = Step::kRead;
  }
}

}  // namespace gentianreach::audit
