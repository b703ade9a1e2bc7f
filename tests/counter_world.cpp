#include "counter_world.hpp"

namespace zinccleat::counter_world {
namespace {
using namespace replicated_counters;
constexpr Duration kTick{50};
constexpr Duration kCallTimeout{850};
constexpr int kRoundCount = 3;  // periods of overlapping faults, each followed by a time without faults
constexpr Duration kRoundLength{45'000};
constexpr Duration kFaultPeriod{18'000};  // part of each round
constexpr Duration kFaultyRunLength = kRoundCount * kRoundLength;
// A machine counts as lost for this long after the loss of its disk, provided that no other problem occurs.
constexpr Duration kDiskRecoveryTime{10'000};
constexpr std::size_t kCounters = 4;
constexpr Duration kFaultFreeRunLength{60'000};  // length of a simulation without faults
}  // namespace

CounterWorld::CounterWorld(std::uint64_t seed, PlantedFault planted)
    : random_(seed), seed_(seed), planted_(planted), zones_(3 + static_cast<int>(drawBelow(2))) {
  const int perZone = 1 + static_cast<int>(drawBelow(2));
  copies_ = perZone == 1 ? 1 : 2;
  for (int i = 0; i < zones_ * perZone; ++i) {
    auto machine = std::make_unique<Machine>();
    machine->address = "10.0." + std::to_string(i % zones_) + "." + std::to_string(i);
    machine->zone = i % zones_;
    machines_.push_back(std::move(machine));
  }
}
void CounterWorld::reportViolation(const std::string& what) {
  violations_.push_back("seed " + std::to_string(seed_) + ", " + std::to_string(toDuration(now_ - start_).count()) +
                        " ms: " + what);
}
void CounterWorld::runUntil(TimePoint until) {
  while (!events_.empty() && events_.begin()->first <= until) {
    auto event = events_.extract(events_.begin());
    now_ = std::max(now_, event.key());
    event.mapped()();
  }
  now_ = until;
}
CounterWorld::Machine* CounterWorld::machineAt(const std::string& address) {
  for (auto& machine : machines_)
    if (machine->address == address && machine->isDeployed && machine->up)
      return machine.get();
  return nullptr;
}

// --- processes, disks, network ---

void CounterWorld::start(Machine& machine) {
  machine.up = true;
  machine.powered = true;
  machine.frozen = false;
  machine.undelivered.clear();
  ++machine.incarnation;
  machine.acknowledgedTotals.clear();
  machine.writing.reset();
  if (planted_ != PlantedFault::originIsReused || machine.origin == 0)
    machine.origin = static_cast<OriginId>(random_());
  CounterReplica::Options options;
  options.origin = machine.origin;
  options.zone = "z" + std::to_string(machine.zone);
  options.copies = planted_ == PlantedFault::acknowledgesAlone ? 0 : copies_;
  machine.replica = std::make_unique<Replica>(options, now_);
  for (const auto& record : machine.disk)
    machine.replica->recover(record);
  std::set<std::string> others;
  for (const auto& other : machines_)
    if (other->isDeployed && other.get() != &machine)
      others.insert(other->address);
  machine.replica->setPeers(others);
}
void CounterWorld::kill(Machine& machine, Duration down) {
  if (!machine.up)
    return;
  machine.up = false;
  const auto incarnation = machine.incarnation;
  // A record that was being written is either complete or absent, because records are files that are written under a
  // temporary name and then renamed.
  if (machine.writing && drawOneIn(2)) {
    if (machine.writing->full)
      machine.disk.clear();
    machine.disk.push_back(machine.writing->batch);
  }
  at(now_ + down, [this, &machine, incarnation] {
    if (machine.isDeployed && !machine.up && machine.incarnation == incarnation)
      start(machine);
  });
}
void CounterWorld::losePower(Machine& machine, Duration down) {
  kill(machine, down);
  machine.powered = machine.up;
}
void CounterWorld::freeze(Machine& machine, Duration duration) {
  if (!machine.up || machine.frozen)
    return;
  ++freezes_;
  machine.frozen = true;
  at(now_ + duration, [this, &machine, incarnation = machine.incarnation] {
    if (machine.up && machine.incarnation == incarnation)
      thaw(machine);
  });
}
// What was missed is handled in any order: the timers first, or the messages and calls.
void CounterWorld::thaw(Machine& machine) {
  machine.frozen = false;
  faultFreeSince_ = now_;
  if (drawOneIn(2))
    tick(machine);
  for (const auto& event : std::exchange(machine.undelivered, {}))
    event();
}
void CounterWorld::deliver(Machine& machine, std::function<void()> event) {
  if (!machine.up || !machine.isDeployed)
    return;
  if (machine.frozen)
    machine.undelivered.push_back(std::move(event));
  else
    event();
}
void CounterWorld::attemptConnection(Machine& from, const std::string& to) {
  using transport::ConnectionOutcome;
  const auto startedAt = now_;
  const auto outcome = drawOutcome(from, to);
  const auto takes = outcome == ConnectionOutcome::unanswered ? PartitionDetector::kAttemptTimeout : drawBetween(2, 16);
  at(now_ + takes, [this, &from, to, startedAt, outcome, incarnation = from.incarnation] {
    deliver(from, [this, &from, to, startedAt, outcome, incarnation] {
      if (from.incarnation != incarnation)
        return;
      from.replica->receive(now_, to, transport::ConnectionAttempt{startedAt, now_, outcome});
      run(from);
    });
  });
}
transport::ConnectionOutcome CounterWorld::drawOutcome(const Machine& from, const std::string& to) {
  using transport::ConnectionOutcome;
  const auto found =
      std::find_if(machines_.begin(), machines_.end(), [&](const auto& each) { return each->address == to; });
  const bool isPacketLost = !isFaultFree_ && drawOneIn(200);
  if (found == machines_.end() || isPacketLost)
    return ConnectionOutcome::unanswered;
  const auto& machine = **found;
  const bool answers = machine.isDeployed && machine.powered && connected(from, machine) && connected(machine, from);
  const auto planted = machine.up ? PlantedFault::acceptanceCountsAsSilence : PlantedFault::refusalCountsAsSilence;
  if (!answers || planted_ == planted)
    return ConnectionOutcome::unanswered;
  return machine.up ? ConnectionOutcome::accepted : ConnectionOutcome::refused;
}
bool CounterWorld::loseDisk(Machine& machine) {
  // The number of disks that may be lost at the same time is limited to `copies_`.
  if (unrecoveredDisks_ >= copies_)
    return false;
  ++unrecoveredDisks_;
  ++lostDisks_;
  kill(machine, drawBetween(300, 2500));
  machine.disk.clear();
  machine.writing.reset();
  machine.diskLosses.push_back(now_);
  return true;
}
void CounterWorld::replace(Machine& machine) {
  if (!loseDisk(machine))
    return;
  machine.isDeployed = false;
  machine.up = false;
  auto replacement = std::make_unique<Machine>();
  replacement->zone = machine.zone;
  replacement->address = "10.0." + std::to_string(machine.zone) + "." + std::to_string(100 + machines_.size());
  replacement->up = false;
  auto* raw = replacement.get();
  machines_.push_back(std::move(replacement));
  updateCutOffs();
  at(now_ + drawBetween(300, 1500), [this, raw] { start(*raw); });
}
bool CounterWorld::connected(const Machine& from, const Machine& to) const {
  return std::none_of(cuts_.begin(), cuts_.end(),
                      [&](const auto& cut) { return cut.first.contains(from.zone) && cut.second.contains(to.zone); });
}
bool CounterWorld::isCutOff(const Machine& machine) const {
  return std::any_of(cuts_.begin(), cuts_.end(), [&](const auto& cut) {
    return cut.first.contains(machine.zone) || cut.second.contains(machine.zone);
  });
}
void CounterWorld::updateCutOffs() {
  for (auto& machine : machines_) {
    const bool wasCutOff = !machine->cutOffs.empty() && !machine->cutOffs.back().end;
    const bool cutOff = isCutOff(*machine);
    if (cutOff && !wasCutOff)
      machine->cutOffs.push_back({now_, std::nullopt});
    if (!cutOff && wasCutOff)
      machine->cutOffs.back().end = now_;
  }
}
template <class Message>
void CounterWorld::send(const Machine& from, const std::string& to, Message message) {
  if constexpr (std::is_same_v<Message, IncrementTransfer>)
    if (planted_ == PlantedFault::transferDropsOne && !message.urgent)
      for (auto& range : message.batch.ranges)
        if (range.increments.size() > 2)
          range.increments.erase(range.increments.begin() + 1);
  if (!isFaultFree_ && drawOneIn(200))
    return;  // the connection was reset
  const auto sentBy = from.incarnation;
  const auto* sender = &from;
  at(now_ + drawBetween(1, !isFaultFree_ && drawOneIn(20) ? 120 : 8),
     [this, sender, sentBy, to, message = std::move(message)] {
       auto* receiver = machineAt(to);
       // A message that is delayed by a partition is lost with its connection.
       if (!receiver || sender->incarnation != sentBy || !connected(*sender, *receiver))
         return;
       deliver(*receiver, [this, receiver, sender, message] {
         receiver->replica->receive(now_, sender->address, message);
         run(*receiver);
       });
     });
}
Duration CounterWorld::drawWriteTime(const Machine& machine) {
  if (const auto slowed = slowWriteTimes_.find(machine.address); slowed != slowWriteTimes_.end())
    return slowed->second;
  return drawBetween(1, !isFaultFree_ && drawOneIn(30) ? 400 : 8);
}
void CounterWorld::slowDisk(const Machine& machine) {
  const auto address = machine.address;
  slowWriteTimes_[address] = drawBetween(50, 3000);
  at(now_ + drawBetween(1000, 10'000), [this, address] { slowWriteTimes_.erase(address); });
}
void CounterWorld::write(Machine& machine, PersistBatch batch) {
  machine.writing = std::move(batch);
  const auto incarnation = machine.incarnation;
  at(now_ + drawWriteTime(machine), [this, &machine, incarnation] {
    if (!machine.up || machine.incarnation != incarnation || !machine.writing)
      return;
    if (machine.writing->full)
      machine.disk.clear();
    machine.disk.push_back(std::move(machine.writing->batch));
    machine.writing.reset();
    deliver(machine, [this, &machine] {
      machine.replica->persisted(now_);
      run(machine);
    });
  });
}
void CounterWorld::run(Machine& machine) {
  for (auto actions = machine.replica->takeActions(); !actions.empty(); actions = machine.replica->takeActions())
    for (auto& action : actions) {
      if (auto* report = std::get_if<SendReport>(&action))
        send(machine, report->to, std::move(report->message));
      else if (auto* request = std::get_if<SendRequest>(&action))
        send(machine, request->to, std::move(request->message));
      else if (auto* transfer = std::get_if<SendTransfer>(&action))
        send(machine, transfer->to, std::move(transfer->message));
      else if (auto* batch = std::get_if<PersistBatch>(&action))
        write(machine, std::move(*batch));
      else if (auto* acknowledged = std::get_if<Acknowledge>(&action))
        acknowledge(machine, acknowledged->callId);
      else if (auto* attempt = std::get_if<AttemptConnection>(&action))
        attemptConnection(machine, attempt->to);
    }
}
void CounterWorld::tick(Machine& machine) {
  std::set<std::string> others;
  for (const auto& other : machines_)
    if (other->isDeployed && other.get() != &machine)
      others.insert(other->address);
  machine.replica->setPeers(others);
  machine.replica->tick(now_);
  run(machine);
}
void CounterWorld::tickAll() {
  for (auto& machine : machines_)
    if (machine->isDeployed && machine->up && !machine->frozen)
      tick(*machine);
}

// --- callers ---

std::shared_ptr<CounterWorld::Call> CounterWorld::startCall() {
  auto call = std::make_shared<Call>();
  call->caller = static_cast<int>(drawBelow(static_cast<std::size_t>(zones_)));
  call->increment = {"t" + std::to_string(drawBelow(kCounters)), "id" + std::to_string(++lastIncrement_),
                     1 + static_cast<std::int64_t>(drawBelow(9))};
  sent_[call->increment.counter] += call->increment.amount;
  sentIds_[call->increment.instanceId] = call->increment;
  call->sentAt = now_;
  attempt(call);
  return call;
}
// Calls a machine in the caller's own zone if possible, otherwise any machine that the zone can reach. The call is
// repeated with the same id if its answer was lost.
void CounterWorld::attempt(const std::shared_ptr<Call>& call) {
  if (++call->attempts > 6)
    return;
  std::vector<Machine*> sameZoneMachines;
  std::vector<Machine*> otherZoneMachines;
  for (auto& machine : machines_) {
    if (!machine->isDeployed || !machine->up)
      continue;
    Machine caller;
    caller.zone = call->caller;
    if (machine->zone == call->caller)
      sameZoneMachines.push_back(machine.get());
    else if (connected(caller, *machine) && connected(*machine, caller))
      otherZoneMachines.push_back(machine.get());
  }
  auto& choices = (!sameZoneMachines.empty() && (call->attempts <= 2 || otherZoneMachines.empty())) ? sameZoneMachines
                                                                                                    : otherZoneMachines;
  const auto again = [this, call] { attempt(call); };
  if (choices.empty())
    return at(now_ + 300ms, again);
  auto& machine = *choices[drawBelow(choices.size())];
  call->machine = machine.address;
  call->incarnation = machine.incarnation;
  const auto callId = ++lastCallId_;
  calls_[callId] = call;
  auto increment = call->increment;
  if (planted_ == PlantedFault::idsAreCountedPerMachine)
    increment.instanceId += "@" + machine.address;
  deliver(machine, [this, &machine, callId, increment] {
    (void)machine.replica->add(now_, callId, increment);
    run(machine);
  });
  at(now_ + kCallTimeout, [this, callId, call, again] {
    if (calls_.erase(callId) == 0 && !drawOneIn(20))
      return;  // the call was answered; one in twenty answers is lost
    if (auto* asked = machineAt(call->machine); asked && asked->incarnation == call->incarnation)
      deliver(*asked, [asked, callId] { asked->replica->cancel(callId); });
    again();
  });
}
void CounterWorld::acknowledge(Machine& machine, std::int64_t callId) {
  const auto found = calls_.extract(callId);
  if (found.empty())
    return;
  const auto& increment = found.mapped()->increment;
  const bool isNew = acknowledgedIds_.emplace(increment.instanceId, Acknowledged{}).second;
  auto& acknowledged = acknowledgedIds_[increment.instanceId];
  if (isNew) {
    machine.acknowledgedTotals[increment.counter] += increment.amount;
    acknowledgementTimes_.push_back(toDuration(now_ - found.mapped()->sentAt));
    found.mapped()->acknowledgedAfter = acknowledgementTimes_.back();
  }
  // If an id is acknowledged several times, one acknowledgement outside a partition is enough to require its increment.
  if (isNew || acknowledged.whileCutOff)
    acknowledged = {increment.counter, increment.amount, machine.address, isCutOff(machine), now_};
}
bool CounterWorld::mustSurvive(const Acknowledged& acknowledged) const {
  if (!acknowledged.whileCutOff)
    return true;
  // An increment that was acknowledged during a partition is not required if the machine's disk was lost before the
  // increment had time to reach the other machines.
  for (const auto& machine : machines_) {
    if (machine->address != acknowledged.machine)
      continue;
    for (const auto& cutOff : machine->cutOffs) {
      const bool isIn = cutOff.begin <= acknowledged.at && (!cutOff.end || acknowledged.at <= *cutOff.end);
      const auto until = cutOff.end ? *cutOff.end + kMergeBound : TimePoint::max();
      const auto wasLost = [&](TimePoint lost) { return lost >= acknowledged.at && lost < until; };
      if (isIn && std::any_of(machine->diskLosses.begin(), machine->diskLosses.end(), wasLost))
        return false;
    }
  }
  return true;
}
void CounterWorld::readFromSome(bool final) {
  for (auto& machine : machines_)
    if (machine->isDeployed && machine->up && !machine->frozen && (final || drawOneIn(3)))
      readAt(*machine, final);
}
void CounterWorld::readAt(Machine& machine, bool final) {
  if (!machine.replica->mayRead() && planted_ != PlantedFault::readsBeforeCatchUp) {
    if (final)
      reportViolation(machine.address + " answers no reads at the end");
    return;
  }
  std::map<std::string, std::int64_t> requiredTotals;
  for (const auto& [id, acknowledged] : acknowledgedIds_)
    if (mustSurvive(acknowledged) && now_ - acknowledged.at >= kMergeBound)
      requiredTotals[acknowledged.counter] += acknowledged.amount;
  const bool hasMerged = now_ - faultFreeSince_ >= kMergeBound && now_ >= faultsUntil_;
  for (const auto& [counter, sent] : sent_) {
    const auto total = machine.replica->state().total(counter);
    if (total > sent)
      reportViolation(machine.address + " reads " + std::to_string(total) + " of " + std::to_string(sent) + " sent");
    if (total < machine.acknowledgedTotals[counter])
      reportViolation(machine.address + " reads less than it has acknowledged");
    if (hasMerged && total < requiredTotals[counter])
      reportViolation(machine.address + " reads " + std::to_string(total) + ", required " +
                      std::to_string(requiredTotals[counter]));
  }
}

// --- faults ---

void CounterWorld::partition() {
  ++partitions_;
  std::set<int> side;
  std::set<int> others;
  for (int zone = 0; zone < zones_; ++zone)
    (drawOneIn(2) ? side : others).insert(zone);
  std::vector<std::pair<std::set<int>, std::set<int>>> cut;
  const auto shape = drawBelow(4);
  if (shape == 0) {  // two zones that cannot reach each other, but can reach the other zones
    const int one = static_cast<int>(drawBelow(static_cast<std::size_t>(zones_)));
    const int other = (one + 1) % zones_;
    cut = {{{one}, {other}}, {{other}, {one}}};
  } else if (shape == 1) {
    cut = {{side, others}};  // one direction only
  } else {
    cut = {{side, others}, {others, side}};
  }
  cuts_.insert(cuts_.end(), cut.begin(), cut.end());
  updateCutOffs();
  at(now_ + drawBetween(500, 15'000), [this, cut] {
    for (const auto& each : cut) {
      const auto found = std::find(cuts_.begin(), cuts_.end(), each);
      if (found != cuts_.end())
        cuts_.erase(found);
    }
    updateCutOffs();
    faultFreeSince_ = now_;
  });
}
void CounterWorld::injectFault() {
  // The lost disks count as recovered if there was no partition and no other problem for a while. Before that, a
  // partition may have delayed the restoration of their copies.
  if (cuts_.empty() && now_ - faultFreeSince_ >= kDiskRecoveryTime)
    unrecoveredDisks_ = 0;
  faultFreeSince_ = now_;
  auto& machine = *machines_[drawBelow(machines_.size())];
  if (!machine.isDeployed)
    return;
  switch (drawBelow(13)) {
    case 0:
    case 1:
    case 2:
      return partition();
    case 3:
    case 4:
      return kill(machine, drawBetween(200, 4000));
    case 5: {
      const auto down = drawBetween(300, 2000);
      for (auto& each : machines_)
        if (each->isDeployed)
          losePower(*each, down + drawBetween(0, 1500));
      return;
    }
    case 6:
    case 7:
      (void)loseDisk(machine);
      return;
    case 8:
      return slowDisk(machine);
    case 9:
      return freeze(machine, drawBetween(200, 5000));
    case 10:
    case 11:
      return loseTheAnsweringDisk(machine);
    default:
      return replace(machine);
  }
}
// The other machines fall silent together or one after the other, and come back together or one after the other.
void CounterWorld::loseTheAnsweringDisk(Machine& answering) {
  const bool together = drawOneIn(2);
  const bool mixed = drawOneIn(3);
  const bool allStop = drawOneIn(2);
  for (auto& each : machines_) {
    if (!each->isDeployed || each.get() == &answering)
      continue;
    const auto delay = together ? Duration(0) : drawBetween(0, 2500);
    const bool stops = mixed ? drawOneIn(2) : allStop;
    at(now_ + delay, [this, &machine = *each, down = drawBetween(1500, 6000), stops] {
      if (!machine.isDeployed)
        return;
      if (stops)
        freeze(machine, down);
      else
        kill(machine, down);
    });
  }
  if (drawOneIn(4))
    freeze(answering, drawBetween(300, 2500));
  at(now_ + drawBetween(700, 4500), [this, &answering] {
    if (answering.isDeployed && answering.up)
      (void)loseDisk(answering);
  });
}
void CounterWorld::readAfterDiskLoss() {
  auto machine = std::find_if(machines_.begin(), machines_.end(), [](const auto& each) { return each->isDeployed; });
  kill(**machine, 100ms);
  (*machine)->disk.clear();
  const auto until = now_ + 4s;
  while (now_ < until) {
    runUntil(now_ + 10ms);
    const bool answers =
        (*machine)->up && ((*machine)->replica->mayRead() || planted_ == PlantedFault::readsBeforeCatchUp);
    if (answers)
      readAt(**machine, false);
  }
  readAt(**machine, true);
}
void CounterWorld::playWithoutFaults(Duration slowSync) {
  isFaultFree_ = true;
  for (auto& machine : machines_)
    start(*machine);
  if (slowSync > Duration(0))
    slowWriteTimes_[machines_.front()->address] = slowSync;
  for (auto when = start_ + kTick; when < start_ + kFaultFreeRunLength + 1s; when += kTick)
    at(when, [this] { tickAll(); });
  for (auto when = start_ + 2s; when < start_ + kFaultFreeRunLength; when += drawBetween(3, 15))
    at(when, [this] { startCall(); });
  runUntil(start_ + kFaultFreeRunLength + 1s);
}
void CounterWorld::playOnePartition() {
  isFaultFree_ = true;
  for (auto& machine : machines_)
    start(*machine);
  const auto begin = start_ + kFaultFreeRunLength / 3;
  for (auto when = start_ + kTick; when < start_ + kFaultFreeRunLength; when += kTick)
    at(when, [this] { tickAll(); });
  for (auto when = begin + kPartitionOnset; when < begin + kPartitionLength; when += drawBetween(3, 15))
    at(when, [this] { callsDuringPartition_.push_back(startCall()); });
  std::set<int> others;
  for (int zone = 1; zone < zones_; ++zone)
    others.insert(zone);
  at(begin, [this, others] { cuts_ = {{{0}, others}, {others, {0}}}; });
  at(begin + kPartitionLength, [this] { cuts_.clear(); });
  runUntil(start_ + kFaultFreeRunLength);
  readFromSome(true);
}
double CounterWorld::lateShareDuringPartition(Duration target, bool isolated) const {
  std::size_t sent = 0;
  std::size_t late = 0;
  for (const auto& call : callsDuringPartition_) {
    if ((call->caller == 0) != isolated)
      continue;
    ++sent;
    late += call->acknowledgedAfter && *call->acknowledgedAfter <= target ? 0 : 1;
  }
  return static_cast<double>(late) / static_cast<double>(sent);
}
double CounterWorld::lateShare(Duration target) const {
  const auto inTime = std::count_if(acknowledgementTimes_.begin(), acknowledgementTimes_.end(),
                                    [target](Duration time) { return time <= target; });
  return 1 - static_cast<double>(inTime) / static_cast<double>(sentIds_.size());
}
void CounterWorld::play() {
  for (auto& machine : machines_)
    start(*machine);
  for (auto when = start_ + kTick; when < start_ + kFaultyRunLength + 40s; when += kTick)
    at(when, [this] { tickAll(); });
  for (auto when = start_ + 2s; when < start_ + kFaultyRunLength + 10s; when += drawBetween(10, 90))
    at(when, [this] { startCall(); });
  for (int round = 0; round < kRoundCount; ++round) {
    const auto begin = start_ + round * kRoundLength;
    for (auto when = begin + 2s; when < begin + kFaultPeriod; when += drawBetween(300, 6000))
      at(when, [this] { injectFault(); });
  }
  for (auto when = start_ + 2s; when < start_ + kFaultyRunLength + 30s; when += 150ms)
    at(when, [this] { readFromSome(false); });
  at(start_ + kFaultyRunLength, [this] { slowWriteTimes_.clear(); });
  faultsUntil_ = start_ + kFaultyRunLength + 20s;  // all partitions have ended and all machines are running
  runUntil(start_ + kFaultyRunLength + 35s);
  faultFreeSince_ = std::min(faultFreeSince_, now_ - kMergeBound);
  readFromSome(true);
  readAfterDiskLoss();
  const Machine* first = nullptr;
  for (auto& machine : machines_) {
    if (!machine->isDeployed || !machine->up)
      continue;
    if (!first)
      first = machine.get();
    for (const auto& [counter, sent] : sent_)
      if (machine->replica->state().total(counter) != first->replica->state().total(counter))
        reportViolation(machine->address + " and " + first->address + " differ at the end");
  }
}
}  // namespace zinccleat::counter_world
