// The recovery of a data folder at process start.
#include <cerrno>

#include "storage/storage.hpp"

namespace zinccleat::storage {
namespace {
/// Whether a retry may succeed. A retry cannot succeed if the path or the permissions of the folder are wrong.
bool isTransient(const Error& error) {
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
}  // namespace

Result<Recovery> recoverStorage(Storage& storage, const std::function<bool(const Error&)>& retryAfter) {
  Recovery recovery;
  if (auto locked = storage.lock(); !locked) {
    if (locked.error().code == ErrorCode::locked)
      return tl::unexpected(locked.error());
    // The disk may be full, or the file system may not support locks. Recovery continues, since the lock only protects
    // against operators who start a second process on the folder by mistake.
    recovery.warnings.push_back("no lock on the data folder: " + locked.error().message);
  }
  for (;;) {
    auto records = loadOrQuarantine(storage, recovery.warnings);
    if (records) {
      recovery.records = std::move(*records);
      recovery.identityLost = storage.hasQuarantine();
      return recovery;
    }
    const auto& error = records.error();
    if (error.code == ErrorCode::incompatibleFormat || !isTransient(error) || !retryAfter(error))
      return tl::unexpected(error);
  }
}
}  // namespace zinccleat::storage
