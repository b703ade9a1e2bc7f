/// A cache of the bodies of large writes, which are sent ahead of their log entries.
#pragma once
#include "consensus/messages.hpp"
namespace zinccleat::consensus {
/// Stores a few bodies by digest and evicts the oldest body first. If a body was evicted, the entry is sent again with
/// its body; correctness does not depend on the cache.
class BodyCache {
 public:
  /// Adds a body. Does nothing if the cache already has a body with this digest.
  void add(EntryBody body);
  /// Sets the body of an entry that was sent without its body.
  /// @return false if the entry has no body and the cache does not contain the body; the entry is then unchanged.
  bool restoreBody(transport::LogEntry& entry) const;

 private:
  std::map<std::string, std::string> bodies_;  // by digest
  std::deque<std::string> insertionOrder_;     // digests, oldest first
};
}  // namespace zinccleat::consensus
