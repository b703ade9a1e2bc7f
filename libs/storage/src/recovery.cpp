// The recovery of a data folder at process start.
#include "runtime/startup.hpp"
#include "storage/storage.hpp"

namespace zinccleat::storage {
namespace {
/// Loads the records; a corrupted disk is quarantined first.
Result<std::vector<consensus::DiskRecord>> loadOrQuarantine(Storage& storage, std::vector<std::string>& warnings) {
  for (;;) {
    auto records = storage.load();
    if (records || records.error().code != ErrorCode::corruption)
      return records;
    const auto prefix = storage.quarantine();
    if (!prefix)
      return tl::unexpected(prefix.error());
    warnings.push_back("disk corrupted: " + records.error().message + "; all records are quarantined as " + *prefix +
                       "*, and the member starts as a new one");
  }
}
/// Locks the folder; waits while another process has locked it.
Result<void> lockFolder(Storage& storage, const std::function<bool(const Error&)>& retryAfter) {
  for (;;) {
    auto locked = storage.lock();
    if (locked || locked.error().code != ErrorCode::locked || !retryAfter(locked.error()))
      return locked;
  }
}
}  // namespace

Result<Recovery> recoverStorage(Storage& storage, const std::function<bool(const Error&)>& retryAfter) {
  Recovery recovery;
  const auto locked = lockFolder(storage, retryAfter);
  if (!locked && locked.error().code == ErrorCode::locked)
    return tl::unexpected(locked.error());
  // The disk may be full, or the file system may not support locks. Recovery continues, since the lock only protects
  // against a second process on the folder: one that operators start by mistake, or a previous one that is ending.
  if (!locked)
    recovery.warnings.push_back("no lock on the data folder: " + locked.error().message);
  for (;;) {
    auto records = loadOrQuarantine(storage, recovery.warnings);
    if (records) {
      recovery.records = std::move(*records);
      recovery.identityLost = storage.hasQuarantine();
      return recovery;
    }
    const auto& error = records.error();
    if (runtime::obstacleOf(error) == runtime::Obstacle::permanent || !retryAfter(error))
      return tl::unexpected(error);
  }
}
}  // namespace zinccleat::storage
