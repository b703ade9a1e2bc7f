#include "raft_driver.hpp"

#include "runtime/log_ring.hpp"

namespace zinccleat::controller {
namespace {
constexpr std::int64_t kMinCompactionInterval = 96;         // applied entries
constexpr std::int64_t kMaxIntervalsWithLaggingAgents = 4;  // whether or not agents lag behind
}  // namespace

void RaftDriver::startStorage(const std::shared_ptr<DiskThread>& disk, storage::Storage storage) {
  storage_ = std::make_unique<AsyncStorage>(disk, std::move(storage), AppendUrgency::consensus);
}
// The way from a decision of the raft node to the rest of the controller: its actions first, then what a change of the
// role brings with it, then the entries that were committed go to the agents.
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
// Answered on the event loop, once the storage thread has synced the record or failed to.
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
  // The entry had another effect here than at all other members. Ending helps: the records on the disk, replayed by
  // the next start, restore the replica.
  checkInvariant(!change.corrupted, "a replica that differs from the others");
  if (change.configuration)
    adoptConfiguration();
  components_.writes.onApplied(action.entry.operationId);
  components_.reads.onApplied();
  compactIfDue();
}
void RaftDriver::executeAction(consensus::RestoreSnapshot& action) {
  // Every snapshot is validated before it gets here: those of the disk by `recoverDisk`, those of other members by
  // `snapshotIsValid`. A committed state that can't be restored must not be replaced by anything else.
  checkInvariant(context_.replica.restore(action.state).has_value(), "a snapshot that was found valid restores");
  adoptConfiguration();
  components_.writes.onSnapshotRestored();
  components_.reads.onApplied();
}
// A snapshot grows with the runners: one for each so many entries as there are runners costs about as many bytes as the
// entries. A shorter log would leave agents behind whenever many runners join at once, each then in need of a snapshot.
std::int64_t RaftDriver::compactionInterval() const {
  const auto runners = static_cast<std::int64_t>(context_.replica.state().runners.size());
  return std::max(kMinCompactionInterval, runners);
}
void RaftDriver::compactIfDue() {
  const auto newest = context_.replica.state().index;
  const auto interval = compactionInterval();
  // Entries that a linked agent still lacks are kept for a while; an agent far behind gets a snapshot in the end.
  const bool agentsAreNearlyCaughtUp = components_.agents.lowestApplied(newest) + interval / 2 >= newest;
  if (++appliedSinceCompaction_ < (agentsAreNearlyCaughtUp ? interval : kMaxIntervalsWithLaggingAgents * interval))
    return;
  appliedSinceCompaction_ = 0;
  context_.raft->compact(newest, context_.replica.snapshot(), Clock::now());
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
