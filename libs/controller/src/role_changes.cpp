#include "role_changes.hpp"

#include "runtime/log_ring.hpp"

namespace zinccleat::controller {
void RoleChanges::update() {
  updateRole();
  updateLeader();
}
void RoleChanges::updateRole() {
  const bool leads = context_.isLeader();
  if (std::exchange(isLeader_, leads) == leads)
    return;
  const auto term = context_.raft->term();
  if (leads) {
    log::debug("leadership_gained", {{"term", term}});
    observers_.requests.startTerm(Clock::now());
    observers_.platform.startTerm(Clock::now());
  } else {
    log::debug("leadership_lost", {{"term", term}});
    observers_.agents.stopFeedingOtherZones();
  }
}
void RoleChanges::updateLeader() {
  const auto leader = context_.raft->leader();
  if (leader == leader_)
    return;
  leader_ = leader;
  log::debug("leader_changed", {{"term", context_.raft->term()}, {"leader", leader}});
  observers_.runners.onLeaderChanged(Clock::now());
  observers_.agents.broadcastStatus();
  observers_.writes.onLeaderChanged();
}
}  // namespace zinccleat::controller
