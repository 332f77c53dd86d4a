// The part of the store watcher that passes changes on to other daemons and
// takes theirs.
#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/gzip.h"
#include "base/json_text.h"
#include "base/log.h"
#include "base/merge_patch.h"
#include "entry/store_watcher.h"

namespace gentianreach::entry {
namespace {

// Limit of the decompressed changes. A copy of all objects of one kind has
// about 100 KB with 230 servers.
constexpr std::size_t kMaxRelayedBytes = 64 << 20;

}  // namespace

nlohmann::json StoreWatcher::EncodeChange(const platform::Object* before,
                                          const platform::Object& object) {
  nlohmann::json entry = {{"name", object.name},
                          {"revision", object.revision},
                          {"deleted", object.deleted}};
  if (object.deleted) {
    return entry;
  }
  std::optional<nlohmann::json> patch;
  if (before != nullptr) {
    patch = MakeMergePatch(before->document, object.document);
  }
  if (patch) {
    entry["from"] = before->revision;
    entry["patch"] = *std::move(patch);
  } else {
    entry["object"] = object.document;
  }
  return entry;
}

const std::string& StoreWatcher::ChangesSince(std::uint64_t since) {
  const std::uint64_t at = std::max(revision_, changed_at_);
  if (!response_.empty() && response_since_ == since && response_at_ == at &&
      response_digest_ == digest_) {
    return response_;
  }
  response_since_ = since;
  response_at_ = at;
  response_digest_ = digest_;
  const bool full = since == 0 || since < changes_from_ || since > at;
  std::string entries;
  const auto append = [&entries](const std::string& entry) {
    if (!entries.empty()) {
      entries += ',';
    }
    entries += entry;
  };
  if (full) {
    for (const auto& [name, it] : objects_) {
      append(ToJsonText(EncodeChange(nullptr, it)));
    }
  } else {
    for (const Change& it : changes_) {
      if (it.revision > since) {
        append(it.entry);
      }
    }
  }
  std::string text = nlohmann::json{
      {"revision", at},
      {"digest", digest_},
      {"listed", listed_},
      {"whole", full}}.dump();
  // The entries are JSON already.
  text.back() = ',';
  text += "\"objects\":[" + entries + "]}";
  response_ = Compress(text);
  return response_;
}

bool StoreWatcher::HasStateOf(const nlohmann::json& entry,
                              const platform::Object* known,
                              std::uint64_t complete_to) {
  // A removal may bear the revision of the last change of the object.
  if (entry.at("deleted").get<bool>()) {
    return false;
  }
  const auto revision = entry.at("revision").get<std::uint64_t>();
  // An object that a complete copy lacks has been removed since.
  return revision <= (known == nullptr ? complete_to : known->revision);
}

std::optional<platform::Object> StoreWatcher::DecodeEntry(
    nlohmann::json& entry,
    const platform::Object* known) {
  platform::Object object{entry.at("name").get<std::string>(),
                          entry.at("revision").get<std::uint64_t>(),
                          entry.at("deleted").get<bool>(),
                          {}};
  if (entry.contains("object")) {
    object.document = std::move(entry.at("object"));
    return object;
  }
  if (object.deleted) {
    return object;
  }
  if (known == nullptr ||
      known->revision != entry.at("from").get<std::uint64_t>()) {
    return std::nullopt;
  }
  object.document = known->document;
  object.document.merge_patch(entry.at("patch"));
  return object;
}

void StoreWatcher::LogUnusableChanges(std::string_view error) const {
  Log(LogLevel::kWarning, "relayed_changes_unusable",
      {{"kind", platform::ToString(kind_)}, {"error", error}});
}

std::optional<nlohmann::json> StoreWatcher::DecodeChanges(
    const std::string& changes) const {
  const auto text = Decompress(changes, kMaxRelayedBytes);
  if (!text) {
    LogUnusableChanges("cannot be decompressed");
    return std::nullopt;
  }
  auto decoded = nlohmann::json::parse(*text, nullptr, false);
  if (decoded.is_discarded()) {
    LogUnusableChanges("not JSON");
    return std::nullopt;
  }
  return decoded;
}

bool StoreWatcher::ApplyChanges(const std::string& changes,
                                std::optional<std::uint64_t> via_digest) {
  auto decoded = DecodeChanges(changes);
  try {
    return decoded && ApplyDecodedChanges(*std::move(decoded), via_digest);
  } catch (const nlohmann::json::exception& error) {
    LogUnusableChanges(error.what());
    return false;
  }
}

bool StoreWatcher::ReplaceCopy(const std::string& changes,
                               std::uint64_t digest) {
  auto decoded = DecodeChanges(changes);
  try {
    return decoded && ReplaceByDecoded(*std::move(decoded), digest);
  } catch (const nlohmann::json::exception& error) {
    LogUnusableChanges(error.what());
    return false;
  }
}

std::vector<platform::Object> StoreWatcher::DecodeObjects(
    nlohmann::json& entries) const {
  std::vector<platform::Object> objects;
  for (auto& it : entries) {
    if (auto object = DecodeEntry(it, Find(it.at("name").get<std::string>()))) {
      objects.push_back(*std::move(object));
    }
  }
  return objects;
}

bool StoreWatcher::ReplaceByDecoded(nlohmann::json changes,
                                    std::uint64_t digest) {
  if (!changes.at("whole").get<bool>() || !changes.at("listed").get<bool>() ||
      changes.value("digest", ~digest) != digest) {
    return false;
  }
  const auto revision = changes.at("revision").get<std::uint64_t>();
  const auto objects = DecodeObjects(changes.at("objects"));
  Log(LogLevel::kWarning, "copy_replaced",
      {{"kind", platform::ToString(kind_)},
       {"revision", revision},
       {"before", revision_}});
  // A call in flight is of the revision before.
  const bool dropped = in_flight_;
  DropCall();
  if (dropped) {
    list_due_ = source_ == WatchSource::kStore;
    timer_.Set(loop_.Now());
  }
  FollowFrom(revision);
  ++outside_changes_;
  ApplyList(objects, revision);
  return digest_ == digest;
}

bool StoreWatcher::Contains(std::uint64_t digest) const {
  return digest_ == digest ||
         std::ranges::find(earlier_digests_, digest) != earlier_digests_.end();
}

bool StoreWatcher::IsAsStated(const nlohmann::json& changes) const {
  // Earlier versions state no digest.
  if (!changes.contains("digest")) {
    return true;
  }
  const auto revision = changes.at("revision").get<std::uint64_t>();
  const bool ahead = std::ranges::any_of(
      objects_, [&](const auto& it) { return it.second.revision > revision; });
  return ahead || changes.at("digest").get<std::uint64_t>() == digest_;
}

StoreWatcher::DecodedChanges StoreWatcher::DecodeNewer(
    nlohmann::json& entries,
    std::optional<std::uint64_t> via_digest) const {
  DecodedChanges decoded;
  std::uint64_t reached = digest_;
  // Positions in `decoded.changes`: a later entry may be a patch of an earlier
  // one.
  std::map<std::string, std::size_t, std::less<>> positions;
  for (auto& it : entries) {
    try {
      const auto name = it.at("name").get<std::string>();
      const auto position = positions.find(name);
      const bool is_first = position == positions.end();
      const platform::Object* known =
          is_first ? Find(name) : &decoded.changes[position->second].object;
      const std::uint64_t known_digest =
          !is_first          ? decoded.changes[position->second].digest
          : known == nullptr ? 0
                             : object_digests_.at(name);
      if (known != nullptr && known->deleted) {
        known = nullptr;
      }
      if (HasStateOf(it, known, revision_)) {
        continue;
      }
      auto object = DecodeEntry(it, known);
      if (!object) {
        decoded.misfit = {&it, "patch of another revision"};
        return decoded;
      }
      if (!IsNewer(*object, known)) {
        continue;
      }
      const std::uint64_t digest = DigestOf(*object);
      reached += digest - known_digest;
      decoded.leads_via = decoded.leads_via || reached == via_digest;
      positions[name] = decoded.changes.size();
      decoded.changes.push_back({*std::move(object), digest});
    } catch (const nlohmann::json::exception& error) {
      decoded.misfit = {&it, error.what()};
      return decoded;
    }
  }
  // Also if there was nothing to change.
  decoded.leads_via = decoded.leads_via || reached == via_digest;
  return decoded;
}

bool StoreWatcher::ApplyDecodedChanges(
    nlohmann::json changes,
    std::optional<std::uint64_t> via_digest) {
  const auto revision = changes.at("revision").get<std::uint64_t>();
  const bool full = changes.at("whole").get<bool>();
  // Changes of a daemon whose copy is older than this one are ignored.
  if (!changes.at("listed").get<bool>() || revision < revision_ ||
      (!full && !listed_)) {
    return false;
  }
  if (full) {
    if (listed_ && via_digest &&
        changes.value("digest", ~*via_digest) != *via_digest) {
      return false;
    }
    ++outside_changes_;
    ApplyList(DecodeObjects(changes.at("objects")), revision);
    return true;
  }
  DecodedChanges decoded = DecodeNewer(changes.at("objects"), via_digest);
  if (decoded.misfit.entry != nullptr) {
    Log(LogLevel::kWarning, "relayed_change_misfits",
        {{"kind", platform::ToString(kind_)},
         {"change",
          decoded.misfit.entry->dump(-1, ' ', false,
                                     nlohmann::json::error_handler_t::replace)},
         {"why", decoded.misfit.why},
         {"revision", revision}});
  }
  if (via_digest && !decoded.leads_via) {
    return false;
  }
  ++outside_changes_;
  revision_ = revision;
  std::vector<platform::Object> changed;
  changed.reserve(decoded.changes.size());
  for (auto& it : decoded.changes) {
    RecordChange(it.object, it.digest, revision, ChangeForm::kPatch);
    changed.push_back(std::move(it.object));
  }
  if (decoded.misfit.entry != nullptr) {
    needs_full_copy_ = true;
  }
  if (!needs_full_copy_ && !IsAsStated(changes)) {
    Log(LogLevel::kWarning, "copies_differ",
        {{"kind", platform::ToString(kind_)}, {"revision", revision_}});
    needs_full_copy_ = true;
  }
  if (!changed.empty()) {
    sink_.on_events(changed);
  }
  return !needs_full_copy_;
}

}  // namespace gentianreach::entry
