/// Records on their way to the disk, and the messages that may only be sent once a record is there.
#pragma once
#include "consensus/disk_record.hpp"
#include "consensus/messages.hpp"
namespace zinccleat::consensus {
/// Names a record that was handed to the disk; tickets rise. 0: no record.
using PersistTicket = std::int64_t;

/// A message that waits until all records up to `after` are on the disk.
struct DeferredMessage {
  MemberId to;
  ConsensusMessage message;
  std::int64_t term = 0;    ///< the sender's term when it was written; in a later term the message is void
  PersistTicket after = 0;  ///< the newest record that it depends on
};

/// A record that is not on the disk yet.
struct PendingRecord {
  PersistTicket ticket = 0;       ///< of the newest that was gathered into it; what the disk answers with
  PersistTicket firstTicket = 0;  ///< of the oldest
  DiskRecord record;
  std::int64_t lastLogIndex = 0, lastLogTerm = 0;  ///< the end of the log that the record makes durable
  bool inFlight = false;                           ///< handed to the disk and not answered yet
  bool failed = false;                             ///< refused by the disk
  TimePoint retryAt{};                             ///< not handed over again before
  Duration pendingFor{0};                          ///< its age, see `RaftCore::agePendingRecords`
};

/// The pending records, oldest first: at most one that the disk has, and one behind it that gathers whatever is added
/// meanwhile. So each sync makes durable all that came during the one before it (group commit), and the time that an
/// entry waits does not grow with the number of entries.
///
/// Guarantees: records reach the disk in the order of their sequence numbers, without gaps; once a record has failed,
/// none behind it is handed over before the oldest one succeeds; a deferred message is released only when no record up
/// to its ticket is pending.
class PersistenceQueue {
 public:
  /// Continues behind a sequence number that was read back from the disk.
  void recoverSequence(std::int64_t sequence) { lastSequence_ = std::max(lastSequence_, sequence); }
  /// Queues a record; its sequence number is assigned when it is handed over.
  /// @return its ticket.
  PersistTicket add(DiskRecord record, std::int64_t lastLogIndex, std::int64_t lastLogTerm);
  /// Hands the oldest record over if the disk has none and the oldest has not failed.
  /// @return the record that the disk is to be given now; null: none.
  const PendingRecord* beginOldestWrite();
  PersistTicket newestTicket() const { return lastTicket_; }
  /// Keeps a message until its record is on the disk, moving from `message` only then.
  /// @return false if the record is there already: the message may be sent now.
  bool defer(DeferredMessage& message);
  /// Whether the record with this ticket, or an older one, is not on the disk yet.
  bool isPending(PersistTicket ticket) const { return !pending_.empty() && pending_.front().firstTicket <= ticket; }
  /// The disk has synced a record.
  /// @return the record, no longer pending; nothing for an unknown ticket.
  std::optional<PendingRecord> complete(PersistTicket ticket);
  /// Removes and returns the messages whose records are all on the disk.
  std::vector<DeferredMessage> releaseMessages();
  /// The disk has refused a record.
  void fail(PersistTicket ticket, TimePoint retryAt);
  /// Whether the oldest record failed, its retry is due, and nothing is in flight.
  bool retryDue(TimePoint now) const;
  /// Hands the oldest record to the disk once more.
  const PendingRecord& retryOldest();
  /// Replaces all pending records by one full record, under the sequence number of the oldest and the ticket of the
  /// newest: what was queued while the disk refused to write becomes durable by a single write.
  const PendingRecord& replaceAll(DiskRecord fullRecord, std::int64_t lastLogIndex, std::int64_t lastLogTerm);
  /// Adds `step` to the age of all pending records.
  void age(Duration step);
  bool oldestFailed() const { return !pending_.empty() && pending_.front().failed; }
  /// The age of the oldest pending record.
  Duration oldestAge() const { return pending_.empty() ? Duration(0) : pending_.front().pendingFor; }
  /// How long the newest synced record took, by the ticks that passed meanwhile (`age`).
  Duration lastSyncTime() const { return lastSyncTime_; }
  const std::deque<PendingRecord>& pending() const { return pending_; }
  const std::vector<DeferredMessage>& deferred() const { return deferred_; }

 private:
  std::int64_t lastSequence_ = 0;
  PersistTicket lastTicket_ = 0;
  Duration lastSyncTime_{0};
  std::deque<PendingRecord> pending_;
  std::vector<DeferredMessage> deferred_;
};
}  // namespace zinccleat::consensus
