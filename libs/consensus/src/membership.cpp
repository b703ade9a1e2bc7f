// Joining, leaving, and the leader's changes of who votes. Every change passes through a joint configuration, begins
// only once the last one and an entry of the leader's own term are committed, and only under a valid lease.
#include "raft_core.hpp"

namespace zinccleat::consensus {
namespace {
constexpr std::int64_t kCaughtUpWithin = 8;  // entries that a learner may still lack
constexpr int kJoinAfterHeartbeats = 4;      // a learner without a leader for so long asks again
constexpr int kLearnerGoneFactor = 2;        // times `unreachableAfter`
constexpr int kSupersededAfterHeartbeats = 3;
constexpr int kLostAfterElections = 3;  // a voter without a leader for so many election timeouts asks anybody
constexpr int kLeavingForIntervals = 10;
// For `InjectedFaults::newcomerIsAddedOnly`.
std::vector<MemberId> addNewcomersOnly(const std::vector<VoterStatus>& voters, const std::vector<MemberId>& learners) {
  std::vector<MemberId> chosen;
  std::vector<MemberId> silent;
  for (const auto& voter : voters) {
    const bool lost = voter.health == VoterHealth::silent || voter.health == VoterHealth::superseded;
    (lost ? silent : chosen).push_back(voter.id);
  }
  chosen.insert(chosen.end(), learners.begin(), learners.end());
  while (chosen.size() < voters.size()) {
    chosen.push_back(silent.back());
    silent.pop_back();
  }
  return chosen;
}
}  // namespace

void RaftNode::Core::tickMembership(TimePoint now) {
  dropSilentLearners(now);
  if (!leaseValid(now) || commitIndex < firstIndexOfTerm || log.configIndex() > commitIndex)
    return;
  if (log.config().joint())
    return leaveJointConfig(now);
  const auto status = voterStatus(now);
  const auto learners = readyLearners(now);
  auto chosen = options.faults.newcomerIsAddedOnly ? addNewcomersOnly(status, learners)
                                                   : chooseVoters(status, learners, options.maxVoters);
  auto present = log.config().voters;
  std::sort(chosen.begin(), chosen.end());
  std::sort(present.begin(), present.end());
  if (chosen != present)
    changeVoters(now, chosen);
}
void RaftNode::Core::changeVoters(TimePoint now, const std::vector<MemberId>& voters) {
  ClusterConfig next{log.config().voters, voters};
  if (options.faults.separateMajorities)
    next = ClusterConfig{voters, {}};
  transport::LogEntry entry;
  entry.kind = static_cast<std::int32_t>(transport::OperationKind::members);
  entry.body = encodeConfig(next);
  appendAsLeader(now, std::move(entry));
  replicate(now);
}
void RaftNode::Core::leaveJointConfig(TimePoint now) {
  transport::LogEntry entry;
  entry.kind = static_cast<std::int32_t>(transport::OperationKind::members);
  entry.body = encodeConfig(ClusterConfig{log.config().nextVoters, {}});
  appendAsLeader(now, std::move(entry));
  replicate(now);
}
bool RaftNode::Core::isLeaving(TimePoint now, const PeerProgress& progress) const {
  return progress.leaveAskedAt != TimePoint{} && now - progress.leaveAskedAt < leavingFor();
}
// For so long after a request a member counts as leaving.
Duration RaftNode::Core::leavingFor() const {
  return options.leaveInterval * kLeavingForIntervals;
}
std::vector<VoterStatus> RaftNode::Core::voterStatus(TimePoint now) const {
  const auto supersededBy = [&](const MemberId& voter) {
    return std::any_of(peers.begin(), peers.end(), [&](const auto& peer) {
      return !log.config().isVoter(peer.first) && addressOf(peer.first) == addressOf(voter) &&
             recentlyHeard(now, peer.second);
    });
  };
  std::vector<VoterStatus> status;
  if (isVoter())
    status.push_back({self, VoterHealth::healthy});
  for (const auto& voter : log.config().voters) {
    const auto peer = peers.find(voter);
    if (voter == self || peer == peers.end())
      continue;
    const auto& progress = peer->second;
    const auto silence = now - progress.heardAt;
    auto health = VoterHealth::healthy;
    if (silence > options.heartbeatInterval * kSupersededAfterHeartbeats && supersededBy(voter))
      health = VoterHealth::superseded;
    else if (isLeaving(now, progress))
      health = VoterHealth::leaving;
    else if (silence > options.unreachableAfter)
      health = VoterHealth::silent;
    status.push_back({voter, health});
  }
  return status;
}
bool RaftNode::Core::caughtUp(const PeerProgress& progress) const {
  return progress.matchIndex > 0 && progress.matchIndex + kCaughtUpWithin >= log.lastLogIndex();
}
// Those that came back empty at a voter's address first: that voter is lost for good.
std::vector<MemberId> RaftNode::Core::readyLearners(TimePoint now) const {
  std::vector<MemberId> returned;
  std::vector<MemberId> others;
  const auto voters = log.config().allVoters();
  for (const auto& [peer, progress] : peers) {
    const bool ready = caughtUp(progress) && recentlyHeard(now, progress) && !isLeaving(now, progress);
    if (log.config().isVoter(peer) || !ready)
      continue;
    const bool atVotersAddress = std::any_of(voters.begin(), voters.end(), [&address = peer](const MemberId& voter) {
      return addressOf(voter) == addressOf(address);
    });
    (atVotersAddress ? returned : others).push_back(peer);
  }
  returned.insert(returned.end(), others.begin(), others.end());
  return returned;
}
bool RaftNode::Core::learnerCatchingUp(TimePoint now) const {
  return std::any_of(peers.begin(), peers.end(), [&](const auto& peer) {
    const bool learner = !log.config().isVoter(peer.first) && recentlyHeard(now, peer.second);
    return learner && !isLeaving(now, peer.second) && !caughtUp(peer.second);
  });
}
void RaftNode::Core::dropSilentLearners(TimePoint now) {
  std::erase_if(peers, [&](const auto& peer) {
    return !log.config().isVoter(peer.first) &&
           now - peer.second.heardAt > options.unreachableAfter * kLearnerGoneFactor;
  });
}
void RaftNode::Core::onJoinRequest(TimePoint now, const MemberId& from, const JoinRequest& request) {
  if (role == Role::leader)
    return trackPeer(now, request.forwarded ? request.member : from);
  if (request.forwarded || leader.empty() || now - leaderHeardAt >= options.lease)
    return;
  send(leader, JoinRequest{from, true});
}
// A learner asks for the log. So does a voter that has heard no leader for long: it may have been removed, and all
// whom it knows may be gone.
void RaftNode::Core::tickJoin(TimePoint now) {
  const auto patience = role == Role::learner ? options.heartbeatInterval * kJoinAfterHeartbeats
                                              : options.electionTimeout * kLostAfterElections;
  if (now - lastJoinAt < options.joinInterval || now - leaderHeardAt < patience)
    return;
  lastJoinAt = now;
  std::set<std::string> addresses(seedAddresses.begin(), seedAddresses.end());
  for (const auto& voter : log.config().allVoters())
    addresses.insert(addressOf(voter));
  addresses.erase(addressOf(self));
  for (const auto& address : addresses)
    send(address, JoinRequest{self, false});
}
void RaftNode::Core::tickLeave(TimePoint now) {
  if (!leaving || exitAllowed)
    return;
  if (log.config().voters == std::vector<MemberId>{self} && !log.config().joint())
    exitAllowed = true;  // there is nobody to leave anything to
  if (now - lastLeaveAt < options.leaveInterval)
    return;
  lastLeaveAt = now;
  if (role == Role::leader)
    return transferLeadership(now);
  if (!leader.empty())
    send(leader, LeaveRequest{currentTerm, leaveRequestId});
}
void RaftNode::Core::beginLeave(TimePoint now) {
  leaving = true;
  leaveRequestId = static_cast<std::int64_t>(random());
  tickLeave(now);
}
void RaftNode::Core::onLeaveResponse(const LeaveResponse& response) {
  if (leaving && response.requestId == leaveRequestId)
    exitAllowed = true;
}
void RaftNode::Core::onLeaveRequest(TimePoint now, const MemberId& from, const LeaveRequest& request) {
  if (role != Role::leader)
    return;
  trackPeer(now, from);
  auto& progress = peers[from];
  const bool first = !isLeaving(now, progress);
  progress.leaveAskedAt = now;
  if (first) {
    progress.leaveFirstAskedAt = now;
    heartbeat(now);
  }
  tickMembership(now);
  if (!canDoWithout(now, from))
    return;
  progress.leaveGrantedAt = now;
  send(from, LeaveResponse{currentTerm, request.requestId});
}
// Whether a member that wants to end may do so: it is out of the committed configuration, or removing it would bear
// no more losses than keeping it; and a majority without it has on disk all that is committed.
bool RaftNode::Core::canDoWithout(TimePoint now, const MemberId& member) const {
  const bool settled = leaseValid(now) && commitIndex >= firstIndexOfTerm && log.configIndex() <= commitIndex;
  if (!settled || log.config().joint())
    return false;
  if (!log.config().isVoter(member))
    return true;
  return !learnerCatchingUp(now) && othersHoldCommitted(member);
}
// Counted are voters that have answered a heartbeat sent since the member asked: one whose disk was lost a moment ago,
// unknown here, answers under that name no more.
bool RaftNode::Core::othersHoldCommitted(const MemberId& without) const {
  const auto& voters = log.config().voters;
  const auto leaver = peers.find(without);
  std::size_t holding = 0;
  std::size_t others = 0;
  for (const auto& voter : voters) {
    if (voter == without)
      continue;
    ++others;
    if (voter == self) {
      holding += persistedIndex >= commitIndex;
      continue;
    }
    const auto peer = peers.find(voter);
    if (peer == peers.end() || leaver == peers.end())
      continue;
    // One that was let go counts again only once it answers when it should be gone: it was restarted.
    const auto& other = peer->second;
    const auto gone = other.leaveGrantedAt == TimePoint{} ? TimePoint{} : other.leaveGrantedAt + leavingFor();
    const bool answered = other.leasePromisedFrom >= std::max(leaver->second.leaveFirstAskedAt, gone);
    holding += answered && other.matchIndex >= commitIndex;
  }
  return holding >= std::min(majorityOf(voters.size()), others);
}
}  // namespace zinccleat::consensus
