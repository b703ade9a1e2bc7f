/// A reorder buffer for a node outside the cluster that follows the log: entries arrive in any order and are taken out
/// in the order of their indexes.
#pragma once
#include "transport/messages.hpp"
namespace zinccleat::consensus {
/// Invariants: every queued entry has an index above `applied()`; `next` never skips an index.
class EntryQueue {
 public:
  /// Queues an entry. An entry at or below `applied()` is dropped. Of two entries with the same index, the queue keeps
  /// the one that has its body.
  void offer(transport::LogEntry entry);
  /// Stores the body of a large write for an entry that is sent without its body. Only the newest few bodies are kept.
  void addBody(const std::string& digest, std::string content);
  /// Removes the entry after `applied()` and counts that entry as applied.
  /// @return nothing if that entry, or its body, has not arrived.
  std::optional<transport::LogEntry> next();
  /// Continues after a snapshot that covers the entries up to `applied`.
  void resumeAfter(std::int64_t applied);
  /// The index of the last entry that was taken out or covered by a snapshot.
  std::int64_t applied() const { return applied_; }
  /// Whether entries are queued. After `next` has returned nothing, this means that an entry or a body is missing.
  bool hasGap() const { return !queued_.empty(); }

 private:
  struct SentAheadBody {
    std::string digest, content;
  };
  /// Sets the body of an entry that was sent without its body.
  /// @return false if the entry has no body and `addBody` has not stored a body with its digest.
  bool restoreBody(transport::LogEntry& entry) const;

  std::int64_t applied_ = 0;
  std::map<std::int64_t, transport::LogEntry> queued_;  // by index
  std::deque<SentAheadBody> bodies_;                    // oldest first
};
}  // namespace zinccleat::consensus
