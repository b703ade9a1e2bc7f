#include "state_machine/replicated_state.hpp"

#include "state_machine/delta.hpp"
#include "transport/avro.hpp"

namespace zc {
namespace {
constexpr std::size_t kEarlierConfigurations = 3;  // kept for receivers that were away

// A snapshot begins with its format. Version 1 had no such mark: it began with a boolean, a byte 0 or 1.
constexpr std::string_view kFormatFamily = "zcstate";
constexpr std::string_view kFormat = "zcstate2";

struct SnapshotRecord {
  std::int64_t num = 0, term = 0, version = 0;
  std::string configuration, digest;
  // For one receiver: its configuration is this difference from what it holds (empty: the very same).
  bool partial = false;
  std::string difference;
  std::vector<Runner> runners;
  std::vector<Closure> closures;
  std::string taken, operations, endedRunners;  // packed
  std::int64_t forgottenVersion = 0;
  template <class V>
  void fields(V& v) {
    v("num", num), v("term", term), v("version", version), v("configuration", configuration), v("digest", digest);
    v("partial", partial), v("difference", difference), v("runners", runners), v("closures", closures);
    v("taken", taken), v("forgottenVersion", forgottenVersion);
    v("operations", operations), v("endedRunners", endedRunners);
  }
};
struct TakenVersion1 {
  std::int64_t version = 0;
  std::string digest;
  template <class V>
  void fields(V& v) {
    v("version", version), v("digest", digest);
  }
};
struct OperationVersion1 {
  std::string opId;
  std::int32_t verdict = 0;
  template <class V>
  void fields(V& v) {
    v("opId", opId), v("verdict", verdict);
  }
};
struct SnapshotVersion1 {
  std::int64_t num = 0, term = 0, version = 0;
  std::string configuration, digest;
  std::vector<TakenVersion1> taken;
  std::vector<Runner> runners;
  std::vector<std::string> gone;
  std::vector<OperationVersion1> done;
  std::vector<Closure> closures;
  bool partial = false;
  std::string difference;
  template <class V>
  void fields(V& v) {
    v("partial", partial), v("difference", difference);
    v("num", num), v("term", term), v("version", version), v("configuration", configuration), v("digest", digest);
    v("taken", taken), v("runners", runners), v("gone", gone), v("done", done), v("closures", closures);
  }
};
SnapshotRecord fromVersion1(SnapshotVersion1 old) {
  SnapshotRecord record;
  record.num = old.num;
  record.term = old.term;
  record.version = old.version;
  record.configuration = std::move(old.configuration);
  record.digest = std::move(old.digest);
  record.partial = old.partial;
  record.difference = std::move(old.difference);
  record.runners = std::move(old.runners);
  record.closures = std::move(old.closures);
  TakenConfigurations taken;
  for (auto& t : old.taken)
    taken.note(t.version, t.digest);
  // Version 1 kept 64: what was taken before those is not known.
  constexpr std::size_t kMostVersion1 = 64;
  record.forgottenVersion = old.taken.size() < kMostVersion1 ? 0 : old.taken.front().version - 1;
  record.taken = taken.pack();
  OperationHistory operations;
  for (auto& o : old.done)
    operations.note(o.opId, o.verdict);
  record.operations = operations.pack();
  EndedRunners ended;
  for (auto& id : old.gone)
    ended.note(id);
  record.endedRunners = ended.pack();
  return record;
}
Outcome<SnapshotRecord> decodeSnapshot(std::string_view snapshot) {
  if (snapshot.substr(0, kFormat.size()) == kFormat)
    return avro::decode<SnapshotRecord>(snapshot.substr(kFormat.size()));
  if (snapshot.substr(0, kFormatFamily.size()) == kFormatFamily)
    return fault(0, "a snapshot of another format version");
  auto old = avro::decode<SnapshotVersion1>(snapshot);
  if (!old)
    return tl::unexpected(old.error());
  return fromVersion1(std::move(*old));
}
SnapshotRecord recordOf(const StateContents& contents) {
  SnapshotRecord record;
  record.num = contents.num;
  record.term = contents.term;
  record.version = contents.version;
  record.configuration = contents.configuration;
  record.digest = contents.digest;
  record.runners = contents.runners;
  record.closures = contents.closures;
  record.taken = contents.taken.pack();
  record.forgottenVersion = contents.taken.forgottenVersion();
  record.operations = contents.operations.pack();
  record.endedRunners = contents.endedRunners.pack();
  return record;
}
std::string encodeSnapshot(SnapshotRecord record) {
  return std::string(kFormat) + avro::encode(std::move(record));
}
// Declined: numbers that no copy can hold.
Outcome<void> checkNumbers(const SnapshotRecord& record) {
  if (record.num < 0 || record.term < 0 || record.version < 0 || record.forgottenVersion < 0)
    return fault(0, "a snapshot with a number below zero");
  for (auto& r : record.runners)
    if (r.at() != RunnerState::inService && r.at() != RunnerState::draining)
      return fault(0, "a snapshot with a runner in no known state");
  return {};
}
// Everything but the configuration.
Outcome<StateContents> contentsOf(SnapshotRecord& record) {
  if (auto ok = checkNumbers(record); !ok)
    return tl::unexpected(ok.error());
  auto taken = TakenConfigurations::unpack(record.taken, record.forgottenVersion);
  if (!taken)
    return tl::unexpected(taken.error());
  auto operations = OperationHistory::unpack(record.operations);
  if (!operations)
    return tl::unexpected(operations.error());
  auto ended = EndedRunners::unpack(record.endedRunners);
  if (!ended)
    return tl::unexpected(ended.error());
  StateContents contents;
  contents.num = record.num;
  contents.term = record.term;
  contents.version = record.version;
  contents.digest = record.digest;
  contents.runners = std::move(record.runners);
  contents.closures = std::move(record.closures);
  contents.taken = std::move(*taken);
  contents.operations = std::move(*operations);
  contents.endedRunners = std::move(*ended);
  return contents;
}
// The configuration that a snapshot means, for a receiver that holds `held`.
Outcome<std::string> configurationOf(SnapshotRecord& record, const StateContents& held) {
  if (!record.partial) {
    const bool none = record.version == 0 && record.digest.empty() && record.configuration.empty();
    if (!none && digestOf(record.configuration) != record.digest)
      return fault(0, "a snapshot whose configuration is not what its digest says");
    return std::move(record.configuration);
  }
  if (!record.difference.empty())
    return applyDelta(held.configuration, held.digest, record.difference, record.digest);
  if (held.digest.empty() || record.digest != held.digest)
    return fault(0, "a snapshot without the configuration, for a copy that holds another");
  return held.configuration;
}
// A configuration's operation id carries its version, so that the numbered acknowledgement of a large write stays
// small.
std::int64_t versionIn(const Entry& e) {
  const auto at = e.opId.rfind('@');
  return at == std::string::npos ? 0 : std::atoll(e.opId.c_str() + at + 1);
}
}  // namespace

std::int32_t ReplicatedState::judge(std::int64_t base, std::int64_t version, const std::string& digest) const {
  if (contents_.taken.contains(version, digest))
    return kAcknowledged;
  if (base == contents_.version)
    return version <= contents_.version ? kInvalid : kUndecided;
  // Why above its base only: no other order can ever have been taken.
  if (version > base && contents_.taken.mayBeForgotten(version))
    return kNoClearAnswer;
  return kOtherVersion;
}
ReplicatedState::Change ReplicatedState::apply(const Entry& e) {
  Change change;
  contents_.num = e.num;
  contents_.term = e.term;
  // A write that came twice is one write.
  if (!e.opId.empty() && verdictOf(e.opId))
    return change;
  std::int32_t verdict = kAcknowledged;
  if (e.op() == OpKind::configuration || e.op() == OpKind::difference)
    verdict = applyConfiguration(e, change);
  else if (e.op() == OpKind::closure)
    applyClosure(e, change);
  else if (e.op() == OpKind::runner)
    applyRunner(e, change);
  if (!e.opId.empty())
    contents_.operations.note(e.opId, verdict);
  return change;
}
std::int32_t ReplicatedState::applyConfiguration(const Entry& e, Change& change) {
  const auto version = versionIn(e);
  const auto verdict = judge(e.base, version, e.digest);
  if (verdict != kUndecided)
    return verdict;
  change.configuration = true;
  if (e.op() == OpKind::configuration) {
    take(version, e.digest, e.blob);
  } else if (auto body = applyDelta(contents_.configuration, contents_.digest, e.blob, e.digest)) {
    take(version, e.digest, std::move(*body));
  } else {
    // Why the version all the same: the numbered writes say that it was taken; only the text is missing here.
    take(version, e.digest, {});
    damage();
    change.damaged = true;
  }
  return kAcknowledged;
}
void ReplicatedState::applyClosure(const Entry& e, Change& change) {
  auto closure = avro::decode<Closure>(e.blob);
  if (!closure)
    return;
  std::erase_if(contents_.closures, [&](auto& other) { return other.place == closure->place; });
  if (e.base == 0)
    contents_.closures.push_back(std::move(*closure));
  change.closures = true;
}
void ReplicatedState::applyRunner(const Entry& e, Change& change) {
  auto news = avro::decode<Runner>(e.blob);
  if (!news)
    return;
  auto& runners = contents_.runners;
  const auto known = std::find_if(runners.begin(), runners.end(), [&](auto& r) { return r.id == news->id; });
  if (news->at() == RunnerState::gone) {
    // Why sequence 0 ends nothing: a runner only missed may beat again, one that left may not.
    if (news->sequence != 0)
      contents_.endedRunners.note(news->id);
    if (known != runners.end())
      removeRunner(Runner(*known));
    change.runners = true;
  } else if (!isGone(news->id)) {
    if (known == runners.end())
      joinRunner(std::move(*news), change);
    else
      updateRunner(*known, std::move(*news), change);
  }
}
void ReplicatedState::removeRunner(const Runner& ended) {
  // One that said that it leaves is not taken back, however it went: a late beat of it would bring requests again.
  if (ended.at() == RunnerState::draining)
    contents_.endedRunners.note(ended.id);
  std::erase_if(contents_.runners, [&](auto& r) { return r.id == ended.id; });
}
void ReplicatedState::joinRunner(Runner joining, Change& change) {
  // A new life at an address ends whatever lived there.
  std::vector<Runner> before;
  for (auto& r : contents_.runners)
    if (r.address == joining.address)
      before.push_back(r);
  for (auto& r : before)
    removeRunner(r);
  contents_.runners.push_back(std::move(joining));
  change.runners = true;
}
void ReplicatedState::updateRunner(Runner& known, Runner update, Change& change) {
  if (update.sequence < known.sequence)
    return;
  const bool draining = known.at() == RunnerState::draining;
  known = std::move(update);
  if (draining)
    known.state = static_cast<std::int32_t>(RunnerState::draining);
  change.runners = true;
}
void ReplicatedState::take(std::int64_t version, std::string digest, std::string body) {
  rememberConfiguration();
  contents_.taken.note(version, digest);
  contents_.version = version;
  contents_.digest = std::move(digest);
  contents_.configuration = std::move(body);
}
void ReplicatedState::rememberConfiguration() {
  if (!contents_.digest.empty())
    earlier_.emplace_back(std::move(contents_.digest), std::move(contents_.configuration));
  if (earlier_.size() > kEarlierConfigurations)
    earlier_.pop_front();
}
std::string ReplicatedState::snapshot() const {
  return encodeSnapshot(recordOf(contents_));
}
std::string ReplicatedState::snapshotFor(const std::string& held) const {
  auto record = recordOf(contents_);
  const auto newest = contents_.taken.newestOnly();
  record.taken = newest.pack();
  record.forgottenVersion = newest.forgottenVersion();
  record.operations = contents_.operations.withoutVerdicts().pack();
  if (held.empty() || contents_.digest.empty())
    return encodeSnapshot(std::move(record));
  if (held != contents_.digest) {
    const auto it = std::find_if(earlier_.begin(), earlier_.end(), [&](auto& e) { return e.first == held; });
    if (it == earlier_.end())
      return encodeSnapshot(std::move(record));
    record.difference = deltaOf(it->second, held, contents_.configuration, contents_.digest);
    if (record.difference.size() > contents_.configuration.size() / 2) {
      record.difference.clear();
      return encodeSnapshot(std::move(record));
    }
  }
  record.configuration.clear();
  record.partial = true;
  return encodeSnapshot(std::move(record));
}
Outcome<void> ReplicatedState::restore(std::string_view snapshot) {
  if (snapshot.empty()) {
    contents_ = {};
    earlier_.clear();
    return {};
  }
  auto record = decodeSnapshot(snapshot);
  if (!record)
    return tl::unexpected(record.error());
  auto restored = contentsOf(*record);
  if (!restored)
    return tl::unexpected(restored.error());
  auto configuration = configurationOf(*record, contents_);
  if (!configuration)
    return tl::unexpected(configuration.error());
  if (contents_.digest != restored->digest)
    rememberConfiguration();
  contents_ = std::move(*restored);
  contents_.configuration = std::move(*configuration);
  return {};
}
std::optional<std::int32_t> ReplicatedState::verdictOf(const std::string& operationId) const {
  return contents_.operations.verdictOf(operationId);
}
const Runner* ReplicatedState::runner(const std::string& id) const {
  for (auto& r : contents_.runners)
    if (r.id == id)
      return &r;
  return nullptr;
}
bool ReplicatedState::isGone(const std::string& id) const {
  return contents_.endedRunners.contains(id);
}

Entry configurationOp(std::int64_t base, std::int64_t version, std::string body, std::string opId) {
  Entry e;
  e.kind = static_cast<std::int32_t>(OpKind::configuration);
  e.base = base;
  e.digest = digestOf(body);
  e.blob = std::move(body);
  e.opId = std::move(opId) + "@" + std::to_string(version);
  return e;
}
Entry changeOp(std::int64_t base, std::int64_t version, std::string body, std::string opId, const StateContents& on) {
  auto e = configurationOp(base, version, std::move(body), std::move(opId));
  // On another version it loses its race anyway; without one there is nothing to differ from.
  if (on.version != base || on.digest.empty())
    return e;
  auto d = deltaOf(on.configuration, on.digest, e.blob, e.digest);
  if (d.size() > e.blob.size() / 2)
    return e;
  e.kind = static_cast<std::int32_t>(OpKind::difference);
  e.blob = std::move(d);
  return e;
}
Entry closureOp(const Closure& c, bool open, std::string opId) {
  Entry e;
  e.kind = static_cast<std::int32_t>(OpKind::closure);
  e.base = open ? 1 : 0;
  e.blob = avro::encode(c);
  e.opId = std::move(opId);
  return e;
}
Entry runnerOp(const Runner& r, std::string opId) {
  Entry e;
  e.kind = static_cast<std::int32_t>(OpKind::runner);
  e.blob = avro::encode(r);
  e.opId = std::move(opId);
  return e;
}
}  // namespace zc
