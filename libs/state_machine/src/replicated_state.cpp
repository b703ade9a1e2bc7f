#include "state_machine/replicated_state.hpp"

#include "state_machine/delta.hpp"
#include "transport/avro.hpp"

namespace zinccleat::state_machine {
namespace {
/// Earlier configurations that are kept as bases of deltas, for nodes that missed some changes.
constexpr std::size_t kEarlierConfigurations = 3;
}  // namespace

// --- Applying entries ---

ReplicatedState::Change ReplicatedState::apply(const transport::LogEntry& entry) {
  Change change;
  contents_.index = entry.index;
  contents_.term = entry.term;
  const bool identified = !entry.operationId.empty();
  if (identified && outcomeOf(entry.operationId))
    return change;
  const auto verdict = applyOperation(entry, change);
  if (identified)
    contents_.operations.record(entry.operationId, static_cast<std::int32_t>(verdict));
  return change;
}
ReplicatedState::Verdict ReplicatedState::applyOperation(const transport::LogEntry& entry, Change& change) {
  switch (entry.op()) {
    case transport::OperationKind::configuration:
    case transport::OperationKind::configurationDelta:
      return applyConfiguration(entry, change);
    case transport::OperationKind::zoneDrain:
      applyZoneDrain(entry, change);
      return Verdict::acknowledged;
    case transport::OperationKind::runner:
      applyRunner(entry, change);
      return Verdict::acknowledged;
    default:  // entries of the consensus module, which change nothing here
      return Verdict::acknowledged;
  }
}

ReplicatedState::Verdict ReplicatedState::evaluateReplace(std::int64_t base, std::int64_t version,
                                                          const std::string& digest) const {
  if (contents_.acceptedConfigurations.contains(version, digest))
    return Verdict::acknowledged;
  if (base == contents_.version)
    return version <= contents_.version ? Verdict::invalidVersion : Verdict::acceptable;
  // A version at or below its base was never accepted, so its outcome is known.
  if (version > base && contents_.acceptedConfigurations.mayBeForgotten(version))
    return Verdict::outcomeUnknown;
  return Verdict::versionMismatch;
}
ReplicatedState::Verdict ReplicatedState::applyConfiguration(const transport::LogEntry& entry, Change& change) {
  const auto version = configurationVersion(entry);
  const auto verdict = evaluateReplace(entry.base, version, entry.digest);
  if (verdict != Verdict::acceptable)
    return verdict;
  change.configuration = true;
  if (entry.op() == transport::OperationKind::configuration) {
    acceptConfiguration(version, entry.digest, entry.body);
  } else if (auto text = applyDelta(contents_.configuration, contents_.digest, entry.body, entry.digest)) {
    acceptConfiguration(version, entry.digest, std::move(*text));
  } else {
    // The version is accepted all the same: the other replicas have accepted it. Only the text is missing here.
    acceptConfiguration(version, entry.digest, {});
    markCorrupted();
    change.corrupted = true;
  }
  return Verdict::acknowledged;
}
void ReplicatedState::acceptConfiguration(std::int64_t version, std::string digest, std::string text) {
  keepEarlierConfiguration();
  contents_.acceptedConfigurations.record(version, digest);
  contents_.version = version;
  contents_.digest = std::move(digest);
  contents_.configuration = std::move(text);
}
void ReplicatedState::keepEarlierConfiguration() {
  if (!contents_.digest.empty())
    earlierConfigurations_.push_back({std::move(contents_.digest), std::move(contents_.configuration)});
  if (earlierConfigurations_.size() > kEarlierConfigurations)
    earlierConfigurations_.pop_front();
}

void ReplicatedState::applyZoneDrain(const transport::LogEntry& entry, Change& change) {
  auto zoneDrain = avro::decode<ZoneDrain>(entry.body);
  if (!zoneDrain)
    return;
  std::erase_if(contents_.zoneDrains, [&](const ZoneDrain& other) { return other.zone == zoneDrain->zone; });
  const bool open = entry.base != 0;  // see `zoneDrainEntry`
  if (!open)
    contents_.zoneDrains.push_back(std::move(*zoneDrain));
  change.zoneDrains = true;
}

// --- Runners ---

void ReplicatedState::applyRunner(const transport::LogEntry& entry, Change& change) {
  auto update = avro::decode<Runner>(entry.body);
  if (!update)
    return;
  if (update->runnerState() == RunnerState::detached) {
    detachRunner(*update);
    change.runners = true;
    return;
  }
  if (isDetached(update->id))
    return;
  const auto known = findRunner(update->id);
  if (known != contents_.runners.end()) {
    change.runners = updateRunner(*known, std::move(*update));
    return;
  }
  joinRunner(std::move(*update));
  change.runners = true;
}
void ReplicatedState::detachRunner(const Runner& update) {
  // Sequence 0 says that its heartbeats were missed: such a runner may join again, one that left may not.
  if (update.sequence != 0)
    contents_.detachedRunners.record(update.id);
  if (const auto known = findRunner(update.id); known != contents_.runners.end())
    removeRunner(Runner(*known));
}
void ReplicatedState::removeRunner(const Runner& removed) {
  // A draining runner never joins again, however it ended: a late heartbeat would bring it new requests.
  if (removed.runnerState() == RunnerState::draining)
    contents_.detachedRunners.record(removed.id);
  std::erase_if(contents_.runners, [&](const Runner& runner) { return runner.id == removed.id; });
}
void ReplicatedState::joinRunner(Runner joining) {
  // A new runner at an address proves that an earlier one there has ended.
  std::vector<Runner> replaced;
  std::copy_if(contents_.runners.begin(), contents_.runners.end(), std::back_inserter(replaced),
               [&](const Runner& runner) { return runner.address == joining.address; });
  for (const auto& runner : replaced)
    removeRunner(runner);
  contents_.runners.push_back(std::move(joining));
}
/// @return false for a late heartbeat, which changes nothing.
bool ReplicatedState::updateRunner(Runner& known, Runner update) {
  if (update.sequence < known.sequence)
    return false;
  const bool draining = known.runnerState() == RunnerState::draining;
  known = std::move(update);
  if (draining)
    known.state = static_cast<std::int32_t>(RunnerState::draining);
  return true;
}
std::vector<Runner>::iterator ReplicatedState::findRunner(const std::string& id) {
  return std::find_if(contents_.runners.begin(), contents_.runners.end(),
                      [&](const Runner& runner) { return runner.id == id; });
}

// --- Snapshots ---

std::string ReplicatedState::snapshot() const {
  return encodeSnapshot(contents_, SnapshotScope::controller);
}
std::string ReplicatedState::snapshotFor(const std::string& cachedDigest) const {
  const auto full = [this] { return encodeSnapshot(contents_, SnapshotScope::dataPlane); };
  if (cachedDigest.empty() || contents_.digest.empty())
    return full();
  if (cachedDigest == contents_.digest)
    return encodePartialSnapshot(contents_, {});
  const auto* earlier = findEarlierConfiguration(cachedDigest);
  if (!earlier)
    return full();
  auto delta = computeDelta(earlier->text, cachedDigest, contents_.configuration, contents_.digest);
  if (delta.size() > contents_.configuration.size() / 2)
    return full();
  return encodePartialSnapshot(contents_, std::move(delta));
}
const ReplicatedState::EarlierConfiguration* ReplicatedState::findEarlierConfiguration(
    const std::string& digest) const {
  const auto found = std::find_if(earlierConfigurations_.begin(), earlierConfigurations_.end(),
                                  [&](const EarlierConfiguration& earlier) { return earlier.digest == digest; });
  return found == earlierConfigurations_.end() ? nullptr : &*found;
}
Result<void> ReplicatedState::restore(std::string_view snapshot) {
  if (snapshot.empty()) {
    contents_ = {};
    earlierConfigurations_.clear();
    return {};
  }
  auto restored = decodeSnapshot(snapshot);
  if (!restored)
    return tl::unexpected(restored.error());
  auto configuration = resolveConfiguration(*restored, contents_);
  if (!configuration)
    return tl::unexpected(configuration.error());
  if (contents_.digest != restored->contents.digest)
    keepEarlierConfiguration();
  contents_ = std::move(restored->contents);
  contents_.configuration = std::move(*configuration);
  return {};
}

// --- Queries ---

std::optional<ReplicatedState::Verdict> ReplicatedState::outcomeOf(const std::string& operationId) const {
  const auto verdict = contents_.operations.outcomeOf(operationId);
  if (!verdict)
    return std::nullopt;
  return static_cast<Verdict>(*verdict);
}
const Runner* ReplicatedState::runner(const std::string& id) const {
  const auto found = std::find_if(contents_.runners.begin(), contents_.runners.end(),
                                  [&](const Runner& runner) { return runner.id == id; });
  return found == contents_.runners.end() ? nullptr : &*found;
}
bool ReplicatedState::isDetached(const std::string& id) const {
  return contents_.detachedRunners.contains(id);
}
}  // namespace zinccleat::state_machine
