#include "state_machine/replicated_state.hpp"

#include "state_machine/delta.hpp"
#include "transport/avro.hpp"

namespace zinccleat::state_machine {
namespace {
constexpr std::size_t kEarlierConfigurations = 3;  // kept for receivers that were away

// A snapshot begins with its format. Version 1 had no such mark: it began with a boolean, a byte 0 or 1.
constexpr std::string_view kFormatFamily = "zcstate";
constexpr std::string_view kFormat = "zcstate2";

struct SnapshotRecord {
  std::int64_t index = 0, term = 0, version = 0;
  std::string configuration, digest;
  // For one receiver: its configuration is this difference from what it holds (empty: the very same).
  bool partial = false;
  std::string difference;
  std::vector<Runner> runners;
  std::vector<ZoneDrain> zoneDrains;
  std::string taken, operations, detachedRunners;  // packed
  std::int64_t forgottenVersion = 0;
  template <class V>
  void fields(V& v) {
    v("index", index), v("term", term), v("version", version), v("configuration", configuration), v("digest", digest);
    v("partial", partial), v("difference", difference), v("runners", runners), v("zoneDrains", zoneDrains);
    v("taken", taken), v("forgottenVersion", forgottenVersion);
    v("operations", operations), v("detachedRunners", detachedRunners);
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
  std::string operationId;
  std::int32_t verdict = 0;
  template <class V>
  void fields(V& v) {
    v("operationId", operationId), v("verdict", verdict);
  }
};
struct SnapshotVersion1 {
  std::int64_t index = 0, term = 0, version = 0;
  std::string configuration, digest;
  std::vector<TakenVersion1> taken;
  std::vector<Runner> runners;
  std::vector<std::string> gone;
  std::vector<OperationVersion1> done;
  std::vector<ZoneDrain> zoneDrains;
  bool partial = false;
  std::string difference;
  template <class V>
  void fields(V& v) {
    v("partial", partial), v("difference", difference);
    v("index", index), v("term", term), v("version", version), v("configuration", configuration), v("digest", digest);
    v("taken", taken), v("runners", runners), v("gone", gone), v("done", done), v("zoneDrains", zoneDrains);
  }
};
SnapshotRecord fromVersion1(SnapshotVersion1 old) {
  SnapshotRecord record;
  record.index = old.index;
  record.term = old.term;
  record.version = old.version;
  record.configuration = std::move(old.configuration);
  record.digest = std::move(old.digest);
  record.partial = old.partial;
  record.difference = std::move(old.difference);
  record.runners = std::move(old.runners);
  record.zoneDrains = std::move(old.zoneDrains);
  AcceptedConfigurations taken;
  for (auto& t : old.taken)
    taken.note(t.version, t.digest);
  // Version 1 kept 64: what was taken before those is not known.
  constexpr std::size_t kMostVersion1 = 64;
  record.forgottenVersion = old.taken.size() < kMostVersion1 ? 0 : old.taken.front().version - 1;
  record.taken = taken.pack();
  OperationDeduplication operations;
  for (auto& o : old.done)
    operations.note(o.operationId, o.verdict);
  record.operations = operations.pack();
  DetachedRunners ended;
  for (auto& id : old.gone)
    ended.note(id);
  record.detachedRunners = ended.pack();
  return record;
}
Result<SnapshotRecord> decodeSnapshot(std::string_view snapshot) {
  if (snapshot.substr(0, kFormat.size()) == kFormat)
    return avro::decode<SnapshotRecord>(snapshot.substr(kFormat.size()));
  if (snapshot.substr(0, kFormatFamily.size()) == kFormatFamily)
    return makeError(ErrorCode::corruption, "a snapshot of another format version");
  auto old = avro::decode<SnapshotVersion1>(snapshot);
  if (!old)
    return tl::unexpected(old.error());
  return fromVersion1(std::move(*old));
}
SnapshotRecord recordOf(const StateContents& contents) {
  SnapshotRecord record;
  record.index = contents.index;
  record.term = contents.term;
  record.version = contents.version;
  record.configuration = contents.configuration;
  record.digest = contents.digest;
  record.runners = contents.runners;
  record.zoneDrains = contents.zoneDrains;
  record.taken = contents.taken.pack();
  record.forgottenVersion = contents.taken.forgottenVersion();
  record.operations = contents.operations.pack();
  record.detachedRunners = contents.detachedRunners.pack();
  return record;
}
std::string encodeSnapshot(SnapshotRecord record) {
  return std::string(kFormat) + avro::encode(std::move(record));
}
// Declined: numbers that no copy can hold.
Result<void> checkNumbers(const SnapshotRecord& record) {
  if (record.index < 0 || record.term < 0 || record.version < 0 || record.forgottenVersion < 0)
    return makeError(ErrorCode::corruption, "a snapshot with a number below zero");
  for (auto& r : record.runners)
    if (r.at() != RunnerState::inService && r.at() != RunnerState::draining)
      return makeError(ErrorCode::corruption, "a snapshot with a runner in no known state");
  return {};
}
// Everything but the configuration.
Result<StateContents> contentsOf(SnapshotRecord& record) {
  if (auto ok = checkNumbers(record); !ok)
    return tl::unexpected(ok.error());
  auto taken = AcceptedConfigurations::unpack(record.taken, record.forgottenVersion);
  if (!taken)
    return tl::unexpected(taken.error());
  auto operations = OperationDeduplication::unpack(record.operations);
  if (!operations)
    return tl::unexpected(operations.error());
  auto ended = DetachedRunners::unpack(record.detachedRunners);
  if (!ended)
    return tl::unexpected(ended.error());
  StateContents contents;
  contents.index = record.index;
  contents.term = record.term;
  contents.version = record.version;
  contents.digest = record.digest;
  contents.runners = std::move(record.runners);
  contents.zoneDrains = std::move(record.zoneDrains);
  contents.taken = std::move(*taken);
  contents.operations = std::move(*operations);
  contents.detachedRunners = std::move(*ended);
  return contents;
}
// The configuration that a snapshot means, for a receiver that holds `held`.
Result<std::string> configurationOf(SnapshotRecord& record, const StateContents& held) {
  if (!record.partial) {
    const bool none = record.version == 0 && record.digest.empty() && record.configuration.empty();
    if (!none && digestOf(record.configuration) != record.digest)
      return makeError(ErrorCode::corruption, "a snapshot whose configuration is not what its digest says");
    return std::move(record.configuration);
  }
  if (!record.difference.empty())
    return applyDelta(held.configuration, held.digest, record.difference, record.digest);
  if (held.digest.empty() || record.digest != held.digest)
    return makeError(ErrorCode::corruption, "a snapshot without the configuration, for a copy that holds another");
  return held.configuration;
}
// A configuration's operation id carries its version, so that the numbered acknowledgement of a large write stays
// small.
std::int64_t versionIn(const transport::LogEntry& e) {
  const auto at = e.operationId.rfind('@');
  return at == std::string::npos ? 0 : std::atoll(e.operationId.c_str() + at + 1);
}
}  // namespace

std::int32_t ReplicatedState::evaluateReplace(std::int64_t base, std::int64_t version,
                                              const std::string& digest) const {
  if (contents_.taken.contains(version, digest))
    return kAcknowledged;
  if (base == contents_.version)
    return version <= contents_.version ? kInvalid : kAcceptable;
  // Why above its base only: no other order can ever have been taken.
  if (version > base && contents_.taken.mayBeForgotten(version))
    return kNoClearAnswer;
  return kOtherVersion;
}
ReplicatedState::Change ReplicatedState::apply(const transport::LogEntry& e) {
  Change change;
  contents_.index = e.index;
  contents_.term = e.term;
  // A write that came twice is one write.
  if (!e.operationId.empty() && outcomeOf(e.operationId))
    return change;
  std::int32_t verdict = kAcknowledged;
  if (e.op() == transport::OperationKind::configuration || e.op() == transport::OperationKind::difference)
    verdict = applyConfiguration(e, change);
  else if (e.op() == transport::OperationKind::zoneDrain)
    applyZoneDrain(e, change);
  else if (e.op() == transport::OperationKind::runner)
    applyRunner(e, change);
  if (!e.operationId.empty())
    contents_.operations.note(e.operationId, verdict);
  return change;
}
std::int32_t ReplicatedState::applyConfiguration(const transport::LogEntry& e, Change& change) {
  const auto version = versionIn(e);
  const auto verdict = evaluateReplace(e.base, version, e.digest);
  if (verdict != kAcceptable)
    return verdict;
  change.configuration = true;
  if (e.op() == transport::OperationKind::configuration) {
    take(version, e.digest, e.body);
  } else if (auto body = applyDelta(contents_.configuration, contents_.digest, e.body, e.digest)) {
    take(version, e.digest, std::move(*body));
  } else {
    // Why the version all the same: the numbered writes say that it was taken; only the text is missing here.
    take(version, e.digest, {});
    damage();
    change.damaged = true;
  }
  return kAcknowledged;
}
void ReplicatedState::applyZoneDrain(const transport::LogEntry& e, Change& change) {
  auto zoneDrain = avro::decode<ZoneDrain>(e.body);
  if (!zoneDrain)
    return;
  std::erase_if(contents_.zoneDrains, [&](auto& other) { return other.place == zoneDrain->place; });
  if (e.base == 0)
    contents_.zoneDrains.push_back(std::move(*zoneDrain));
  change.zoneDrains = true;
}
void ReplicatedState::applyRunner(const transport::LogEntry& e, Change& change) {
  auto news = avro::decode<Runner>(e.body);
  if (!news)
    return;
  auto& runners = contents_.runners;
  const auto known = std::find_if(runners.begin(), runners.end(), [&](auto& r) { return r.id == news->id; });
  if (news->at() == RunnerState::gone) {
    // Why sequence 0 ends nothing: a runner only missed may beat again, one that left may not.
    if (news->sequence != 0)
      contents_.detachedRunners.note(news->id);
    if (known != runners.end())
      removeRunner(Runner(*known));
    change.runners = true;
  } else if (!isDetached(news->id)) {
    if (known == runners.end())
      joinRunner(std::move(*news), change);
    else
      updateRunner(*known, std::move(*news), change);
  }
}
void ReplicatedState::removeRunner(const Runner& ended) {
  // One that said that it leaves is not taken back, however it went: a late beat of it would bring requests again.
  if (ended.at() == RunnerState::draining)
    contents_.detachedRunners.note(ended.id);
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
Result<void> ReplicatedState::restore(std::string_view snapshot) {
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
std::optional<std::int32_t> ReplicatedState::outcomeOf(const std::string& operationId) const {
  return contents_.operations.outcomeOf(operationId);
}
const Runner* ReplicatedState::runner(const std::string& id) const {
  for (auto& r : contents_.runners)
    if (r.id == id)
      return &r;
  return nullptr;
}
bool ReplicatedState::isDetached(const std::string& id) const {
  return contents_.detachedRunners.contains(id);
}

transport::LogEntry configurationEntry(std::int64_t base, std::int64_t version, std::string body,
                                       std::string operationId) {
  transport::LogEntry e;
  e.kind = static_cast<std::int32_t>(transport::OperationKind::configuration);
  e.base = base;
  e.digest = digestOf(body);
  e.body = std::move(body);
  e.operationId = std::move(operationId) + "@" + std::to_string(version);
  return e;
}
transport::LogEntry configurationChangeEntry(std::int64_t base, std::int64_t version, std::string body,
                                             std::string operationId, const StateContents& on) {
  auto e = configurationEntry(base, version, std::move(body), std::move(operationId));
  // On another version it loses its race anyway; without one there is nothing to differ from.
  if (on.version != base || on.digest.empty())
    return e;
  auto d = deltaOf(on.configuration, on.digest, e.body, e.digest);
  if (d.size() > e.body.size() / 2)
    return e;
  e.kind = static_cast<std::int32_t>(transport::OperationKind::difference);
  e.body = std::move(d);
  return e;
}
transport::LogEntry zoneDrainEntry(const ZoneDrain& c, bool open, std::string operationId) {
  transport::LogEntry e;
  e.kind = static_cast<std::int32_t>(transport::OperationKind::zoneDrain);
  e.base = open ? 1 : 0;
  e.body = avro::encode(c);
  e.operationId = std::move(operationId);
  return e;
}
transport::LogEntry runnerEntry(const Runner& r, std::string operationId) {
  transport::LogEntry e;
  e.kind = static_cast<std::int32_t>(transport::OperationKind::runner);
  e.body = avro::encode(r);
  e.operationId = std::move(operationId);
  return e;
}
}  // namespace zinccleat::state_machine
