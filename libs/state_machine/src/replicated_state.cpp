#include "state_machine/replicated_state.hpp"

#include "state_machine/delta.hpp"
#include "state_machine/log_entries.hpp"
#include "transport/avro.hpp"

namespace zinccleat::state_machine {
namespace {
/// Number of earlier configurations that are retained as bases of deltas, for nodes that missed some changes.
constexpr std::size_t kMaxEarlierConfigurations = 3;
/// Number of services whose newest rollout is retained. Beyond it, the oldest final rollout is dropped for each new
/// one.
constexpr std::size_t kMaxTrackedRollouts = 256;
}  // namespace

// --- Applying entries ---

ReplicatedState::Change ReplicatedState::apply(const transport::LogEntry& entry) {
  Change change;
  contents_.index = entry.index;
  contents_.term = entry.term;
  const bool hasOperationId = !entry.operationId.empty();
  if (hasOperationId && outcomeOf(entry.operationId))
    return change;
  const auto verdict = applyOperation(entry, change);
  recordOrder(entry);
  if (hasOperationId)
    contents_.operations.record(entry.operationId, static_cast<std::int32_t>(verdict));
  return change;
}
// An order of a version of this program without positions moves a known position, but creates none; see
// `OrderPositions`.
void ReplicatedState::recordOrder(const transport::LogEntry& entry) {
  const auto subject = orderSubjectOf(entry);
  if (!subject.empty() && (isOrderId(entry.operationId) || contents_.orders.contains(subject)))
    contents_.orders.record(subject, {entry.index, orderContentOf(entry)});
}
ReplicatedState::Verdict ReplicatedState::applyOperation(const transport::LogEntry& entry, Change& change) {
  switch (entry.op()) {
    case transport::OperationKind::configuration:
    case transport::OperationKind::configurationDelta:
      return applyConfiguration(entry, change);
    case transport::OperationKind::zoneDrain:
      applyZoneDrain(entry, change);
      return Verdict::acknowledged;
    case transport::OperationKind::zoneEvacuation:
      applyZoneEvacuation(entry, change);
      return Verdict::acknowledged;
    case transport::OperationKind::runner:
      applyRunner(entry, change);
      return Verdict::acknowledged;
    case transport::OperationKind::rolloutBegin:
      return applyRolloutBegin(entry, change);
    case transport::OperationKind::rolloutProgress:
      return applyRolloutProgress(entry, change);
    case transport::OperationKind::shardsFounded:
      return applyShardsFounded(entry);
    case transport::OperationKind::usageReport:
      return applyUsageReport(entry);
    case transport::OperationKind::usageConfirmed:
      contents_.usage.confirm(entry.base);
      return Verdict::acknowledged;
    default:  // entries of the consensus module, which do not change this state
      return Verdict::acknowledged;
  }
}

ReplicatedState::Verdict ReplicatedState::evaluateReplace(std::int64_t base, std::int64_t version,
                                                          const std::string& digest) const {
  if (contents_.acceptedConfigurations.contains(version, digest))
    return Verdict::acknowledged;
  if (base == contents_.version)
    return version <= contents_.version ? Verdict::invalidVersion : Verdict::acceptable;
  // A Replace whose version is not above its base was never accepted, so its outcome is known.
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
    // The version is accepted although the delta does not apply, because the other replicas have accepted it. This
    // replica lacks only the text.
    acceptConfiguration(version, entry.digest, {});
    markCorrupted();
    change.corrupted = true;
  }
  return Verdict::acknowledged;
}
void ReplicatedState::acceptConfiguration(std::int64_t version, std::string digest, std::string text) {
  retainCurrentConfiguration();
  contents_.acceptedConfigurations.record(version, digest);
  contents_.version = version;
  contents_.digest = std::move(digest);
  contents_.configuration = std::move(text);
}
void ReplicatedState::retainCurrentConfiguration() {
  if (!contents_.digest.empty())
    earlierConfigurations_.push_back({std::move(contents_.digest), std::move(contents_.configuration)});
  if (earlierConfigurations_.size() > kMaxEarlierConfigurations)
    earlierConfigurations_.pop_front();
}

void ReplicatedState::applyZoneDrain(const transport::LogEntry& entry, Change& change) {
  auto zoneDrain = avro::decode<ZoneDrain>(entry.body);
  if (!zoneDrain)
    return;
  std::erase_if(contents_.zoneDrains, [&](const ZoneDrain& other) { return other.zone == zoneDrain->zone; });
  const bool endsDrain = entry.base != 0;  // see `zoneDrainEntry`
  if (!endsDrain)
    contents_.zoneDrains.push_back(std::move(*zoneDrain));
  change.zoneDrains = true;
}

void ReplicatedState::applyZoneEvacuation(const transport::LogEntry& entry, Change& change) {
  const auto evacuation = avro::decode<ZoneEvacuation>(entry.body);
  if (!evacuation)
    return;
  auto& zones = contents_.evacuatedZones;
  const auto position = std::lower_bound(zones.begin(), zones.end(), evacuation->zone);
  const bool isEvacuated = position != zones.end() && *position == evacuation->zone;
  if (isEvacuated == evacuation->evacuated)
    return;
  if (evacuation->evacuated)
    zones.insert(position, evacuation->zone);
  else
    zones.erase(position);
  change.zoneDrains = true;
}

// --- Runners ---

void ReplicatedState::applyRunner(const transport::LogEntry& entry, Change& change) {
  auto update = decodeRunner(entry.body);
  if (!update)
    return;
  if (update->runnerState() == RunnerState::detached) {
    detachRunner(*update);
    change.runners = true;
    return;
  }
  if (isDetached(update->id))
    return;
  if (const auto* known = runner(update->id)) {
    change.runners = updateRunner(*known, std::move(*update));
    return;
  }
  joinRunner(std::move(*update));
  change.runners = true;
}
void ReplicatedState::detachRunner(const Runner& update) {
  // Sequence 0 means that the runner's heartbeats were missed. Such a runner may join again; a runner that detached
  // itself may not.
  if (update.sequence != 0)
    contents_.detachedRunners.record(update.id);
  if (const auto* known = runner(update.id))
    removeRunner(*known);
}
void ReplicatedState::removeRunner(const Runner& removed) {
  // A draining runner may never join again, whatever the reason for its removal: with a late heartbeat it would join as
  // a runner in service and get new requests.
  if (removed.runnerState() == RunnerState::draining)
    contents_.detachedRunners.record(removed.id);
  contents_.runners.remove(std::string(removed.id));  // a copy, because `removed` may refer into the table
}
void ReplicatedState::joinRunner(Runner joining) {
  // A new runner at an address proves that the earlier runner at this address has terminated.
  for (const auto& replaced : contents_.runners.idsAt(joining.address))
    removeRunner(*runner(replaced));
  contents_.runners.put(std::move(joining));
}
/// @return false if the update is a late heartbeat, which is ignored.
bool ReplicatedState::updateRunner(const Runner& known, Runner update) {
  if (update.sequence < known.sequence)
    return false;
  if (known.runnerState() == RunnerState::draining)
    update.state = static_cast<std::int32_t>(RunnerState::draining);
  contents_.runners.put(std::move(update));
  return true;
}

// --- Rollouts ---

ReplicatedState::Verdict ReplicatedState::applyRolloutBegin(const transport::LogEntry& entry, Change& change) {
  auto requested = avro::decode<Rollout>(entry.body);
  if (!requested)
    return Verdict::invalidVersion;
  const auto known = findRollout(requested->service);
  if (known != contents_.rollouts.end()) {
    if (known->isSameRollout(*requested))
      return Verdict::acknowledged;
    if (known->inProgress())
      return Verdict::conflict;
    contents_.rollouts.erase(known);
  }
  addRollout(std::move(*requested));
  change.rollouts = true;
  return Verdict::acknowledged;
}
void ReplicatedState::addRollout(Rollout rollout) {
  if (contents_.rollouts.size() >= kMaxTrackedRollouts) {
    const auto oldestFinal = std::find_if(contents_.rollouts.begin(), contents_.rollouts.end(),
                                          [](const Rollout& other) { return !other.inProgress(); });
    if (oldestFinal != contents_.rollouts.end())
      contents_.rollouts.erase(oldestFinal);
  }
  contents_.rollouts.push_back(std::move(rollout));
}
ReplicatedState::Verdict ReplicatedState::applyRolloutProgress(const transport::LogEntry& entry, Change& change) {
  auto progress = avro::decode<Rollout>(entry.body);
  if (!progress)
    return Verdict::invalidVersion;
  const auto known = findRollout(progress->service);
  if (known == contents_.rollouts.end() || !known->isSameRollout(*progress))
    return Verdict::conflict;
  if (!known->inProgress())
    return known->phase() == progress->phase() ? Verdict::acknowledged : Verdict::conflict;
  const bool isRegression = progress->phase() < known->phase() || progress->phase() > RolloutPhase::reverted ||
                            (progress->phase() == known->phase() && progress->percent < known->percent);
  if (isRegression)
    return Verdict::conflict;
  progress->elapsedMs = std::max(progress->elapsedMs, known->elapsedMs);
  *known = std::move(*progress);
  change.rollouts = true;
  if (known->phase() == RolloutPhase::completed) {
    removeBaselineRunners(*known);
    change.runners = true;
  }
  return Verdict::acknowledged;
}
/// Removes the baseline's runners when a rollout completes, because the operator then stops these runners without
/// notice. Their ids are recorded as detached, so that a late heartbeat does not make one of them join again.
void ReplicatedState::removeBaselineRunners(const Rollout& completed) {
  std::vector<std::string> baseline;
  for (const auto& runner : contents_.runners)
    if (runner.service == completed.service && runner.software.revision != completed.revision)
      baseline.push_back(runner.id);
  for (const auto& id : baseline) {
    contents_.detachedRunners.record(id);
    contents_.runners.remove(id);
  }
}
ReplicatedState::Verdict ReplicatedState::applyShardsFounded(const transport::LogEntry& entry) {
  auto founding = avro::decode<ShardFounding>(entry.body);
  if (!founding || !founding->isAgreed())
    return Verdict::invalidVersion;
  if (!contents_.shardFounding.isAgreed())
    contents_.shardFounding = std::move(*founding);
  return Verdict::acknowledged;
}
// On the data plane the entry has an empty body, so that decoding fails and the state is unchanged.
ReplicatedState::Verdict ReplicatedState::applyUsageReport(const transport::LogEntry& entry) {
  auto report = avro::decode<UsageReport>(entry.body);
  if (!report)
    return Verdict::invalidVersion;
  return contents_.usage.commit(std::move(*report)) ? Verdict::acknowledged : Verdict::conflict;
}
std::vector<Rollout>::iterator ReplicatedState::findRollout(std::string_view service) {
  return std::find_if(contents_.rollouts.begin(), contents_.rollouts.end(),
                      [&](const Rollout& rollout) { return rollout.service == service; });
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
    StateContents empty;
    empty.runners.supersede(contents_.runners);
    contents_ = std::move(empty);
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
    retainCurrentConfiguration();
  restored->contents.runners.supersede(contents_.runners);
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
  return contents_.runners.find(id);
}
const Rollout* ReplicatedState::rollout(std::string_view service) const {
  const auto found = std::find_if(contents_.rollouts.begin(), contents_.rollouts.end(),
                                  [&](const Rollout& rollout) { return rollout.service == service; });
  return found == contents_.rollouts.end() ? nullptr : &*found;
}
bool ReplicatedState::isDetached(const std::string& id) const {
  return contents_.detachedRunners.contains(id);
}

transport::LogEntry asOrder(transport::LogEntry entry, std::int64_t base, const ReplicatedState& replica) {
  const auto subject = orderSubjectOf(entry);
  auto id = orderId(subject, base);
  // A used id with a base that is the newest known order means that this replica lost the positions.
  const bool lostPosition = replica.outcomeOf(id) && replica.state().orders.newest(subject).index == base;
  entry.operationId = lostPosition ? unorderedId(subject, entry.operationId) : std::move(id);
  return entry;
}
}  // namespace zinccleat::state_machine
