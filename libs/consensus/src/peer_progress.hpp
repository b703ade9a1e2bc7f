/// What the leader knows of one other member: Raft's nextIndex and matchIndex, and when it was last in contact.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::consensus {
/// One peer's replication progress. A time point of zero means "never".
struct PeerProgress {
  std::int64_t nextIndex = 0;       ///< index of the next entry to send
  std::int64_t matchIndex = 0;      ///< up to here its log equals the leader's and is on its disk
  std::int64_t sendBodiesUpTo = 0;  ///< entries up to here are sent with their bodies: an earlier copy may be lost
  TimePoint lastHeardAt{};          ///< the newest message from it
  TimePoint lastSentAt{};           ///< the newest entries or snapshot sent to it
  TimePoint lastProgressAt{};       ///< when `matchIndex` last rose
  TimePoint leasePromisedFrom{};    ///< when the newest heartbeat was sent that it has answered
  TimePoint firstLeaveRequestAt{};  ///< the first leave request of an unbroken series
  TimePoint lastLeaveRequestAt{};   ///< the newest leave request
  TimePoint leaveGrantedAt{};       ///< it may exit at any moment from then on
  bool snapshotInFlight = false;    ///< a snapshot was sent and not answered yet

  /// Whether entries have been sent that it has not acknowledged.
  bool hasUnacknowledged() const { return matchIndex + 1 < nextIndex; }
};
}  // namespace zinccleat::consensus
