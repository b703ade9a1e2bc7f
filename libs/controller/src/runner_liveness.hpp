/// @file
/// Which runners are alive: receives their heartbeats, forwards them to the leader, and as the leader submits the
/// expiry of runners that have fallen silent.
///
/// Owns both halves of the heartbeat state (`HeartbeatForwarder`, `RunnerMonitor`); changed on the event-loop thread.
#pragma once
#include "controller_context.hpp"
#include "heartbeat_forwarder.hpp"
#include "peer_links.hpp"
#include "runner_monitor.hpp"
#include "transport/access_messages.hpp"
namespace zinccleat::controller {
/// Heartbeats of runners, received and forwarded; see the file's comment.
class RunnerLiveness {
 public:
  /// @param context must outlive this, like the links.
  RunnerLiveness(ControllerContext& context, PeerLinks& peers);
  /// A runner's heartbeat has come to this controller.
  void recordHeartbeat(const std::string& runner, TimePoint now);
  /// A follower has forwarded heartbeats. They are acknowledged by a leader with a valid lease only.
  /// @return whether this controller leads and has not heard that follower lately.
  bool onHeartbeatBatch(const transport::PeerLinkPtr& link, const consensus::MemberId& from,
                        const transport::HeartbeatBatch& batch, TimePoint now);
  /// The leader has acknowledged a batch and says which controllers are up; the response of anyone else is dropped.
  void onHeartbeatBatchResponse(const consensus::MemberId& from, const transport::HeartbeatBatchResponse& response,
                                TimePoint now);
  /// Batches go to the new leader from now on, and the zone of this controller at once.
  void onLeaderChanged(TimePoint now);
  /// Sends the leader what it has not acknowledged yet, and where this controller stands. To be called every half
  /// second.
  void forwardHeartbeats(TimePoint now);
  /// Submits a write for each runner that has expired. To be called each second.
  /// @return whether anything was submitted: the raft node then has actions to carry out.
  bool submitExpired(TimePoint now);
  /// False: heartbeats received here do not reach the leader.
  bool heartbeatsReachLeader(TimePoint now) const { return forwarder_.leaderAcknowledges(now); }

 private:
  void acceptHeartbeatBatch(const transport::PeerLinkPtr& link, const transport::HeartbeatBatch& batch, TimePoint now);

  ControllerContext& context_;
  PeerLinks& peers_;
  HeartbeatForwarder forwarder_;
  TimePoint announcedAt_{};  // when this controller last sent the leader its zone
  RunnerMonitor monitor_;
};
}  // namespace zinccleat::controller
