// What the leader knows of one other member.
#pragma once
#include "runtime/common.hpp"
namespace zc {
struct PeerProgress {
  std::int64_t nextNumber = 0;     // the next entry to send
  std::int64_t matchedNumber = 0;  // up to here its log is equal and on its disk
  std::int64_t sendWholeUpTo = 0;  // up to here bodies are never left out: what was sent before may be lost
  Instant heardAt{};
  Instant sentAt{};
  Instant progressAt{};
  Instant leasePromisedFrom{};  // when the newest heartbeat was sent that it has answered
  Instant leaveAskedAt{};       // the newest request to leave
  Instant leaveFirstAskedAt{};  // the first one of an unbroken row
  Instant leaveGrantedAt{};     // it may end at any moment from then on
  bool snapshotUnderWay = false;
};
}  // namespace zc
