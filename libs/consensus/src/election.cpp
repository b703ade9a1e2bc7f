// Elections: pre-vote, votes on the disk before they are told, leases that bind voters, leadership transfer.
#include "raft_core.hpp"

namespace zinccleat::consensus {
void RaftNode::Core::tickElection(TimePoint now) {
  const bool asking = role == Role::candidate && preVoting;
  if (asking && now < electionAt && now - lastVoteRequestAt >= options.voteRetryInterval) {
    lastVoteRequestAt = now;
    requestVotes(0);
  }
  if (now >= electionAt && now >= noElectionBefore)
    startPreVote(now);
}
// Asks whether an election would be won, without entering a new term: a member that was cut off unsettles nobody.
void RaftNode::Core::startPreVote(TimePoint now) {
  armElection(now);
  if (!isVoter() || diskStalled())
    return;
  transferredTerm = 0;
  preVoting = true;
  votes = {self};
  setRole(Role::candidate);
  lastVoteRequestAt = now;
  requestVotes(0);
  winIfElected(now);
}
void RaftNode::Core::startElection(TimePoint now) {
  armElection(now);
  const bool transferred = std::exchange(transferAccepted, false);
  if (!isVoter() || diskStalled())
    return;
  transferredTerm = transferred ? currentTerm : 0;
  preVoting = false;
  ++currentTerm;
  votedFor = self;
  leader.clear();
  matchIndex = 0;
  votes.clear();  // its own counts once it is on the disk
  setRole(Role::candidate);
  ownVoteTicket = termTicket = persist(0, {});
  requestVotes(ownVoteTicket);
}
void RaftNode::Core::requestVotes(PersistTicket after) {
  VoteRequest request;
  request.term = preVoting ? currentTerm + 1 : currentTerm;
  request.preVote = preVoting;
  request.transferredTerm = transferredTerm;
  if (restarted && lastLedTerm > 0 && lastLedTerm == request.term - 1)
    request.endedLeaseTerm = lastLedTerm;
  request.lastLogIndex = log.lastLogIndex();
  request.lastLogTerm = log.lastLogTerm();
  for (const auto& voter : log.config().allVoters())
    if (voter != self)
      send(voter, request, after);
}
void RaftNode::Core::winIfElected(TimePoint now) {
  if (role != Role::candidate)
    return;
  if (!log.config().hasQuorum([&](const MemberId& voter) { return votes.contains(voter); }))
    return;
  if (preVoting)
    return startElection(now);
  becomeLeader(now);
}
void RaftNode::Core::becomeLeader(TimePoint now) {
  setRole(Role::leader);
  lastLedTerm = currentTerm;
  restarted = false;
  leader = self;
  lastQuorumAt = now;
  peers.clear();
  heartbeatSentAt.clear();
  // An entry of its own term: with it, all entries of earlier terms become committed.
  transport::LogEntry entry;
  entry.kind = static_cast<std::int32_t>(transport::OperationKind::noOp);
  entry.body = self;
  firstIndexOfTerm = log.lastLogIndex() + 1;
  for (const auto& voter : log.config().allVoters())
    if (voter != self)
      trackPeer(now, voter);
  appendAsLeader(now, std::move(entry));
  heartbeat(now);
}
// Whether a promise to another leader forbids this vote.
bool RaftNode::Core::boundByLease(TimePoint now, const VoteRequest& request) const {
  if (role == Role::leader)
    return leaseValid(now);
  if (now >= leasePromisedUntil)
    return false;
  // A lease that was handed over binds nobody.
  if (request.transferredTerm > 0 && request.transferredTerm >= currentTerm)
    return false;
  // Nor does one whose owner has restarted: who led this very term asks without any memory of its lease. Safe since a
  // promise to a later leader is given only once that term is on the disk (`acknowledge`), and then the terms differ.
  return !(request.endedLeaseTerm > 0 && request.endedLeaseTerm == currentTerm);
}
void RaftNode::Core::onPreVoteRequest(TimePoint now, const MemberId& from, const VoteRequest& request) {
  if (request.term <= currentTerm)
    return tellTerm(from);
  if (boundByLease(now, request))
    return;
  if (log.isUpToDate(request.lastLogTerm, request.lastLogIndex))
    send(from, VoteResponse{request.term, true});
}
// A candidate behind in terms learns of it. Why: of two voters that are left, one with the newer term and one with the
// longer log, only the second can win, and it asks in vain until it stands for a term above the first one's.
void RaftNode::Core::tellTerm(const MemberId& to) {
  AppendEntriesResponse newerTerm;
  newerTerm.term = currentTerm;
  send(to, newerTerm, termTicket);
}
// Votes are given whatever this member's configuration says of the candidate or of itself: its configuration may be
// the older one, and only the candidate's decides whose votes count.
void RaftNode::Core::onVoteRequest(TimePoint now, const MemberId& from, const VoteRequest& request) {
  if (role == Role::leader && !log.config().isVoter(from))
    trackPeer(now, from);  // it was removed and does not know
  if (request.preVote)
    return onPreVoteRequest(now, from, request);
  if (request.term < currentTerm)
    return tellTerm(from);
  if (boundByLease(now, request))
    return;
  const bool upToDate = log.isUpToDate(request.lastLogTerm, request.lastLogIndex);
  if (request.term > currentTerm)
    enterTerm(now, request.term, upToDate ? from : MemberId{});
  if (!upToDate || role == Role::leader || !(votedFor.empty() || votedFor == from))
    return;
  if (votedFor.empty()) {
    votedFor = from;
    persist(0, {});
  }
  armElection(now);
  // A vote is on the disk before it is told.
  const auto after = options.faults.voteBeforeSync ? 0 : persistence.newestTicket();
  send(from, VoteResponse{currentTerm, false}, after);
}
void RaftNode::Core::onVoteResponse(TimePoint now, const MemberId& from, const VoteResponse& response) {
  if (role != Role::candidate || response.preVote != preVoting)
    return;
  if (response.term != (preVoting ? currentTerm + 1 : currentTerm))
    return;
  votes.insert(from);
  winIfElected(now);
}
void RaftNode::Core::onTransferLeadership(TimePoint now, const TransferLeadership& message) {
  if (message.term != currentTerm || role != Role::follower || diskStalled())
    return;
  leasePromisedUntil = {};
  transferAccepted = true;
  startElection(now);
}
}  // namespace zinccleat::consensus
