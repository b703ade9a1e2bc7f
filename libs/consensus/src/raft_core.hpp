/// The state machine behind `RaftNode`. The state is divided into parts that each maintain their own invariants; the
/// transitions are divided into one source file per responsibility. docs/consensus.md, section "Structure of the code",
/// explains why there is one state machine and which file owns which state. Internal to the library.
#pragma once
#include <random>

#include "body_cache.hpp"
#include "consensus/membership_policy.hpp"
#include "consensus/raft_node.hpp"
#include "election_state.hpp"
#include "follower_state.hpp"
#include "leader_state.hpp"
#include "membership_state.hpp"
#include "persistence_queue.hpp"
#include "raft_log.hpp"
#include "term_state.hpp"
namespace zinccleat::consensus {
/// One member. Copyable: a copy behaves like the original when it receives the same events. The model checker relies on
/// this.
struct RaftCore {
  MemberId self;
  RaftOptions options;
  std::minstd_rand random;
  std::vector<std::string> seedAddresses;

  Role role = Role::learner;
  TermState term;
  RaftLog log;
  PersistenceQueue persistence;
  BodyCache bodies;
  ElectionState election;
  FollowerState follower;
  LeaderState leading;
  MembershipState membership;

  TimePoint lastTickAt{};
  std::int64_t rejectedSnapshots = 0;
  std::vector<RaftAction> actions;  ///< the actions since the last `RaftNode::takeActions`, in execution order

  RaftCore(MemberId member, RaftOptions raftOptions, std::uint64_t seed);

  // --- raft_core.cpp: functions shared by all roles ---

  bool isVoter() const { return log.config().isVoter(self); }
  /// The role of this member while it is neither leader nor candidate.
  Role passiveRole() const { return isVoter() ? Role::follower : Role::learner; }
  void setRole(Role next);
  /// Updates the role after a change of configuration: a learner that became a voter becomes a follower, and a follower
  /// that is no longer a voter becomes a learner.
  void updatePassiveRole();
  /// Sends a message once the record `after` and all earlier records are on the disk.
  void send(const MemberId& to, ConsensusMessage message, PersistTicket after = 0);
  /// Answers a message of an older term, so that the sender learns of the current term.
  void sendCurrentTerm(const MemberId& to);
  /// Enters a higher term. Ends this member's leadership or candidacy in the lower term.
  /// @param voteFor the candidate that this member votes for in the new term; empty: none yet.
  void enterTerm(TimePoint now, std::int64_t newTerm, const MemberId& voteFor = {});
  /// Restarts the election timer with a new random jitter.
  void resetElectionTimer(TimePoint now);
  /// The time that is added to the election timeout while syncs are slow.
  Duration syncAllowance() const;
  /// Commits and applies all entries of the log up to `index`.
  void commitUpTo(std::int64_t index);

  // --- persistence.cpp: writing records to the disk ---

  /// Persists the term, the vote and the entries from `fromIndex` on (0: no entries).
  PersistTicket persist(std::int64_t fromIndex, std::vector<transport::LogEntry> entries);
  /// Persists the term, the vote, the snapshot and the complete log.
  PersistTicket persistFullRecord();
  PersistTicket enqueueRecord(DiskRecord record);
  /// Begins the write of the next record, unless a write is in progress.
  void startNextWrite();
  DiskRecord emptyRecord() const;
  DiskRecord fullRecord() const;
  void agePendingRecords(TimePoint now);
  /// See `RaftNode::diskStalled`.
  bool diskStalled() const;
  /// Whether the disk is stalled, and the last write failed or takes much longer than the newest sync took. A member
  /// whose disk is slow but makes progress may be a candidate and leader.
  bool diskMakesNoProgress() const;
  void retryPersist(TimePoint now);
  void onPersisted(TimePoint now, PersistTicket ticket);

  // --- recovery.cpp: start and compaction ---

  void bootstrap(const std::vector<MemberId>& founders);
  void recover(const std::vector<DiskRecord>& records, TimePoint now);
  void replay(const DiskRecord& record);
  void compact(std::int64_t index, std::string state);
  void restoreFromSnapshot();

  // --- election.cpp: pre-vote, votes, leadership transfer to this member ---

  void tickElection(TimePoint now);
  /// Whether this member's newest vote is not on the disk yet.
  bool awaitingOwnVoteRecord() const;
  void startPreVote(TimePoint now);
  void startElection(TimePoint now);
  void requestVotes(PersistTicket after);
  /// Becomes leader once a quorum has voted for this member; starts the election once a quorum has granted pre-votes.
  void advanceElection(TimePoint now);
  void becomeLeader(TimePoint now);
  /// Whether a lease that this member has promised, or holds as leader, forbids it to vote for the candidate.
  bool leaseForbidsVote(TimePoint now, const VoteRequest& request) const;
  void onVoteRequest(TimePoint now, const MemberId& from, const VoteRequest& request);
  void onPreVoteRequest(TimePoint now, const MemberId& from, const VoteRequest& request);
  void grantVote(TimePoint now, const MemberId& candidate);
  void onVoteResponse(TimePoint now, const MemberId& from, const VoteResponse& response);
  void onTransferLeadership(TimePoint now, const TransferLeadership& message);

  // --- leader.cpp: writes, commit, lease, leadership transfer to another member ---

  void tickLeader(TimePoint now);
  bool submit(TimePoint now, transport::LogEntry entry);
  void appendAsLeader(TimePoint now, transport::LogEntry entry);
  void advanceCommit(TimePoint now);
  /// When the lease ends: the end of the promises of a quorum, minus `RaftOptions::leaseMargin`.
  TimePoint leaseEnd() const;
  bool leaseValid(TimePoint now) const;
  bool recentlyHeard(TimePoint now, const PeerProgress& progress) const;
  /// Whether a quorum commits without this member's disk, in at most a third of the time for which this disk has been
  /// writing; a failed write counts as slow too. Otherwise a leadership transfer is useless: too many other disks are
  /// as slow, and the election would wait for them too.
  bool quorumCommitsMuchFasterThanOwnDisk(TimePoint now) const;
  /// Tracks since when the commit index has been ahead of this member's disk.
  void trackCommitAheadOfDisk(TimePoint now);
  /// Transfers the leadership to `bestSuccessor`. Without a successor this member stays leader.
  void transferLeadership(TimePoint now);
  /// The voter with the longest matching log on its disk among those that are in contact and not leaving; empty: none.
  MemberId bestSuccessor(TimePoint now) const;
  void stepDown(TimePoint now);

  // --- replication.cpp: the leader's side of log replication ---

  /// Sends a heartbeat to every peer, together with entries that the peer lacks.
  void sendHeartbeats(TimePoint now);
  /// Sends to every peer the entries that the peer lacks.
  void replicate(TimePoint now);
  void sendTo(TimePoint now, const MemberId& peer, PeerProgress& progress, bool heartbeatDue);
  void sendSnapshot(TimePoint now, const MemberId& peer, PeerProgress& progress);
  void sendEntries(const MemberId& peer, std::int64_t prevLogIndex, std::vector<transport::LogEntry> entries);
  /// Returns as many entries as fit into one message, and advances `nextIndex` past them.
  std::vector<transport::LogEntry> takeNextEntries(PeerProgress& progress) const;
  bool bodyWasSentAhead(const transport::LogEntry& entry) const;
  /// Starts to replicate to a member. For a known peer, only updates `lastHeardAt`.
  void trackPeer(TimePoint now, const MemberId& peer);
  void onAppendEntriesResponse(TimePoint now, const MemberId& from, const AppendEntriesResponse& response);
  void onMismatch(TimePoint now, const MemberId& from, PeerProgress& progress, std::int64_t matchIndex);

  // --- follower.cpp: entries and snapshots from a leader, the lease promise ---

  /// Accepts the sender as the leader of this term or a higher one, and promises it the lease.
  /// @param promise how long the lease promise lasts.
  /// @return false if this member is itself the leader of that term.
  bool followLeader(TimePoint now, const MemberId& from, std::int64_t leaderTerm, bool leaderHasLease,
                    Duration promise);
  /// The duration of the lease promise that the message asks for.
  Duration leasePromiseDuration(const AppendEntries& message) const;
  void onAppendEntries(TimePoint now, const MemberId& from, AppendEntries message);
  /// Removes the entries that this member's snapshot covers: they are committed and therefore equal on all members.
  void skipBelowSnapshot(AppendEntries& message) const;
  /// Appends the entries that the log does not contain, and replaces conflicting entries of earlier leaders.
  /// @return the index of the first entry whose body is neither in the message nor cached. That entry and all later
  ///         entries are not appended.
  std::optional<std::int64_t> appendNewEntries(AppendEntries& message);
  void rejectEntries(const AppendEntries& message, const MemberId& from, std::int64_t matchIndex);
  void onInstallSnapshot(TimePoint now, const MemberId& from, InstallSnapshot message);
  bool isInstallable(const InstallSnapshot& message, const ClusterConfig& config) const;
  /// Sends to the leader up to which index the log equals the leader's and is on the disk.
  void acknowledge(std::int64_t heartbeatId, PersistTicket after);

  // --- voter_changes.cpp: configuration changes by the leader ---

  void tickMembership(TimePoint now);
  /// Whether the leader has a valid lease, and an entry of its term and the newest configuration are committed.
  bool mayChangeConfig(TimePoint now) const;
  void proposeConfig(TimePoint now, const ClusterConfig& config);
  void changeVoters(TimePoint now, const std::vector<MemberId>& voters);
  std::vector<VoterStatus> voterStatus(TimePoint now) const;
  VoterHealth healthOf(TimePoint now, const MemberId& voter, const PeerProgress& progress) const;
  /// Whether a learner at the voter's address is in contact, which means that the machine has lost the voter's disk.
  bool isSuperseded(TimePoint now, const MemberId& voter) const;
  /// The learners that may become voters. Learners at the address of a voter come first, since that voter is
  /// permanently lost.
  std::vector<MemberId> readyLearners(TimePoint now) const;
  bool learnerCatchingUp(TimePoint now) const;
  bool caughtUp(const PeerProgress& progress) const;
  void dropUnreachableLearners(TimePoint now);

  // --- join_leave.cpp: requests to join and to leave, sent and received ---

  void tickJoin(TimePoint now);
  void tickLeave(TimePoint now);
  void beginLeave(TimePoint now);
  void onJoinRequest(TimePoint now, const MemberId& from, const JoinRequest& request);
  void onLeaveRequest(TimePoint now, const MemberId& from, const LeaveRequest& request);
  void onLeaveResponse(const LeaveResponse& response);
  /// How long a member counts as leaving after a leave request.
  Duration leaveRequestValidity() const;
  bool isLeaving(TimePoint now, const PeerProgress& progress) const;
  /// Whether a member may exit. A member that is out of the committed configuration may always exit. A voter may exit
  /// if no learner is catching up that could replace it, and a majority without it has all committed entries on disk.
  bool canGrantLeave(TimePoint now, const MemberId& member) const;
  bool remainingVotersHaveCommittedLog(const MemberId& leavingMember) const;
  bool hasCommittedLog(const MemberId& voter, const PeerProgress& leavingPeer) const;

  // --- fingerprint.cpp ---

  std::string fingerprint(TimePoint now) const;
};
}  // namespace zinccleat::consensus
