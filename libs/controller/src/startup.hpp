/// @file
/// Startup of a controller: checks the settings, recovers the disk and creates the Raft node.
#pragma once
#include "controller_context.hpp"
#include "runtime/startup.hpp"
#include "storage/storage.hpp"
#include "storage_thread.hpp"
namespace zinccleat::controller {
/// Offset of the port for the coordination service's connections from the first of the machine's internal ports.
constexpr int kCoordinationPortOffset = 2;
/// Offset of the port for the replicated counters' connections from the first of the machine's internal ports.
constexpr int kCounterPortOffset = 3;
/// Whether the settings name no other controller that this one could join.
bool seedsContainOnlySelf(const config::Settings& settings);
/// Returns the reason why no controller can start with these settings, as one line; none: the settings are usable.
std::optional<std::string> settingsError(const config::Settings& settings);
/// Whether this program can restore a snapshot of the replicated state. Checked before a snapshot is installed.
bool snapshotIsValid(const std::string& snapshot);
/// Returns the addresses of the seeds, without ports.
std::vector<std::string> seedAddresses(const config::Settings& settings);

/// The records found on the disk, and the storage that continues after them.
struct RecoveredDisk {
  storage::Storage storage;
  storage::Recovery recovery;
};
/// What the recovery of a storage needs: the waits of the start, the thread that may block on the disk, and the data
/// directory.
struct DiskRecovery {
  runtime::Startup& startup;
  DiskThread& thread;
  const std::string& dataDir;
};
/// Starts the thread that may block on the disk.
/// @return `ErrorCode::ioError` if the machine has no thread left.
Result<std::shared_ptr<DiskThread>> startDiskThread();
/// Recovers a storage on the disk thread. Retries errors that may be temporary within the limits of the start.
/// @param isValid whether this program can restore a snapshot found in the storage.
/// @return the errors of `recoverStorage`; `ErrorCode::ioError` for a state that this program cannot restore.
Result<RecoveredDisk> recoverDisk(const DiskRecovery& disk, storage::Storage storage,
                                  const std::function<bool(const std::string&)>& isValid);
/// Creates `context.raft`. The Raft node resumes from the records on disk, founds a cluster with the other seeds at the
/// cluster's very first start, or starts empty as a learner.
/// @param incarnation random number drawn at each start of the process.
void startRaft(ControllerContext& context, const storage::Recovery& recovery, std::uint64_t incarnation);
/// Creates this machine's member of a shard of the coordination service. The member resumes from its own records or
/// starts empty, as a machine that joins. Whether it founds the shard's log instead is decided later; see
/// `foundShardMember`.
std::unique_ptr<consensus::RaftNode> startShardMember(const ControllerContext& context,
                                                      const storage::Recovery& recovery,
                                                      const consensus::RaftOptions& options, std::uint64_t incarnation);
/// Creates a member that founds the shard's log together with the other agreed founders; null: this machine is not one
/// of the founders. Only for a machine that has no records of the shard and has not lost any, which means that it has
/// never voted in the shard. Each founder starts from the same state, at any time.
std::unique_ptr<consensus::RaftNode> foundShardMember(const ControllerContext& context,
                                                      const consensus::RaftOptions& options, std::uint64_t incarnation);
}  // namespace zinccleat::controller
