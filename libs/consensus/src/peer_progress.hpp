// What the leader knows of one other member.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::consensus {
struct PeerProgress {
  std::int64_t nextIndex = 0;      // the next entry to send
  std::int64_t matchIndex = 0;     // up to here its log is equal and on its disk
  std::int64_t sendWholeUpTo = 0;  // up to here bodies are never left out: what was sent before may be lost
  TimePoint heardAt{};
  TimePoint sentAt{};
  TimePoint progressAt{};
  TimePoint leasePromisedFrom{};  // when the newest heartbeat was sent that it has answered
  TimePoint leaveAskedAt{};       // the newest request to leave
  TimePoint leaveFirstAskedAt{};  // the first one of an unbroken row
  TimePoint leaveGrantedAt{};     // it may end at any moment from then on
  bool snapshotUnderWay = false;
};
}  // namespace zinccleat::consensus
