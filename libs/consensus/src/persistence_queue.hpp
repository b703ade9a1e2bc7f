/// The queue of records that are not on the disk yet, and of the messages that may be sent only after a record is
/// synced.
#pragma once
#include "consensus/disk_record.hpp"
#include "consensus/messages.hpp"
namespace zinccleat::consensus {
/// Identifies a record that is to be written to the disk. Tickets increase; 0 means no record.
using PersistTicket = std::int64_t;

/// A message that is sent once all records up to `after` are on the disk.
struct DeferredMessage {
  MemberId to;
  ConsensusMessage message;
  std::int64_t term = 0;    ///< the sender's term when the message was created; in a later term the message is void
  PersistTicket after = 0;  ///< the newest record that the message depends on
};

/// A record that is not on the disk yet.
struct PendingRecord {
  PersistTicket ticket = 0;       ///< the ticket of the newest record merged into this one; identifies the completion
  PersistTicket firstTicket = 0;  ///< the ticket of the oldest record merged into this one
  DiskRecord record;
  std::int64_t lastLogIndex = 0, lastLogTerm = 0;  ///< the last log entry that the record makes durable
  bool inFlight = false;                           ///< the disk is writing the record
  bool failed = false;                             ///< the last write of the record failed
  TimePoint retryAt{};                             ///< when a failed record may be written again
  Duration pendingFor{0};                          ///< the age of the record, see `RaftCore::agePendingRecords`
};

/// The pending records, oldest first. At most one record is being written; all records that are added meanwhile are
/// merged into one record behind it (group commit). Each sync thus makes durable everything that arrived during the
/// sync before, and the waiting time of an entry does not grow with the number of entries.
///
/// Guarantees: records reach the disk in the order of their sequence numbers, without gaps. After a record has failed,
/// no later record is written before the oldest record succeeds. A deferred message is released only when no record up
/// to its ticket is pending.
class PersistenceQueue {
 public:
  /// Continues after a sequence number that was read from the disk.
  void recoverSequence(std::int64_t sequence) { lastSequence_ = std::max(lastSequence_, sequence); }
  /// Queues a record. The sequence number is assigned when the write begins.
  /// @return the ticket of the record.
  PersistTicket add(DiskRecord record, std::int64_t lastLogIndex, std::int64_t lastLogTerm);
  /// Begins the write of the oldest record, unless a write is in progress or the oldest record has failed.
  /// @return the record to write; null if there is none.
  const PendingRecord* beginOldestWrite();
  PersistTicket newestTicket() const { return lastTicket_; }
  /// Stores a message until its record is on the disk.
  /// @param message is moved from only if the message is stored.
  /// @return false if the record is on the disk already, so the message may be sent now.
  bool defer(DeferredMessage& message);
  /// Whether the record with this ticket, or an older one, is not on the disk yet.
  bool isPending(PersistTicket ticket) const { return !pending_.empty() && pending_.front().firstTicket <= ticket; }
  /// Removes a record that the disk has synced.
  /// @return the record; nothing for an unknown ticket.
  std::optional<PendingRecord> complete(PersistTicket ticket);
  /// Removes and returns the messages whose records are all on the disk.
  std::vector<DeferredMessage> releaseMessages();
  /// Marks a record that the disk failed to write.
  void fail(PersistTicket ticket, TimePoint retryAt);
  /// Whether the oldest record has failed, its retry is due, and no write is in progress.
  bool retryDue(TimePoint now) const;
  /// Begins another write of the oldest record.
  const PendingRecord& retryOldest();
  /// Replaces all pending records by one full record with the sequence number of the oldest record and the ticket of
  /// the newest record. A single write then makes everything durable that was queued while writes failed.
  const PendingRecord& replaceAll(DiskRecord fullRecord, std::int64_t lastLogIndex, std::int64_t lastLogTerm);
  /// Adds `step` to the age of all pending records.
  void advanceAge(Duration step);
  bool oldestFailed() const { return !pending_.empty() && pending_.front().failed; }
  /// The age of the oldest pending record.
  Duration oldestAge() const { return pending_.empty() ? Duration(0) : pending_.front().pendingFor; }
  /// The age of the newest synced record when its sync completed, measured in ticks (`advanceAge`).
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
