/// @file
/// Tracks which runners are alive: receives their heartbeats, forwards them to the leader and, on the leader, submits
/// the expiry of runners whose heartbeats have stopped.
///
/// Owns both parts of the heartbeat state (`HeartbeatForwarder`, `RunnerMonitor`), which change only on the event-loop
/// thread.
#pragma once
#include "controller_context.hpp"
#include "heartbeat_forwarder.hpp"
#include "peer_links.hpp"
#include "runner_monitor.hpp"
#include "transport/access_messages.hpp"
namespace zinccleat::controller {
/// Receives and forwards heartbeats of runners; see the file comment.
class RunnerLiveness {
 public:
  /// @param context must outlive this object, as must `peers`.
  RunnerLiveness(ControllerContext& context, PeerLinks& peers);
  /// Records a heartbeat that a runner has sent to this controller.
  void recordHeartbeat(const std::string& runner, TimePoint now);
  /// Handles heartbeats forwarded by a follower. Only a leader with a valid lease acknowledges them.
  /// @return whether this controller leads and did not know that follower as up in this zone.
  bool onHeartbeatBatch(const transport::PeerLinkPtr& link, const consensus::MemberId& from,
                        const transport::HeartbeatBatch& batch, TimePoint now);
  /// Handles the leader's acknowledgement of a batch, which lists the controllers that are up. A response from any
  /// other controller is dropped.
  void onHeartbeatBatchResponse(const consensus::MemberId& from, const transport::HeartbeatBatchResponse& response,
                                TimePoint now);
  /// Called when the leader changes. Sends this controller's zone and the pending heartbeats to the new leader at once.
  void onLeaderChanged(TimePoint now);
  /// Sends this controller's zone and the heartbeats that are not acknowledged yet to the leader. Called every half
  /// second.
  void forwardHeartbeats(TimePoint now);
  /// Submits a write for each runner that has expired. Called once a second.
  /// @return whether a write was submitted; the Raft node then has actions to execute.
  bool submitExpired(TimePoint now);
  /// Whether heartbeats received by this controller reach the leader.
  bool heartbeatsReachLeader(TimePoint now) const { return forwarder_.leaderAcknowledges(now); }

 private:
  void acceptHeartbeatBatch(const transport::PeerLinkPtr& link, const transport::HeartbeatBatch& batch, TimePoint now);

  ControllerContext& context_;
  PeerLinks& peers_;
  HeartbeatForwarder forwarder_;
  TimePoint announcedAt_{};  // time at which this controller last sent its zone to the leader
  RunnerMonitor monitor_;
};
}  // namespace zinccleat::controller
