#include "coordination_shard.hpp"

#include "coordination/sharding.hpp"
#include "runtime/log_ring.hpp"
#include "startup.hpp"
#include "storage/name_prefix.hpp"

namespace zinccleat::controller {
namespace {
// The log is compacted once it is twice as large as a snapshot, so that writing snapshots costs no more than writing
// the log. It is compacted after kMaxCompactionInterval entries at the latest: each group commit is a file, and a start
// has to read them all.
constexpr std::int64_t kMinCompactionInterval = 96;    // entries
constexpr std::int64_t kMaxCompactionInterval = 2048;  // entries
constexpr std::size_t kLogBytesPerSnapshotByte = 2;
constexpr int kHistoryFactor = 2;  // times the history that watches are guaranteed

bool isShardSnapshot(const std::string& snapshot) {
  coordination::ShardState probe;
  return probe.restore(snapshot).has_value();
}
}  // namespace

CoordinationShard::CoordinationShard(const ControllerContext& context, int number, Callbacks callbacks)
    : context_(context),
      number_(number),
      callbacks_(std::move(callbacks)),
      leaseholder_(state_, [this] { return raft_->hasLease(Clock::now()); }) {}

Result<void> CoordinationShard::recover(const DiskRecovery& disk, std::uint64_t incarnation) {
  auto folder =
      storage::withNamePrefix(storage::openPosixFolder(disk.dataDir), "shard" + std::to_string(number_) + "-");
  auto recovered = recoverDisk(disk, storage::Storage(std::move(folder)), isShardSnapshot);
  if (!recovered)
    return tl::unexpected(recovered.error());
  options_.snapshotIsValid = isShardSnapshot;
  incarnation_ = incarnation;
  raft_ = startShardMember(context_, recovered->recovery, options_, incarnation);
  hasRecords_ = isParticipating_ = !recovered->recovery.records.empty();
  canFoundShard_ = !hasRecords_ && !recovered->recovery.identityLost;
  recoveredStorage_ = std::move(recovered->storage);
  leaseholder_.setHistory(context_.settings.timers.history * kHistoryFactor);
  return {};
}
void CoordinationShard::start(const std::shared_ptr<DiskThread>& disk) {
  storage_ = std::make_unique<AsyncStorage>(disk, std::move(*recoveredStorage_), AppendUrgency::consensus);
  recoveredStorage_.reset();
  run();
}
void CoordinationShard::participateIfAgreed() {
  const auto& founding = context_.replica.state().shardFounding;
  if (isParticipating_ || founding.shards != coordination::kShardCount)
    return;
  isParticipating_ = true;
  auto founder = canFoundShard_ ? foundShardMember(context_, options_, incarnation_) : nullptr;
  log::debug(founder ? "shard_founded" : "shard_joining", {{"shard", number_}, {"founders", founding.founders.size()}});
  if (founder)
    raft_ = std::move(founder);
  run();
}
void CoordinationShard::tick(TimePoint now) {
  participateIfAgreed();
  if (!isParticipating_)
    return;
  raft_->tick(now);
  leaseholder_.tick(now);
  run();
}
void CoordinationShard::receive(const consensus::MemberId& from, consensus::ConsensusMessage message) {
  // Another founder may already be participating. A message dropped here is sent again by its sender.
  participateIfAgreed();
  if (!isParticipating_)
    return;
  raft_->receive(Clock::now(), from, std::move(message));
  run();
}
void CoordinationShard::call(std::int64_t callId, const coordination::Command& command) {
  leaseholder_.call(callId, command);
  run();
}
void CoordinationShard::leave(TimePoint now) {
  if (!isParticipating_)
    return;
  raft_->leave(now);
  run();
}
// Runs after each event. Executes the actions of the Raft node first, then applies a change of role to the leaseholder,
// then proposes the leaseholder's next batch, and repeats this until nothing is left to do. Results are delivered last.
void CoordinationShard::run() {
  if (running_)
    return;
  running_ = true;
  do {
    executeActions();
    syncLeaseholderTerm();
  } while (propose());
  running_ = false;
  while (leaseholder_.hasResults())
    for (const auto& result : leaseholder_.takeResults())
      callbacks_.onResult(result);
  if (const auto leader = raft_->leader(); leader != leader_) {
    leader_ = leader;
    log::debug("shard_leader_changed", {{"shard", number_}, {"term", raft_->term()}, {"leader", leader}});
    callbacks_.onLeaderChanged();
  }
}
void CoordinationShard::executeActions() {
  for (auto actions = raft_->takeActions(); !actions.empty(); actions = raft_->takeActions())
    for (auto& action : actions)
      std::visit([this](auto& alternative) { executeAction(alternative); }, action);
}
void CoordinationShard::syncLeaseholderTerm() {
  const auto ledTerm = raft_->role() == consensus::Role::leader ? raft_->term() : 0;
  if (ledTerm == ledTerm_)
    return;
  ledTerm_ = ledTerm;
  if (ledTerm == 0)
    return leaseholder_.endTerm();
  log::debug("shard_leadership_gained", {{"shard", number_}, {"term", ledTerm}});
  leaseholder_.startTerm(Clock::now());
}
std::string CoordinationShard::nextOperationId() const {
  return raft_->self() + "/" + std::to_string(incarnation_) + "." + std::to_string(operations_ + 1);
}
bool CoordinationShard::propose() {
  const auto now = Clock::now();
  auto entry = leaseholder_.nextBatch(now, nextOperationId());
  if (!entry)
    return false;
  ++operations_;
  // This member is the leader: `syncLeaseholderTerm` has just checked.
  (void)raft_->submit(now, std::move(*entry));
  return true;
}
void CoordinationShard::executeAction(const consensus::SendMessage& action) const {
  callbacks_.send(action.to, action.message);
}
void CoordinationShard::executeAction(consensus::PersistRecord& action) {
  hasRecords_ = true;
  storage_->append(std::move(action.record), [this, ticket = action.ticket](const Result<void>& appended) {
    if (!appended)
      log::error("storage_append_failed", {{"shard", number_}, {"reason", appended.error().message}});
    raft_->persisted(Clock::now(), ticket, appended.has_value());
    run();
  });
}
void CoordinationShard::executeAction(consensus::ApplyEntry& action) {
  const auto outcomes = state_.apply(action.entry);
  leaseholder_.onApplied(action.entry, outcomes);
  callbacks_.onApplied();
  bytesSinceCompaction_ += action.entry.body.size() + action.entry.operationId.size();
  ++entriesSinceCompaction_;
  compactIfDue();
}
void CoordinationShard::executeAction(consensus::RestoreSnapshot& action) {
  // The snapshot was validated earlier, by `recoverDisk` or by `RaftOptions::snapshotIsValid`.
  checkInvariant(state_.restore(action.state).has_value(), "a validated shard snapshot can be restored");
  snapshotBytes_ = action.state.size();
  callbacks_.onRestored();
}
void CoordinationShard::compactIfDue() {
  if (entriesSinceCompaction_ < kMinCompactionInterval)
    return;
  if (entriesSinceCompaction_ < kMaxCompactionInterval &&
      bytesSinceCompaction_ < kLogBytesPerSnapshotByte * snapshotBytes_)
    return;
  auto snapshot = state_.snapshot();
  snapshotBytes_ = snapshot.size();
  entriesSinceCompaction_ = 0;
  bytesSinceCompaction_ = 0;
  raft_->compact(state_.index(), std::move(snapshot), Clock::now());
}
}  // namespace zinccleat::controller
