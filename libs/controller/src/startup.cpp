#include "startup.hpp"

#include <system_error>

#include "runtime/log_ring.hpp"

namespace zinccleat::controller {
namespace {
/// How a member of the replicated log starts.
enum class StartKind { resumes, founds, joins };
const char* nameOf(StartKind kind) {
  switch (kind) {
    case StartKind::resumes:
      return "resumes";
    case StartKind::founds:
      return "founds";
    case StartKind::joins:
      return "joins";
  }
  return "";
}
StartKind startKindOf(const config::Settings& settings, const storage::Recovery& recovery) {
  if (!recovery.records.empty())
    return StartKind::resumes;
  const auto seeds = seedAddresses(settings);
  const bool isSeed = std::find(seeds.begin(), seeds.end(), settings.ip) != seeds.end();
  // A member whose corrupted records were set aside may have voted as a founder without any record of the vote, so it
  // joins as a new member.
  return settings.initialAttach && isSeed && !recovery.identityLost ? StartKind::founds : StartKind::joins;
}
consensus::MemberId founderId(const std::string& address) {
  return address + "#0";
}
consensus::MemberId newMemberId(const std::string& address, std::uint64_t incarnation) {
  return address + "#" + std::to_string(incarnation | 1);  // never 0, which marks a founder
}
consensus::MemberId selfId(StartKind kind, const config::Settings& settings, const storage::Recovery& recovery,
                           std::uint64_t incarnation) {
  switch (kind) {
    case StartKind::resumes:
      return recovery.records.front().self;
    case StartKind::founds:
      return founderId(settings.ip);
    case StartKind::joins:
      break;
  }
  return newMemberId(settings.ip, incarnation);
}
std::vector<consensus::MemberId> founderIds(const config::Settings& settings) {
  std::vector<consensus::MemberId> founders;
  for (const auto& seed : seedAddresses(settings))
    founders.push_back(founderId(seed));
  return founders;
}
/// Checks all snapshots before the records are used: a member whose state this program cannot restore must neither lead
/// nor vote.
Result<void> checkSnapshots(const std::string& dataDir, const std::vector<consensus::DiskRecord>& records,
                            const std::function<bool(const std::string&)>& isValid) {
  for (const auto& record : records)
    if (record.full && !record.state.empty() && !isValid(record.state))
      return makeError(ErrorCode::ioError,
                       dataDir + ": record " + std::to_string(record.seq) + " holds a state that can't be restored");
  return {};
}
/// Runs on the disk thread. Nothing on the disk is changed before the recovery succeeds.
Result<RecoveredDisk> recoverHere(storage::Storage storage, runtime::Startup& startup) {
  auto recovery =
      storage::recoverStorage(storage, [&startup](const Error& error) { return startup.retryAfter(error); });
  if (!recovery)
    return tl::unexpected(recovery.error());
  return RecoveredDisk{std::move(storage), std::move(*recovery)};
}
}  // namespace

std::vector<std::string> seedAddresses(const config::Settings& settings) {
  std::vector<std::string> addresses;
  addresses.reserve(settings.seeds.size());
  for (const auto& seed : settings.seeds)
    addresses.push_back(seed.substr(0, seed.rfind(':')));
  return addresses;
}
bool seedsContainOnlySelf(const config::Settings& settings) {
  const auto seeds = seedAddresses(settings);
  return std::all_of(seeds.begin(), seeds.end(), [&](const auto& seed) { return seed == settings.ip; });
}
std::optional<std::string> settingsError(const config::Settings& settings) {
  if (settings.dataDir.empty())
    return "settings have no dataDir, which a controller requires";
  if (settings.lastPort < settings.firstPort + kCounterPortOffset)
    return "internalPorts must contain at least four ports";
  if (settings.initialAttach && seedsContainOnlySelf(settings) && settings.toleratedMachineFailures > 0)
    return "seedNodes contain only this machine, but faultTolerance.machines is " +
           std::to_string(settings.toleratedMachineFailures) + ": a single controller tolerates no machine failure";
  return std::nullopt;
}
bool snapshotIsValid(const std::string& snapshot) {
  state_machine::ReplicatedState probe;
  return probe.restore(snapshot).has_value();
}
Result<std::shared_ptr<DiskThread>> startDiskThread() {
  try {
    return std::make_shared<DiskThread>();
  } catch (const std::system_error& error) {
    return makeError(ErrorCode::ioError, std::string("no thread for the disk: ") + error.what(), error.code().value());
  }
}
Result<RecoveredDisk> recoverDisk(const DiskRecovery& disk, storage::Storage storage,
                                  const std::function<bool(const std::string&)>& isValid) {
  auto recovered =
      disk.startup.await(disk.thread.run([&startup = disk.startup, storage = std::move(storage)]() mutable {
        return recoverHere(std::move(storage), startup);
      }));
  if (!recovered) {
    auto error = recovered.error();
    const bool otherFormat = error.code == ErrorCode::incompatibleFormat;
    const char* advice = otherFormat ? "; start that version, or empty the folder to join as a new member" : "";
    return makeError(error.code, disk.dataDir + ": " + error.message + advice, error.subcode);
  }
  for (const auto& warning : recovered->recovery.warnings)
    log::info("disk_recovery_warning", {{"path", disk.dataDir}, {"reason", warning}});
  if (auto valid = checkSnapshots(disk.dataDir, recovered->recovery.records, isValid); !valid)
    return tl::unexpected(valid.error());
  return recovered;
}
void startRaft(ControllerContext& context, const storage::Recovery& recovery, std::uint64_t incarnation) {
  const auto& settings = context.settings;
  const auto kind = startKindOf(settings, recovery);
  const auto self = selfId(kind, settings, recovery, incarnation);
  const auto seeds = seedAddresses(settings);
  const auto now = Clock::now();  // read after the disk recovery, which may take long
  consensus::RaftOptions options;
  options.largeBodyBytes = kLargeBodyBytes;
  options.snapshotIsValid = snapshotIsValid;
  context.raft = std::make_unique<consensus::RaftNode>(self, options, incarnation, now);
  context.raft->setSeedAddresses(seeds);
  for (const auto& seed : seeds)
    context.view.add(viewNameOfController(seed));
  if (kind == StartKind::resumes)
    context.raft->recover(recovery.records, now);
  if (kind == StartKind::founds)
    context.raft->bootstrap(founderIds(settings), now);
  // The process continues anyway: the other controllers may only be down, and reloaded settings may name them.
  if (kind == StartKind::joins && seedsContainOnlySelf(settings)) {
    ++context.seedsDeclined;
    log::info("no_seed_to_join", {{"member", self}, {"reason", "seedNodes contain only this machine"}});
  }
  log::debug("controller_started", {{"member", self}, {"start", nameOf(kind)}});
}
std::unique_ptr<consensus::RaftNode> startShardMember(const ControllerContext& context,
                                                      const storage::Recovery& recovery,
                                                      const consensus::RaftOptions& options,
                                                      std::uint64_t incarnation) {
  const bool resumes = !recovery.records.empty();
  const auto self =
      resumes ? consensus::MemberId(recovery.records.front().self) : newMemberId(context.settings.ip, incarnation);
  const auto now = Clock::now();  // read after the disk recovery, which may take long
  auto member = std::make_unique<consensus::RaftNode>(self, options, incarnation, now);
  member->setSeedAddresses(seedAddresses(context.settings));
  if (resumes)
    member->recover(recovery.records, now);
  return member;
}
std::unique_ptr<consensus::RaftNode> foundShardMember(const ControllerContext& context,
                                                      const consensus::RaftOptions& options,
                                                      std::uint64_t incarnation) {
  const auto& founding = context.replica.state().shardFounding;
  const auto& self = context.raft->self();
  if (!founding.isFounder(self))
    return nullptr;
  const auto now = Clock::now();
  auto member = std::make_unique<consensus::RaftNode>(self, options, incarnation, now);
  member->setSeedAddresses(seedAddresses(context.settings));
  member->bootstrap(founding.founders, now);
  return member;
}
}  // namespace zinccleat::controller
