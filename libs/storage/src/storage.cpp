// Crash safety: why appended records survive, and what recovery follows from it.
//
// Record N is written under a temporary name, synced, renamed to `record-N`, and the folder is synced. Only then is it
// acknowledged, and only then is N + 1 started. Storages of one folder may share the sync of the folder. A folder sync
// covers all earlier changes of names. Files below a full record are removed once it is acknowledged, without a sync of
// their own. So after any power loss, in which each unsynced change of a name is kept or lost by itself:
//  - Every acknowledged record from the newest acknowledged full one on exists and is complete.
//  - At most one record above them, which was never acknowledged, may exist too. It was synced before it got its name,
//    so it is complete, and it may be used: it is what the member was about to promise.
//  - Any subset of the removed files below may exist again, in any condition.
// Hence recovery starts at the newest record, walks down to the first full one, and reads nothing below it. Record 1 is
// a base as well, full or not: a new member writes increments before its first snapshot.
//
// On the way down to the base, a missing number, a wrong checksum, or no base at all can't result from a power loss: a
// record gets its number only when all lower ones are durable, and its name only when its content is. Something that
// may have been acknowledged is lost, so the disk is corrupted. This holds for the topmost record too: nothing tells
// whether it was acknowledged. What can't be detected: acknowledged files that vanish from the top without a trace.
//
// A file that the operating system can't read (EIO, EACCES) says nothing about its content. It is no corruption: giving
// up an identity over a transient error would empty a whole cluster whose disks stall at the same time.
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
  // The process before may have ended between a rename and the sync of the folder. What the member relies on from here
  // on must not vanish at the next power loss.
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

// Each step may fail; a retry begins at the first. A temporary file that was left behind is removed, never reused: its
// content is undefined once a write or sync has failed. A `record-N` that was left behind, renamed but perhaps not
// durable, is replaced by a new file with a new rename, which the next sync of the folder must write again.
Result<void> Storage::write(const consensus::DiskRecord& record) {
  const auto name = recordName(record.seq);
  const auto temporary = temporaryName(name);
  if (auto removed = files_->remove(temporary); !removed)
    return removed;
  auto staged = writeSynced(temporary, encodeRecord(record));
  if (staged)
    staged = files_->rename(temporary, name);
  if (!staged) {
    // Only to release its space; the retry would remove it as well.
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
// Called only when a write finds no space: a quarantined disk is the operators' evidence, and may be all that is left
// of what was acknowledged. The oldest set is removed, one for each failed write, but never the newest: a member that
// can't write is one lost member, its last quarantined set may be the only copy.
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

// The records are renamed in rising order, with a sync after each: whatever subset of the renames survives a power
// loss, the files that still have a record's name must not look like a complete, older state. In rising order the base
// goes first, so the corruption stays detectable until there is no base at all. It uses renames in the same folder
// only: they need no space on a full disk, and a new folder can't be created everywhere.
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
