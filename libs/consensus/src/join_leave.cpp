// Joining and leaving: the requests that a member sends, and the leader's handling of requests from other members.
#include "raft_core.hpp"

namespace zinccleat::consensus {
namespace {
constexpr int kLearnerJoinDelayHeartbeats = 4;      // a learner without a leader for longer sends a join request
constexpr int kVoterJoinDelayElectionTimeouts = 3;  // a voter without a leader for longer sends a join request
constexpr int kLeaveRequestValidityIntervals = 10;  // a member counts as leaving for this many times `leaveInterval`
}  // namespace

// A learner sends join requests to receive the log. A voter that has had no leader for a long time does the same: it
// may have been removed from the voters, and all members in its configuration may no longer exist.
void RaftCore::tickJoin(TimePoint now) {
  const auto joinDelay = role == Role::learner ? options.heartbeatInterval * kLearnerJoinDelayHeartbeats
                                               : options.electionTimeout * kVoterJoinDelayElectionTimeouts;
  const bool requestedRecently = now - membership.lastJoinRequestAt < options.joinInterval;
  if (requestedRecently || now - follower.leaderHeardAt < joinDelay)
    return;
  membership.lastJoinRequestAt = now;
  std::set<std::string> addresses(seedAddresses.begin(), seedAddresses.end());
  for (const auto& voter : log.config().allVoters())
    addresses.insert(addressOf(voter));
  addresses.erase(addressOf(self));
  for (const auto& address : addresses)
    send(address, JoinRequest{self, false});
}
void RaftCore::onJoinRequest(TimePoint now, const MemberId& from, const JoinRequest& request) {
  if (role == Role::leader)
    return trackPeer(now, request.forwarded ? request.member : from);
  const bool leaderKnown = !follower.leader.empty() && now - follower.leaderHeardAt < options.lease;
  if (!request.forwarded && leaderKnown)
    send(follower.leader, JoinRequest{from, true});
}
void RaftCore::beginLeave(TimePoint now) {
  membership.leaving = true;
  membership.leaveRequestId = static_cast<std::int64_t>(random());
  tickLeave(now);
}
void RaftCore::tickLeave(TimePoint now) {
  if (!membership.leaving || membership.exitAllowed)
    return;
  const bool onlyVoter = log.config().voters == std::vector<MemberId>{self} && !log.config().joint();
  if (onlyVoter)
    membership.exitAllowed = true;
  if (now - membership.lastLeaveRequestAt < options.leaveInterval)
    return;
  membership.lastLeaveRequestAt = now;
  if (role == Role::leader)
    return transferLeadership(now);
  if (!follower.leader.empty())
    send(follower.leader, LeaveRequest{term.current, membership.leaveRequestId});
}
void RaftCore::onLeaveResponse(const LeaveResponse& response) {
  if (membership.leaving && response.requestId == membership.leaveRequestId)
    membership.exitAllowed = true;
}
Duration RaftCore::leaveRequestValidity() const {
  return options.leaveInterval * kLeaveRequestValidityIntervals;
}
bool RaftCore::isLeaving(TimePoint now, const PeerProgress& progress) const {
  const bool asked = progress.lastLeaveRequestAt != TimePoint{};
  return asked && now - progress.lastLeaveRequestAt < leaveRequestValidity();
}
void RaftCore::onLeaveRequest(TimePoint now, const MemberId& from, const LeaveRequest& request) {
  if (role != Role::leader)
    return;
  trackPeer(now, from);
  auto& progress = leading.peers[from];
  const bool first = !isLeaving(now, progress);
  progress.lastLeaveRequestAt = now;
  if (first) {
    progress.firstLeaveRequestAt = now;
    sendHeartbeats(now);  // `hasCommittedLog` counts only members that answer a heartbeat sent from now on
  }
  tickMembership(now);
  if (!canGrantLeave(now, from))
    return;
  progress.leaveGrantedAt = now;
  send(from, LeaveResponse{term.current, request.requestId});
}
bool RaftCore::canGrantLeave(TimePoint now, const MemberId& member) const {
  if (!mayChangeConfig(now) || log.config().joint())
    return false;
  if (!log.config().isVoter(member))
    return true;
  return !learnerCatchingUp(now) && remainingVotersHaveCommittedLog(member);
}
bool RaftCore::remainingVotersHaveCommittedLog(const MemberId& leavingMember) const {
  const auto& voters = log.config().voters;
  const auto* leavingPeer = leading.find(leavingMember);
  std::size_t others = 0;
  std::size_t holding = 0;
  for (const auto& voter : voters) {
    if (voter == leavingMember)
      continue;
    ++others;
    if (voter == self)
      holding += log.persistedIndex() >= log.commitIndex();
    else
      holding += leavingPeer && hasCommittedLog(voter, *leavingPeer);
  }
  return holding >= std::min(majorityOf(voters.size()), others);
}
// A voter counts only if it has answered a heartbeat that was sent after the first leave request of the leaving member.
// A voter whose disk was lost shortly before does not answer under its old identity any more, although the leader may
// not have noticed the loss. A voter that was itself allowed to exit counts only if it answers a heartbeat that was
// sent after the time by which it should have exited: it has then been restarted.
bool RaftCore::hasCommittedLog(const MemberId& voter, const PeerProgress& leavingPeer) const {
  const auto* peer = leading.find(voter);
  if (!peer)
    return false;
  const bool allowedToExit = peer->leaveGrantedAt != TimePoint{};
  const auto exitedBy = allowedToExit ? peer->leaveGrantedAt + leaveRequestValidity() : TimePoint{};
  const bool answered = peer->leasePromisedFrom >= std::max(leavingPeer.firstLeaveRequestAt, exitedBy);
  return answered && peer->matchIndex >= log.commitIndex();
}
}  // namespace zinccleat::consensus
