#include "raft_core.hpp"

#include "runtime/log_ring.hpp"

namespace zinccleat::consensus {
namespace {
constexpr std::size_t kMostBodies = 4;  // large bodies kept that came ahead of their entries
}

RaftNode::Core::Core(MemberId member, RaftOptions raftOptions, std::uint64_t seed)
    : self(std::move(member)),
      options(std::move(raftOptions)),
      random(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32))) {}

void RaftNode::Core::setRole(Role next) {
  if (role == next)
    return;
  role = next;
  log::debug(self + " role " + std::to_string(static_cast<int>(role)) + " term " + std::to_string(currentTerm));
}
// A learner that is named a voter becomes a follower, and the other way round.
void RaftNode::Core::followConfig() {
  if (role == Role::learner || role == Role::follower)
    setRole(idleRole());
}
// With `after`: once that record and all before it are on the disk.
void RaftNode::Core::send(const MemberId& to, ConsensusMessage message, PersistTicket after) {
  HeldMessage held{to, std::move(message), currentTerm};
  if (persistence.hold(after, held))
    return;
  actions.emplace_back(SendMessage{std::move(held.to), std::move(held.message)});
}
DiskRecord RaftNode::Core::emptyRecord() {
  DiskRecord record;
  record.seq = persistence.nextSequence();
  record.term = currentTerm;
  record.lastLedTerm = lastLedTerm;
  record.self = self;
  record.votedFor = votedFor;
  return record;
}
PersistTicket RaftNode::Core::handToDisk(DiskRecord record) {
  const auto& pending = persistence.add(std::move(record), log.lastLogIndex(), log.lastLogTerm());
  if (pending.inFlight)
    actions.emplace_back(PersistRecord{pending.ticket, pending.record});
  return pending.ticket;
}
// Term and vote, and the entries from `fromIndex` on (0: none).
PersistTicket RaftNode::Core::persist(std::int64_t fromIndex, std::vector<transport::LogEntry> entries) {
  auto record = emptyRecord();
  record.fromIndex = fromIndex;
  record.entries = std::move(entries);
  return handToDisk(std::move(record));
}
DiskRecord RaftNode::Core::fullRecord() {
  auto record = emptyRecord();
  record.full = true;
  record.snapshotIndex = log.snapshot().number;
  record.snapshotTerm = log.snapshot().term;
  record.snapshotConfig = encodeConfig(log.snapshot().config);
  record.state = log.snapshot().state;
  record.fromIndex = log.snapshot().number + 1;
  record.entries.assign(log.entries().begin(), log.entries().end());
  return record;
}
PersistTicket RaftNode::Core::persistAll() {
  return handToDisk(fullRecord());
}
// A higher term ends whatever this member did in the lower one.
PersistTicket RaftNode::Core::enterTerm(TimePoint now, std::int64_t term, const MemberId& voteFor) {
  currentTerm = term;
  votedFor = voteFor;
  leader.clear();
  matchIndex = 0;
  preVoting = false;
  setRole(idleRole());
  armElection(now);
  termTicket = persist(0, {});
  return termTicket;
}
void RaftNode::Core::armElection(TimePoint now) {
  const auto spread = static_cast<std::uint64_t>(std::max<std::int64_t>(1, options.electionTimeoutSpread.count()));
  electionAt = now + options.electionTimeout + Duration(static_cast<std::int64_t>(random() % spread));
}
void RaftNode::Core::commitUpTo(std::int64_t number) {
  number = std::min(number, log.lastLogIndex());
  while (commitIndex < number) {
    ++commitIndex;
    actions.emplace_back(ApplyEntry{*log.at(commitIndex)});
  }
}
void RaftNode::Core::rememberBody(EntryBody body) {
  const auto [entry, added] = bodies.emplace(body.digest, std::move(body.body));
  if (!added)
    return;
  bodyOrder.push_back(entry->first);
  if (bodyOrder.size() <= kMostBodies)
    return;
  bodies.erase(bodyOrder.front());
  bodyOrder.pop_front();
}
// False: the entry's body was left out and has not come ahead of it.
bool RaftNode::Core::fillBody(transport::LogEntry& entry) const {
  if (!entry.omitted)
    return true;
  const auto body = bodies.find(entry.digest);
  if (body == bodies.end())
    return false;
  entry.body = body->second;
  entry.omitted = false;
  return true;
}
// A sync ages by the turns of this loop, each counted for two regular ones at most. Why: where the loop itself comes
// late, the answer of a good disk lies unread, and the leadership would go round among members that are all as busy.
void RaftNode::Core::ageSyncs(TimePoint now) {
  const auto sinceTick = lastTickAt == TimePoint{} ? Duration(0) : toDuration(now - lastTickAt);
  lastTickAt = now;
  persistence.age(std::min(sinceTick, options.tickInterval * 2));
}
bool RaftNode::Core::diskStalled() const {
  return persistence.oldestFailed() || persistence.oldestWait() > options.syncStallTimeout;
}
// Only the oldest record is tried again, since the disk takes them in order. What came behind it meanwhile goes along
// in one full record: a backlog of single records would take longer to write than it took to gather.
void RaftNode::Core::retryPersist(TimePoint now) {
  if (!persistence.retryDue(now))
    return;
  const bool alone = persistence.pending().size() == 1 || log.holdsNothing();
  const auto& retried =
      alone ? persistence.retryOldest() : persistence.replaceAll(fullRecord(), log.lastLogIndex(), log.lastLogTerm());
  actions.emplace_back(PersistRecord{retried.ticket, retried.record});
}
void RaftNode::Core::onPersisted(TimePoint now, PersistTicket ticket) {
  const auto done = persistence.completed(ticket);
  if (!done)
    return;
  // What was replaced meanwhile is not the log's any more.
  if (done->lastLogIndex <= log.lastLogIndex() && log.termAt(done->lastLogIndex) == done->lastLogTerm)
    persistedIndex = std::max(persistedIndex, done->lastLogIndex);
  if (role == Role::candidate && !preVoting && ticket >= ownVoteTicket)
    votes.insert(self);
  for (auto& held : persistence.releasedMessages())
    if (held.term == currentTerm)  // a vote or a question of a term already left behind is void
      actions.emplace_back(SendMessage{std::move(held.to), std::move(held.message)});
  winIfElected(now);
  if (role == Role::leader)
    return advanceCommit(now);
  if (std::min(matchIndex, persistedIndex) > 0)
    acknowledge(0, 0);
}

RaftNode::RaftNode(MemberId self, RaftOptions options, std::uint64_t seed, TimePoint now)
    : core_(std::make_unique<Core>(std::move(self), std::move(options), seed)) {
  core_->armElection(now);
}
RaftNode::~RaftNode() = default;
RaftNode::RaftNode(const RaftNode& other) : core_(std::make_unique<Core>(*other.core_)) {}
RaftNode& RaftNode::operator=(const RaftNode& other) {
  *core_ = *other.core_;
  return *this;
}
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
  auto& core = *core_;
  core.ageSyncs(now);
  core.retryPersist(now);
  core.tickLeave(now);
  if (core.role == Role::leader)
    return core.tickLeader(now);
  core.tickJoin(now);
  if (core.role != Role::learner)
    core.tickElection(now);
}
void RaftNode::receive(TimePoint now, const MemberId& from, ConsensusMessage message) {
  auto& core = *core_;
  struct Dispatch {
    Core& core;
    TimePoint now;
    const MemberId& from;
    void operator()(VoteRequest& m) { core.onVoteRequest(now, from, m); }
    void operator()(VoteResponse& m) { core.onVoteResponse(now, from, m); }
    void operator()(AppendEntries& m) { core.onAppendEntries(now, from, std::move(m)); }
    void operator()(AppendEntriesResponse& m) { core.onAppendResponse(now, from, m); }
    void operator()(InstallSnapshot& m) { core.onInstallSnapshot(now, from, std::move(m)); }
    void operator()(TransferLeadership& m) { core.onTransferLeadership(now, m); }
    void operator()(JoinRequest& m) { core.onJoinRequest(now, from, m); }
    void operator()(LeaveRequest& m) { core.onLeaveRequest(now, from, m); }
    void operator()(LeaveResponse& m) { core.onLeaveResponse(m); }
    void operator()(EntryBody& m) { core.rememberBody(std::move(m)); }
  };
  std::visit(Dispatch{core, now, from}, message);
}
bool RaftNode::submit(TimePoint now, transport::LogEntry entry) {
  return core_->submit(now, std::move(entry));
}
void RaftNode::persisted(TimePoint now, std::int64_t ticket, bool ok) {
  if (ok)
    core_->onPersisted(now, ticket);
  else
    core_->persistence.failed(ticket, now + core_->options.persistRetryInterval);
}
void RaftNode::compact(std::int64_t number, std::string state, TimePoint) {
  core_->compact(number, std::move(state));
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
Role RaftNode::role() const {
  return core_->role;
}
std::int64_t RaftNode::term() const {
  return core_->currentTerm;
}
MemberId RaftNode::leader() const {
  return core_->leader;
}
std::int64_t RaftNode::commitIndex() const {
  return core_->commitIndex;
}
std::int64_t RaftNode::firstIndex() const {
  return core_->log.snapshot().number + 1;
}
bool RaftNode::hasLease(TimePoint now) const {
  return core_->leaseValid(now) && core_->commitIndex >= core_->firstIndexOfTerm;
}
bool RaftNode::inContactWithMajority(TimePoint now) const {
  if (core_->role == Role::leader)
    return hasLease(now);
  return !core_->leader.empty() && core_->leaderHadLease && now - core_->leaderHeardAt < core_->options.lease;
}
bool RaftNode::mayExit() const {
  return core_->exitAllowed;
}
const ClusterConfig& RaftNode::config() const {
  return core_->log.config();
}
std::vector<MemberId> RaftNode::voters() const {
  return core_->log.config().allVoters();
}
const transport::LogEntry* RaftNode::entryAt(std::int64_t number) const {
  return core_->log.at(number);
}
bool RaftNode::diskStalled() const {
  return core_->diskStalled();
}
const MemberId& RaftNode::self() const {
  return core_->self;
}
std::int64_t RaftNode::snapshotsRefused() const {
  return core_->snapshotsRefused;
}
}  // namespace zinccleat::consensus
