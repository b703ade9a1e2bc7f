#include "controller_node.hpp"

#include "runtime/log_ring.hpp"
#include "startup.hpp"
#include "transport/listener.hpp"

namespace zinccleat::controller {
namespace {
constexpr auto kTickInterval = 50ms;
constexpr int kTicksPerEvaluation = 4;  // ticks between two outlier evaluations on the leader
constexpr auto kForwardInterval = 500ms;
constexpr auto kMaintenanceInterval = 1000ms;
}  // namespace

ControllerNode::ControllerNode(config::Settings settings)
    : context_(std::move(settings)),
      contact_(context_),
      peers_(context_, context_.settings.firstPort,
             [this](const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
               dispatcher_.onMessage(link, envelope);
             }),
      agents_(context_),
      writes_(context_, submitters()),
      reads_(context_, [this](const consensus::MemberId& leader,
                              std::int64_t requestId) { peers_.send(leader, transport::ReadIndexRequest{requestId}); }),
      requests_(context_),
      hints_(context_),
      runners_(context_, peers_),
      coordination_(context_, [this](const state_machine::ShardFounding& founding) { proposeFounding(founding); }),
      counters_(context_),
      shutdown_(context_, coordination_),
      platform_(context_, [this] { return operationIds_->next(); }),
      roles_(context_, {requests_, agents_, runners_, writes_, platform_}),
      driver_(context_, {peers_, agents_, writes_, reads_, roles_}),
      dispatcher_(context_, {peers_, driver_, reads_, runners_, agents_, requests_, hints_, platform_}) {}
ControllerNode::~ControllerNode() = default;

// On the leader, `MessageDispatcher::onSubmitEntry` receives forwarded entries. Raft nodes and agents keep a body that
// was sent ahead until its entry arrives.
PendingWrites::Submitters ControllerNode::submitters() {
  PendingWrites::Submitters submitters;
  submitters.submitHere = [this](const transport::LogEntry& entry) {
    context_.raft->submit(Clock::now(), entry);
    driver_.run();
  };
  submitters.forwardToLeader = [this](const consensus::MemberId& leader, const transport::LogEntry& entry) {
    peers_.send(leader, transport::SubmitEntry{entry});
  };
  submitters.sendBodyAhead = [this](const transport::LogEntry& entry) {
    peers_.sendToVoters(consensus::EntryBody{entry.digest, entry.body});
    agents_.sendBodyAhead(entry);
  };
  return submitters;
}
Result<void> ControllerNode::start(runtime::Startup& startup) {
  if (const auto reason = settingsError(context_.settings))
    return makeError(ErrorCode::invalidArgument, *reason);
  const auto& dataDir = context_.settings.dataDir;
  auto diskThread = startup.retry([] { return startDiskThread(); });
  if (!diskThread)
    return tl::unexpected(diskThread.error());
  disk_ = std::move(*diskThread);
  const DiskRecovery disk{startup, *disk_, dataDir};
  auto recovered = recoverDisk(disk, storage::Storage(dataDir), snapshotIsValid);
  if (!recovered)
    return tl::unexpected(recovered.error());
  startRaft(context_, recovered->recovery, incarnation_);
  operationIds_.emplace(context_.raft->self(), incarnation_);
  if (auto coordination = coordination_.recover(disk, incarnation_); !coordination)
    return coordination;
  if (auto counters = counters_.recover(disk, incarnation_); !counters)
    return counters;
  driver_.startStorage(disk_, std::move(recovered->storage));
  if (auto started = hints_.start(); !started)
    return started;
  if (auto started = startLinks(startup); !started)
    return started;
  if (auto started = startup.retry([this] { return coordination_.start(disk_); }); !started)
    return started;
  if (auto started = startup.retry([this] { return counters_.start(disk_); }); !started)
    return started;
  startTimers();
  driver_.run();
  return {};
}
Result<void> ControllerNode::startLinks(runtime::Startup& startup) {
  const auto& settings = context_.settings;
  if (auto listening = startup.retry([this] { return peers_.listen(); }); !listening)
    return listening;
  // Dials at startup, so that the first request to another controller is not lost because its connection is not open
  // yet.
  const auto voters = context_.raft->voters();
  for (const auto& voter : voters)
    peers_.dial(consensus::addressOf(voter));
  if (voters.empty())
    for (const auto& seed : seedAddresses(settings))
      peers_.dial(seed);
  return {};
}
void ControllerNode::startTimers() {
  auto& loop = runtime::EventLoop::get();
  loop.callEvery(kTickInterval, [this] { onTick(); });
  loop.callEvery(kMaintenanceInterval, [this] { onMaintenanceTimer(); });
  loop.callEvery(kForwardInterval, [this] { runners_.forwardHeartbeats(Clock::now()); });
}
void ControllerNode::onTick() {
  const auto now = Clock::now();
  context_.raft->tick(now);
  coordination_.tick(now);
  counters_.tick(now);
  requests_.followRollouts(now);
  requests_.followWarmups(now);
  if (roles_.isLeader() && ++ticksAsLeader_ % kTicksPerEvaluation == 0) {
    requests_.evaluateRunners(now);
    writeRollouts(now);
  }
  platform_.tick(now);
  driver_.run();
}
void ControllerNode::writeRollouts(TimePoint now) {
  if (!context_.raft->hasLease(now))
    return;
  for (const auto& rollout : requests_.decideRollouts(now)) {
    log::info("rollout_written", {{"service", rollout.service},
                                  {"revision", rollout.revision},
                                  {"phase", rollout.phaseNumber},
                                  {"percent", rollout.percent},
                                  {"elapsedMs", rollout.elapsedMs},
                                  {"reason", rollout.reason}});
    context_.raft->submit(now, state_machine::rolloutProgressEntry(rollout, operationIds_->next()));
  }
}
void ControllerNode::proposeFounding(const state_machine::ShardFounding& founding) {
  context_.raft->submit(Clock::now(), state_machine::shardsFoundedEntry(founding, operationIds_->next()));
}
void ControllerNode::onMaintenanceTimer() {
  const auto now = Clock::now();
  requests_.expireSilentMachines(now);
  agents_.closeSilentSessions(now);
  if (runners_.submitExpired(now))
    driver_.run();
}
void ControllerNode::reloadSettings(const config::Settings& settings) {
  const auto seeds = seedAddresses(settings);
  for (const auto& seed : seeds)
    context_.view.add(viewNameOfController(seed));
  context_.raft->setSeedAddresses(seeds);
  coordination_.setSeedAddresses(seeds);
  context_.settings.seeds = settings.seeds;
  context_.settings.timers = settings.timers;
  log::debug("settings_reloaded", {{"seeds", seeds.size()}});
}
void ControllerNode::shutDown(const std::function<void(bool deadlinePassed)>& onReadyToExit) {
  if (shutdown_.begin(onReadyToExit))
    driver_.run();
}
bool ControllerNode::heartbeatsReachLeader() const {
  // A controller that is shutting down sends runners to other controllers before it exits.
  return !shutdown_.inProgress() && runners_.heartbeatsReachLeader(Clock::now());
}
std::optional<std::string> ControllerNode::leaderControlAddress() const {
  if (!context_.knowsOtherLeader())
    return std::nullopt;
  return controlAddressAt(consensus::addressOf(context_.raft->leader()));
}
std::optional<std::string> ControllerNode::controlAddressIn(const std::string& zone) const {
  const auto address = context_.zones.addressIn(zone, Clock::now());
  return address ? std::optional(controlAddressAt(*address)) : std::nullopt;
}
std::string ControllerNode::controlAddressAt(const std::string& ip) const {
  // All controllers use the same port for their control API.
  const auto& own = context_.settings.controlAddress;
  return ip + own.substr(own.rfind(':'));
}
}  // namespace zinccleat::controller
