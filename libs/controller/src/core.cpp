#include "core.hpp"

#include <thread>

#include "runtime/log_ring.hpp"

namespace zc {
namespace {
constexpr auto kTick = 50ms;
constexpr int kWeighEvery = 4;  // ticks
constexpr auto kForwardHeartbeats = 500ms;
constexpr auto kContactPoll = 25ms;
constexpr std::int64_t kCompactAfter = 96;  // entries
constexpr std::size_t kViewSize = 12;
constexpr Span kLeaveAtLeast = 400ms;   // answers under way are sent before the process ends
constexpr Span kLeaveReserve = 1500ms;  // the process ends so long before it would be killed, whatever the others say

constexpr auto kDiskRetry = 500ms;
constexpr int kDiskReportEvery = 120;  // retries, so once a minute

// Why wait here and not end: a disk in trouble mostly comes back, ending in a loop helps nobody, and what can't be read
// is neither given up nor changed. Until then the member counts as down.
bool waitForDisk(const Fault& trouble) {
  static int retries = 0;
  if (retries++ % kDiskReportEvery == 0)
    ring::say("disk: " + trouble.text + "; waits until it can be read, nothing is changed");
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
  ReplicatedState probe;
  return probe.restore(state).has_value();
}
bool seedsHoldNobodyElse(const Settings& settings) {
  const auto seeds = hostsOf(settings.seeds);
  return std::all_of(seeds.begin(), seeds.end(), [&](const auto& seed) { return seed == settings.ip; });
}
std::optional<std::string> unusableSettings(const Settings& settings) {
  if (settings.dataDir.empty())
    return "settings name no dataDir for a core machine";
  if (settings.initialAttach && seedsHoldNobodyElse(settings) && settings.tolerateMachines > 0)
    return "seedNodes hold this machine alone, and faultTolerance.machines is " +
           std::to_string(settings.tolerateMachines) + ": a core of one bears no loss";
  return std::nullopt;
}

CoreContext::CoreContext(Settings given)
    : settings(std::move(given)), view(settings.ip + "/core", kViewSize, drawSeed()) {}

Core::Core(Settings settings)
    : shared_(std::move(settings)),
      peers_(shared_, [this](const PeerLinkPtr& link, const Envelope& envelope) { onMessage(link, envelope); }),
      agents_(shared_),
      writes_(shared_, {[this](const Entry& entry) {
                          shared_.raft->submit(Clock::now(), entry);
                          run();
                        },
                        [this](const MemberId& leader, const Entry& entry) { peers_.send(leader, SubmitEntry{entry}); },
                        [this](const Entry& entry) { sendBodyAhead(entry); }}),
      reads_(shared_, [this](const MemberId& leader,
                             std::int64_t question) { peers_.send(leader, ReadIndexQuestion{question}); }),
      desk_(shared_),
      hints_(shared_),
      runnerMonitor_(shared_.settings.heartbeat) {}
Core::~Core() = default;

// --- start and end ---

Outcome<void> Core::start() {
  if (const auto why = unusableSettings(shared_.settings))
    return fault(0, *why);
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
Outcome<Core::LoadedDisk> Core::loadDisk() const {
  const auto& folder = shared_.settings.dataDir;
  Storage storage(folder);
  auto recovery = recoverStorage(storage, waitForDisk);
  if (!recovery) {
    const bool otherFormat = recovery.error().code == kOtherFormat;
    const char* advice = otherFormat ? "; start that version, or empty the folder to join as a new member" : "";
    return fault(0, folder + ": " + recovery.error().text + advice);
  }
  for (auto& warning : recovery->warnings)
    ring::say(folder + ": " + warning);
  // Why before anything is taken over: a disk whose state this program can't read must not be led or voted with.
  for (auto& record : recovery->records)
    if (record.full && !record.state.empty() && !snapshotIsValid(record.state))
      return fault(0, folder + ": record " + std::to_string(record.seq) + " holds a state that can't be restored");
  return LoadedDisk{std::move(storage), std::move(*recovery)};
}
void Core::startMember(LoadedDisk disk) {
  const auto& records = disk.recovery.records;
  const auto& settings = shared_.settings;
  const auto seeds = hostsOf(settings.seeds);
  const bool isSeed = std::find(seeds.begin(), seeds.end(), settings.ip) != seeds.end();
  // Why not after a damaged disk: it may have voted as a founder and forgotten it.
  const bool founder = records.empty() && settings.initialAttach && isSeed && !disk.recovery.identityLost;
  MemberId self = settings.ip + (founder ? "#0" : "#" + std::to_string(boot_ | 1));
  if (!records.empty())
    self = records.front().self;
  operationIds_.emplace(self, boot_);

  RaftOptions options;
  options.largeBody = kLargeBody;
  options.snapshotIsValid = snapshotIsValid;
  const auto now = Clock::now();  // after the disk, which may have taken its time
  shared_.raft = std::make_unique<RaftNode>(self, options, boot_, now);
  shared_.raft->setSeeds(seeds);
  for (auto& seed : seeds)
    shared_.view.add(seed + "/core");
  disk_ = std::make_unique<StorageThread>(std::move(disk.storage));
  if (!records.empty()) {
    shared_.raft->recover(records, now);
  } else if (founder) {
    std::vector<MemberId> founders;
    founders.reserve(seeds.size());
    for (auto& seed : seeds)
      founders.push_back(seed + "#0");
    shared_.raft->found(founders, now);
  }
  // Why it does not end: the others may only be down, and a settings file read again may name them.
  if (records.empty() && !founder && seedsHoldNobodyElse(settings)) {
    ++shared_.seedsDeclined;
    ring::say("seedNodes hold this machine alone: there is nobody to join, waits until the settings name others");
  }
  ring::note("starts as " + self + (!records.empty() ? ", with its disk" : founder ? ", a founder" : ", empty"));
}
Outcome<void> Core::startLinks() {
  const auto& settings = shared_.settings;
  const auto endpoint = parseEndpoint(settings.ip + ":" + std::to_string(settings.portFirst));
  if (!endpoint)
    return tl::unexpected(endpoint.error());
  auto listening = listen(*endpoint, [this](tcp::socket socket) {
    auto link = std::make_shared<PeerLink>(
        std::move(socket), [this](const PeerLinkPtr& l, const Envelope& envelope) { onMessage(l, envelope); },
        [](const PeerLinkPtr&) {});
    link->start();
  });
  if (!listening)
    return listening;
  // Why at once: the first question to the others must not be lost to a connection not dialled yet.
  const auto voters = shared_.raft->voters();
  for (auto& voter : voters)
    peers_.dial(addressOf(voter));
  if (voters.empty())
    for (auto& seed : hostsOf(settings.seeds))
      peers_.dial(seed);
  return {};
}
void Core::startTimers() {
  auto& loop = EventLoop::get();
  loop.every(kTick, [this] { tick(); });
  loop.every(1000ms, [this] { eachSecond(); });
  loop.every(kForwardHeartbeats, [this] { forwardHeartbeats(Clock::now()); });
}
void Core::reread(const Settings& settings) {
  const auto seeds = hostsOf(settings.seeds);
  for (auto& seed : seeds)
    shared_.view.add(seed + "/core");
  shared_.raft->setSeeds(seeds);
  shared_.settings.seeds = settings.seeds;
  shared_.settings.timers = settings.timers;
  ring::note("settings read again");
}
void Core::leave(const std::function<void(bool)>& mayEnd) {
  if (std::exchange(leaving_, true))
    return;
  shared_.raft->leave(Clock::now());
  run();
  const auto begun = Clock::now();
  const auto deadline = begun + std::max(kLeaveAtLeast, shared_.settings.timers.grace - kLeaveReserve);
  EventLoop::get().every(kTick, [this, mayEnd, begun, deadline] {
    const auto now = Clock::now();
    if (now - begun >= kLeaveAtLeast && (shared_.raft->mayExit() || now >= deadline))
      mayEnd(now >= deadline);
  });
}

// --- what the consensus asks for ---

void Core::tick() {
  shared_.raft->tick(Clock::now());
  if (wasLeader_ && ++ticks_ % kWeighEvery == 0)
    desk_.weighRunners(Clock::now());
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
    desk_.takeOver(Clock::now());
    ring::note("takes the leader's role in term " + std::to_string(shared_.raft->term()));
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
void Core::carryOut(SendMessage& action) {
  peers_.send(action.to, action.message);
}
void Core::carryOut(PersistRecord& action) {
  disk_->append(std::move(action.record), [this, ticket = action.ticket](bool ok) {
    if (!ok)
      ring::alarm("the disk took no record");
    shared_.raft->persisted(Clock::now(), ticket, ok);
    run();
  });
}
void Core::carryOut(ApplyEntry& action) {
  const auto change = shared_.copy.apply(action.entry);
  // Why stop: what every member applied alike came out otherwise here. The disk's pages, replayed, set it right.
  must(!change.damaged, "a core copy that differs from the others");
  if (change.configuration)
    adoptConfiguration();
  writes_.applied(action.entry.opId);
  reads_.applied();
  compactIfDue();
}
void Core::carryOut(RestoreSnapshot& action) {
  // Why stop: what was agreed on stands in this snapshot, and nothing may be applied on top of anything else. Each way
  // in checks the state first: `loadDisk` for the disk, `snapshotIsValid` for another member.
  must(shared_.copy.restore(action.state).has_value(), "a snapshot that was found valid restores");
  adoptConfiguration();
  writes_.snapshotRestored();
  reads_.applied();
}
void Core::compactIfDue() {
  const auto newest = shared_.copy.state().num;
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
  if (auto configuration = parseConfiguration(text))
    shared_.configuration = *configuration;
  else
    ring::alarm("a taken configuration can't be read: " + configuration.error().text);
}

// --- messages ---

void Core::onMessage(const PeerLinkPtr& link, const Envelope& envelope) {
  if (envelope.sender.empty())
    return link->decline("a message that names no sender");
  onPeerMessage(link, envelope);
  onAccessMessage(link, envelope);
}
void Core::onPeerMessage(const PeerLinkPtr& link, const Envelope& envelope) {
  const auto& sender = envelope.sender;
  if (envelope.type == MessageType::consensus)
    onConsensus(link, envelope);
  receive<SubmitEntry>(link, envelope, [&](SubmitEntry message) {
    peers_.heardFrom(sender, link);
    onSubmit(sender, std::move(message.entry));
  });
  receive<ReadIndexQuestion>(link, envelope, [&](const ReadIndexQuestion& message) {
    const bool underLease = shared_.raft->hasLease(Clock::now());
    answer(link, ReadIndexAnswer{message.question, underLease, shared_.raft->commitNumber()});
  });
  receive<ReadIndexAnswer>(link, envelope, [this](const ReadIndexAnswer& message) {
    reads_.answered(message.question, message.underLease, message.commitNumber);
  });
  receive<HeartbeatBatch>(link, envelope, [&](const HeartbeatBatch& message) { onHeartbeats(link, message); });
  receive<HeartbeatReceipt>(link, envelope, [&](const HeartbeatReceipt& message) {
    if (sender == shared_.raft->leader())
      heartbeats_.acknowledged(message.number);
  });
}
void Core::onAccessMessage(const PeerLinkPtr& link, const Envelope& envelope) {
  const auto now = Clock::now();
  const auto& agent = envelope.sender;
  receive<AgentState>(link, envelope, [&](const AgentState& message) { agents_.onState(link, agent, message); });
  receive<FollowLog>(link, envelope, [&](const FollowLog& message) { agents_.onFollow(link, agent, message); });
  receive<LeaseQuestion>(
      link, envelope, [&](const LeaseQuestion& message) { answer(link, desk_.onLeaseQuestion(now, agent, message)); });
  receive<QuotaDraw>(link, envelope, [&](const QuotaDraw& message) { answer(link, desk_.onDraw(now, message)); });
  receive<OpeningQuestion>(
      link, envelope, [&](const OpeningQuestion& message) { answer(link, hints_.onOpeningQuestion(now, message)); });
}
void Core::onConsensus(const PeerLinkPtr& link, const Envelope& envelope) {
  auto message = decodeMessage(envelope.payload);
  if (!message)
    return link->decline(message.error().text);
  peers_.heardFrom(envelope.sender, link);
  shared_.view.add(addressOf(envelope.sender) + "/core");
  shared_.raft->receive(Clock::now(), envelope.sender, std::move(*message));
  run();
}
void Core::onSubmit(const MemberId& from, Entry entry) {
  // A write sent again after it was committed is that same write; the sender sees it in its own copy.
  const bool known = shared_.copy.verdictOf(entry.opId).has_value();
  const bool accepted = known || shared_.raft->submit(Clock::now(), std::move(entry));
  peers_.send(from, SubmitReceipt{accepted});
  run();
}
void Core::sendBodyAhead(const Entry& entry) {
  peers_.sendToVoters(EntryBody{entry.digest, entry.blob});
  agents_.sendBody(entry);
}

// --- runners' heartbeats, and contact ---

bool Core::inContact() const {
  return shared_.raft->inContactWithMajority(Clock::now());
}
bool Core::awaitContact(Span within) {
  const auto end = Clock::now() + within;
  while (!inContact()) {
    if (Clock::now() >= end)
      return false;
    EventLoop::get().pause(kContactPoll);
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
void Core::forwardHeartbeats(Instant now) {
  if (shared_.isLeader()) {
    heartbeats_.takeAll();  // each was noted by our own monitor when it came
    return;
  }
  if (!shared_.knowsOtherLeader())
    return;
  const auto batch = heartbeats_.nextBatch(now);
  if (!batch)
    return;
  HeartbeatBatch message;
  message.number = batch->number;
  for (auto& runner : batch->runners)
    message.runners.push_back({runner.id, toSpan(now - runner.at).count()});
  peers_.send(shared_.raft->leader(), message);
}
void Core::onHeartbeats(const PeerLinkPtr& link, const HeartbeatBatch& batch) {
  const auto now = Clock::now();
  if (!shared_.raft->hasLease(now))
    return;
  for (auto& runner : batch.runners)
    runnerMonitor_.heard(runner.id, now - Span(runner.ageMs));
  answer(link, HeartbeatReceipt{batch.number});
}
void Core::dropMissedRunners(Instant now) {
  const auto missed = runnerMonitor_.missed(now, shared_.raft->hasLease(now), shared_.copy.state().runners);
  for (auto& runner : missed) {
    auto gone = runner;
    gone.state = static_cast<std::int32_t>(RunnerState::gone);
    gone.sequence = 0;  // missed, not left: it may beat again
    ring::note("runner " + runner.id + " missed");
    shared_.raft->submit(now, runnerOp(gone, "missed/" + runner.id + "/" + std::to_string(runner.sequence)));
  }
  if (!missed.empty())
    run();
}
std::string Core::leaderControl() const {
  if (!shared_.knowsOtherLeader())
    return {};
  const auto& own = shared_.settings.controlAddr;
  return addressOf(shared_.raft->leader()) + own.substr(own.rfind(':'));
}
}  // namespace zc
