#include "leader_state.hpp"

namespace zinccleat::consensus {
namespace {
constexpr std::size_t kMaxHeartbeatsRemembered = 64;
}  // namespace

void LeaderState::startTerm(TimePoint now, std::int64_t firstIndex) {
  lastQuorumAt = now;
  commitAheadOfDiskSince = {};
  peers.clear();
  heartbeatSentAt.clear();
  firstIndexOfTerm = firstIndex;
}
void LeaderState::startHeartbeat(TimePoint now) {
  lastHeartbeatAt = now;
  heartbeatSentAt[++heartbeatId] = now;
  while (heartbeatSentAt.size() > kMaxHeartbeatsRemembered)
    heartbeatSentAt.erase(heartbeatSentAt.begin());
}
void LeaderState::recordLeasePromise(PeerProgress& progress, std::int64_t answeredId) const {
  const auto sent = heartbeatSentAt.find(answeredId);
  if (sent != heartbeatSentAt.end())
    progress.leasePromisedFrom = std::max(progress.leasePromisedFrom, sent->second);
}
const PeerProgress* LeaderState::find(const MemberId& member) const {
  const auto peer = peers.find(member);
  return peer == peers.end() ? nullptr : &peer->second;
}
TimePoint LeaderState::leasePromisedByQuorumSince(const ClusterConfig& config, const MemberId& self) const {
  const auto promisedFrom = [&](const MemberId& voter) {
    if (voter == self)
      return TimePoint::max();
    const auto* peer = find(voter);
    return peer ? peer->leasePromisedFrom : TimePoint{};
  };
  return config.reachedByQuorum<TimePoint>(promisedFrom, TimePoint{});
}
std::int64_t LeaderState::indexOnQuorum(const ClusterConfig& config, const MemberId& self,
                                        std::int64_t persistedIndex) const {
  const auto indexOnDisk = [&](const MemberId& voter) -> std::int64_t {
    if (voter == self)
      return persistedIndex;
    const auto* peer = find(voter);
    return peer ? std::max<std::int64_t>(0, peer->matchIndex) : 0;
  };
  return config.reachedByQuorum<std::int64_t>(indexOnDisk, 0);
}
}  // namespace zinccleat::consensus
