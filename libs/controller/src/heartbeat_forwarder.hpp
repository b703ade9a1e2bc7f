/// @file
/// Forwards runners' heartbeats to the leader. A runner sends its heartbeats to a single controller of any role, but
/// only the leader decides which runners have expired. Each controller therefore keeps the heartbeats that it has
/// received until a leader has acknowledged them, and stops acknowledging new heartbeats to runners while forwarding
/// fails. Performs no I/O and reads no clock: the time is passed in.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::controller {
/// The newest heartbeat of a runner.
struct HeartbeatRecord {
  std::string runner;
  TimePoint receivedAt;
};

/// Heartbeats that no leader has acknowledged yet. Owned and changed by `RunnerLiveness`.
class HeartbeatForwarder {
 public:
  /// The heartbeats of one message to the leader. Batch numbers increase by one and are never reused.
  struct Batch {
    std::int64_t number = 0;
    std::vector<HeartbeatRecord> heartbeats;
  };
  /// Records that a runner has sent a heartbeat to this controller.
  void record(const std::string& runner, TimePoint now);
  /// Returns all heartbeats that no leader has acknowledged yet; none if there are none. The caller sends the batch at
  /// `now`.
  std::optional<Batch> nextBatch(TimePoint now);
  /// Handles the leader's acknowledgement of a batch. It covers everything that was sent earlier as well.
  void onAcknowledged(std::int64_t batch);
  /// Discards the record of batches in flight to the previous leader. Heartbeats that only the previous leader
  /// acknowledged are covered by the time that a new leader waits before it lets runners expire.
  void onLeaderChanged();
  /// Drops everything; called on a controller that leads.
  void clear();
  /// Whether the leader acknowledges batches in time. If it does not, runners should use another controller. This check
  /// detects a connection that delivers in one direction only, which messages received from the leader cannot reveal.
  bool leaderAcknowledges(TimePoint now) const;

 private:
  std::map<std::string, TimePoint> unacknowledged_;    // keyed by runner id: time of its newest heartbeat
  std::map<std::int64_t, TimePoint> batchesInFlight_;  // keyed by batch number: time of sending
  std::int64_t lastBatch_ = 0;
};
}  // namespace zinccleat::controller
