/// @file
/// The durable records of a controller: its votes, its log and its snapshots. Each record is a file that is named after
/// the record's sequence number.
///
/// A record is either full (a snapshot, which supersedes all earlier records) or an increment on the record before it.
/// The lifecycle of a record:
///
///     append: written to a temporary file, synced, renamed, folder synced  ->  current
///     a later full record is appended                                      ->  obsolete, removed by removeObsolete
///     load finds a corrupted record                                        ->  quarantine: renames all, deletes none
///
/// An appended record survives any process crash and any power loss. A record whose `append` failed may or may not
/// exist after a restart. The comment at the top of storage.cpp explains the crash safety.
///
/// Errors: ErrorCode::corruption (a durable record is missing or invalid), incompatibleFormat (another version of this
/// program wrote the record), locked, outOfOrder, and ioError with `errno` in `Error::subcode`.
#pragma once
#include "storage/file_system.hpp"
#include "storage/record_format.hpp"

namespace zinccleat::storage {
/// The records of one data folder. All calls block. An object may be used from several threads, but not from two
/// threads at the same time.
class Storage {
 public:
  /// Opens a folder of the operating system without reading it.
  explicit Storage(const std::string& folder);
  /// Opens a folder of any file system, for tests.
  explicit Storage(std::unique_ptr<FileSystem> files);

  /// Locks the folder for this process until the object is destroyed or the process ends.
  /// @return ErrorCode::locked if another process has the lock; ioError if locking failed.
  Result<void> lock();

  /// Loads the base, which is the newest full record or record 1, and the consecutive increments after the base. The
  /// returned records are durable, even if an earlier process ended between a rename and the sync of the folder.
  /// Removes obsolete files.
  /// @return the records in order, none for an empty folder; corruption, incompatibleFormat, or ioError, also for a
  ///         record that cannot be read. After an error nothing on the disk has changed.
  Result<std::vector<consensus::DiskRecord>> load();

  /// Makes the next record durable. After an error the same record may be appended again at any time, regardless of the
  /// step that failed. If the disk is full (ENOSPC, EDQUOT), the call fails after removing obsolete files and the
  /// oldest quarantine set, but never the newest set, so that a retry may succeed.
  /// @return outOfOrder if nothing was loaded, or if the sequence number does not follow the newest record; ioError.
  Result<void> append(const consensus::DiskRecord& record);

  /// First step of `append`, for storages that share a folder and its sync: `stage`, `syncFolder`, `confirm`. Writes
  /// and syncs the record's file under its final name. The name is not durable yet.
  /// @return as `append`. After an error, `stage` or `append` may be called again.
  Result<void> stage(const consensus::DiskRecord& record);
  /// Second step of `append`: makes the names of all staged records durable, including those of other storages in the
  /// folder.
  Result<void> syncFolder() { return files_->syncFolder(); }
  /// Last step of `append`, after the folder was synced: makes `record` the newest record.
  void confirm(const consensus::DiskRecord& record);

  /// Removes up to `limit` files that a full record made obsolete. A failed removal is harmless: the file is removed
  /// after the next full record or at the next load.
  /// @return true if more obsolete files are left.
  bool removeObsolete(std::size_t limit);

  /// Renames all records of a corrupted disk to names that `load` ignores; deletes nothing. Safe against power loss at
  /// each step: until the quarantine is complete, `load` reports corruption again or finds an empty folder. Afterwards
  /// `load` must be called again.
  /// @return the prefix of the new names; ioError, after which `quarantine` may be called again.
  Result<std::string> quarantine();

  /// Whether `load` found quarantined records, from this process or an earlier one.
  bool hasQuarantine() const { return hasQuarantine_; }

 private:
  /// @param sequences the sequence numbers of all records on the disk, newest first.
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
  std::vector<std::string> currentFiles_;   // the next full record makes these files obsolete
  std::vector<std::string> obsoleteFiles_;  // to be removed by `removeObsolete`
};

/// The result of `recoverStorage`.
struct Recovery {
  /// The base (a full record or record 1) first, then the increments on the base; empty: the member starts without a
  /// state.
  std::vector<consensus::DiskRecord> records;
  /// Records were quarantined in this folder, now or earlier. The member may have cast votes or acknowledged entries
  /// that are lost, so it must neither continue under its old identity nor bootstrap a cluster.
  bool identityLost = false;
  /// Messages for the operator, one line each.
  std::vector<std::string> warnings;
};
/// Recovers a data folder at process start: locks the folder, loads the records, and quarantines a corrupted disk.
/// @param retryAfter is called after each transient error, and while another process has locked the folder. It waits
/// and
///        returns true to retry, or returns false to make `recoverStorage` return that error. A transient error changes
///        nothing on the disk.
/// @return locked, incompatibleFormat, or ioError. A permanent ioError (a missing folder, missing permissions) is
///         returned at once, the others only if `retryAfter` returns false.
Result<Recovery> recoverStorage(Storage& storage, const std::function<bool(const Error&)>& retryAfter);
}  // namespace zinccleat::storage
