// The state of a RaftNode and its transitions, split over one file for each job: election, leader, follower,
// membership, recovery. Internal.
#pragma once
#include <random>
#include <set>

#include "consensus/membership_policy.hpp"
#include "consensus/raft_node.hpp"
#include "peer_progress.hpp"
#include "persistence.hpp"
#include "raft_log.hpp"
namespace zc {
struct RaftNode::Core {
  MemberId self;
  RaftOptions options;
  std::minstd_rand random;
  std::vector<std::string> seedAddresses;

  // Kept on disk, with the log.
  std::int64_t currentTerm = 0, lastLedTerm = 0;
  MemberId votedFor;
  RaftLog log;
  Persistence persistence;

  // In memory.
  Role role = Role::learner;
  MemberId leader;
  std::int64_t commitNumber = 0;
  std::int64_t persistedNumber = 0;  // up to here the log is on this disk
  std::int64_t matchedNumber = 0;    // up to here the log is known to be equal to this term's leader's
  Instant leasePromisedUntil{}, electionAt{}, leaderHeardAt{}, lastTickAt{};
  bool leaderHadLease = false;
  PersistTicket termTicket = 0;  // the record that holds the present term
  // This life began from a disk and has led no term since: the lease that this member once had is void.
  bool restarted = false;

  // As a candidate.
  bool preVoting = false, transferAccepted = false;
  std::set<MemberId> votes;
  std::int64_t transferredTerm = 0;
  PersistTicket ownVoteTicket = 0;
  Instant lastVoteRequestAt{}, noElectionBefore{};

  // As the leader.
  std::map<MemberId, PeerProgress> peers;
  std::int64_t heartbeatId = 0;
  std::map<std::int64_t, Instant> heartbeatSentAt;
  std::int64_t firstNumberOfTerm = 0;
  Instant lastHeartbeatAt{}, lastQuorumAt{};

  // Joining and leaving.
  Instant lastJoinAt{}, lastLeaveAt{};
  bool leaving = false, exitAllowed = false;
  std::int64_t leaveRequestId = 0;

  std::map<std::string, std::string> bodies;  // by digest, sent ahead of their entries
  std::deque<std::string> bodyOrder;
  std::int64_t snapshotsRefused = 0;
  std::vector<RaftAction> actions;

  Core(MemberId member, RaftOptions raftOptions, std::uint64_t seed);

  // raft_core.cpp: what all roles share.
  bool isVoter() const { return log.config().isVoter(self); }
  Role idleRole() const { return isVoter() ? Role::follower : Role::learner; }
  void setRole(Role next);
  void followConfig();
  void send(const MemberId& to, ConsensusMessage message, PersistTicket after = 0);
  PersistTicket persist(std::int64_t fromNumber, std::vector<Entry> entries);
  PersistTicket persistAll();
  PersistTicket handToDisk(DiskRecord record);
  DiskRecord emptyRecord();
  DiskRecord fullRecord();
  PersistTicket enterTerm(Instant now, std::int64_t term, const MemberId& voteFor = {});
  void armElection(Instant now);
  void commitUpTo(std::int64_t number);
  void rememberBody(EntryBody body);
  bool fillBody(Entry& entry) const;
  void ageSyncs(Instant now);
  bool diskStalled() const;
  void retryPersist(Instant now);
  void onPersisted(Instant now, PersistTicket ticket);

  // recovery.cpp
  void found(const std::vector<MemberId>& founders);
  void recover(const std::vector<DiskRecord>& records, Instant now);
  void compact(std::int64_t number, std::string state);
  void emitRestore();

  // election.cpp
  void tickElection(Instant now);
  void startPreVote(Instant now);
  void startElection(Instant now);
  void requestVotes(PersistTicket after);
  void winIfElected(Instant now);
  void becomeLeader(Instant now);
  bool boundByLease(Instant now, const VoteRequest& request) const;
  void onVoteRequest(Instant now, const MemberId& from, const VoteRequest& request);
  void onPreVoteRequest(Instant now, const MemberId& from, const VoteRequest& request);
  void tellTerm(const MemberId& to);
  void onVoteResponse(Instant now, const MemberId& from, const VoteResponse& response);
  void onTransferLeadership(Instant now, const TransferLeadership& message);

  // leader.cpp
  void tickLeader(Instant now);
  void appendAsLeader(Instant now, Entry entry);
  bool submit(Instant now, Entry entry);
  void heartbeat(Instant now);
  void replicate(Instant now);
  void sendTo(Instant now, const MemberId& peer, PeerProgress& progress, bool heartbeatDue);
  void sendSnapshot(Instant now, const MemberId& peer, PeerProgress& progress);
  void sendEntries(const MemberId& peer, std::int64_t previous, std::vector<Entry> entries);
  std::vector<Entry> nextEntries(PeerProgress& progress) const;
  Instant leaseEnd() const;
  bool leaseValid(Instant now) const;
  void onAppendResponse(Instant now, const MemberId& from, const AppendEntriesResponse& response);
  void advanceCommit(Instant now);
  void trackPeer(Instant now, const MemberId& peer);
  bool recentlyHeard(Instant now, const PeerProgress& progress) const;
  bool anotherHasSyncedMore(Instant now) const;
  void transferLeadership(Instant now);
  void stepDown(Instant now);

  // follower.cpp
  bool followLeader(Instant now, const MemberId& from, std::int64_t term, bool leaderHasLease);
  void onAppendEntries(Instant now, const MemberId& from, AppendEntries message);
  void skipBelowSnapshot(AppendEntries& message) const;
  std::optional<std::int64_t> takeEntries(AppendEntries& message);
  void onInstallSnapshot(Instant now, const MemberId& from, InstallSnapshot message);
  void acknowledge(std::int64_t heartbeat, PersistTicket after);

  // membership.cpp
  void tickMembership(Instant now);
  void tickJoin(Instant now);
  void tickLeave(Instant now);
  void changeVoters(Instant now, const std::vector<MemberId>& voters);
  void leaveJointConfig(Instant now);
  std::vector<VoterStatus> voterStatus(Instant now) const;
  std::vector<MemberId> readyLearners(Instant now) const;
  bool learnerCatchingUp(Instant now) const;
  Span leavingFor() const;
  bool isLeaving(Instant now, const PeerProgress& progress) const;
  bool caughtUp(const PeerProgress& progress) const;
  void dropSilentLearners(Instant now);
  void onJoinRequest(Instant now, const MemberId& from, const JoinRequest& request);
  void beginLeave(Instant now);
  void onLeaveRequest(Instant now, const MemberId& from, const LeaveRequest& request);
  void onLeaveResponse(const LeaveResponse& response);
  bool canDoWithout(Instant now, const MemberId& member) const;
  bool othersHoldCommitted(const MemberId& without) const;
};
}  // namespace zc
