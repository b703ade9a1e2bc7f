/// @file
/// Finds the boundaries and the ids of server-sent events in a byte stream, without parsing the events. Pure.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::proxy {

class EventScanner {
 public:
  /// Takes bytes as they arrive.
  /// @return the bytes of all events that are complete by now; valid until the next call.
  std::string_view feed(std::string_view bytes);
  /// Bytes of an event that is not complete yet.
  const std::string& partialEvent() const { return partialEvent_; }
  void discardPartialEvent() { partialEvent_.clear(); }
  /// The id of the last complete event that has one; empty: none had.
  const std::string& lastEventId() const { return lastEventId_; }
  /// Whether another runner that continues after `lastEventId()` repeats nothing: no event without an id came since.
  bool isResumable() const { return !hasEventWithoutId_; }

 private:
  void updateLastEventId();

  std::string partialEvent_;
  std::string completeEvents_;  ///< of the last call
  std::string lastEventId_;
  bool hasEventWithoutId_ = false;  ///< since the last id
};
}  // namespace zinccleat::proxy
