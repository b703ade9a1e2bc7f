/// Bodies of large writes that were sent ahead of their log entries.
#pragma once
#include "consensus/messages.hpp"
namespace zinccleat::consensus {
/// A few bodies by digest; the oldest one makes room for a new one. A lost body costs a resend, never correctness.
class BodyCache {
 public:
  /// Keeps a body; one that is there already stays as it is.
  void add(EntryBody body);
  /// Restores the body of an entry that was sent without it.
  /// @return false if the entry has no body and the cache does not hold it; the entry is left as it was.
  bool restoreBody(transport::LogEntry& entry) const;

 private:
  std::map<std::string, std::string> bodies_;  // by digest
  std::deque<std::string> insertionOrder_;     // digests
};
}  // namespace zinccleat::consensus
