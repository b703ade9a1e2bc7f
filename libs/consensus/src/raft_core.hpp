/// The state machine behind `RaftNode`: its state, in parts that each keep their own invariants, and the transitions
/// between them, in one file for each job. Why one machine and which file owns what: docs/consensus.md, "Structure of
/// the code". Internal to the library.
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
/// One member. A value: a copy behaves like the original from then on, which the model checker builds on.
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
  std::vector<RaftAction> actions;  ///< since the last `RaftNode::takeActions`, in the order in which they are due

  RaftCore(MemberId member, RaftOptions raftOptions, std::uint64_t seed);

  // --- raft_core.cpp: what all roles share ---

  bool isVoter() const { return log.config().isVoter(self); }
  /// The role of a member that neither leads nor stands for election.
  Role passiveRole() const { return isVoter() ? Role::follower : Role::learner; }
  void setRole(Role next);
  /// Follows a change of configuration: a learner that became a voter is a follower, and the other way round.
  void updatePassiveRole();
  /// Sends a message, once the record `after` and all before it are on the disk.
  void send(const MemberId& to, ConsensusMessage message, PersistTicket after = 0);
  /// Answers a message of an older term, so that its sender learns of the newer one.
  void sendCurrentTerm(const MemberId& to);
  /// Enters a higher term, which ends whatever this member did in the lower one.
  /// @param voteFor the candidate that gets the vote of the new term; empty: nobody yet.
  void enterTerm(TimePoint now, std::int64_t newTerm, const MemberId& voteFor = {});
  /// Restarts the election timer with a fresh jitter.
  void resetElectionTimer(TimePoint now);
  /// What slow syncs add to the election timeout.
  Duration syncAllowance() const;
  /// Commits and applies all entries up to `index`, as far as the log reaches.
  void commitUpTo(std::int64_t index);

  // --- persistence.cpp: records to the disk ---

  /// Persists the term, the vote and the entries from `fromIndex` on (0: no entries).
  PersistTicket persist(std::int64_t fromIndex, std::vector<transport::LogEntry> entries);
  /// Persists the term, the vote, the snapshot and the complete log.
  PersistTicket persistAll();
  PersistTicket enqueueRecord(DiskRecord record);
  /// Gives the disk the next record, if it has none.
  void startNextWrite();
  DiskRecord emptyRecord() const;
  DiskRecord fullRecord() const;
  void agePendingRecords(TimePoint now);
  /// Whether the disk has refused a record or has not answered for `RaftOptions::syncStallTimeout`.
  bool diskStalled() const;
  /// Whether the disk is stalled, and for much longer than its newest sync took: a disk that is slow but moves is not
  /// stuck, and its member may vote and lead.
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
  void advanceElection(TimePoint now);
  void becomeLeader(TimePoint now);
  /// Whether a lease promise forbids this member to help the candidate.
  bool leaseForbidsVote(TimePoint now, const VoteRequest& request) const;
  void onVoteRequest(TimePoint now, const MemberId& from, const VoteRequest& request);
  void onPreVoteRequest(TimePoint now, const MemberId& from, const VoteRequest& request);
  void grantVote(TimePoint now, const MemberId& candidate);
  void onVoteResponse(TimePoint now, const MemberId& from, const VoteResponse& response);
  void onTransferLeadership(TimePoint now, const TransferLeadership& message);

  // --- leader.cpp: writes, commit, lease, giving the leadership away ---

  void tickLeader(TimePoint now);
  bool submit(TimePoint now, transport::LogEntry entry);
  void appendAsLeader(TimePoint now, transport::LogEntry entry);
  void advanceCommit(TimePoint now);
  /// Until when a quorum has promised to elect nobody else, less a safety margin.
  TimePoint leaseEnd() const;
  bool leaseValid(TimePoint now) const;
  bool recentlyHeard(TimePoint now, const PeerProgress& progress) const;
  /// Whether a quorum commits without this member's disk, and in a third of the time that this disk has taken already.
  /// Otherwise a transfer of the leadership gains nothing: too many disks are as slow, and an election needs them too.
  bool commitsMuchFasterThanOwnDisk(TimePoint now) const;
  /// Follows how long the commit index has been ahead of this member's disk.
  void trackCommitAheadOfDisk(TimePoint now);
  /// Hands the leadership to `bestSuccessor`; stays leader without one.
  void transferLeadership(TimePoint now);
  /// The voter in contact that has most on its disk and is not leaving itself; empty: none.
  MemberId bestSuccessor(TimePoint now) const;
  void stepDown(TimePoint now);

  // --- replication.cpp: the leader's side of log replication ---

  /// Sends every peer a heartbeat, with entries that it lacks.
  void sendHeartbeats(TimePoint now);
  /// Sends every peer the entries that it lacks.
  void replicate(TimePoint now);
  void sendTo(TimePoint now, const MemberId& peer, PeerProgress& progress, bool heartbeatDue);
  void sendSnapshot(TimePoint now, const MemberId& peer, PeerProgress& progress);
  void sendEntries(const MemberId& peer, std::int64_t prevLogIndex, std::vector<transport::LogEntry> entries);
  /// Takes as many entries as fit one message and counts them as sent.
  std::vector<transport::LogEntry> nextEntries(PeerProgress& progress) const;
  bool bodyWasSentAhead(const transport::LogEntry& entry) const;
  /// Starts to replicate to a member, or notes that it was heard.
  void trackPeer(TimePoint now, const MemberId& peer);
  void onAppendEntriesResponse(TimePoint now, const MemberId& from, const AppendEntriesResponse& response);
  void onMismatch(TimePoint now, const MemberId& from, PeerProgress& progress, std::int64_t matchIndex);

  // --- follower.cpp: entries and snapshots of a leader, the promise of its lease ---

  /// Follows whoever speaks as the leader of this term or a higher one, and promises its lease.
  /// @return false if this member leads that term itself.
  bool followLeader(TimePoint now, const MemberId& from, std::int64_t leaderTerm, bool leaderHasLease,
                    Duration promise);
  /// How long the promise is to last that a leader asks for.
  Duration promiseFor(const AppendEntries& message) const;
  void onAppendEntries(TimePoint now, const MemberId& from, AppendEntries message);
  /// Skips entries below this member's snapshot: they are committed and therefore equal.
  void skipBelowSnapshot(AppendEntries& message) const;
  /// Appends the entries that are new, replacing what another leader left.
  /// @return the index of the first entry whose body is neither in the message nor cached; nothing from it on is
  /// appended.
  std::optional<std::int64_t> appendNewEntries(AppendEntries& message);
  void rejectEntries(const AppendEntries& message, const MemberId& from, std::int64_t matchIndex);
  void onInstallSnapshot(TimePoint now, const MemberId& from, InstallSnapshot message);
  bool isInstallable(const InstallSnapshot& message, const ClusterConfig& config) const;
  /// Tells the leader how far the log is equal and on the disk.
  void acknowledge(std::int64_t heartbeatId, PersistTicket after);

  // --- voter_changes.cpp: the leader's changes of the configuration ---

  void tickMembership(TimePoint now);
  /// Whether the leader's term and the newest configuration are committed under a valid lease.
  bool mayChangeConfig(TimePoint now) const;
  void proposeConfig(TimePoint now, const ClusterConfig& config);
  void changeVoters(TimePoint now, const std::vector<MemberId>& voters);
  std::vector<VoterStatus> voterStatus(TimePoint now) const;
  VoterHealth healthOf(TimePoint now, const MemberId& voter, const PeerProgress& progress) const;
  /// Whether a learner at the voter's address is in contact: that machine has lost its disk.
  bool isSuperseded(TimePoint now, const MemberId& voter) const;
  /// The learners that may become voters, those at the address of a voter first: that voter is lost for good.
  std::vector<MemberId> readyLearners(TimePoint now) const;
  bool learnerCatchingUp(TimePoint now) const;
  bool caughtUp(const PeerProgress& progress) const;
  void dropUnreachableLearners(TimePoint now);

  // --- join_leave.cpp: requests to join and to leave, of this member and of others ---

  void tickJoin(TimePoint now);
  void tickLeave(TimePoint now);
  void beginLeave(TimePoint now);
  void onJoinRequest(TimePoint now, const MemberId& from, const JoinRequest& request);
  void onLeaveRequest(TimePoint now, const MemberId& from, const LeaveRequest& request);
  void onLeaveResponse(const LeaveResponse& response);
  /// How long a member counts as leaving after a request.
  Duration leaveRequestValidity() const;
  bool isLeaving(TimePoint now, const PeerProgress& progress) const;
  /// Whether a member may exit: it is out of the committed configuration, or removing it would bear no more losses
  /// than keeping it; and a majority without it has on disk all that is committed.
  bool canGrantLeave(TimePoint now, const MemberId& member) const;
  bool remainingVotersHaveCommittedLog(const MemberId& leavingMember) const;
  bool hasCommittedLog(const MemberId& voter, const PeerProgress& leavingPeer) const;

  // --- fingerprint.cpp ---

  std::string fingerprint(TimePoint now) const;
};
}  // namespace zinccleat::consensus
