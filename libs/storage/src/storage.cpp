// Crash safety: why appended records survive, and how recovery relies on this.
//
// Record N is written under a temporary name, synced and renamed to `record-N`; then the folder is synced. Only after
// that is record N acknowledged, and only then is record N + 1 started. Storages of one folder may share the sync of
// the folder, since a folder sync covers all earlier creations, renames and removals. Files of records below a full
// record are removed once the full record is acknowledged, without another sync. After any power loss, in which each
// unsynced creation, rename or removal is kept or lost independently, the following holds:
//  - Every acknowledged record from the newest acknowledged full record on exists and is complete.
//  - At most one later record, which was never acknowledged, may exist. Its content was synced before the rename, so
//    the record is complete. Recovery may use it, since it contains what the member was about to acknowledge.
//  - Any subset of the removed files of earlier records may exist again, with any content.
// Recovery therefore starts at the newest record, reads downwards to the first full record, and ignores all files below
// that record. Record 1 also ends the search, even if it is not full: a new member writes increments before its first
// snapshot.
//
// A missing sequence number, a wrong checksum or a missing base cannot result from a power loss: record N is started
// only when all lower records are durable, and its file is renamed only when the content is durable. A record that may
// have been acknowledged is lost in such a case, so recovery reports corruption. The same applies to the newest record,
// because it is unknown whether that record was acknowledged. Recovery cannot detect the loss of the newest
// acknowledged files if no trace of them is left.
//
// A file that the operating system cannot read (EIO, EACCES) is not a corruption, since the content of the file is
// unknown. If members gave up their identities after transient errors, a cluster whose disks all stall at the same time
// would lose all its data.
#include "storage/storage.hpp"

#include <cerrno>

#include "file_names.hpp"

namespace zinccleat::storage {
Storage::Storage(const std::string& folder) : Storage(openPosixFolder(folder)) {}
Storage::Storage(std::unique_ptr<FileSystem> files) : files_(std::move(files)) {}

Result<void> Storage::lock() {
  const auto acquired = files_->lock(kLockName);
  if (!acquired)
    return tl::unexpected(acquired.error());
  if (!*acquired)
    return makeError(ErrorCode::locked, "another process uses this folder");
  return {};
}

// --- Loading ---

Result<std::vector<consensus::DiskRecord>> Storage::load() {
  loaded_ = false;
  const auto names = files_->list();
  if (!names)
    return tl::unexpected(names.error());
  if (const auto old = std::find_if(names->begin(), names->end(), isOldFormatRecord); old != names->end())
    return makeError(ErrorCode::incompatibleFormat, *old + " is in an older format of this program");
  auto run = readNewestRun(sequencesNewestFirst(*names));
  if (!run)
    return run;
  // An earlier process may have ended between a rename and the sync of the folder. The records that are returned here
  // must survive the next power loss.
  if (auto synced = files_->syncFolder(); !synced)
    return tl::unexpected(synced.error());
  classifyFiles(*names, *run);
  removeObsolete(obsoleteFiles_.size());
  return run;
}

Result<std::vector<consensus::DiskRecord>> Storage::readNewestRun(const std::vector<std::int64_t>& sequences) {
  std::vector<consensus::DiskRecord> run;  // newest first, until it is reversed
  for (const auto sequence : sequences) {
    if (!run.empty() && sequence + 1 != run.back().seq)
      return makeError(ErrorCode::corruption, recordName(run.back().seq - 1) + " is missing");
    auto record = readRecord(sequence);
    if (!record)
      return tl::unexpected(record.error());
    const bool base = record->full || record->seq == 1;
    run.push_back(std::move(*record));
    if (!base)
      continue;
    std::reverse(run.begin(), run.end());
    return run;
  }
  if (!run.empty())
    return makeError(ErrorCode::corruption, "no full record below " + recordName(run.back().seq));
  return run;
}

Result<consensus::DiskRecord> Storage::readRecord(std::int64_t sequence) {
  const auto name = recordName(sequence);
  const auto content = files_->read(name);
  if (!content)
    return makeError(content.error().code, name + " can't be read: " + content.error().message,
                     content.error().subcode);
  auto record = decodeRecord(*content);
  if (!record)
    return makeError(record.error().code, name + " " + record.error().message);
  if (record->seq != sequence)
    return makeError(ErrorCode::corruption, name + " contains record " + std::to_string(record->seq));
  return record;
}

void Storage::classifyFiles(const std::vector<std::string>& names, const std::vector<consensus::DiskRecord>& run) {
  const std::int64_t base = run.empty() ? 0 : run.front().seq;
  currentFiles_.clear();
  obsoleteFiles_.clear();
  hasQuarantine_ = false;
  for (const auto& name : names) {
    const auto sequence = recordSequence(name);
    if (sequence && *sequence >= base)
      currentFiles_.push_back(name);
    else if (sequence || isTemporary(name))
      obsoleteFiles_.push_back(name);
    else if (quarantineSet(name) > 0)
      hasQuarantine_ = true;
  }
  lastSequence_ = run.empty() ? 0 : run.back().seq;
  loaded_ = true;
}

// --- Appending ---

Result<void> Storage::append(const consensus::DiskRecord& record) {
  auto appended = stage(record);
  if (appended)
    appended = syncFolder();
  if (appended)
    confirm(record);
  return appended;
}

Result<void> Storage::stage(const consensus::DiskRecord& record) {
  if (!loaded_ || record.seq != lastSequence_ + 1)
    return makeError(ErrorCode::outOfOrder, recordName(record.seq) + " is out of order");
  if (auto written = write(record); !written) {
    if (written.error().subcode == ENOSPC || written.error().subcode == EDQUOT)
      freeSpace();
    return written;
  }
  return {};
}

void Storage::confirm(const consensus::DiskRecord& record) {
  lastSequence_ = record.seq;
  if (record.full) {
    obsoleteFiles_.insert(obsoleteFiles_.end(), currentFiles_.begin(), currentFiles_.end());
    currentFiles_.clear();
  }
  currentFiles_.push_back(recordName(record.seq));
}

// Each step may fail; a retry begins with the first step. A temporary file that a failed attempt left is removed and
// never reused, because its content is undefined once a write or sync has failed. A `record-N` that a failed attempt
// left may not be durable. It is replaced by a new file with a new rename, which the next sync of the folder covers.
Result<void> Storage::write(const consensus::DiskRecord& record) {
  const auto name = recordName(record.seq);
  const auto temporary = temporaryName(name);
  if (auto removed = files_->remove(temporary); !removed)
    return removed;
  auto staged = writeSynced(temporary, encodeRecord(record));
  if (staged)
    staged = files_->rename(temporary, name);
  if (!staged) {
    // Releases the space of the temporary file. The error is ignored, since a retry removes the file first.
    (void)files_->remove(temporary);
  }
  return staged;
}

Result<void> Storage::writeSynced(const std::string& name, std::string_view content) {
  auto file = files_->create(name);
  if (!file)
    return tl::unexpected(file.error());
  while (!content.empty()) {
    const auto written = (*file)->write(content);
    if (!written)
      return tl::unexpected(written.error());
    if (*written == 0)
      return makeError(ErrorCode::ioError, "write " + name + ": nothing was written", ENOSPC);
    content.remove_prefix(*written);
  }
  return (*file)->sync();
}

// --- Removing ---

bool Storage::removeObsolete(std::size_t limit) {
  for (; limit > 0 && !obsoleteFiles_.empty(); --limit) {
    if (!files_->remove(obsoleteFiles_.back()))
      currentFiles_.push_back(obsoleteFiles_.back());
    obsoleteFiles_.pop_back();
  }
  return !obsoleteFiles_.empty();
}

void Storage::freeSpace() {
  removeObsolete(obsoleteFiles_.size());
  removeOldestQuarantine();
}
// Called only when a write fails because the disk is full. Operators need quarantined records for the diagnosis, and
// the records may be the last copy of acknowledged entries. Each failed write removes the oldest quarantine set, but
// never the newest set: a member that cannot write costs the cluster one member, while the newest set may be the only
// copy of its data.
void Storage::removeOldestQuarantine() {
  const auto names = files_->list();
  if (!names)
    return;
  std::map<std::int64_t, std::vector<std::string>> sets;
  for (const auto& name : *names)
    if (const auto set = quarantineSet(name))
      sets[set].push_back(name);
  if (sets.size() < 2)
    return;
  for (const auto& name : sets.begin()->second)
    (void)files_->remove(name);
}

// --- Quarantine ---

// The records are renamed in ascending order, and the folder is synced after each rename. After a power loss, the files
// that still have the name of a record must not look like a complete, older state. In ascending order the base is
// renamed first, so `load` keeps reporting corruption until no record is left. The files stay in the same folder: a
// rename needs no space on a full disk, and a new folder cannot be created in every environment.
Result<std::string> Storage::quarantine() {
  loaded_ = false;
  auto names = files_->list();
  if (!names)
    return tl::unexpected(names.error());
  std::sort(names->begin(), names->end());
  std::int64_t newestSet = 0;
  for (const auto& name : *names)
    newestSet = std::max(newestSet, quarantineSet(name));
  const auto prefix = quarantinePrefix(newestSet + 1);
  for (const auto& name : *names) {
    if (!recordSequence(name) && !isTemporary(name))
      continue;
    if (auto renamed = files_->rename(name, prefix + name); !renamed)
      return tl::unexpected(renamed.error());
    if (auto synced = files_->syncFolder(); !synced)
      return tl::unexpected(synced.error());
  }
  return prefix;
}
}  // namespace zinccleat::storage
