#include "raft_driver.hpp"

#include "runtime/log_ring.hpp"

namespace zinccleat::controller {
namespace {
constexpr std::int64_t kMinCompactionInterval = 96;  // in applied entries
// After this many intervals the log is compacted even if agents lag behind.
constexpr std::int64_t kMaxIntervalsWithLaggingAgents = 4;
// The log is also compacted after this many bytes of bodies, since it is kept in memory. Agents that lag behind then
// get a snapshot.
constexpr std::size_t kMaxLogBytes = std::size_t{8} << 20;

/// Logs which operators' orders on zones were applied, and by which controller and operation each was submitted, so
/// that two copies of an order can be told from two orders.
void logZoneOrder(const transport::LogEntry& entry, const state_machine::ReplicatedState::Change& change) {
  const bool isEvacuation = entry.op() == transport::OperationKind::zoneEvacuation;
  if (!isEvacuation && entry.op() != transport::OperationKind::zoneDrain)
    return;
  log::info("zone_order_applied", {{"kind", isEvacuation ? "evacuation" : "drain"},
                                   {"operation", entry.operationId},
                                   {"index", entry.index},
                                   {"changed", change.zoneDrains}});
}
}  // namespace

void RaftDriver::startStorage(const std::shared_ptr<DiskThread>& disk, storage::Storage storage) {
  storage_ = std::make_unique<AsyncStorage>(disk, std::move(storage), AppendUrgency::consensus);
}
// Executes the actions of the Raft node, then applies a change of role or leader to the other components, then sends
// newly committed entries to the agents.
void RaftDriver::run() {
  if (running_)
    return;
  running_ = true;
  for (auto actions = context_.raft->takeActions(); !actions.empty(); actions = context_.raft->takeActions())
    for (auto& action : actions)
      std::visit([this](auto& alternative) { executeAction(alternative); }, action);
  running_ = false;
  components_.roles.update();
  components_.agents.feedAll();
}
void RaftDriver::executeAction(consensus::SendMessage& action) {
  components_.peers.send(action.to, action.message);
}
// The result is passed to the Raft node on the event loop, after the disk thread has synced the record or failed to do
// so.
void RaftDriver::executeAction(consensus::PersistRecord& action) {
  storage_->append(std::move(action.record), [this, ticket = action.ticket](const Result<void>& appended) {
    if (!appended)
      log::error("storage_append_failed", {{"reason", appended.error().message}});
    context_.raft->persisted(Clock::now(), ticket, appended.has_value());
    run();
  });
}
void RaftDriver::executeAction(consensus::ApplyEntry& action) {
  const auto change = context_.replica.apply(action.entry);
  logZoneOrder(action.entry, change);
  // The entry had a different effect on this replica than on the other members. Exiting is a remedy: at the next start
  // the replica is restored from the records on disk.
  checkInvariant(!change.corrupted, "the replica matches the other members");
  if (change.configuration)
    adoptConfiguration();
  components_.writes.onApplied(action.entry.operationId);
  components_.reads.onApplied();
  ++appliedSinceCompaction_;
  bytesSinceCompaction_ += action.entry.body.size();
  compactIfDue();
}
void RaftDriver::executeAction(consensus::RestoreSnapshot& action) {
  // Every snapshot is validated before this point: snapshots on disk by `recoverDisk`, snapshots of other members by
  // `snapshotIsValid`. A committed state that cannot be restored must not be replaced by any other state.
  checkInvariant(context_.replica.restore(action.state).has_value(), "a validated snapshot can be restored");
  adoptConfiguration();
  components_.writes.onSnapshotRestored();
  components_.reads.onApplied();
}
// The size of a snapshot grows with the number of runners. One snapshot per as many entries as there are runners takes
// about as many bytes as the entries themselves. With a shorter log, agents would fall behind the log and need a
// snapshot each whenever many runners join at the same time.
std::int64_t RaftDriver::compactionInterval() const {
  const auto runners = static_cast<std::int64_t>(context_.replica.state().runners.size());
  return std::max(kMinCompactionInterval, runners);
}
bool RaftDriver::isCompactionDue() const {
  if (bytesSinceCompaction_ >= kMaxLogBytes)
    return true;
  const auto newest = context_.replica.state().index;
  const auto interval = compactionInterval();
  // Entries that a connected agent still lacks are kept for up to `kMaxIntervalsWithLaggingAgents` intervals. An agent
  // that is further behind gets a snapshot.
  const bool agentsAreNearlyCaughtUp = components_.agents.lowestApplied(newest) + interval / 2 >= newest;
  return appliedSinceCompaction_ >= (agentsAreNearlyCaughtUp ? interval : kMaxIntervalsWithLaggingAgents * interval);
}
void RaftDriver::compactIfDue() {
  if (!isCompactionDue())
    return;
  appliedSinceCompaction_ = 0;
  bytesSinceCompaction_ = 0;
  context_.raft->compact(context_.replica.state().index, context_.replica.snapshot(), Clock::now());
}
void RaftDriver::adoptConfiguration() {
  const auto& text = context_.replica.state().configuration;
  if (text.empty())
    return;
  if (auto configuration = config::parseConfiguration(text))
    context_.configuration = *configuration;
  else
    log::error("configuration_unreadable", {{"reason", configuration.error().message}});
}
}  // namespace zinccleat::controller
