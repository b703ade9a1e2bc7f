// Elections: pre-vote, votes that are on the disk before they are sent, lease promises that bind voters, and
// leadership transfer to this member.
#include "raft_core.hpp"

namespace zinccleat::consensus {
// Looks at this member's own timers only; that a leader's lease still binds the others is theirs to say
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
// While its vote is on the way to the disk a member has not been able to say it to anybody: to give that election up
// for the next one, on every member in turn, would leave a cluster of slow disks without a leader for ever.
bool RaftCore::awaitingOwnVoteRecord() const {
  return persistence.isPending(election.voteTicket);
}
// Finds out whether an election would be won, without entering a new term: a member that was cut off from the others
// disturbs no leader when it comes back.
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
  // The requests claim the log as it is. Where all of it is on the disk they need not wait for the vote's record: a
  // member that forgets its candidacy in a restart has promised nothing to anybody, and it leads only once its own vote
  // is on the disk (`advanceElection`).
  const bool logIsPersisted = log.persistedIndex() >= log.lastLogIndex();
  election.transferredTerm = transferred ? term.current : 0;
  election.preVoting = false;
  ++term.current;
  term.votedFor = self;
  follower.leader.clear();
  follower.matchIndex = 0;
  election.votes.clear();  // its own vote counts once it is on the disk
  setRole(Role::candidate);
  term.ticket = persist(0, {});
  election.ownVoteTicket = term.ticket;
  election.voteTicket = term.ticket;
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
  // A member that leads has its term on its disk.
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
  // An entry of its own term: once it is committed, all entries of earlier terms are.
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
  // A lease that was given up by a leadership transfer binds nobody.
  if (request.transferredTerm > 0 && request.transferredTerm >= term.current)
    return false;
  // Nor does the lease of a candidate that led this very term and has restarted: it has no memory of that lease. Safe,
  // since a promise to a later leader is sent only once that later term is on the disk (`acknowledge`); then the terms
  // differ.
  return !(request.endedLeaseTerm > 0 && request.endedLeaseTerm == term.current);
}
void RaftCore::onPreVoteRequest(TimePoint now, const MemberId& from, const VoteRequest& request) {
  if (request.term <= term.current)
    return sendCurrentTerm(from);
  // A vote that is on its way to the disk may still decide its election: until the candidate has heard of it, nobody
  // else should make that election void. On slow disks no term would be won otherwise.
  if (leaseForbidsVote(now, request) || awaitingOwnVoteRecord())
    return;
  if (log.isUpToDate(request.lastLogTerm, request.lastLogIndex))
    send(from, VoteResponse{request.term, true});
}
// A vote does not depend on what this member's configuration says of the candidate or of itself: that configuration
// may be the older one, and only the candidate's decides whose votes count.
void RaftCore::onVoteRequest(TimePoint now, const MemberId& from, const VoteRequest& request) {
  if (role == Role::leader && !log.config().isVoter(from))
    trackPeer(now, from);  // a removed member that has not learned of its removal
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
  // The vote is on the disk before it is sent: a restart must not cast it again for another candidate.
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
