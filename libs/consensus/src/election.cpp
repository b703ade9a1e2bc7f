// Elections: pre-votes, votes, which are durable before they are sent, lease promises, which prevent voters from
// voting, and the receiving side of a leadership transfer.
#include "raft_core.hpp"

namespace zinccleat::consensus {
// Checks only this member's own timers. Each voter checks by itself whether a lease that it promised forbids a vote
// (`leaseForbidsVote`).
void RaftCore::tickElection(TimePoint now) {
  const bool awaitingPreVotes = role == Role::candidate && election.preVoting;
  const bool retryDue = now - election.lastVoteRequestAt >= options.voteRetryInterval;
  if (awaitingPreVotes && now < election.timeoutAt && retryDue) {
    election.lastVoteRequestAt = now;
    requestVotes(0);
  }
  if (now >= election.timeoutAt && now >= election.suppressedUntil && !awaitingOwnVoteRecord())
    startPreVote(now);
}
// A vote is sent only after its record is synced. If members started the next election before that, a cluster with slow
// disks would never elect a leader: each election would be abandoned before its votes were sent.
bool RaftCore::awaitingOwnVoteRecord() const {
  return persistence.isPending(election.voteTicket);
}
// Asks whether an election would succeed, without entering a new term. A member that returns from a network partition
// therefore does not force the current leader to step down.
void RaftCore::startPreVote(TimePoint now) {
  resetElectionTimer(now);
  if (!isVoter() || diskMakesNoProgress())
    return;
  election.transferredTerm = 0;
  election.preVoting = true;
  election.preVotes = {self};
  setRole(Role::candidate);
  election.lastVoteRequestAt = now;
  requestVotes(0);
  advanceElection(now);
}
void RaftCore::startElection(TimePoint now) {
  resetElectionTimer(now);
  const bool transferred = std::exchange(election.transferAccepted, false);
  if (!isVoter() || diskMakesNoProgress())
    return;
  // The vote requests state the last entry of the log, so the log must be durable before they are sent. If it is, the
  // requests do not wait for the record of this member's own vote: a candidate that forgets its candidacy in a restart
  // has made no promise, and it becomes leader only once its own vote is durable (`advanceElection`).
  const bool logIsPersisted = log.persistedIndex() >= log.lastLogIndex();
  election.transferredTerm = transferred ? term.current : 0;
  election.preVoting = false;
  ++term.current;
  term.votedFor = self;
  follower.leader.clear();
  follower.matchIndex = 0;
  election.votes.clear();  // this member's own vote is added once its record is synced
  setRole(Role::candidate);
  term.recordTicket = persist(0, {});
  election.ownVoteTicket = term.recordTicket;
  election.voteTicket = term.recordTicket;
  requestVotes(logIsPersisted ? 0 : election.ownVoteTicket);
}
void RaftCore::requestVotes(PersistTicket after) {
  VoteRequest request;
  request.term = election.preVoting ? term.current + 1 : term.current;
  request.preVote = election.preVoting;
  request.transferredTerm = election.transferredTerm;
  if (term.restarted && term.lastLed > 0 && term.lastLed == request.term - 1)
    request.endedLeaseTerm = term.lastLed;
  request.lastLogIndex = log.lastLogIndex();
  request.lastLogTerm = log.lastLogTerm();
  for (const auto& voter : log.config().allVoters())
    if (voter != self)
      send(voter, request, after);
}
void RaftCore::advanceElection(TimePoint now) {
  if (role != Role::candidate)
    return;
  const auto hasQuorumOf = [this](const std::set<MemberId>& votes) {
    return log.config().hasQuorum([&](const MemberId& voter) { return votes.contains(voter); });
  };
  // The own vote is required, so the term of a leader is always on the leader's disk.
  if (election.votes.contains(self) && hasQuorumOf(election.votes))
    return becomeLeader(now);
  if (election.preVoting && hasQuorumOf(election.preVotes))
    startElection(now);
}
void RaftCore::becomeLeader(TimePoint now) {
  setRole(Role::leader);
  term.lastLed = term.current;
  term.restarted = false;
  follower.leader = self;
  leading.startTerm(now, log.lastLogIndex() + 1);
  for (const auto& voter : log.config().allVoters())
    if (voter != self)
      trackPeer(now, voter);
  // Entries of earlier terms are committed only together with an entry of the leader's own term. The no-op entry is
  // such an entry.
  transport::LogEntry noOp;
  noOp.kind = static_cast<std::int32_t>(transport::OperationKind::noOp);
  noOp.body = self;
  appendAsLeader(now, std::move(noOp));
  sendHeartbeats(now);
}
bool RaftCore::leaseForbidsVote(TimePoint now, const VoteRequest& request) const {
  if (role == Role::leader)
    return leaseValid(now);
  if (now >= follower.leasePromisedUntil)
    return false;
  // The leader gave up this lease when it transferred the leadership.
  if (request.transferredTerm > 0 && request.transferredTerm >= term.current)
    return false;
  // The lease is void if the candidate was the leader of the current term and has restarted, since a restart ends the
  // lease. This rule cannot void a promise to a leader of a later term: such a promise is sent only once the later term
  // is on this member's disk (`acknowledge`), and then `term.current` differs from `endedLeaseTerm`.
  return !(request.endedLeaseTerm > 0 && request.endedLeaseTerm == term.current);
}
void RaftCore::onPreVoteRequest(TimePoint now, const MemberId& from, const VoteRequest& request) {
  if (request.term <= term.current)
    return sendCurrentTerm(from);
  // A vote whose record is not synced yet may still decide the current election. A new term would make that election
  // void before the vote is sent, so no pre-vote is granted meanwhile. Otherwise no election would succeed on slow
  // disks.
  if (leaseForbidsVote(now, request) || awaitingOwnVoteRecord())
    return;
  if (log.isUpToDate(request.lastLogTerm, request.lastLogIndex))
    send(from, VoteResponse{request.term, true});
}
// A vote does not depend on whether this member's configuration lists the candidate or this member as a voter: that
// configuration may be outdated. The candidate's configuration decides whose votes count.
void RaftCore::onVoteRequest(TimePoint now, const MemberId& from, const VoteRequest& request) {
  if (role == Role::leader && !log.config().isVoter(from))
    trackPeer(now, from);  // a former voter that does not know of its removal yet
  if (request.preVote)
    return onPreVoteRequest(now, from, request);
  if (request.term < term.current)
    return sendCurrentTerm(from);
  if (leaseForbidsVote(now, request))
    return;
  const bool upToDate = log.isUpToDate(request.lastLogTerm, request.lastLogIndex);
  if (request.term > term.current)
    enterTerm(now, request.term, upToDate ? from : MemberId{});
  const bool voteFree = term.votedFor.empty() || term.votedFor == from;
  if (upToDate && role != Role::leader && voteFree)
    grantVote(now, from);
}
void RaftCore::grantVote(TimePoint now, const MemberId& candidate) {
  if (term.votedFor.empty()) {
    term.votedFor = candidate;
    persist(0, {});
  }
  election.voteTicket = persistence.newestTicket();
  resetElectionTimer(now);
  // The vote must be durable before it is sent: otherwise this member could restart and vote for another candidate in
  // the same term.
  const auto after = options.faults.voteBeforeSync ? 0 : persistence.newestTicket();
  send(candidate, VoteResponse{term.current, false}, after);
}
void RaftCore::onVoteResponse(TimePoint now, const MemberId& from, const VoteResponse& response) {
  const bool inPreVote = response.preVote && election.preVoting && response.term == term.current + 1;
  const bool inElection = !response.preVote && term.votedFor == self && response.term == term.current;
  if (role != Role::candidate || (!inPreVote && !inElection))
    return;
  auto& votes = inPreVote ? election.preVotes : election.votes;
  votes.insert(from);
  advanceElection(now);
}
void RaftCore::onTransferLeadership(TimePoint now, const TransferLeadership& message) {
  if (message.term != term.current || role != Role::follower || diskMakesNoProgress())
    return;
  follower.leasePromisedUntil = {};
  election.transferAccepted = true;
  startElection(now);
}
}  // namespace zinccleat::consensus
