/// A member's own requests to join the cluster or to leave it.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::consensus {
/// Invariant: `exitAllowed` is set only after `leaving`, and never cleared.
struct MembershipState {
  TimePoint lastJoinRequestAt{};
  TimePoint lastLeaveRequestAt{};
  bool leaving = false;             ///< `RaftNode::leave` was called
  bool exitAllowed = false;         ///< the others can do without this member
  std::int64_t leaveRequestId = 0;  ///< drawn for each leave, so that a response to an earlier process does not count
};
}  // namespace zinccleat::consensus
