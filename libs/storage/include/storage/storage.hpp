/// @file
/// A controller's durable records: its votes, its log and its snapshots, one file for each record, named by the
/// record's sequence number.
///
/// A record is full (a snapshot, which supersedes all records before it) or an increment on the record before it. Its
/// lifecycle:
///
///     append: written to a temporary file, synced, renamed, folder synced  ->  current
///     a later full record is appended                                      ->  obsolete, removed by removeObsolete
///     load finds a corrupted record                                        ->  quarantine: all are renamed, none lost
///
/// An appended record survives any process crash and any power loss. A record whose `append` failed may or may not be
/// there after a restart. The argument for crash safety is at the head of storage.cpp.
///
/// Errors: ErrorCode::corruption (a durable record is missing or invalid), incompatibleFormat (written by another
/// version of this program), locked, outOfOrder, and ioError with `errno` in `Error::subcode`.
#pragma once
#include "storage/file_system.hpp"
#include "storage/record_format.hpp"

namespace zinccleat::storage {
/// The records of one data folder. All calls block. An object may move between threads, but only one may use it at a
/// time.
class Storage {
 public:
  /// Opens a folder of the operating system; nothing is read yet.
  explicit Storage(const std::string& folder);
  /// Opens a folder of any file system, for tests.
  explicit Storage(std::unique_ptr<FileSystem> files);

  /// Locks the folder for this process until the object is destroyed or the process ends.
  /// @return ErrorCode::locked if another process has the lock; ioError if locking failed.
  Result<void> lock();

  /// Recovers the records: the newest full one (or number 1, where the sequence starts) and the unbroken run of
  /// increments above it; nothing for an empty folder. What it returns is durable, even if the process before ended
  /// between a rename and the sync of the folder. Obsolete files are removed.
  /// @return corruption, incompatibleFormat, or ioError, also for a record that cannot be read. After an error nothing
  ///         on the disk has changed.
  Result<std::vector<consensus::DiskRecord>> load();

  /// Makes the next record durable. After an error the same record may be appended again at any time, whichever step
  /// failed. If there was no space (ENOSPC, EDQUOT), obsolete files and the oldest quarantine set but the newest are
  /// removed first, so that the retry may succeed.
  /// @return outOfOrder if nothing was loaded, or if its number does not follow the newest record's; ioError.
  Result<void> append(const consensus::DiskRecord& record);

  /// `append` in three steps, for storages of one folder that share the sync of the folder. Writes the record and gives
  /// it its name; it is not durable yet.
  /// @return as `append`, which may be called instead, or this again, after an error.
  Result<void> stage(const consensus::DiskRecord& record);
  /// Makes the names of all records durable that were staged in the folder, by whichever storage.
  Result<void> syncFolder() { return files_->syncFolder(); }
  /// The folder was synced after `record` was staged: it is the newest one now.
  void confirm(const consensus::DiskRecord& record);

  /// Removes up to `limit` files that a full record made obsolete. Nothing depends on its success: a file that stays is
  /// removed after the next full record or at the next load.
  /// @return true if more are left.
  bool removeObsolete(std::size_t limit);

  /// Renames all records of a corrupted disk to names that `load` ignores; deletes nothing. Safe against power loss at
  /// each step: until it is complete, `load` reports corruption again or finds an empty folder. Afterwards the folder
  /// must be loaded again.
  /// @return the prefix of the new names; ioError, after which it may be called again.
  Result<std::string> quarantine();

  /// Whether `load` found quarantined records, of this or an earlier incarnation of the process.
  bool hasQuarantine() const { return hasQuarantine_; }

 private:
  /// @param sequences of all records on the disk, newest first.
  Result<std::vector<consensus::DiskRecord>> readNewestRun(const std::vector<std::int64_t>& sequences);
  Result<consensus::DiskRecord> readRecord(std::int64_t sequence);
  Result<void> write(const consensus::DiskRecord& record);
  Result<void> writeSynced(const std::string& name, std::string_view content);
  void classifyFiles(const std::vector<std::string>& names, const std::vector<consensus::DiskRecord>& run);
  void freeSpace();
  void removeOldestQuarantine();

  std::unique_ptr<FileSystem> files_;
  bool loaded_ = false;
  bool hasQuarantine_ = false;
  std::int64_t lastSequence_ = 0;
  std::vector<std::string> currentFiles_;   // the next full record makes them obsolete
  std::vector<std::string> obsoleteFiles_;  // superseded, to be removed
};

/// What `recoverStorage` found on the disk.
struct Recovery {
  /// The base (a full record or number 1) first, then its increments; empty: the member starts without a state.
  std::vector<consensus::DiskRecord> records;
  /// Records were quarantined here, now or earlier: the member may have voted or acknowledged entries that it no
  /// longer knows of. It must neither continue under its old identity nor bootstrap a cluster.
  bool identityLost = false;
  /// Messages for the operator, a line each.
  std::vector<std::string> warnings;
};
/// Recovers a data folder at start: locks it, loads the records, and quarantines a corrupted disk.
/// @param retryAfter called after each transient error; it waits and returns true to retry, false to give up with that
///        error. Neither changes anything on the disk.
/// @return locked, incompatibleFormat, or ioError: a permanent one (a missing folder, missing rights) at once, a
///         transient one if `retryAfter` gives up.
Result<Recovery> recoverStorage(Storage& storage, const std::function<bool(const Error&)>& retryAfter);
}  // namespace zinccleat::storage
