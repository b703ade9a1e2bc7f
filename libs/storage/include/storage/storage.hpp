/// @file
/// A member's durable records: what it has voted, acknowledged and taken as a snapshot. One file a record, named by
/// its sequence number. A record is either full (a snapshot, which stands for everything before it) or an increment
/// on the record before it. The full argument for crash safety stands in storage.cpp. All calls block; one thread at
/// a time may use an object.
#pragma once
#include "storage/file_system.hpp"
#include "storage/record_format.hpp"

namespace zinccleat::storage {
class Storage {
 public:
  /// Over the operating system's folder at this path.
  explicit Storage(const std::string& folder);
  /// Over any file system; for tests.
  explicit Storage(std::unique_ptr<FileSystem> files);

  /// Takes the folder for this process until it ends. Fault codes: kLocked if another one holds it; errno if the
  /// lock could not be tried.
  Result<void> lock();

  /// Recovers the records: the newest full one (or number 1, where everything begins) and the unbroken run of
  /// increments above it; nothing for an empty folder. What it returns is durable, also if the process before died
  /// between a rename and the sync of the folder. Older files are removed afterwards.
  /// Fault codes: kDamaged, kOtherFormat, or errno, also of a record's file that the system can't read. After a fault
  /// nothing has been changed.
  Result<std::vector<consensus::DiskRecord>> load();

  /// Makes the next record durable; its number must follow the newest one's. After a fault the same record may be
  /// appended again at any time, whichever step failed. Fault codes: kOutOfOrder, or errno.
  Result<void> append(const consensus::DiskRecord& record);

  /// Removes up to `most` files that a full record made obsolete. Nothing depends on its success: a file that stays
  /// is tried again after the next full record and at the next load.
  /// @return true if more are left.
  bool removeObsolete(std::size_t most);

  /// Moves all records of a damaged disk away under names that `load` passes over; deletes nothing. Safe against
  /// loss of power at each step: until it is done, `load` says kDamaged again or finds an empty folder.
  /// @return the prefix of the new names. Fault code: errno; it may be called again.
  Result<std::string> setAside();

  /// Whether `load` saw records set aside in this folder, now or in an earlier life: an identity was given up here.
  bool hasSetAside() const { return hasSetAside_; }

 private:
  Result<std::vector<consensus::DiskRecord>> readNewestRun(const std::vector<std::int64_t>& sequences);
  Result<void> checkFormat(const std::vector<std::string>& names);
  Result<consensus::DiskRecord> readRecord(std::int64_t sequence);
  Result<void> write(const consensus::DiskRecord& record);
  Result<void> writeSynced(const std::string& name, std::string_view content);
  void takeStock(const std::vector<std::string>& names, const std::vector<consensus::DiskRecord>& run);
  void freeSpace();
  void removeOldestSetAside();

  std::unique_ptr<FileSystem> files_;
  bool loaded_ = false;
  bool hasSetAside_ = false;
  std::int64_t lastSequence_ = 0;
  std::vector<std::string> live_;      // files that the next full record makes obsolete
  std::vector<std::string> obsolete_;  // files that nothing needs any more
};

/// What a start found on the disk.
struct Recovery {
  /// The base (a full record or number 1) first, then its increments; empty: this member starts with nothing.
  std::vector<consensus::DiskRecord> records;
  /// Records were once set aside here: the member may have voted and acknowledged what it no longer knows. It must
  /// neither go on under its old identity nor found a cluster.
  bool identityLost = false;
  /// What the operators should read, a line each.
  std::vector<std::string> warnings;
};
/// The whole recovery at start: lock, load, set a damaged disk aside. After a trouble that may pass (the folder or a
/// file can't be read or synced) it calls `retryAfter` with the fault, which waits and returns true to try again, or
/// returns false to give up with that fault. Neither that nor a fault returned changes anything on the disk.
/// Fault codes: kLocked, kOtherFormat, or errno.
Result<Recovery> recoverStorage(Storage& storage, const std::function<bool(const Error&)>& retryAfter);
}  // namespace zinccleat::storage
