/// @file
/// The start of a controller: checks its settings, recovers its disk and makes its member of the replicated log.
#pragma once
#include "controller_context.hpp"
#include "storage/storage.hpp"
namespace zinccleat::controller {
/// Whether the settings name no other controller that this one could join.
bool seedsNameOnlySelf(const config::Settings& settings);
/// Why no controller can start with these settings, as one line; none: it can.
std::optional<std::string> unusableSettings(const config::Settings& settings);
/// Whether this program can restore a snapshot of the replicated state. Used before a snapshot is installed.
bool snapshotIsValid(const std::string& snapshot);
/// The addresses of the seeds, without ports.
std::vector<std::string> seedAddresses(const config::Settings& settings);

/// The disk as it was found, and the storage that continues from there.
struct RecoveredDisk {
  storage::Storage storage;
  storage::Recovery recovery;
};
/// Blocks until the disk can be read, for as long as its errors may pass.
/// @return the errors of `recoverStorage`; `ErrorCode::ioError` for a state that this program can't restore.
Result<RecoveredDisk> recoverDisk(const std::string& dataDir);
/// Makes `context.raft`: it resumes from the disk's records, founds a cluster with the other seeds on the first start
/// of all, or starts empty as a learner.
/// @param incarnation drawn at random at each start of the process.
void startRaft(ControllerContext& context, const storage::Recovery& recovery, std::uint64_t incarnation);
}  // namespace zinccleat::controller
