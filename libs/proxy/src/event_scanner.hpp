/// @file
/// Finds the boundaries and the ids of server-sent events in a byte stream, without parsing the events. No I/O.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::proxy {

class EventScanner {
 public:
  /// Scans bytes as they arrive.
  /// @return the bytes of all events that were completed by this call; valid until the next call.
  std::string_view feed(std::string_view bytes);
  /// The bytes of an event that is not complete yet.
  const std::string& partialEvent() const { return partialEvent_; }
  void discardPartialEvent() { partialEvent_.clear(); }
  /// The id of the last complete event that has an id; empty if no event had one.
  const std::string& lastEventId() const { return lastEventId_; }
  /// Whether another runner can continue the stream after `lastEventId()` without repeating an event. False if an event
  /// without an id has followed the last id.
  bool isResumable() const { return !hasEventWithoutId_; }

 private:
  void updateLastEventId();

  std::string partialEvent_;
  std::string completeEvents_;  ///< events completed by the last call of `feed`
  std::string lastEventId_;
  bool hasEventWithoutId_ = false;  ///< whether an event without an id has followed `lastEventId_`
};
}  // namespace zinccleat::proxy
