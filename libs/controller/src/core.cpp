#include "core.hpp"

#include <thread>

#include "runtime/log_ring.hpp"
#include "transport/listener.hpp"

namespace zinccleat::controller {
namespace {
constexpr auto kTick = 50ms;
constexpr int kEvaluationInterval = 4;  // ticks
constexpr auto kForwardHeartbeats = 500ms;
constexpr auto kContactPoll = 25ms;
constexpr std::int64_t kCompactAfter = 96;  // entries
constexpr std::size_t kViewSize = 12;
constexpr Duration kLeaveAtLeast = 400ms;  // answers under way are sent before the process ends
constexpr Duration kLeaveReserve =
    1500ms;  // the process ends so long before it would be killed, whatever the others say

constexpr auto kDiskRetry = 500ms;
constexpr int kDiskReportEvery = 120;  // retries, so once a minute

// Why wait here and not end: a disk in trouble mostly comes back, ending in a loop helps nobody, and what can't be read
// is neither given up nor changed. Until then the member counts as down.
bool waitForDisk(const Error& trouble) {
  static int retries = 0;
  if (retries++ % kDiskReportEvery == 0)
    log::info("disk: " + trouble.message + "; waits until it can be read, nothing is changed");
  std::this_thread::sleep_for(kDiskRetry);
  return true;
}
std::string hostOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}
std::vector<std::string> hostsOf(const std::vector<std::string>& addresses) {
  std::vector<std::string> hosts;
  hosts.reserve(addresses.size());
  for (auto& address : addresses)
    hosts.push_back(hostOf(address));
  return hosts;
}
}  // namespace

bool snapshotIsValid(const std::string& state) {
  state_machine::ReplicatedState probe;
  return probe.restore(state).has_value();
}
bool seedsHoldNobodyElse(const config::Settings& settings) {
  const auto seeds = hostsOf(settings.seeds);
  return std::all_of(seeds.begin(), seeds.end(), [&](const auto& seed) { return seed == settings.ip; });
}
std::optional<std::string> unusableSettings(const config::Settings& settings) {
  if (settings.dataDir.empty())
    return "settings name no dataDir for a core machine";
  if (settings.initialAttach && seedsHoldNobodyElse(settings) && settings.toleratedMachineFailures > 0)
    return "seedNodes hold this machine alone, and faultTolerance.machines is " +
           std::to_string(settings.toleratedMachineFailures) + ": a core of one bears no loss";
  return std::nullopt;
}

CoreContext::CoreContext(config::Settings given)
    : settings(std::move(given)), view(settings.ip + "/core", kViewSize, randomSeed()) {}

Core::Core(config::Settings settings)
    : shared_(std::move(settings)),
      peers_(shared_, [this](const transport::PeerLinkPtr& link,
                             const transport::Envelope& envelope) { onMessage(link, envelope); }),
      agents_(shared_),
      writes_(shared_, {[this](const transport::LogEntry& entry) {
                          shared_.raft->submit(Clock::now(), entry);
                          run();
                        },
                        [this](const consensus::MemberId& leader, const transport::LogEntry& entry) {
                          peers_.send(leader, transport::SubmitEntry{entry});
                        },
                        [this](const transport::LogEntry& entry) { sendBodyAhead(entry); }}),
      reads_(shared_, [this](const consensus::MemberId& leader,
                             std::int64_t requestId) { peers_.send(leader, transport::ReadIndexRequest{requestId}); }),
      desk_(shared_),
      hints_(shared_),
      runnerMonitor_(shared_.settings.heartbeat) {}
Core::~Core() = default;

// --- start and end ---

Result<void> Core::start() {
  if (const auto why = unusableSettings(shared_.settings))
    return makeError(ErrorCode::ioError, *why);
  auto disk = loadDisk();
  if (!disk)
    return tl::unexpected(disk.error());
  startMember(std::move(*disk));
  if (auto hints = hints_.start(); !hints)
    return hints;
  if (auto links = startLinks(); !links)
    return links;
  startTimers();
  run();
  return {};
}
Result<Core::LoadedDisk> Core::loadDisk() const {
  const auto& folder = shared_.settings.dataDir;
  storage::Storage storage(folder);
  auto recovery = storage::recoverStorage(storage, waitForDisk);
  if (!recovery) {
    const bool otherFormat = recovery.error().code == ErrorCode::incompatibleFormat;
    const char* advice = otherFormat ? "; start that version, or empty the folder to join as a new member" : "";
    return makeError(ErrorCode::ioError, folder + ": " + recovery.error().message + advice);
  }
  for (auto& warning : recovery->warnings)
    log::info(folder + ": " + warning);
  // Why before anything is taken over: a disk whose state this program can't read must not be led or voted with.
  for (auto& record : recovery->records)
    if (record.full && !record.state.empty() && !snapshotIsValid(record.state))
      return makeError(ErrorCode::ioError,
                       folder + ": record " + std::to_string(record.seq) + " holds a state that can't be restored");
  return LoadedDisk{std::move(storage), std::move(*recovery)};
}
void Core::startMember(LoadedDisk disk) {
  const auto& records = disk.recovery.records;
  const auto& settings = shared_.settings;
  const auto seeds = hostsOf(settings.seeds);
  const bool isSeed = std::find(seeds.begin(), seeds.end(), settings.ip) != seeds.end();
  // Why not after a corrupted disk: it may have voted as a founder and forgotten it.
  const bool founder = records.empty() && settings.initialAttach && isSeed && !disk.recovery.identityLost;
  consensus::MemberId self = settings.ip + (founder ? "#0" : "#" + std::to_string(boot_ | 1));
  if (!records.empty())
    self = records.front().self;
  operationIds_.emplace(self, boot_);

  consensus::RaftOptions options;
  options.largeBodyBytes = kLargeBody;
  options.snapshotIsValid = snapshotIsValid;
  const auto now = Clock::now();  // after the disk, which may have taken its time
  shared_.raft = std::make_unique<consensus::RaftNode>(self, options, boot_, now);
  shared_.raft->setSeedAddresses(seeds);
  for (auto& seed : seeds)
    shared_.view.add(seed + "/core");
  disk_ = std::make_unique<StorageThread>(std::move(disk.storage));
  if (!records.empty()) {
    shared_.raft->recover(records, now);
  } else if (founder) {
    std::vector<consensus::MemberId> founders;
    founders.reserve(seeds.size());
    for (auto& seed : seeds)
      founders.push_back(seed + "#0");
    shared_.raft->bootstrap(founders, now);
  }
  // Why it does not end: the others may only be down, and a settings file read again may name them.
  if (records.empty() && !founder && seedsHoldNobodyElse(settings)) {
    ++shared_.seedsDeclined;
    log::info("seedNodes hold this machine alone: there is nobody to join, waits until the settings name others");
  }
  log::debug("starts as " + self + (!records.empty() ? ", with its disk" : founder ? ", a founder" : ", empty"));
}
Result<void> Core::startLinks() {
  const auto& settings = shared_.settings;
  const auto endpoint = runtime::parseEndpoint(settings.ip + ":" + std::to_string(settings.firstPort));
  if (!endpoint)
    return tl::unexpected(endpoint.error());
  auto listening = transport::listen(*endpoint, [this](tcp::socket socket) {
    auto link = std::make_shared<transport::PeerLink>(
        std::move(socket),
        [this](const transport::PeerLinkPtr& l, const transport::Envelope& envelope) { onMessage(l, envelope); },
        [](const transport::PeerLinkPtr&) {});
    link->start();
  });
  if (!listening)
    return listening;
  // Why at once: the first question to the others must not be lost to a connection not dialled yet.
  const auto voters = shared_.raft->voters();
  for (auto& voter : voters)
    peers_.dial(consensus::addressOf(voter));
  if (voters.empty())
    for (auto& seed : hostsOf(settings.seeds))
      peers_.dial(seed);
  return {};
}
void Core::startTimers() {
  auto& loop = runtime::EventLoop::get();
  loop.callEvery(kTick, [this] { tick(); });
  loop.callEvery(1000ms, [this] { eachSecond(); });
  loop.callEvery(kForwardHeartbeats, [this] { forwardHeartbeats(Clock::now()); });
}
void Core::reread(const config::Settings& settings) {
  const auto seeds = hostsOf(settings.seeds);
  for (auto& seed : seeds)
    shared_.view.add(seed + "/core");
  shared_.raft->setSeedAddresses(seeds);
  shared_.settings.seeds = settings.seeds;
  shared_.settings.timers = settings.timers;
  log::debug("settings read again");
}
void Core::leave(const std::function<void(bool)>& mayEnd) {
  if (std::exchange(leaving_, true))
    return;
  shared_.raft->leave(Clock::now());
  run();
  const auto begun = Clock::now();
  const auto deadline = begun + std::max(kLeaveAtLeast, shared_.settings.timers.grace - kLeaveReserve);
  runtime::EventLoop::get().callEvery(kTick, [this, mayEnd, begun, deadline] {
    const auto now = Clock::now();
    if (now - begun >= kLeaveAtLeast && (shared_.raft->mayExit() || now >= deadline))
      mayEnd(now >= deadline);
  });
}

// --- what the consensus asks for ---

void Core::tick() {
  shared_.raft->tick(Clock::now());
  if (wasLeader_ && ++ticks_ % kEvaluationInterval == 0)
    desk_.evaluateRunners(Clock::now());
  run();
}
void Core::eachSecond() {
  const auto now = Clock::now();
  desk_.sweep(now);
  agents_.dropSilent(now);
  dropMissedRunners(now);
}
void Core::run() {
  // Why one level only: an action's effect may ask for more, which the running loop picks up.
  if (running_)
    return;
  running_ = true;
  for (auto actions = shared_.raft->takeActions(); !actions.empty(); actions = shared_.raft->takeActions())
    for (auto& action : actions)
      std::visit([this](auto& alternative) { carryOut(alternative); }, action);
  running_ = false;
  followRole();
}
void Core::followRole() {
  const bool leads = shared_.isLeader();
  const bool led = std::exchange(wasLeader_, leads);
  if (leads && !led) {
    desk_.noOp(Clock::now());
    log::debug("takes the leader's role in term " + std::to_string(shared_.raft->term()));
  }
  if (!leads && led)
    agents_.stopFeeding();
  if (shared_.raft->leader() != lastLeader_) {
    lastLeader_ = shared_.raft->leader();
    heartbeats_.leaderChanged();
    agents_.tellAll();
    writes_.leaderChanged();
  }
  if (leads)
    agents_.feedAll();
}
void Core::carryOut(consensus::SendMessage& action) {
  peers_.send(action.to, action.message);
}
void Core::carryOut(consensus::PersistRecord& action) {
  disk_->append(std::move(action.record), [this, ticket = action.ticket](bool ok) {
    if (!ok)
      log::error("the disk took no record");
    shared_.raft->persisted(Clock::now(), ticket, ok);
    run();
  });
}
void Core::carryOut(consensus::ApplyEntry& action) {
  const auto change = shared_.copy.apply(action.entry);
  // Why stop: what every member applied alike came out otherwise here. The disk's pages, replayed, set it right.
  checkInvariant(!change.corrupted, "a core copy that differs from the others");
  if (change.configuration)
    adoptConfiguration();
  writes_.applied(action.entry.operationId);
  reads_.applied();
  compactIfDue();
}
void Core::carryOut(consensus::RestoreSnapshot& action) {
  // Why stop: what was agreed on stands in this snapshot, and nothing may be applied on top of anything else. Each way
  // in checks the state first: `loadDisk` for the disk, `snapshotIsValid` for another member.
  checkInvariant(shared_.copy.restore(action.state).has_value(), "a snapshot that was found valid restores");
  adoptConfiguration();
  writes_.snapshotRestored();
  reads_.applied();
}
void Core::compactIfDue() {
  const auto newest = shared_.copy.state().index;
  // State messages tell what nobody will ask for again; one far behind takes a snapshot in the end.
  const bool forgettable = agents_.lowestApplied(newest) + kCompactAfter / 2 >= newest;
  if (++sinceCompact_ < (forgettable ? kCompactAfter : 4 * kCompactAfter))
    return;
  sinceCompact_ = 0;
  shared_.raft->compact(newest, shared_.copy.snapshot(), Clock::now());
}
void Core::adoptConfiguration() {
  const auto& text = shared_.copy.state().configuration;
  if (text.empty())
    return;
  if (auto configuration = config::parseConfiguration(text))
    shared_.configuration = *configuration;
  else
    log::error("a taken configuration can't be read: " + configuration.error().message);
}

// --- messages ---

void Core::onMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
  if (envelope.sender.empty())
    return link->decline("a message that names no sender");
  onPeerMessage(link, envelope);
  onAccessMessage(link, envelope);
}
void Core::onPeerMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
  const auto& sender = envelope.sender;
  if (envelope.type == transport::MessageType::consensus)
    onConsensus(link, envelope);
  transport::receive<transport::SubmitEntry>(link, envelope, [&](transport::SubmitEntry message) {
    peers_.heardFrom(sender, link);
    onSubmit(sender, std::move(message.entry));
  });
  transport::receive<transport::ReadIndexRequest>(link, envelope, [&](const transport::ReadIndexRequest& message) {
    const bool underLease = shared_.raft->hasLease(Clock::now());
    answer(link, transport::ReadIndexResponse{message.requestId, underLease, shared_.raft->commitIndex()});
  });
  transport::receive<transport::ReadIndexResponse>(link, envelope, [this](const transport::ReadIndexResponse& message) {
    reads_.answered(message.requestId, message.underLease, message.commitIndex);
  });
  transport::receive<transport::HeartbeatBatch>(
      link, envelope, [&](const transport::HeartbeatBatch& message) { onHeartbeats(link, message); });
  transport::receive<transport::HeartbeatBatchResponse>(link, envelope,
                                                        [&](const transport::HeartbeatBatchResponse& message) {
                                                          if (sender == shared_.raft->leader())
                                                            heartbeats_.acknowledged(message.number);
                                                        });
}
void Core::onAccessMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
  const auto now = Clock::now();
  const auto& agent = envelope.sender;
  transport::receive<transport::AgentState>(
      link, envelope, [&](const transport::AgentState& message) { agents_.onState(link, agent, message); });
  transport::receive<transport::FollowLog>(
      link, envelope, [&](const transport::FollowLog& message) { agents_.onFollow(link, agent, message); });
  transport::receive<transport::LeaseRequest>(link, envelope, [&](const transport::LeaseRequest& message) {
    answer(link, desk_.onLeaseQuestion(now, agent, message));
  });
  transport::receive<transport::QuotaTokenRequest>(
      link, envelope, [&](const transport::QuotaTokenRequest& message) { answer(link, desk_.onDraw(now, message)); });
  transport::receive<transport::PrefixLookupRequest>(
      link, envelope,
      [&](const transport::PrefixLookupRequest& message) { answer(link, hints_.onPrefixLookupRequest(now, message)); });
}
void Core::onConsensus(const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
  auto message = consensus::decodeMessage(envelope.payload);
  if (!message)
    return link->decline(message.error().message);
  peers_.heardFrom(envelope.sender, link);
  shared_.view.add(consensus::addressOf(envelope.sender) + "/core");
  shared_.raft->receive(Clock::now(), envelope.sender, std::move(*message));
  run();
}
void Core::onSubmit(const consensus::MemberId& from, transport::LogEntry entry) {
  // A write sent again after it was committed is that same write; the sender sees it in its own copy.
  const bool known = shared_.copy.outcomeOf(entry.operationId).has_value();
  const bool accepted = known || shared_.raft->submit(Clock::now(), std::move(entry));
  peers_.send(from, transport::SubmitEntryResponse{accepted});
  run();
}
void Core::sendBodyAhead(const transport::LogEntry& entry) {
  peers_.sendToVoters(consensus::EntryBody{entry.digest, entry.body});
  agents_.sendBody(entry);
}

// --- runners' heartbeats, and contact ---

bool Core::inContact() const {
  return shared_.raft->inContactWithMajority(Clock::now());
}
bool Core::awaitContact(Duration within) {
  const auto end = Clock::now() + within;
  while (!inContact()) {
    if (Clock::now() >= end)
      return false;
    runtime::EventLoop::get().sleepFor(kContactPoll);
  }
  return true;
}
bool Core::heartbeatsReachLeader() const {
  // Who leaves sends its runners on before it is gone.
  return !leaving_ && heartbeats_.leaderAnswers(Clock::now());
}
void Core::noteHeartbeat(const std::string& runnerId) {
  const auto now = Clock::now();
  heartbeats_.heard(runnerId, now);
  runnerMonitor_.heard(runnerId, now);
}
void Core::forwardHeartbeats(TimePoint now) {
  if (shared_.isLeader()) {
    heartbeats_.takeAll();  // each was noted by our own monitor when it came
    return;
  }
  if (!shared_.knowsOtherLeader())
    return;
  const auto batch = heartbeats_.nextBatch(now);
  if (!batch)
    return;
  transport::HeartbeatBatch message;
  message.number = batch->number;
  for (auto& runner : batch->runners)
    message.runners.push_back({runner.id, toDuration(now - runner.at).count()});
  peers_.send(shared_.raft->leader(), message);
}
void Core::onHeartbeats(const transport::PeerLinkPtr& link, const transport::HeartbeatBatch& batch) {
  const auto now = Clock::now();
  if (!shared_.raft->hasLease(now))
    return;
  for (auto& runner : batch.runners)
    runnerMonitor_.heard(runner.id, now - Duration(runner.ageMs));
  answer(link, transport::HeartbeatBatchResponse{batch.number});
}
void Core::dropMissedRunners(TimePoint now) {
  const auto missed = runnerMonitor_.missed(now, shared_.raft->hasLease(now), shared_.copy.state().runners);
  for (auto& runner : missed) {
    auto gone = runner;
    gone.state = static_cast<std::int32_t>(state_machine::RunnerState::detached);
    gone.sequence = 0;  // missed, not left: it may beat again
    log::debug("runner " + runner.id + " missed");
    shared_.raft->submit(
        now, state_machine::runnerEntry(gone, "missed/" + runner.id + "/" + std::to_string(runner.sequence)));
  }
  if (!missed.empty())
    run();
}
std::string Core::leaderControl() const {
  if (!shared_.knowsOtherLeader())
    return {};
  const auto& own = shared_.settings.controlAddress;
  return consensus::addressOf(shared_.raft->leader()) + own.substr(own.rfind(':'));
}
}  // namespace zinccleat::controller
