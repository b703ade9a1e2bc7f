// `RaftNode`: passes events to `RaftCore` and reports the state of `RaftCore`.
#include "consensus/raft_node.hpp"

#include "raft_core.hpp"

namespace zinccleat::consensus {
namespace {
// Calls the handler for each message type.
struct MessageDispatch {
  RaftCore& core;
  TimePoint now;
  const MemberId& from;
  void operator()(VoteRequest& message) { core.onVoteRequest(now, from, message); }
  void operator()(VoteResponse& message) { core.onVoteResponse(now, from, message); }
  void operator()(AppendEntries& message) { core.onAppendEntries(now, from, std::move(message)); }
  void operator()(AppendEntriesResponse& message) { core.onAppendEntriesResponse(now, from, message); }
  void operator()(InstallSnapshot& message) { core.onInstallSnapshot(now, from, std::move(message)); }
  void operator()(TransferLeadership& message) { core.onTransferLeadership(now, message); }
  void operator()(JoinRequest& message) { core.onJoinRequest(now, from, message); }
  void operator()(LeaveRequest& message) { core.onLeaveRequest(now, from, message); }
  void operator()(LeaveResponse& message) { core.onLeaveResponse(message); }
  void operator()(EntryBody& message) { core.bodies.add(std::move(message)); }
};
}  // namespace

RaftNode::RaftNode(MemberId self, RaftOptions options, std::uint64_t seed, TimePoint now)
    : core_(std::make_unique<RaftCore>(std::move(self), std::move(options), seed)) {
  core_->resetElectionTimer(now);
}
RaftNode::~RaftNode() = default;
RaftNode::RaftNode(const RaftNode& other) : core_(std::make_unique<RaftCore>(*other.core_)) {}
RaftNode& RaftNode::operator=(const RaftNode& other) {
  *core_ = *other.core_;
  return *this;
}

// --- events ---

void RaftNode::bootstrap(const std::vector<MemberId>& founders, TimePoint) {
  core_->bootstrap(founders);
}
void RaftNode::recover(const std::vector<DiskRecord>& records, TimePoint now) {
  core_->recover(records, now);
}
void RaftNode::setSeedAddresses(std::vector<std::string> addresses) {
  core_->seedAddresses = std::move(addresses);
}
void RaftNode::tick(TimePoint now) {
  core_->agePendingRecords(now);
  core_->retryPersist(now);
  core_->tickLeave(now);
  if (core_->role == Role::leader)
    return core_->tickLeader(now);
  core_->tickJoin(now);
  if (core_->role != Role::learner)
    core_->tickElection(now);
}
void RaftNode::receive(TimePoint now, const MemberId& from, ConsensusMessage message) {
  std::visit(MessageDispatch{*core_, now, from}, message);
}
bool RaftNode::submit(TimePoint now, transport::LogEntry entry) {
  return core_->submit(now, std::move(entry));
}
void RaftNode::persisted(TimePoint now, std::int64_t ticket, bool synced) {
  if (synced)
    core_->onPersisted(now, ticket);
  else
    core_->persistence.fail(ticket, now + core_->options.persistRetryInterval);
}
void RaftNode::compact(std::int64_t index, std::string state, TimePoint) {
  core_->compact(index, std::move(state));
}
void RaftNode::transferLeadership(TimePoint now) {
  if (core_->role == Role::leader)
    core_->transferLeadership(now);
}
void RaftNode::leave(TimePoint now) {
  core_->beginLeave(now);
}
std::vector<RaftAction> RaftNode::takeActions() {
  return std::exchange(core_->actions, {});
}

// --- state ---

Role RaftNode::role() const {
  return core_->role;
}
std::int64_t RaftNode::term() const {
  return core_->term.current;
}
MemberId RaftNode::leader() const {
  return core_->follower.leader;
}
std::int64_t RaftNode::commitIndex() const {
  return core_->log.commitIndex();
}
std::int64_t RaftNode::firstIndex() const {
  return core_->log.snapshot().lastIncludedIndex + 1;
}
bool RaftNode::hasLease(TimePoint now) const {
  return core_->leaseValid(now) && core_->log.commitIndex() >= core_->leading.firstIndexOfTerm;
}
bool RaftNode::inContactWithMajority(TimePoint now) const {
  if (core_->role == Role::leader)
    return hasLease(now);
  const auto& follower = core_->follower;
  const bool leaderHeard = !follower.leader.empty() && now - follower.leaderHeardAt < core_->options.lease;
  return leaderHeard && follower.leaderHadLease;
}
bool RaftNode::mayExit() const {
  return core_->membership.exitAllowed;
}
const ClusterConfig& RaftNode::config() const {
  return core_->log.config();
}
std::vector<MemberId> RaftNode::voters() const {
  return core_->log.config().allVoters();
}
const transport::LogEntry* RaftNode::entryAt(std::int64_t index) const {
  return core_->log.at(index);
}
bool RaftNode::diskStalled() const {
  return core_->diskStalled();
}
Duration RaftNode::lastSyncTime() const {
  return core_->persistence.lastSyncTime();
}
const MemberId& RaftNode::self() const {
  return core_->self;
}
std::int64_t RaftNode::rejectedSnapshotCount() const {
  return core_->rejectedSnapshots;
}
std::string RaftNode::fingerprint(TimePoint now) const {
  return core_->fingerprint(now);
}
}  // namespace zinccleat::consensus
