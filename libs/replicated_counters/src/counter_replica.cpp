#include "replicated_counters/counter_replica.hpp"

#include <tuple>

namespace zinccleat::replicated_counters {
namespace {
constexpr Duration kRequestTimeout{400};             // an unanswered transfer request is repeated after this time
constexpr Duration kPushToAdditionalPeersAfter{25};  // a few times the usual time of a healthy disk and link
constexpr Duration kPushToAllPeersAfter{150};        // the preferred and the additional peers did not answer in time
constexpr std::size_t kMaxPushBytes = 16'384;  // a peer that is missing more is still catching up by transfer requests
// A push that is not reported as durable by then is assumed lost with its connection.
constexpr Duration kLostPushTimeout{400};
// Interval between increments that probe whether a slow disk has become fast again.
constexpr Duration kProbeInterval{1000};
// A disk is slow if its expected write time exceeds the expected time of enough copies by this factor plus this margin.
constexpr int kSlowFactor = 2;
constexpr Duration kSlowMargin{10};
constexpr Duration kEpochInterval{60'000};  // precision to which the age of ids is known
// A snapshot replaces the records once they are twice as large as the previous snapshot, so that writing snapshots
// costs half as much as writing records. Because each record is a file that a start must read, the number of records is
// also limited to `kMaxRecordsPerSnapshot`.
constexpr int kMinRecordsPerSnapshot = 256;
constexpr int kMaxRecordsPerSnapshot = 4096;
constexpr std::size_t kRecordBytesPerSnapshotByte = 2;

std::map<OriginId, std::int64_t> sequencesOf(const std::vector<OriginProgress>& progress) {
  std::map<OriginId, std::int64_t> sequences;
  for (const auto& [origin, sequence] : progress)
    sequences[origin] = sequence;
  return sequences;
}
std::int64_t sequenceIn(const std::map<OriginId, std::int64_t>& sequences, OriginId origin) {
  const auto found = sequences.find(origin);
  return found == sequences.end() ? 0 : found->second;
}
void raiseSequence(std::map<OriginId, std::int64_t>& sequences, OriginId origin, std::int64_t sequence) {
  auto& value = sequences[origin];
  value = std::max(value, sequence);
}
std::int64_t countMissing(const std::map<OriginId, std::int64_t>& other, const std::map<OriginId, std::int64_t>& all) {
  std::int64_t missing = 0;
  for (const auto& [origin, sequence] : all)
    missing += std::max<std::int64_t>(0, sequence - sequenceIn(other, origin));
  return missing;
}
std::size_t bytesOf(const IncrementBatch& batch) {
  constexpr std::size_t kFixedBytes = 16;
  std::size_t bytes = kFixedBytes;
  for (const auto& range : batch.ranges)
    for (const auto& increment : range.increments)
      bytes += kFixedBytes + increment.counter.size() + increment.instanceId.size();
  for (const auto& folded : batch.folded)
    for (const auto& amount : folded.amounts)
      bytes += kFixedBytes + amount.counter.size();
  return bytes;
}
/// Appends a batch to another one. A range that continues the last range of the same origin is joined to it.
void appendBatch(IncrementBatch& batch, IncrementBatch more) {
  std::move(more.folded.begin(), more.folded.end(), std::back_inserter(batch.folded));
  std::move(more.foldedIds.begin(), more.foldedIds.end(), std::back_inserter(batch.foldedIds));
  for (auto& range : more.ranges) {
    const bool continues = !batch.ranges.empty() && batch.ranges.back().origin == range.origin;
    if (continues)
      std::move(range.increments.begin(), range.increments.end(), std::back_inserter(batch.ranges.back().increments));
    else
      batch.ranges.push_back(std::move(range));
  }
}
}  // namespace

void CounterReplica::recover(const IncrementBatch& record) {
  hadRecords_ = true;
  state_.merge(record);
  durable_ = sequencesOf(state_.progress());
  ++recordsSinceSnapshot_;
  bytesSinceSnapshot_ += bytesOf(record);
}
void CounterReplica::setPeers(const std::set<std::string>& addresses, const std::set<std::string>& voters) {
  for (const auto& address : addresses)
    peers_[address].isMember = true;
  for (auto& [address, peer] : peers_) {
    const bool isVoter = voters.contains(address);
    peer.isMember = addresses.contains(address);
    // An empty set of voters means that this machine does not follow the fleet's log yet, so nobody counts as removed.
    peer.isRemoved = peer.wasVoter && !isVoter && !voters.empty();
    peer.wasVoter = peer.wasVoter || isVoter;
  }
}
CounterReplica::Peer& CounterReplica::recordContact(TimePoint now, const std::string& from) {
  auto& peer = peers_[from];
  peer.heardAt = now;
  peer.partition.discard(now);
  return peer;
}
std::vector<Action> CounterReplica::takeActions() {
  return std::exchange(actions_, {});
}

// --- increments from callers ---

Result<void> CounterReplica::add(TimePoint now, std::int64_t callId, const Increment& increment) {
  auto position = state_.find(increment.instanceId);
  if (!position) {
    if (state_.retainedIncrements() >= kMaxRetainedIncrements)
      return makeError(ErrorCode::limitReached, "no room for the id of another increment");
    state_.append(options_.origin, increment);
    const auto sequence = state_.sequenceOf(options_.origin);
    position = {options_.origin, sequence};
    appendBatch(unpersisted_, {{}, {}, {{options_.origin, sequence, {increment}}}});
    ownDiskTime_.begin(now, sequence);
    pushToPreferredPeers(sequence, now);
    persistIfIdle();
  }
  pending_.push_back({callId, *position, now});
  acknowledgeReplicatedCalls(now);
  return {};
}
void CounterReplica::cancel(std::int64_t callId) {
  std::erase_if(pending_, [callId](const PendingCall& call) { return call.callId == callId; });
}
int CounterReplica::requiredCopies(TimePoint now) const {
  if (now - startedAt_ < kStartGrace)
    return options_.copies;
  const auto cutOff = static_cast<int>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) { return isCutOff(entry.second, now); }));
  return std::clamp(assumedPeers() - cutOff, 0, options_.copies);
}
// Some peers may still be unknown. A fleet has at least as many members as are needed to tolerate the loss of `copies`
// machines.
int CounterReplica::assumedPeers() const {
  return std::max(static_cast<int>(peers_.size()), 2 * options_.copies);
}
int CounterReplica::remoteCopiesOf(const CounterState::Position& position) const {
  return static_cast<int>(std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return sequenceIn(entry.second.durable, position.origin) >= position.sequence;
  }));
}
bool CounterReplica::isDurable(const CounterState::Position& position) const {
  return sequenceIn(durable_, position.origin) >= position.sequence;
}
// If the increment is not on the local disk, one additional copy must replace the local one, no matter how few peers
// are reachable. Otherwise the only copy could be on a single disk on the other side of a partition and be lost with
// that disk.
bool CounterReplica::hasEnoughCopies(const CounterState::Position& position, int requiredCopies) const {
  const auto copies = remoteCopiesOf(position);
  return copies > options_.copies || (isDurable(position) && copies >= requiredCopies);
}
void CounterReplica::acknowledgeReplicatedCalls(TimePoint now) {
  const auto required = requiredCopies(now);
  std::erase_if(pending_, [&](const PendingCall& call) {
    const bool safe = hasEnoughCopies(call.position, required);
    if (safe)
      actions_.emplace_back(Acknowledge{call.callId, hasEnoughCopies(call.position, options_.copies)});
    return safe;
  });
}
Duration CounterReplica::expectedCopyTime(TimePoint now) const {
  std::vector<Duration> times;
  for (const auto& [address, peer] : peers_)
    if (isReachable(peer, now))
      times.push_back(peer.diskTime.expected(now));
  if (times.empty())
    return Duration(0);
  const auto needed = std::clamp<std::size_t>(static_cast<std::size_t>(options_.copies), 1, times.size());
  std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(needed) - 1, times.end());
  return times[needed - 1];
}
bool CounterReplica::isSlow(const DiskTime& disk, Duration expectedCopyTime, TimePoint now) const {
  return disk.expected(now) > expectedCopyTime * kSlowFactor + kSlowMargin;
}
std::vector<std::string> CounterReplica::peersByPreference(TimePoint now) const {
  using Choice = std::tuple<bool, bool, std::uint64_t, std::string>;
  const auto copyTime = expectedCopyTime(now);
  std::vector<Choice> choices;
  for (const auto& [address, peer] : peers_)
    if (isReachable(peer, now))
      choices.emplace_back(isSlow(peer.diskTime, copyTime, now), peer.zone == options_.zone,
                           hash64(address, static_cast<std::uint64_t>(options_.origin)), address);
  std::sort(choices.begin(), choices.end());
  std::vector<std::string> addresses;
  addresses.reserve(choices.size());
  for (auto& choice : choices)
    addresses.push_back(std::move(std::get<std::string>(choice)));
  return addresses;
}
void CounterReplica::pushToPreferredPeers(std::int64_t sequence, TimePoint now) {
  const auto addresses = peersByPreference(now);
  const auto copyTime = expectedCopyTime(now);
  const bool ownDiskIsSlow = isSlow(ownDiskTime_, copyTime, now);
  auto remainingPushes = options_.copies + (ownDiskIsSlow ? 1 : 0);
  bool mayProbe = true;
  for (const auto& address : addresses) {
    const auto& disk = peers_[address].diskTime;
    const bool probed = mayProbe && isSlow(disk, copyTime, now) && disk.isOutdated(now, kProbeInterval);
    if ((remainingPushes == 0 && !probed) || !pushTo(address, sequence, now))
      continue;
    if (remainingPushes > 0)
      --remainingPushes;
    else
      mayProbe = false;
  }
}
bool CounterReplica::pushTo(const std::string& address, std::int64_t sequence, TimePoint now) {
  auto& peer = peers_[address];
  const auto known = sequenceIn(peer.durable, options_.origin);
  if (peer.diskTime.expected(now) >= kLostPushTimeout)
    peer.pushedThrough = known;
  // The batch must continue without a gap what the peer has on its disk or has already been sent.
  const auto after = std::max(known, peer.pushedThrough);
  auto batch = state_.batchAfter({{options_.origin, after}}, kMaxPushBytes);
  if (batch.ranges.empty() || batch.ranges.front().lastSequence() < sequence)
    return false;
  peer.pushedThrough = sequence;
  peer.diskTime.begin(now, sequence);
  actions_.emplace_back(SendTransfer{address, {true, std::move(batch)}});
  return true;
}
// The preferred peers are late, so the same number of other peers is asked as well. Only increments of this incarnation
// are pushed at this stage.
void CounterReplica::pushToAdditionalPeers(PendingCall& call, TimePoint now) {
  call.pushedToAdditionalPeers = true;
  if (call.position.origin != options_.origin)
    return;
  auto more = options_.copies;
  for (const auto& address : peersByPreference(now))
    if (more > 0 && peers_[address].pushedThrough < call.position.sequence)
      more -= pushTo(address, call.position.sequence, now) ? 1 : 0;
}
void CounterReplica::pushToAllPeers(PendingCall& call, TimePoint now) {
  call.pushedToAdditionalPeers = true;
  call.pushedToAllPeers = true;
  const auto origin = call.position.origin;
  for (const auto& address : peersByPreference(now)) {
    const auto known = sequenceIn(peers_[address].durable, origin);
    if (known < call.position.sequence)
      actions_.emplace_back(SendTransfer{address, {true, state_.batchAfter({{origin, known}}, kTransferBytes)}});
  }
}

// --- messages ---

void CounterReplica::receive(TimePoint now, const std::string& from, const ProgressReport& report) {
  auto& peer = recordContact(now, from);
  peer.zone = report.zone;
  // A peer that came back with an empty disk reports less than before; its earlier copies no longer exist.
  peer.durable = sequencesOf(report.progress);
  peer.diskTime.end(now, sequenceIn(peer.durable, options_.origin));
  if (!std::exchange(peer.hasReported, true))
    peer.initiallyReported = peer.durable;
  acknowledgeReplicatedCalls(now);
  requestMissing(now, from);
  updateCaughtUp(now);
}
void CounterReplica::requestMissing(TimePoint now, const std::string& from) {
  auto& peer = peers_[from];
  if (peer.requestedAt && now - *peer.requestedAt < kRequestTimeout)
    return;
  TransferRequest request;
  for (const auto& offered : peer.durable) {
    const auto& [origin, sequence] = offered;
    const auto own = state_.sequenceOf(origin);
    const bool isRequested = std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
      const auto& other = entry.second;
      return other.requestedAt && now - *other.requestedAt < kRequestTimeout &&
             sequenceIn(other.durable, offered.first) >= offered.second;
    });
    if (sequence > own && !isRequested)
      request.after.push_back({origin, own});
  }
  if (request.after.empty())
    return;
  peer.requestedAt = now;
  actions_.emplace_back(SendRequest{from, std::move(request)});
}
void CounterReplica::receive(TimePoint now, const std::string& from, const TransferRequest& request) {
  recordContact(now, from);
  auto batch = state_.batchAfter(request.after, kTransferBytes);
  if (!batch.empty())
    actions_.emplace_back(SendTransfer{from, {false, std::move(batch)}});
}
void CounterReplica::receive(TimePoint now, const std::string& from, const IncrementTransfer& transfer) {
  auto& peer = recordContact(now, from);
  if (!transfer.urgent)
    peer.requestedAt.reset();
  mergeReceived(transfer.batch);
  if (transfer.urgent)
    for (const auto& range : transfer.batch.ranges)
      raiseSequence(deferredReports_[from], range.origin, range.lastSequence());
  persistIfIdle();
  sendDeferredReports();
  if (!transfer.urgent)
    requestMissing(now, from);
  updateCaughtUp(now);
}
void CounterReplica::receive(TimePoint now, const std::string& from, const transport::ConnectionAttempt& attempt) {
  const auto peer = peers_.find(from);
  if (peer == peers_.end())
    return;
  peer->second.partition.recordAttempt(attempt);
  acknowledgeReplicatedCalls(now);
}
void CounterReplica::mergeReceived(const IncrementBatch& batch) {
  auto newIncrements = state_.merge(batch);
  if (!newIncrements.empty())
    appendBatch(unpersisted_, std::move(newIncrements));
}
// Data that arrives during a write is part of the next write. Its sender gets the report after that write has finished.
void CounterReplica::sendDeferredReports() {
  std::erase_if(deferredReports_, [this](const auto& owed) {
    const auto& [address, sequences] = owed;
    const bool durable = countMissing(durable_, sequences) == 0;
    if (durable)
      reportTo(address);
    return durable;
  });
}
void CounterReplica::reportTo(const std::string& address) {
  ProgressReport report;
  report.zone = options_.zone;
  for (const auto& [origin, sequence] : durable_)
    report.progress.push_back({origin, sequence});
  actions_.emplace_back(SendReport{address, std::move(report)});
}

// --- the disk ---

void CounterReplica::persistIfIdle() {
  if (isPersisting_ || (unpersisted_.empty() && !snapshotIsDue_))
    return;
  const bool full = std::exchange(snapshotIsDue_, false);
  PersistBatch write{full ? state_.snapshot() : std::move(unpersisted_), full};
  unpersisted_ = {};
  isPersisting_ = true;
  persisting_ = sequencesOf(state_.progress());
  const auto bytes = bytesOf(write.batch);
  recordsSinceSnapshot_ = full ? 0 : recordsSinceSnapshot_ + 1;
  bytesSinceSnapshot_ = full ? 0 : bytesSinceSnapshot_ + bytes;
  if (full)
    snapshotBytes_ = bytes;
  const bool large = bytesSinceSnapshot_ >= kRecordBytesPerSnapshotByte * snapshotBytes_;
  snapshotIsDue_ =
      recordsSinceSnapshot_ >= kMaxRecordsPerSnapshot || (recordsSinceSnapshot_ >= kMinRecordsPerSnapshot && large);
  actions_.emplace_back(std::move(write));
}
void CounterReplica::persisted(TimePoint now) {
  checkInvariant(isPersisting_, "a disk write was reported as finished, but none is in progress");
  isPersisting_ = false;
  durable_ = std::move(persisting_);
  ownDiskTime_.end(now, sequenceIn(durable_, options_.origin));
  persistIfIdle();
  sendDeferredReports();
  acknowledgeReplicatedCalls(now);
}

// --- timeouts ---

void CounterReplica::detectPause(TimePoint now) {
  if (isPaused(now))
    for (auto& [address, peer] : peers_)
      peer.partition.discard(now);
  tickedAt_ = now;
}
// While enough peers for all copies are heard, it does not matter why others are silent.
void CounterReplica::attemptConnections(TimePoint now) {
  const auto isSilent = [&](const Peer& peer) {
    return now - peer.heardAt.value_or(startedAt_) >= kAttemptAfterSilence;
  };
  const auto silent =
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) { return isSilent(entry.second); });
  if (static_cast<int>(peers_.size()) - silent >= options_.copies)
    return;
  for (auto& [address, peer] : peers_) {
    if (!isSilent(peer) || !peer.partition.isAttemptDue(now))
      continue;
    peer.partition.beginAttempt(now);
    actions_.emplace_back(AttemptConnection{address});
  }
}
void CounterReplica::tick(TimePoint now) {
  detectPause(now);
  attemptConnections(now);
  for (auto& call : pending_) {
    if (!call.pushedToAllPeers && now - call.since >= kPushToAllPeersAfter)
      pushToAllPeers(call, now);
    else if (!call.pushedToAdditionalPeers && now - call.since >= kPushToAdditionalPeersAfter)
      pushToAdditionalPeers(call, now);
  }
  if (now - reportedAt_ >= kReportInterval)
    reportToAll(now);
  persistIfIdle();
  acknowledgeReplicatedCalls(now);
  updateCaughtUp(now);
  foldOldIds(now);
}
void CounterReplica::reportToAll(TimePoint now) {
  reportedAt_ = now;
  for (const auto& [address, peer] : peers_)
    if (peer.isMember || isReachable(peer, now))
      reportTo(address);
  std::erase_if(peers_, [&](const auto& entry) {
    return !entry.second.isMember && now - entry.second.heardAt.value_or(startedAt_) >= kSilentPeerTimeout;
  });
}
bool CounterReplica::hasReached(const Sequences& target) const {
  return std::all_of(target.begin(), target.end(),
                     [&](const auto& entry) { return state_.sequenceOf(entry.first) >= entry.second; });
}
void CounterReplica::updateCaughtUp(TimePoint now) {
  if (caughtUp_)
    return;
  std::size_t reported = 0;
  for (const auto& [address, peer] : peers_) {
    if (!peer.hasReported)
      continue;
    ++reported;
    // Only data that the peer still has is required. If its disk was lost, data that was stored nowhere else no longer
    // exists.
    for (const auto& [origin, sequence] : peer.initiallyReported)
      if (isReachable(peer, now) && state_.sequenceOf(origin) < std::min(sequence, sequenceIn(peer.durable, origin)))
        return;
  }
  const auto members = static_cast<std::size_t>(assumedPeers()) + 1;
  const bool hasMajority = reported + 1 > members / 2;
  const bool gracePeriodIsOver =
      hadRecords_ ? now - startedAt_ >= kCatchUpGrace : now - startedAt_ >= kEmptyCatchUpGrace && reported > 0;
  caughtUp_ = hasMajority || gracePeriodIsOver;
}

// --- discarding ids ---

bool CounterReplica::allPeersHave(const Sequences& sequences, TimePoint now) const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const auto& peer = entry.second;
    return isPermanentlySilent(peer, now) || (peer.hasReported && countMissing(peer.durable, sequences) == 0);
  });
}
bool CounterReplica::isPermanentlySilent(const Peer& peer, TimePoint now) const {
  const auto silentFor = now - peer.heardAt.value_or(startedAt_);
  return silentFor >= (peer.isRemoved ? kRemovedPeerTimeout : kSilentPeerTimeout);
}
// Folding takes two steps. Two replicas may accept the same id before either learns of the other's increment. Once all
// peers have an increment on their disks, none of them accepts its id again. Everything they had accepted until then is
// in their progress reports. Once all peers have that as well, every replica knows all positions of these ids, so all
// replicas fold the same increments.
void CounterReplica::foldOldIds(TimePoint now) {
  if (now - epochAt_ < kEpochInterval)
    return;
  epochAt_ = now;
  epochs_.push_back({now, durable_});
  if (foldLimit_)
    finishFolding(now);
  else
    startFolding(now);
}
void CounterReplica::startFolding(TimePoint now) {
  while (epochs_.size() > 1 && now - epochs_[1].at >= kIdRetention)
    epochs_.pop_front();
  if (now - epochs_.front().at < kIdRetention || !allPeersHave(epochs_.front().reached, now))
    return;
  foldLimit_ = epochs_.front().reached;
  foldBarrier_ = sequencesOf(state_.progress());
  foldStartedAt_ = now;
  // Data reported by a permanently silent peer may have been lost with it, so the barrier does not include that data.
  for (const auto& [address, peer] : peers_)
    if (!isPermanentlySilent(peer, now))
      for (const auto& [origin, sequence] : peer.durable)
        raiseSequence(foldBarrier_, origin, sequence);
}
void CounterReplica::finishFolding(TimePoint now) {
  if (!allPeersHave(foldBarrier_, now) || !hasReached(foldBarrier_)) {
    // An increment below the barrier may have been lost with a machine that was replaced since the start. After this
    // timeout the folding starts again with a new barrier.
    if (now - foldStartedAt_ >= kIdRetention)
      foldLimit_.reset();
    return;
  }
  for (const auto& [origin, sequence] : *foldLimit_)
    state_.fold(origin, sequence);
  foldLimit_.reset();
  snapshotIsDue_ = true;
  persistIfIdle();
}
std::vector<PeerStatus> CounterReplica::peers(TimePoint now) const {
  const auto own = sequencesOf(state_.progress());
  std::vector<PeerStatus> statuses;
  for (const auto& [address, peer] : peers_) {
    PeerStatus status{
        address, peer.zone, isReachable(peer, now), countMissing(peer.durable, own), countMissing(own, peer.durable),
        -1};
    if (peer.heardAt)
      status.silentForMs = toDuration(now - *peer.heardAt).count();
    status.cutOff = isCutOff(peer, now);
    status.unansweredAttempts = peer.partition.unansweredAttempts();
    status.lastAnswer = peer.partition.lastAnswer();
    statuses.push_back(std::move(status));
  }
  return statuses;
}
}  // namespace zinccleat::replicated_counters
