#include "coordination_world.hpp"

#include "coordination/sharding.hpp"
#include "transport/avro.hpp"

namespace zinccleat::sim {
namespace {
using coordination::AttemptEnd;
using coordination::CallResult;
using coordination::CallStatus;
using coordination::Command;
using coordination::CommandKind;
using coordination::Outcome;
using coordination::OutcomeKind;

constexpr int kOk = 200, kNotFound = 404, kConflict = 409, kGone = 410, kPreconditionFailed = 412, kUnavailable = 503;
constexpr Duration kServiceTimeout{850};
constexpr Duration kCallerTimeout{1000};
constexpr Duration kPausedRetryInterval{50};
constexpr Duration kRefusedRetryInterval{30};
constexpr int kLocks = 3, kCells = 6, kGroups = 2, kNumbers = 2;
constexpr int kMaxPutAttempts = 5;

int statusOf(const Outcome& outcome) {
  switch (outcome.result()) {
    case OutcomeKind::done:
      return kOk;
    case OutcomeKind::lockTaken:
      return kConflict;
    case OutcomeKind::revisionMismatch:
      return kPreconditionFailed;
    case OutcomeKind::notFound:
      return kNotFound;
    case OutcomeKind::limitReached:
      return kUnavailable;
  }
  return 0;
}
}  // namespace

CoordinationWorld::CoordinationWorld(std::uint64_t worldSeed, PlantedFault planted)
    : SimulatedCluster(worldSeed), planted_(planted) {}

// --- processes ---

void CoordinationWorld::onProcessStart(Node& node) {
  auto& member = members_[node.ip];
  member = Member{};
  const auto ip = node.ip;
  member.leaseholder = std::make_unique<coordination::Leaseholder>(member.state, [this, ip] {
    return planted_ == PlantedFault::leaseIsNotChecked || nodes[ip].raft->hasLease(now);
  });
}
void CoordinationWorld::applyEntry(Node& node, const LogEntry& entry) {
  auto& member = members_[node.ip];
  auto applied = entry;
  if (planted_ == PlantedFault::releaseIgnoresFence && entry.op() == OperationKind::coordination) {
    auto batch = *avro::decode<coordination::CommandBatch>(entry.body);
    for (auto& command : batch.commands)
      if (command.op() == CommandKind::releaseLock)
        command.fence = member.state.fenceOf(command.name);
    applied.body = avro::encode(batch);
  }
  const auto outcomes = member.state.apply(applied);
  member.leaseholder->onApplied(applied, outcomes);
}
bool CoordinationWorld::restoreState(Node& node, const std::string& state) {
  return members_[node.ip].state.restore(state).has_value();
}
std::string CoordinationWorld::snapshotOf(const Node& node) const {
  return members_.at(node.ip).state.snapshot();
}
// Drives the leaseholder in the same way as `CoordinationShard::run`.
void CoordinationWorld::afterActions(Node& node) {
  auto& member = members_[node.ip];
  if (member.isRunning || !node.raft)
    return;
  member.isRunning = true;
  for (;;) {
    const auto ledTerm = node.raft->role() == Role::leader ? node.raft->term() : 0;
    if (std::exchange(member.ledTerm, ledTerm) != ledTerm) {
      if (ledTerm == 0)
        member.leaseholder->endTerm();
      else
        member.leaseholder->startTerm(now);
    }
    member.leaseholder->tick(now);
    auto entry = member.leaseholder->nextBatch(now, node.id + "." + std::to_string(++lastOperation_));
    if (!entry)
      break;
    if (planted_ == PlantedFault::timeRunsFast) {
      auto batch = *avro::decode<coordination::CommandBatch>(entry->body);
      batch.elapsedMs *= 2;
      entry->body = avro::encode(batch);
    }
    if (planted_ == PlantedFault::answersBeforeCommit) {
      auto copy = member.state;
      auto earlyEntry = *entry;
      earlyEntry.index = copy.index() + 1;
      member.leaseholder->onApplied(earlyEntry, copy.apply(earlyEntry));
    }
    node.raft->submit(now, std::move(*entry));
    carryOutActions(node);
  }
  member.isRunning = false;
  for (const auto& result : member.leaseholder->takeResults())
    if (const auto pending = member.pending.extract(result.callId); !pending.empty())
      pending.mapped()(result);
  for (const auto& callback : std::exchange(member.onNextApply, {}))
    callback();
}
void CoordinationWorld::startAll(const std::vector<std::string>& ips) {
  ips_ = ips;
  for (const auto& ip : ips)
    start(ip, ips, true);
}
void CoordinationWorld::onProcess(const std::string& ip, int incarnation, const std::function<void()>& task) {
  if (!isAlive(ip, incarnation))
    return;
  if (!nodes[ip].paused)
    return task();
  schedule(kPausedRetryInterval, [this, ip, incarnation, task] { onProcess(ip, incarnation, task); });
}

// --- coordination service ---

void CoordinationWorld::acceptCall(const std::string& ip, const Command& command, Duration timeout, OnAnswer onAnswer) {
  attempt(std::make_shared<AcceptedCall>(
      AcceptedCall{ip, nodes[ip].incarnation, command, {now, timeout}, std::move(onAnswer)}));
}
void CoordinationWorld::attempt(const AcceptedCallPtr& accepted) {
  auto& node = nodes[accepted->ip];
  const auto leaderId = node.raft->leader();
  const bool inContact = planted_ == PlantedFault::leaseIsNotChecked || node.raft->inContactWithMajority(now);
  if (leaderId.empty() || !inContact)
    return endAttempt(accepted, AttemptEnd::notSent);
  // The attempt ends with its result, a change of the leader or the deadline, whichever comes first.
  const auto ended = std::make_shared<bool>(false);
  const auto end = [this, accepted, ended](AttemptEnd how) {
    if (!std::exchange(*ended, true))
      endAttempt(accepted, how);
  };
  const auto onResult = [accepted, ended, end](const CallResult& result) {
    if (result.status != CallStatus::executed)
      return end(result.status == CallStatus::notExecuted ? AttemptEnd::notExecuted : AttemptEnd::unknown);
    if (!std::exchange(*ended, true))
      accepted->onAnswer(statusOf(result.outcome), result.outcome);
  };
  const auto poll = std::make_shared<std::function<void()>>();
  *poll = [this, accepted, ended, end, leaderId, poll] {
    if (*ended || !isAlive(accepted->ip, accepted->incarnation))
      return;
    if (!nodes[accepted->ip].paused &&
        (nodes[accepted->ip].raft->leader() != leaderId || now >= accepted->progress.deadline()))
      return end(AttemptEnd::unknown);
    schedule(Duration(10), *poll);
  };
  (*poll)();
  if (leaderId == node.id)
    return callLeaseholder(node, accepted->command, onResult);
  const auto leaderIp = addressOf(leaderId);
  if (isLost(accepted->ip, leaderIp))
    return;  // the message was sent and got lost
  schedule(drawDelay(), [this, accepted, leaderIp, onResult] {
    auto* leader = findReachableNode(accepted->ip, leaderIp);
    if (!leader)
      return;
    onProcess(leaderIp, leader->incarnation, [this, accepted, leaderIp, onResult] {
      callLeaseholder(nodes[leaderIp], accepted->command,
                      [this, accepted, leaderIp, onResult](const CallResult& result) {
                        if (isLost(leaderIp, accepted->ip))
                          return;
                        schedule(drawDelay(), [this, accepted, leaderIp, onResult, result] {
                          if (findReachableNode(leaderIp, accepted->ip))
                            onProcess(accepted->ip, accepted->incarnation, [onResult, result] { onResult(result); });
                        });
                      });
    });
  });
}
void CoordinationWorld::endAttempt(const AcceptedCallPtr& accepted, AttemptEnd end) {
  const auto retryDelay = accepted->progress.retryDelayAfter(end, now);
  if (retryDelay)
    return schedule(*retryDelay, [this, accepted] {
      onProcess(accepted->ip, accepted->incarnation, [this, accepted] { attempt(accepted); });
    });
  const bool refused =
      accepted->progress.failure() == ErrorCode::unavailable || planted_ == PlantedFault::unknownIsRefused;
  accepted->onAnswer(refused ? kUnavailable : 0, {});
}
void CoordinationWorld::callLeaseholder(Node& node, const Command& command,
                                        std::function<void(const CallResult&)> onResult) {
  auto& member = members_[node.ip];
  const auto callId = ++lastCallId_;
  member.pending[callId] = std::move(onResult);
  member.leaseholder->call(callId, command);
  afterActions(node);
}
void CoordinationWorld::watch(const std::string& ip, const std::string& group, std::int64_t after, TimePoint until,
                              const OnAnswer& onAnswer,
                              const std::function<void(const coordination::WatchedEvents&)>& onEvents) {
  Command freshness;
  freshness.kind = static_cast<std::int32_t>(CommandKind::readIndex);
  freshness.name = group;
  const auto incarnation = nodes[ip].incarnation;
  const auto checkWatch = std::make_shared<std::function<void(std::int64_t)>>();
  *checkWatch = [=, this](std::int64_t readIndex) {
    if (!isAlive(ip, incarnation))
      return;
    const coordination::WatchQuery query{group, after, readIndex};
    if (const auto answer = coordination::answerWatch(members_[ip].state, query, now >= until)) {
      if (!*answer)
        return onAnswer(kUnavailable, {});
      return (*answer)->discarded ? onAnswer(kGone, {}) : onEvents(**answer);
    }
    schedule(Duration(20), [this, ip, incarnation, checkWatch, readIndex] {
      onProcess(ip, incarnation, [checkWatch, readIndex] { (*checkWatch)(readIndex); });
    });
  };
  if (planted_ == PlantedFault::watchIsNotFresh)
    return (*checkWatch)(0);
  acceptCall(ip, freshness, kServiceTimeout, [checkWatch, onAnswer](int status, const Outcome& outcome) {
    if (status != kOk)
      return onAnswer(status, outcome);
    (*checkWatch)(outcome.number);
  });
}

// --- applications ---

std::string CoordinationWorld::drawMachineIp() {
  return ips_[draw(ips_.size())];
}
Command CoordinationWorld::commandOf(const Call& call) {
  Command command;
  command.name = call.name;
  command.holder = call.caller;
  command.fence = call.fence;
  command.holdMs = call.holdMs;
  command.value = call.value;
  command.argument = call.appliesTo;
  static const std::map<CallKind, CommandKind> kinds{{CallKind::beginLock, CommandKind::acquireLock},
                                                     {CallKind::renewLock, CommandKind::renewLock},
                                                     {CallKind::releaseLock, CommandKind::releaseLock},
                                                     {CallKind::number, CommandKind::nextNumber},
                                                     {CallKind::put, CommandKind::putCell},
                                                     {CallKind::read, CommandKind::getCell}};
  command.kind = static_cast<std::int32_t>(kinds.at(call.kind));
  return command;
}
void CoordinationWorld::send(Call call, const std::string& ip, const std::function<void(const Call&)>& onEnd,
                             Duration extraDelay) {
  call.sentAt = nowUs();
  const auto ended = std::make_shared<bool>(false);
  const auto index = history_.size();
  history_.push_back(call);
  const auto end = [this, ended, index, onEnd](int status, const std::function<void(Call&)>& fill) {
    schedule(drawDelay(), [this, ended, index, onEnd, status, fill] {
      if (std::exchange(*ended, true))
        return;
      auto& recorded = history_[index];
      recorded.status = status;
      if (status != 0) {
        recorded.answeredAt = nowUs();
        fill(recorded);
      }
      onEnd(Call(recorded));
    });
  };
  const auto callerTimeout = call.kind == CallKind::watch ? kCallerTimeout * 2 : kCallerTimeout;
  schedule(callerTimeout, [end] { end(0, [](Call&) {}); });
  const auto onAnswer = [end](int status, const Outcome& outcome) {
    end(status, [outcome](Call& recorded) {
      recorded.number = outcome.number;
      if (recorded.kind == CallKind::read)
        recorded.value = outcome.value;
    });
  };
  schedule(drawDelay() + extraDelay, [this, ip, call, end, onAnswer] {
    if (!nodes[ip].up)
      return end(0, [](Call&) {});
    onProcess(ip, nodes[ip].incarnation, [this, ip, call, end, onAnswer] {
      if (call.kind != CallKind::watch)
        return acceptCall(ip, commandOf(call), kServiceTimeout, onAnswer);
      watch(ip, call.name, call.after, now + Duration(400), onAnswer, [end](const coordination::WatchedEvents& found) {
        end(kOk, [found](Call& recorded) {
          recorded.events = found.events;
          recorded.number = found.revision;
        });
      });
    });
  });
}
void CoordinationWorld::startCallers(int count, TimePoint until) {
  callUntil_ = until;
  for (int i = 0; i < count; ++i) {
    auto caller = std::make_shared<Caller>();
    caller->name = "caller" + std::to_string(i);
    scheduleNextCall(caller);
  }
}
void CoordinationWorld::scheduleNextCall(const std::shared_ptr<Caller>& caller) {
  if (now < callUntil_)
    schedule(Duration(5 + draw(60)), [this, caller] { issueCall(caller); });
}
void CoordinationWorld::issueCall(const std::shared_ptr<Caller>& caller) {
  Call call;
  call.caller = caller->name;
  const auto scheduleNext = [this, caller](const Call&) { scheduleNextCall(caller); };
  const auto lock = "l" + std::to_string(draw(kLocks));
  switch (draw(7)) {
    case 0:
    case 1: {
      call.name = lock;
      const auto fence = caller->fences.find(lock);
      // Sometimes also while it has the lock, as if it had restarted.
      if (fence == caller->fences.end() || draw(6) == 0)
        return beginLock(caller, lock);
      call.fence = fence->second;
      call.kind = draw(2) == 0 ? CallKind::renewLock : CallKind::releaseLock;
      call.holdMs = call.kind == CallKind::renewLock ? 100 + static_cast<std::int64_t>(draw(800)) : 0;
      if (call.kind == CallKind::releaseLock)
        caller->fences.erase(fence);
      // The caller restarts under the same name directly after it has sent a release. The release is delayed and may
      // arrive after the caller has reacquired the lock.
      if (call.kind == CallKind::releaseLock && draw(3) == 0) {
        send(
            call, drawMachineIp(), [](const Call&) {}, Duration(20 + draw(200)));
        return schedule(Duration(1), [this, caller, lock] { beginLock(caller, lock); });
      }
      return send(call, drawMachineIp(), [this, caller](const Call& ended) {
        if (ended.status == kConflict)
          caller->fences.erase(ended.name);
        scheduleNextCall(caller);
      });
    }
    case 2:
      call.kind = CallKind::number;
      call.name = "n" + std::to_string(draw(kNumbers));
      return send(call, drawMachineIp(), scheduleNext);
    case 3:
      call.kind = CallKind::read;
      call.name = "g" + std::to_string(draw(kGroups)) + "." + std::to_string(draw(kCells));
      return send(call, drawMachineIp(), [this, caller](const Call& ended) {
        caller->read[ended.name] = ended.number;
        scheduleNextCall(caller);
      });
    case 4:
    case 5:
      call.kind = CallKind::put;
      call.name = "g" + std::to_string(draw(kGroups)) + "." + std::to_string(draw(kCells));
      call.value = "v" + std::to_string(++lastValue_);
      if (const auto seen = caller->read.find(call.name); draw(2) == 0 && seen != caller->read.end())
        call.appliesTo = seen->second;
      return putUntilAnswered(caller, call, kMaxPutAttempts);
    default:
      call.kind = CallKind::watch;
      call.name = "g" + std::to_string(draw(kGroups)) + ".";
      call.after = caller->watched[call.name];
      return send(call, drawMachineIp(), [this, caller](const Call& ended) {
        if (ended.succeeded())
          caller->watched[ended.name] = ended.number;
        scheduleNextCall(caller);
      });
  }
}
void CoordinationWorld::beginLock(const std::shared_ptr<Caller>& caller, const std::string& lock) {
  Call call;
  call.caller = caller->name;
  call.name = lock;
  call.kind = CallKind::beginLock;
  call.holdMs = 100 + static_cast<std::int64_t>(draw(1200));
  send(call, drawMachineIp(), [this, caller](const Call& ended) {
    if (ended.succeeded())
      caller->fences[ended.name] = ended.number;
    scheduleNextCall(caller);
  });
}
// Repeats a put without a definite answer unchanged. After a refusal the caller gives up in half of the cases.
void CoordinationWorld::putUntilAnswered(const std::shared_ptr<Caller>& caller, const Call& put, int attemptsLeft) {
  send(put, drawMachineIp(), [this, caller, put, attemptsLeft](const Call& ended) {
    const bool clear = ended.succeeded() || ended.status == kPreconditionFailed;
    const bool givesUp = ended.status == kUnavailable && draw(2) == 0;
    if (clear || givesUp || attemptsLeft == 1)
      return scheduleNextCall(caller);
    schedule(kRefusedRetryInterval,
             [this, caller, put, attemptsLeft] { putUntilAnswered(caller, put, attemptsLeft - 1); });
  });
}
std::vector<std::string> CoordinationWorld::readBack(Duration within) {
  const auto unanswered = std::make_shared<std::set<std::string>>();
  const auto until = now + within;
  const auto ask = std::make_shared<std::function<void(const Call&)>>();
  *ask = [this, unanswered, until, ask](const Call& call) {
    send(call, drawMachineIp(), [this, unanswered, until, ask, call](const Call& ended) {
      const bool answered = ended.succeeded() || ended.status == kNotFound || ended.status == kGone;
      if (answered)
        unanswered->erase(call.name);
      else if (now < until)
        schedule(kRefusedRetryInterval, [ask, call] { (*ask)(call); });
    });
  };
  Call call;
  call.caller = "reader";
  call.holdMs = 100;
  const auto add = [&](CallKind kind, const std::string& name) {
    call.kind = kind;
    call.name = name;
    unanswered->insert(name);
    (*ask)(call);
  };
  for (int i = 0; i < kLocks; ++i)
    add(CallKind::beginLock, "l" + std::to_string(i));
  for (int i = 0; i < kNumbers; ++i)
    add(CallKind::number, "n" + std::to_string(i));
  for (int group = 0; group < kGroups; ++group) {
    for (int cell = 0; cell < kCells; ++cell)
      add(CallKind::read, "g" + std::to_string(group) + "." + std::to_string(cell));
    call.after = 1;
    add(CallKind::watch, "g" + std::to_string(group) + ".");
    call.after = 0;
  }
  runFor(within + kCallerTimeout * 2);
  *ask = nullptr;  // breaks the reference cycle of the function with itself
  return {unanswered->begin(), unanswered->end()};
}
std::size_t CoordinationWorld::answered() const {
  return static_cast<std::size_t>(
      std::count_if(history_.begin(), history_.end(), [](const Call& call) { return call.succeeded(); }));
}
}  // namespace zinccleat::sim
