/// The state of a member's own requests to join or to leave the cluster.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::consensus {
/// Invariant: `exitAllowed` is set only after `leaving`, and never cleared.
struct MembershipState {
  TimePoint lastJoinRequestAt{};
  TimePoint lastLeaveRequestAt{};
  bool leaving = false;             ///< `RaftNode::leave` was called
  bool exitAllowed = false;         ///< the leader has allowed the exit, or this member is the only voter
  std::int64_t leaveRequestId = 0;  ///< random for each leave: a response to an earlier process has another id
};
}  // namespace zinccleat::consensus
