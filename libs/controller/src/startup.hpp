/// @file
/// The start of a controller: checks its settings, recovers its disk and makes its member of the replicated log.
#pragma once
#include "controller_context.hpp"
#include "storage/storage.hpp"
namespace zinccleat::controller {
/// The port of the coordination service's links, counted from the first of the machine's internal ports.
constexpr int kCoordinationPortOffset = 2;
/// The port of the links between replicated counters, counted likewise.
constexpr int kCounterPortOffset = 3;
/// Whether the settings name no other controller that this one could join.
bool seedsContainOnlySelf(const config::Settings& settings);
/// Why no controller can start with these settings, as one line; none: it can.
std::optional<std::string> settingsError(const config::Settings& settings);
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
/// @param dataDir for messages.
/// @param isValid whether this program can restore a snapshot that the storage holds.
/// @return the errors of `recoverStorage`; `ErrorCode::ioError` for a state that this program can't restore.
Result<RecoveredDisk> recoverDisk(const std::string& dataDir, storage::Storage storage,
                                  const std::function<bool(const std::string&)>& isValid);
/// Makes `context.raft`: it resumes from the disk's records, founds a cluster with the other seeds on the first start
/// of all, or starts empty as a learner.
/// @param incarnation drawn at random at each start of the process.
void startRaft(ControllerContext& context, const storage::Recovery& recovery, std::uint64_t incarnation);
/// Makes the member of a shard of the coordination service: it resumes from its own records, or starts empty, as a
/// machine that joins. Whether it founds the shard's log instead is not known yet, see `foundShardMember`.
std::unique_ptr<consensus::RaftNode> startShardMember(const ControllerContext& context,
                                                      const storage::Recovery& recovery,
                                                      const consensus::RaftOptions& options, std::uint64_t incarnation);
/// Makes the member of a shard that founds the shard's log, together with the other founders that were agreed on; null:
/// this machine is none of them. Only for a machine that has no records of the shard and has not lost any: it has never
/// voted there. Each founder starts from the same state, whenever that is.
std::unique_ptr<consensus::RaftNode> foundShardMember(const ControllerContext& context,
                                                      const consensus::RaftOptions& options, std::uint64_t incarnation);
}  // namespace zinccleat::controller
