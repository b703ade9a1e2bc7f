// Why records survive, and what follows from it for recovery.
//
// A record N is written under a temporary name, synced, renamed to `record-N`, and the folder is synced; only then is
// it acknowledged, and only then is N + 1 begun. A folder sync covers all earlier names. Files below a full record
// are removed once it is acknowledged, without a sync of their own. So after any loss of power, with each unsynced
// name kept or lost by itself:
//  - every acknowledged record from the newest acknowledged full one on is there and whole;
//  - at most one record above them, never acknowledged, may be there too. It was synced before it got its name, so it
//    is whole, and it may count: it is what the member was about to promise;
//  - any subset of the removed ones below may be back. They are rubbish, whatever state they are in.
// Hence recovery starts at the newest record, walks down to the first full one, and looks at nothing below it. Record
// 1 is a base as well, full or not: a newcomer writes increments before its first snapshot.
//
// On the way down to the base, a missing number, a checksum that fails, or no base at all can't come from a loss of
// power: a record only gets its number once all lower ones are durable, and its name once its content is. Something
// that was perhaps acknowledged is gone, so the disk is damaged, also if it is the topmost record that fails: nothing
// tells whether it was acknowledged. What can't be seen: acknowledged files that vanish from the top without a trace.
//
// A file that the system can't read (EIO, EACCES) says nothing of its content. It is no damage: giving up an identity
// over a trouble that passes would empty a whole core whose disks stall at once.
#include "storage/storage.hpp"

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <ranges>

namespace zinccleat::storage {
namespace {
constexpr const char* kLockName = "lock";
constexpr std::string_view kRecordPrefix = "record-";
constexpr std::string_view kTemporarySuffix = ".tmp";
constexpr std::string_view kSetAsidePrefix = "damaged-";
constexpr std::string_view kOlderRecordPrefix = "page-";  // formats 1 to 3

bool startsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}
bool endsWith(std::string_view text, std::string_view suffix) {
  return text.size() >= suffix.size() && text.substr(text.size() - suffix.size()) == suffix;
}
bool isTemporary(std::string_view name) {
  return startsWith(name, kRecordPrefix) && endsWith(name, kTemporarySuffix);
}
std::string setAsidePrefix(long long number) {
  char prefix[40];
  std::snprintf(prefix, sizeof prefix, "%s%06lld-", kSetAsidePrefix.data(), number);
  return prefix;
}
/// The number of the set that a file was set aside in; 0 for any other file.
long long setAsideNumber(const std::string& name) {
  if (!startsWith(name, kSetAsidePrefix))
    return 0;
  const auto number = std::strtoll(name.c_str() + kSetAsidePrefix.size(), nullptr, 10);
  return number > 0 && startsWith(name, setAsidePrefix(number)) ? number : 0;
}
std::vector<std::int64_t> sequencesIn(const std::vector<std::string>& names) {
  std::vector<std::int64_t> sequences;
  for (auto& name : names)
    if (const auto sequence = recordSequence(name))
      sequences.push_back(*sequence);
  std::sort(sequences.begin(), sequences.end());
  return sequences;
}
}  // namespace

Storage::Storage(const std::string& folder) : Storage(openPosixFolder(folder)) {}
Storage::Storage(std::unique_ptr<FileSystem> files) : files_(std::move(files)) {}

Result<void> Storage::lock() {
  const auto taken = files_->lock(kLockName);
  if (!taken)
    return tl::unexpected(taken.error());
  if (!*taken)
    return makeError(ErrorCode::locked, "another process uses this folder");
  return {};
}

Result<std::vector<consensus::DiskRecord>> Storage::load() {
  loaded_ = false;
  const auto names = files_->list();
  if (!names)
    return tl::unexpected(names.error());
  if (auto known = checkFormat(*names); !known)
    return tl::unexpected(known.error());
  auto run = readNewestRun(sequencesIn(*names));
  if (!run)
    return run;
  // Why: the process before may have died between a rename and the sync of the folder. What counts from here on must
  // not vanish at the next loss of power.
  if (auto synced = files_->syncFolder(); !synced)
    return tl::unexpected(synced.error());
  takeStock(*names, *run);
  removeObsolete(obsolete_.size());
  return run;
}

Result<void> Storage::checkFormat(const std::vector<std::string>& names) {
  for (auto& name : names)
    if (startsWith(name, kOlderRecordPrefix))
      return makeError(ErrorCode::incompatibleFormat, name + " is in an older format of this program");
  return {};
}

Result<std::vector<consensus::DiskRecord>> Storage::readNewestRun(const std::vector<std::int64_t>& sequences) {
  std::vector<consensus::DiskRecord> run;  // newest first, until it is turned round
  for (long sequence : std::ranges::reverse_view(sequences)) {
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
    return makeError(ErrorCode::corruption, name + " holds record " + std::to_string(record->seq));
  return record;
}

void Storage::takeStock(const std::vector<std::string>& names, const std::vector<consensus::DiskRecord>& run) {
  const std::int64_t base = run.empty() ? 0 : run.front().seq;
  live_.clear();
  obsolete_.clear();
  hasSetAside_ = false;
  for (auto& name : names) {
    const auto sequence = recordSequence(name);
    if (sequence && *sequence >= base)
      live_.push_back(name);
    else if (sequence || isTemporary(name))
      obsolete_.push_back(name);
    else if (setAsideNumber(name) > 0)
      hasSetAside_ = true;
  }
  lastSequence_ = run.empty() ? 0 : run.back().seq;
  loaded_ = true;
}

Result<void> Storage::append(const consensus::DiskRecord& record) {
  if (!loaded_ || record.seq != lastSequence_ + 1)
    return makeError(ErrorCode::outOfOrder, recordName(record.seq) + " is out of order");
  if (auto written = write(record); !written) {
    if (written.error().subcode == ENOSPC || written.error().subcode == EDQUOT)
      freeSpace();
    return written;
  }
  lastSequence_ = record.seq;
  if (record.full) {
    obsolete_.insert(obsolete_.end(), live_.begin(), live_.end());
    live_.clear();
  }
  live_.push_back(recordName(record.seq));
  return {};
}

// Each step may fail; the retry begins at the first. A temporary file that is left over is removed, never reused: its
// content is unknown once a write or sync has failed. A `record-N` that is left over, renamed but perhaps not
// durable, is replaced by a new file under a new rename, which the folder's next sync must write again.
Result<void> Storage::write(const consensus::DiskRecord& record) {
  const auto name = recordName(record.seq);
  const auto temporary = name + std::string(kTemporarySuffix);
  if (auto removed = files_->remove(temporary); !removed)
    return removed;
  auto placed = writeSynced(temporary, encodeRecord(record));
  if (placed)
    placed = files_->rename(temporary, name);
  if (!placed) {
    // Only to give its room back; the retry would remove it as well.
    (void)files_->remove(temporary);
    return placed;
  }
  return files_->syncFolder();
}

Result<void> Storage::writeSynced(const std::string& name, std::string_view content) {
  auto file = files_->create(name);
  if (!file)
    return tl::unexpected(file.error());
  while (!content.empty()) {
    const auto taken = (*file)->write(content);
    if (!taken)
      return tl::unexpected(taken.error());
    if (*taken == 0)
      return makeError(ErrorCode::ioError, "write " + name + ": nothing taken", ENOSPC);
    content.remove_prefix(*taken);
  }
  return (*file)->sync();
}

bool Storage::removeObsolete(std::size_t most) {
  for (; most > 0 && !obsolete_.empty(); --most) {
    if (!files_->remove(obsolete_.back()))
      live_.push_back(obsolete_.back());
    obsolete_.pop_back();
  }
  return !obsolete_.empty();
}

// Why only here: a set-aside disk is the operators' evidence and may be all that is left of what was acknowledged. It
// stays as long as there is room. When a write finds none, the oldest set goes, one a failed write, but never the
// newest: a member that can't write is one lost member, its last copy may be the only one.
void Storage::freeSpace() {
  removeObsolete(obsolete_.size());
  removeOldestSetAside();
}
void Storage::removeOldestSetAside() {
  const auto names = files_->list();
  if (!names)
    return;
  std::map<long long, std::vector<std::string>> sets;
  for (auto& name : *names)
    if (const auto number = setAsideNumber(name))
      sets[number].push_back(name);
  if (sets.size() < 2)
    return;
  for (auto& name : sets.begin()->second)
    (void)files_->remove(name);
}

// Why upward, with a sync after each: whatever subset of the renames survives a loss of power, what still bears a
// record's name must not look like a whole, older state. Upward, the base goes before anything above it, so the
// damage that was found stays visible until there is no base at all. Renames only, in the same folder: they need no
// room on a full disk, and folders can't be made everywhere.
Result<std::string> Storage::setAside() {
  loaded_ = false;
  auto names = files_->list();
  if (!names)
    return tl::unexpected(names.error());
  std::sort(names->begin(), names->end());
  long long newest = 0;
  for (auto& name : *names)
    newest = std::max(newest, setAsideNumber(name));
  const auto prefix = setAsidePrefix(newest + 1);
  for (auto& name : *names) {
    if (!recordSequence(name) && !isTemporary(name))
      continue;
    if (auto moved = files_->rename(name, prefix + name); !moved)
      return tl::unexpected(moved.error());
    if (auto synced = files_->syncFolder(); !synced)
      return tl::unexpected(synced.error());
  }
  return prefix;
}

namespace {
/// Whether waiting may help; it doesn't where the folder or its rights are set up wrongly.
bool mayPass(const Error& error) {
  switch (error.subcode) {
    case ENOENT:
    case ENOTDIR:
    case EISDIR:
    case EACCES:
    case EPERM:
    case ELOOP:
    case ENAMETOOLONG:
      return false;
    default:
      return true;
  }
}
}  // namespace

Result<Recovery> recoverStorage(Storage& storage, const std::function<bool(const Error&)>& retryAfter) {
  Recovery recovery;
  if (auto locked = storage.lock(); !locked) {
    if (locked.error().code == ErrorCode::locked)
      return tl::unexpected(locked.error());
    // A disk that takes no new file, or knows no locks: the lock guards against a mistake only, so go on without it.
    recovery.warnings.push_back("no lock on the data folder: " + locked.error().message);
  }
  for (;;) {
    auto records = storage.load();
    if (records) {
      recovery.records = std::move(*records);
      recovery.identityLost = storage.hasSetAside();
      return recovery;
    }
    auto trouble = records.error();
    if (trouble.code == ErrorCode::incompatibleFormat)
      return tl::unexpected(trouble);
    if (trouble.code == ErrorCode::corruption) {
      const auto prefix = storage.setAside();
      if (prefix) {
        recovery.warnings.push_back("disk damaged: " + trouble.message + "; all records are set aside as " + *prefix +
                                    "*, and the member starts as a new one");
        continue;
      }
      trouble = prefix.error();
    }
    if (!mayPass(trouble) || !retryAfter(trouble))
      return tl::unexpected(trouble);
  }
}
}  // namespace zinccleat::storage
