/// The leader's state for one other member: Raft's nextIndex and matchIndex, and the times of the last messages.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::consensus {
/// One peer's replication progress. A time point of zero means "never".
struct PeerProgress {
  std::int64_t nextIndex = 0;       ///< index of the next entry to send
  std::int64_t matchIndex = 0;      ///< the peer's log equals the leader's and is on the peer's disk up to this index
  std::int64_t sendBodiesUpTo = 0;  ///< entries up to this index are sent with bodies: the body sent ahead may be lost
  TimePoint lastHeardAt{};          ///< when the newest message from the peer arrived
  TimePoint lastSentAt{};           ///< when entries or a snapshot were last sent to the peer
  TimePoint lastProgressAt{};       ///< when `matchIndex` last increased
  TimePoint leasePromisedFrom{};    ///< when the newest heartbeat that the peer has answered was sent
  TimePoint firstLeaveRequestAt{};  ///< the first leave request of an uninterrupted series
  TimePoint lastLeaveRequestAt{};   ///< the newest leave request
  TimePoint leaveGrantedAt{};       ///< when the peer was allowed to exit
  bool snapshotInFlight = false;    ///< a snapshot was sent and is not acknowledged yet

  /// Whether the peer has not acknowledged all entries that were sent.
  bool hasUnacknowledged() const { return matchIndex + 1 < nextIndex; }
};
}  // namespace zinccleat::consensus
