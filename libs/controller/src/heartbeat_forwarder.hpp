/// @file
/// Forwards runners' heartbeats to the leader. A runner sends its heartbeats to any one controller, while the leader
/// alone decides which runners have expired. So each controller keeps the heartbeats that it has received until a
/// leader has acknowledged them, and stops acknowledging new ones while that fails. Pure: the time is passed in.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::controller {
/// A runner's newest heartbeat.
struct HeartbeatRecord {
  std::string runner;
  TimePoint receivedAt;
};

/// Owned and changed by `RunnerLiveness`.
class HeartbeatForwarder {
 public:
  /// What is sent to the leader at once; numbers rise by one and are never used again.
  struct Batch {
    std::int64_t number = 0;
    std::vector<HeartbeatRecord> heartbeats;
  };
  /// A runner has sent a heartbeat to this controller.
  void record(const std::string& runner, TimePoint now);
  /// All heartbeats that no leader has acknowledged yet; none if there are none. The caller sends it at `now`.
  std::optional<Batch> nextBatch(TimePoint now);
  /// The leader has acknowledged a batch, and with it all that was sent before.
  void onAcknowledged(std::int64_t batch);
  /// Batches sent to the previous leader no longer count. What it acknowledged is covered by the time that a new
  /// leader waits before it lets runners expire.
  void onLeaderChanged();
  /// Drops everything; for a controller that leads itself.
  void clear();
  /// False: batches have gone unacknowledged for so long that a runner is better off at another controller. This
  /// finds a link that carries one way only, which messages from the leader do not show.
  bool leaderAcknowledges(TimePoint now) const;

 private:
  std::map<std::string, TimePoint> unacknowledged_;    // runner -> its newest heartbeat
  std::map<std::int64_t, TimePoint> batchesInFlight_;  // batch -> when it was sent
  std::int64_t lastBatch_ = 0;
};
}  // namespace zinccleat::controller
