#include "coordination_service.hpp"

#include "coordination/sharding.hpp"
#include "json_object.hpp"
#include "runtime/log_ring.hpp"
#include "startup.hpp"

namespace zinccleat::controller {
namespace {
using coordination::AttemptEnd;
using coordination::CallResult;
using coordination::CallStatus;
using coordination::Command;
using coordination::CommandKind;
using coordination::Outcome;
using coordination::WatchedEvents;

constexpr Duration kFreshnessTimeout{850};
constexpr Duration kWatchContactCheck{500};
constexpr std::size_t kMaxWatches = 1024;
constexpr Duration kProposalInterval{500};  // a proposal may be lost together with its leader, so it is repeated
}  // namespace

CoordinationService::CoordinationService(ControllerContext& context, ProposeFounding proposeFounding)
    : context_(context),
      proposeFounding_(std::move(proposeFounding)),
      links_(context, static_cast<std::uint16_t>(context.settings.firstPort + kCoordinationPortOffset),
             [this](const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
               onMessage(link, envelope);
             }) {
  for (int number = 0; number < coordination::kShardCount; ++number)
    shards_.push_back(std::make_unique<CoordinationShard>(context, number, callbacksFor(number)));
}
CoordinationShard::Callbacks CoordinationService::callbacksFor(int shard) {
  CoordinationShard::Callbacks callbacks;
  callbacks.send = [this, shard](const consensus::MemberId& to, const consensus::ConsensusMessage& message) {
    const coordination::ShardConsensus wrapped{shard, consensus::encodeMessage(message)};
    (void)links_.sendEnvelope(to, transport::pack(wrapped, shardAt(shard).raft().self()));
  };
  callbacks.onResult = [this, shard](const CallResult& result) { onResult(shard, result); };
  callbacks.onLeaderChanged = [this, shard] { onLeaderChanged(shard); };
  callbacks.onApplied = [this, shard] { onApplied(shard); };
  callbacks.onRestored = [this, shard] { wakeWatches(shard); };
  return callbacks;
}
Result<void> CoordinationService::recover(const DiskRecovery& disk, std::uint64_t incarnation) {
  for (auto& shard : shards_)
    if (auto recovered = shard->recover(disk, incarnation); !recovered)
      return recovered;
  return {};
}
Result<void> CoordinationService::start(const std::shared_ptr<DiskThread>& disk) {
  if (auto listening = links_.listen(); !listening)
    return listening;
  dialOthers();
  for (auto& shard : shards_)
    shard->start(disk);
  return {};
}
// Dials at startup, so that the first request to another controller is not lost because its connection is not open yet.
void CoordinationService::dialOthers() {
  for (const auto& seed : seedAddresses(context_.settings))
    links_.dial(seed);
  for (const auto& shard : shards_)
    for (const auto& voter : shard->raft().voters())
      links_.dial(consensus::addressOf(voter));
}
void CoordinationService::tick(TimePoint now) {
  proposeFoundingIfDecided(now);
  for (auto& shard : shards_)
    shard->tick(now);
}
bool CoordinationService::hasRecords() const {
  return std::any_of(shards_.begin(), shards_.end(), [](const auto& shard) { return shard->hasRecords(); });
}
void CoordinationService::proposeFoundingIfDecided(TimePoint now) {
  const auto& raft = *context_.raft;
  if (context_.replica.state().shardFounding.isAgreed() || !raft.hasLease(now))
    return founder_.reset();
  const ShardFounder::Leader leader{raft.self(), raft.config(), hasRecords()};
  const auto founding = founder_.decide(now, leader);
  for (const auto& member : founder_.membersToQuery(now, leader))
    (void)links_.sendEnvelope(member, transport::pack(coordination::ShardRecordsQuery{++lastCallId_}, raft.self()));
  if (!founding || now - proposedAt_ < kProposalInterval)
    return;
  proposedAt_ = now;
  log::info("shards_founding_proposed", {{"shards", founding->shards}, {"founders", founding->founders.size()}});
  proposeFounding_(*founding);
}
void CoordinationService::setSeedAddresses(const std::vector<std::string>& addresses) {
  for (auto& shard : shards_)
    shard->setSeedAddresses(addresses);
}
void CoordinationService::leave(TimePoint now) {
  leaving_ = true;
  for (auto* watch : watches_)
    watch->waiter.wake();
  for (auto& shard : shards_)
    shard->leave(now);
}
bool CoordinationService::mayExit() const {
  return std::all_of(shards_.begin(), shards_.end(), [](const auto& shard) { return shard->mayExit(); });
}

// --- messages ---

void CoordinationService::onMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
  const auto isShard = [](int number) { return number >= 0 && number < coordination::kShardCount; };
  if (envelope.sender.empty())
    return link->decline("message without a sender");
  links_.recordMessage(envelope.sender, link);
  transport::receive<coordination::ShardConsensus>(link, envelope, [&](const coordination::ShardConsensus& message) {
    auto decoded = consensus::decodeMessage(message.message);
    if (!decoded || !isShard(message.shard))
      return link->decline("invalid shard message");
    shardAt(message.shard).receive(envelope.sender, std::move(*decoded));
  });
  transport::receive<coordination::ShardCall>(link, envelope, [&](const coordination::ShardCall& message) {
    if (!isShard(message.shard))
      return link->decline("call to an unknown shard");
    onShardCall(envelope.sender, message);
  });
  transport::receive<coordination::ShardRecordsQuery>(
      link, envelope, [&](const coordination::ShardRecordsQuery& message) { onRecordsQuery(link, message); });
  transport::receive<coordination::ShardRecordsAnswer>(link, envelope,
                                                       [&](const coordination::ShardRecordsAnswer& message) {
                                                         founder_.recordAnswer(envelope.sender, message.hasRecords);
                                                       });
  transport::receive<coordination::ShardCallResult>(link, envelope, [&](const coordination::ShardCallResult& message) {
    if (const auto call = calls_.find(message.requestId); call != calls_.end()) {
      call->second->result = {message.requestId, static_cast<CallStatus>(message.status), message.outcome};
      call->second->waiter.wake();
    }
  });
}
void CoordinationService::onRecordsQuery(const transport::PeerLinkPtr& link,
                                         const coordination::ShardRecordsQuery& query) {
  link->send(transport::pack(coordination::ShardRecordsAnswer{query.requestId, hasRecords()}, context_.raft->self()));
}
void CoordinationService::onShardCall(const consensus::MemberId& from, const coordination::ShardCall& message) {
  const auto callId = ++lastCallId_;
  remoteCalls_[callId] = {from, message.requestId};
  shardAt(message.shard).call(callId, message.command);
}
void CoordinationService::onResult(int shard, const CallResult& result) {
  if (const auto call = calls_.find(result.callId); call != calls_.end()) {
    call->second->result = result;
    call->second->waiter.wake();
    return;
  }
  const auto remote = remoteCalls_.extract(result.callId);
  if (remote.empty())
    return;
  const auto& [from, requestId] = remote.mapped();
  const coordination::ShardCallResult message{requestId, static_cast<std::int32_t>(result.status), result.outcome};
  (void)links_.sendEnvelope(from, transport::pack(message, shardAt(shard).raft().self()));
}
void CoordinationService::onLeaderChanged(int shard) {
  for (auto& [id, call] : calls_)
    if (call->shard == shard)
      call->waiter.wake();
}

// --- calls ---

AttemptEnd CoordinationService::attempt(CoordinationShard& shard, const Command& command, PendingCall& pending,
                                        TimePoint deadline) {
  const auto leader = shard.raft().leader();
  const auto self = shard.raft().self();
  // A machine without contact to a majority does not send the call. A message that may still be delivered later cannot
  // be reported as not executed.
  if (leader.empty() || !shard.raft().inContactWithMajority(Clock::now()))
    return AttemptEnd::notSent;
  const auto callId = ++lastCallId_;
  calls_[callId] = &pending;
  bool sent = true;
  if (leader == self)
    shard.call(callId, command);
  else
    sent = links_.sendEnvelope(leader, transport::pack(coordination::ShardCall{shard.number(), callId, command}, self));
  while (sent && !pending.result && shard.raft().leader() == leader && Clock::now() < deadline)
    (void)runtime::EventLoop::get().waitFor(pending.waiter, toDuration(deadline - Clock::now()) + 1ms);
  calls_.erase(callId);
  if (!sent)
    return AttemptEnd::notSent;
  if (!pending.result || pending.result->status == CallStatus::unknown)
    return AttemptEnd::unknown;
  return pending.result->status == CallStatus::executed ? AttemptEnd::answered : AttemptEnd::notExecuted;
}
Result<Outcome> CoordinationService::call(const Command& command, Duration timeout) {
  auto& shard = shardAt(coordination::shardOf(command));
  coordination::CallProgress progress(Clock::now(), timeout);
  for (;;) {
    PendingCall pending;
    pending.shard = shard.number();
    const auto end = attempt(shard, command, pending, progress.deadline());
    if (end == AttemptEnd::answered)
      return pending.result->outcome;
    const auto pause = progress.retryDelayAfter(end, Clock::now());
    if (!pause)
      return makeError(progress.failure(), "no answer of the shard's leaseholder");
    runtime::EventLoop::get().sleepFor(*pause);
  }
}

// --- watches ---

void CoordinationService::onApplied(int shard) {
  const auto& state = shardAt(shard).state();
  const auto& changed = state.changedGroups();
  for (auto* watch : watches_) {
    const auto& query = watch->query;
    if (watch->shard != shard || state.index() < query.readIndex)
      continue;
    const bool nowFresh = state.index() == query.readIndex;
    if (nowFresh || std::find(changed.begin(), changed.end(), query.group) != changed.end())
      watch->waiter.wake();
  }
}
void CoordinationService::wakeWatches(int shard) {
  for (auto* watch : watches_)
    if (watch->shard == shard)
      watch->waiter.wake();
}
Result<WatchedEvents> CoordinationService::awaitEvents(PendingWatch& watch, TimePoint deadline) {
  auto& shard = shardAt(watch.shard);
  for (;;) {
    const auto now = Clock::now();
    if (auto answer = coordination::answerWatch(shard.state(), watch.query, now >= deadline))
      return *answer;
    const auto left = toDuration(deadline - now) + 1ms;
    (void)runtime::EventLoop::get().waitFor(watch.waiter, std::min(left, kWatchContactCheck));
    // New puts would not reach this replica, so the caller has to use another controller.
    if (leaving_ || !shard.raft().inContactWithMajority(Clock::now()))
      return makeError(ErrorCode::unavailable, "this replica receives no puts");
  }
}
Result<WatchedEvents> CoordinationService::watch(const std::string& group, std::int64_t after, Duration wait) {
  if (watches_.size() >= kMaxWatches)
    return makeError(ErrorCode::limitReached, "too many watches wait here");
  const auto deadline = Clock::now() + wait;
  Command freshness;
  freshness.kind = static_cast<std::int32_t>(CommandKind::readIndex);
  freshness.name = group;
  const auto readIndex = call(freshness, kFreshnessTimeout);
  if (!readIndex)
    return makeError(ErrorCode::unavailable, readIndex.error().message);
  PendingWatch pendingWatch;
  pendingWatch.shard = coordination::shardOf(freshness);
  pendingWatch.query = {group, after, readIndex->number};
  watches_.push_back(&pendingWatch);
  auto found = awaitEvents(pendingWatch, deadline);
  std::erase(watches_, &pendingWatch);
  return found;
}

// --- reports ---

std::string CoordinationService::shardsJson(TimePoint now) const {
  std::vector<std::string> shards;
  for (const auto& shard : shards_) {
    const auto& raft = shard->raft();
    const auto watching = std::count_if(watches_.begin(), watches_.end(),
                                        [&](const auto* watch) { return watch->shard == shard->number(); });
    shards.push_back(JsonObject()
                         .number("shard", shard->number())
                         .text("member", raft.self())
                         .text("role", nameOf(raft.role()))
                         .text("leaseholder", raft.leader())
                         .number("epoch", raft.term())
                         .flag("leased", raft.hasLease(now))
                         .flag("inContact", raft.inContactWithMajority(now))
                         .number("applied", shard->state().index())
                         .number("timeMs", shard->state().timeMs())
                         .number("locks", shard->state().lockCount())
                         .number("cells", shard->state().cellCount())
                         .number("watches", watching)
                         .number("pendingCalls", shard->pendingCalls())
                         .raw("members", jsonTexts(raft.voters()))
                         .json());
  }
  return JsonObject().text("node", context_.settings.node).raw("shards", jsonArray(shards)).json();
}
}  // namespace zinccleat::controller
