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
namespace zinccleat::consensus {
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
  std::int64_t commitIndex = 0;
  std::int64_t persistedIndex = 0;  // up to here the log is on this disk
  std::int64_t matchIndex = 0;      // up to here the log is known to be equal to this term's leader's
  TimePoint leasePromisedUntil{}, electionAt{}, leaderHeardAt{}, lastTickAt{};
  bool leaderHadLease = false;
  PersistTicket termTicket = 0;  // the record that holds the present term
  // This life began from a disk and has led no term since: the lease that this member once had is void.
  bool restarted = false;

  // As a candidate.
  bool preVoting = false, transferAccepted = false;
  std::set<MemberId> votes;
  std::int64_t transferredTerm = 0;
  PersistTicket ownVoteTicket = 0;
  TimePoint lastVoteRequestAt{}, noElectionBefore{};

  // As the leader.
  std::map<MemberId, PeerProgress> peers;
  std::int64_t heartbeatId = 0;
  std::map<std::int64_t, TimePoint> heartbeatSentAt;
  std::int64_t firstIndexOfTerm = 0;
  TimePoint lastHeartbeatAt{}, lastQuorumAt{};

  // Joining and leaving.
  TimePoint lastJoinAt{}, lastLeaveAt{};
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
  PersistTicket persist(std::int64_t fromIndex, std::vector<transport::LogEntry> entries);
  PersistTicket persistAll();
  PersistTicket handToDisk(DiskRecord record);
  DiskRecord emptyRecord();
  DiskRecord fullRecord();
  PersistTicket enterTerm(TimePoint now, std::int64_t term, const MemberId& voteFor = {});
  void armElection(TimePoint now);
  void commitUpTo(std::int64_t number);
  void rememberBody(EntryBody body);
  bool fillBody(transport::LogEntry& entry) const;
  void ageSyncs(TimePoint now);
  bool diskStalled() const;
  void retryPersist(TimePoint now);
  void onPersisted(TimePoint now, PersistTicket ticket);

  // recovery.cpp
  void bootstrap(const std::vector<MemberId>& founders);
  void recover(const std::vector<DiskRecord>& records, TimePoint now);
  void compact(std::int64_t number, std::string state);
  void emitRestore();

  // election.cpp
  void tickElection(TimePoint now);
  void startPreVote(TimePoint now);
  void startElection(TimePoint now);
  void requestVotes(PersistTicket after);
  void winIfElected(TimePoint now);
  void becomeLeader(TimePoint now);
  bool boundByLease(TimePoint now, const VoteRequest& request) const;
  void onVoteRequest(TimePoint now, const MemberId& from, const VoteRequest& request);
  void onPreVoteRequest(TimePoint now, const MemberId& from, const VoteRequest& request);
  void tellTerm(const MemberId& to);
  void onVoteResponse(TimePoint now, const MemberId& from, const VoteResponse& response);
  void onTransferLeadership(TimePoint now, const TransferLeadership& message);

  // leader.cpp
  void tickLeader(TimePoint now);
  void appendAsLeader(TimePoint now, transport::LogEntry entry);
  bool submit(TimePoint now, transport::LogEntry entry);
  void heartbeat(TimePoint now);
  void replicate(TimePoint now);
  void sendTo(TimePoint now, const MemberId& peer, PeerProgress& progress, bool heartbeatDue);
  void sendSnapshot(TimePoint now, const MemberId& peer, PeerProgress& progress);
  void sendEntries(const MemberId& peer, std::int64_t previous, std::vector<transport::LogEntry> entries);
  std::vector<transport::LogEntry> nextEntries(PeerProgress& progress) const;
  TimePoint leaseEnd() const;
  bool leaseValid(TimePoint now) const;
  void onAppendResponse(TimePoint now, const MemberId& from, const AppendEntriesResponse& response);
  void advanceCommit(TimePoint now);
  void trackPeer(TimePoint now, const MemberId& peer);
  bool recentlyHeard(TimePoint now, const PeerProgress& progress) const;
  bool anotherHasSyncedMore(TimePoint now) const;
  void transferLeadership(TimePoint now);
  void stepDown(TimePoint now);

  // follower.cpp
  bool followLeader(TimePoint now, const MemberId& from, std::int64_t term, bool leaderHasLease);
  void onAppendEntries(TimePoint now, const MemberId& from, AppendEntries message);
  void skipBelowSnapshot(AppendEntries& message) const;
  std::optional<std::int64_t> takeEntries(AppendEntries& message);
  void onInstallSnapshot(TimePoint now, const MemberId& from, InstallSnapshot message);
  void acknowledge(std::int64_t heartbeat, PersistTicket after);

  // membership.cpp
  void tickMembership(TimePoint now);
  void tickJoin(TimePoint now);
  void tickLeave(TimePoint now);
  void changeVoters(TimePoint now, const std::vector<MemberId>& voters);
  void leaveJointConfig(TimePoint now);
  std::vector<VoterStatus> voterStatus(TimePoint now) const;
  std::vector<MemberId> readyLearners(TimePoint now) const;
  bool learnerCatchingUp(TimePoint now) const;
  Duration leavingFor() const;
  bool isLeaving(TimePoint now, const PeerProgress& progress) const;
  bool caughtUp(const PeerProgress& progress) const;
  void dropSilentLearners(TimePoint now);
  void onJoinRequest(TimePoint now, const MemberId& from, const JoinRequest& request);
  void beginLeave(TimePoint now);
  void onLeaveRequest(TimePoint now, const MemberId& from, const LeaveRequest& request);
  void onLeaveResponse(const LeaveResponse& response);
  bool canDoWithout(TimePoint now, const MemberId& member) const;
  bool othersHoldCommitted(const MemberId& without) const;
};
}  // namespace zinccleat::consensus
