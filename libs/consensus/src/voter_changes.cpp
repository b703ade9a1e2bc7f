// Voter changes: the leader compares the voters with the result of `chooseVoters` and proposes changes. Every change
// passes through a joint configuration. A change begins only under a valid lease, once the previous configuration and
// an entry of the leader's own term are committed.
#include "raft_core.hpp"
#include "runtime/log_ring.hpp"

namespace zinccleat::consensus {
namespace {
constexpr std::int64_t kMaxCaughtUpLagEntries = 8;  // largest lag of a learner that may become a voter
constexpr int kLearnerTimeoutFactor = 2;       // multiplies `unreachableAfter`: learners silent for longer are dropped
constexpr int kSupersededAfterHeartbeats = 3;  // a voter that is silent for longer may be superseded

// Replaces `chooseVoters` if `InjectedFaults::voterSetNeverShrinks` is set.
std::vector<MemberId> chooseVotersWithoutShrinking(const std::vector<VoterStatus>& voters,
                                                   const std::vector<MemberId>& learners) {
  std::vector<MemberId> chosen;
  std::vector<MemberId> unreachable;
  for (const auto& voter : voters) {
    const bool lost = voter.health == VoterHealth::unreachable || voter.health == VoterHealth::superseded;
    (lost ? unreachable : chosen).push_back(voter.id);
  }
  chosen.insert(chosen.end(), learners.begin(), learners.end());
  while (chosen.size() < voters.size()) {
    chosen.push_back(unreachable.back());
    unreachable.pop_back();
  }
  return chosen;
}
}  // namespace

bool RaftCore::mayChangeConfig(TimePoint now) const {
  const bool ownTermCommitted = log.commitIndex() >= leading.firstIndexOfTerm;
  const bool configCommitted = log.configIndex() <= log.commitIndex();
  return leaseValid(now) && ownTermCommitted && configCommitted;
}
void RaftCore::tickMembership(TimePoint now) {
  dropUnreachableLearners(now);
  if (!mayChangeConfig(now))
    return;
  if (log.config().joint())
    return proposeConfig(now, {log.config().nextVoters, {}});
  const auto status = voterStatus(now);
  const auto learners = readyLearners(now);
  auto chosen = options.faults.voterSetNeverShrinks ? chooseVotersWithoutShrinking(status, learners)
                                                    : chooseVoters(status, learners, options.maxVoters);
  auto present = log.config().voters;
  std::sort(chosen.begin(), chosen.end());
  std::sort(present.begin(), present.end());
  if (chosen != present)
    changeVoters(now, chosen);
}
void RaftCore::changeVoters(TimePoint now, const std::vector<MemberId>& voters) {
  if (options.faults.skipJointConfig)
    return proposeConfig(now, {voters, {}});
  proposeConfig(now, {log.config().voters, voters});
}
void RaftCore::proposeConfig(TimePoint now, const ClusterConfig& config) {
  transport::LogEntry entry;
  entry.kind = static_cast<std::int32_t>(transport::OperationKind::membership);
  entry.body = encodeConfig(config);
  log::debug("voters_changed", {{"member", self}, {"term", term.current}, {"voters", entry.body}});
  appendAsLeader(now, std::move(entry));
  replicate(now);
}
std::vector<VoterStatus> RaftCore::voterStatus(TimePoint now) const {
  std::vector<VoterStatus> status;
  if (isVoter())
    status.push_back({self, VoterHealth::healthy});
  for (const auto& voter : log.config().voters) {
    const auto* peer = leading.find(voter);
    if (voter != self && peer)
      status.push_back({voter, healthOf(now, voter, *peer)});
  }
  return status;
}
VoterHealth RaftCore::healthOf(TimePoint now, const MemberId& voter, const PeerProgress& progress) const {
  const auto silence = now - progress.lastHeardAt;
  if (silence > options.heartbeatInterval * kSupersededAfterHeartbeats && isSuperseded(now, voter))
    return VoterHealth::superseded;
  if (isLeaving(now, progress))
    return VoterHealth::leaving;
  return silence > options.unreachableAfter ? VoterHealth::unreachable : VoterHealth::healthy;
}
bool RaftCore::isSuperseded(TimePoint now, const MemberId& voter) const {
  const auto& peers = leading.peers;
  return std::any_of(peers.begin(), peers.end(), [&](const auto& peer) {
    const bool atSameAddress = addressOf(peer.first) == addressOf(voter);
    return atSameAddress && !log.config().isVoter(peer.first) && recentlyHeard(now, peer.second);
  });
}
bool RaftCore::caughtUp(const PeerProgress& progress) const {
  return progress.matchIndex > 0 && progress.matchIndex + kMaxCaughtUpLagEntries >= log.lastLogIndex();
}
std::vector<MemberId> RaftCore::readyLearners(TimePoint now) const {
  std::vector<MemberId> replacements;
  std::vector<MemberId> others;
  const auto voters = log.config().allVoters();
  for (const auto& [peer, progress] : leading.peers) {
    const bool ready = caughtUp(progress) && recentlyHeard(now, progress) && !isLeaving(now, progress);
    if (log.config().isVoter(peer) || !ready)
      continue;
    const auto address = addressOf(peer);
    const bool atVotersAddress =
        std::any_of(voters.begin(), voters.end(), [&](const MemberId& voter) { return addressOf(voter) == address; });
    (atVotersAddress ? replacements : others).push_back(peer);
  }
  replacements.insert(replacements.end(), others.begin(), others.end());
  return replacements;
}
bool RaftCore::learnerCatchingUp(TimePoint now) const {
  const auto& peers = leading.peers;
  return std::any_of(peers.begin(), peers.end(), [&](const auto& peer) {
    const bool learner = !log.config().isVoter(peer.first) && recentlyHeard(now, peer.second);
    return learner && !isLeaving(now, peer.second) && !caughtUp(peer.second);
  });
}
void RaftCore::dropUnreachableLearners(TimePoint now) {
  const auto timeout = options.unreachableAfter * kLearnerTimeoutFactor;
  std::erase_if(leading.peers, [&](const auto& peer) {
    return !log.config().isVoter(peer.first) && now - peer.second.lastHeardAt > timeout;
  });
}
}  // namespace zinccleat::consensus
