#include "counter_service.hpp"

#include "json_object.hpp"
#include "runtime/log_ring.hpp"
#include "startup.hpp"
#include "storage/name_prefix.hpp"

namespace zinccleat::controller {
namespace {
using replicated_counters::CounterReplica;
using replicated_counters::IncrementBatch;
using replicated_counters::IncrementTransfer;
using replicated_counters::PartitionDetector;
using replicated_counters::ProgressReport;
using replicated_counters::TransferRequest;

constexpr Duration kMembershipInterval{500};
constexpr Duration kAppendRetryInterval{200};
constexpr std::string_view kFilePrefix = "counters-";

/// Wrapper around a batch that is encoded on the disk thread. A separate type is needed because each type may be
/// encoded on one thread only.
struct StoredBatch {
  std::shared_ptr<IncrementBatch> batch = std::make_shared<IncrementBatch>();
  template <class V>
  void fields(V& v) {
    batch->fields(v);
  }
};
Result<IncrementBatch> batchOf(const consensus::DiskRecord& record) {
  return avro::decode<IncrementBatch>(record.state);
}
bool isBatch(const std::string& state) {
  const auto batch = avro::decode<IncrementBatch>(state);
  return batch && replicated_counters::isWellFormed(*batch);
}
// Each process draws a random incarnation. Combined with the address it makes a collision of two origins practically
// impossible.
replicated_counters::OriginId originOf(const std::string& address, std::uint64_t incarnation) {
  return static_cast<replicated_counters::OriginId>(hash64(address, incarnation));
}
/// Describes what is known of a peer: how long it has been silent, the connection attempts in a row that were not
/// answered, and the last one that was.
std::string describeEvidence(const replicated_counters::PeerStatus& peer, TimePoint now) {
  auto text = peer.address + " silent " + std::to_string(peer.silentForMs) + " ms, unanswered " +
              std::to_string(peer.unansweredAttempts);
  if (peer.lastAnswer)
    text += std::string(", ") + transport::nameOf(peer.lastAnswer->outcome) + " " +
            std::to_string(toDuration(now - peer.lastAnswer->endedAt).count()) + " ms ago";
  return text + (peer.cutOff ? ", cut off" : "");
}
}  // namespace

CounterService::CounterService(ControllerContext& context)
    : context_(context),
      links_(context, static_cast<std::uint16_t>(context.settings.firstPort + kCounterPortOffset),
             [this](const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
               onMessage(link, envelope);
             }) {}
Result<void> CounterService::recover(const DiskRecovery& disk, std::uint64_t incarnation) {
  const auto& settings = context_.settings;
  auto folder = storage::withNamePrefix(storage::openPosixFolder(settings.dataDir), std::string(kFilePrefix));
  auto recovered = recoverDisk(disk, storage::Storage(std::move(folder)), isBatch);
  if (!recovered)
    return tl::unexpected(recovered.error());
  CounterReplica::Options options;
  options.origin = originOf(settings.ip, incarnation);
  options.zone = settings.zone;
  options.copies = settings.toleratedMachineFailures;
  replica_.emplace(options, Clock::now());  // read after the disk recovery, which may take long
  for (const auto& record : recovered->recovery.records) {
    const auto batch = batchOf(record);
    if (!batch || !replicated_counters::isWellFormed(*batch))
      return makeError(ErrorCode::ioError,
                       settings.dataDir + ": record " + std::to_string(record.seq) + " of the counters can't be read");
    replica_->recover(*batch);
    lastRecord_ = record.seq;
  }
  recoveredStorage_ = std::move(recovered->storage);
  return {};
}
Result<void> CounterService::start(const std::shared_ptr<DiskThread>& disk) {
  if (auto listening = links_.listen(); !listening)
    return listening;
  storage_ = std::make_unique<AsyncStorage>(disk, std::move(*recoveredStorage_), AppendUrgency::counters);
  recoveredStorage_.reset();
  followMembership();
  run();
  return {};
}
void CounterService::followMembership() {
  std::set<std::string> voters;
  for (const auto& voter : context_.raft->voters())
    voters.insert(consensus::addressOf(voter));
  auto addresses = voters;
  for (const auto& seed : seedAddresses(context_.settings))
    addresses.insert(seed);
  addresses.erase(context_.settings.ip);
  for (const auto& address : addresses)
    links_.dial(address);
  replica_->setPeers(addresses, voters);
}
void CounterService::tick(TimePoint now) {
  replica_->tick(now);
  if (now - membershipFollowedAt_ >= kMembershipInterval) {
    membershipFollowedAt_ = now;
    followMembership();
    logReachabilityChanges(now);
  }
  run();
}
void CounterService::logReachabilityChanges(TimePoint now) {
  if (replica_->mayRead() && !std::exchange(caughtUp_, true))
    log::debug("counters_caught_up", {{"ids", replica_->state().retainedIncrements()}});
  std::set<std::string> unreachable;
  for (const auto& peer : replica_->peers(now)) {
    if (peer.reachable || peer.silentForMs < 0)
      continue;
    unreachable.insert(peer.address);
    if (!unreachablePeers_.contains(peer.address))
      log::info("counter_peer_unreachable", {{"peer", peer.address}, {"zone", peer.zone}});
  }
  for (const auto& address : unreachablePeers_)
    if (!unreachable.contains(address))
      log::info("counter_peer_back", {{"peer", address}});
  unreachablePeers_ = std::move(unreachable);
}

void CounterService::logMissingCopies(bool hasAllCopies) {
  if (std::exchange(acknowledgesWithAllCopies_, hasAllCopies) == hasAllCopies)
    return;
  if (hasAllCopies)
    return log::info("counter_copies_complete", {});
  const auto now = Clock::now();
  std::string evidence;
  for (const auto& peer : replica_->peers(now))
    evidence += (evidence.empty() ? "" : "; ") + describeEvidence(peer, now);
  log::info("counter_copies_missing", {{"sinceTickMs", replica_->sinceTick(now).count()}, {"peers", evidence}});
}

// --- messages ---

void CounterService::onMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
  const auto address = consensus::addressOf(envelope.sender);
  if (address.empty())
    return link->decline("message without a sender");
  links_.recordMessage(envelope.sender, link);
  heardMembers_[address] = envelope.sender;
  const auto pass = [&](const auto& message, const auto& content) {
    if (!replicated_counters::isWellFormed(content))
      return link->decline("invalid increment sequence");
    replica_->receive(Clock::now(), address, message);
  };
  transport::receive<ProgressReport>(link, envelope, [&](const auto& report) { pass(report, report.progress); });
  transport::receive<TransferRequest>(link, envelope, [&](const auto& request) { pass(request, request.after); });
  transport::receive<IncrementTransfer>(link, envelope, [&](const auto& transfer) { pass(transfer, transfer.batch); });
  run();
}
template <class Message>
void CounterService::send(const std::string& address, const Message& message) {
  const auto member = heardMembers_.find(address);
  // The full member id of a machine that has not sent a message yet is unknown. Its address alone is enough to send on
  // a dialled connection.
  const auto to = member == heardMembers_.end() ? consensus::MemberId(address) : member->second;
  (void)links_.sendEnvelope(to, transport::pack(message, context_.raft->self()));
}

void CounterService::executeAction(const replicated_counters::AttemptConnection& action) {
  const auto onEnded = [this, address = action.to](const transport::ConnectionAttempt& attempt) {
    replica_->receive(Clock::now(), address, attempt);
    run();
  };
  links_.attemptConnection(action.to, PartitionDetector::kAttemptTimeout, onEnded);
}

// --- disk ---

void CounterService::executeAction(replicated_counters::PersistBatch& action) {
  consensus::DiskRecord record;
  record.seq = ++lastRecord_;
  record.self = context_.raft->self();
  record.full = action.full;
  appendRecord(record, std::make_shared<IncrementBatch>(std::move(action.batch)));
}
// Retries the append until it succeeds: later records build on this record, and its contents are not acknowledged
// before. Encoding runs on the disk thread, because encoding a snapshot of all kept ids takes about 100 ms and would
// block the event loop.
void CounterService::appendRecord(const consensus::DiskRecord& record, const std::shared_ptr<IncrementBatch>& batch) {
  const auto encode = [batch] { return avro::encode(StoredBatch{batch}); };
  const auto onAppended = [this, record, batch](const Result<void>& appended) {
    if (appended) {
      replica_->persisted(Clock::now());
      return run();
    }
    log::error("storage_append_failed", {{"counters", record.seq}, {"reason", appended.error().message}});
    runtime::EventLoop::get().spawn([this, record, batch] {
      runtime::EventLoop::get().sleepFor(kAppendRetryInterval);
      appendRecord(record, batch);
    });
  };
  storage_->append(record, onAppended, encode);
}
void CounterService::run() {
  if (!storage_)
    return;
  for (auto actions = replica_->takeActions(); !actions.empty(); actions = replica_->takeActions())
    for (auto& action : actions)
      std::visit([this](auto& alternative) { executeAction(alternative); }, action);
}

// --- calls ---

void CounterService::executeAction(const replicated_counters::Acknowledge& action) {
  logMissingCopies(action.hasAllCopies);
  const auto call = calls_.find(action.callId);
  if (call == calls_.end())
    return;
  call->second->acknowledged = true;
  call->second->waiter.wake();
}
Result<void> CounterService::add(const replicated_counters::Increment& increment, Duration timeout) {
  const auto callId = ++lastCallId_;
  PendingCall pending;
  calls_[callId] = &pending;
  auto added = replica_->add(Clock::now(), callId, increment);
  run();
  if (added && !pending.acknowledged)
    (void)runtime::EventLoop::get().waitFor(pending.waiter, timeout);
  calls_.erase(callId);
  replica_->cancel(callId);
  if (!added)
    return added;
  if (!pending.acknowledged)
    return makeError(ErrorCode::outcomeUnknown, "too few copies in time");
  return {};
}
Result<std::int64_t> CounterService::total(const std::string& counter) const {
  if (!replica_->mayRead())
    return makeError(ErrorCode::unavailable, "this replica has not caught up since its start");
  return replica_->state().total(counter);
}
std::string CounterService::countersJson(TimePoint now) const {
  std::vector<std::string> peers;
  for (const auto& peer : replica_->peers(now))
    peers.push_back(JsonObject()
                        .number("peer", peers.size())
                        .text("address", peer.address)
                        .text("zone", peer.zone)
                        .flag("reachable", peer.reachable)
                        .flag("cutOff", peer.cutOff)
                        .number("silentForMs", peer.silentForMs)
                        .number("theyLack", peer.theyLack)
                        .number("weLack", peer.weLack)
                        .json());
  const auto& state = replica_->state();
  return JsonObject()
      .text("node", context_.settings.node)
      .text("zone", context_.settings.zone)
      .flag("caughtUp", replica_->mayRead())
      .number("keptIds", state.retainedIncrements())
      .number("maxKeptIds", CounterReplica::kMaxRetainedIncrements)
      .number("keptBytes", state.keptBytes())
      .number("pendingCalls", replica_->pendingCalls())
      .raw("peers", jsonArray(peers))
      .json();
}
}  // namespace zinccleat::controller
