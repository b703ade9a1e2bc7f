/// The receiving end of a log that is fed to a node outside the cluster: entries arrive in any order and leave in the
/// order of their indexes.
#pragma once
#include "transport/messages.hpp"
namespace zinccleat::consensus {
/// Invariant: every queued entry has an index above `applied()`; `next` never skips one.
class EntryQueue {
 public:
  /// Queues an entry. One at or below `applied()` is dropped; of two with one index the one with its body wins.
  void offer(transport::LogEntry entry);
  /// Keeps the body of a large write for an entry that was sent without it. Only the newest few are kept.
  void addBody(const std::string& digest, std::string content);
  /// Removes the entry after `applied()` and counts it as applied.
  /// @return nothing if that entry, or its body, has not arrived.
  std::optional<transport::LogEntry> next();
  /// Continues after a snapshot that covers the entries up to `applied`.
  void resumeAfter(std::int64_t applied);
  /// The index of the last entry that was taken out or covered by a snapshot.
  std::int64_t applied() const { return applied_; }
  /// Whether entries are queued: once `next` returns nothing, they wait for an entry or body that is missing.
  bool hasGap() const { return !queued_.empty(); }

 private:
  struct SentAheadBody {
    std::string digest, content;
  };
  /// Gives an entry that was sent without its body the body that came ahead of it.
  bool restoreBody(transport::LogEntry& entry) const;

  std::int64_t applied_ = 0;
  std::map<std::int64_t, transport::LogEntry> queued_;  // by index
  std::deque<SentAheadBody> bodies_;                    // oldest first
};
}  // namespace zinccleat::consensus
