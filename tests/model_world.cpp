#include "model_world.hpp"

#include "transport/avro.hpp"

namespace zinccleat::model {
using namespace zinccleat::consensus;
using namespace zinccleat::transport;
namespace {
constexpr std::array<const char*, kMachines> kAddresses = {"a", "b", "c", "d"};
constexpr std::uint64_t kJitterSeed = 1;
constexpr int kRoundsPerStep = 60;  // more deliveries than one time step of a fair run needs

std::size_t machineAt(const std::string& address) {
  return static_cast<std::size_t>(address.at(0) - 'a');
}
MemberId identityOf(const std::string& address, int nonce) {
  return address + "#" + std::to_string(nonce);
}
std::vector<MemberId> founders() {
  std::vector<MemberId> ids;
  for (std::size_t machine = 0; machine < kFounders; ++machine)
    ids.push_back(identityOf(kAddresses[machine], 0));
  return ids;
}
std::uint64_t combineHash(std::uint64_t hash, const std::string& text) {
  return hash64(text, hash);
}
// The node that a restart would recover from the machine's disk.
RaftNode recovered(const Machine& machine, TimePoint now) {
  RaftNode node(machine.id, modelOptions(), kJitterSeed, now);
  node.recover(machine.disk, now);
  return node;
}
std::string nameOf(const ConsensusMessage& message) {
  constexpr std::array<const char*, std::variant_size_v<ConsensusMessage>> kNames = {
      "VoteRequest",        "VoteResponse", "AppendEntries", "AppendEntriesResponse", "InstallSnapshot",
      "TransferLeadership", "JoinRequest",  "LeaveRequest",  "LeaveResponse",         "EntryBody"};
  return kNames[message.index()];
}
std::string detailOf(const ConsensusMessage& message) {
  if (const auto* request = std::get_if<VoteRequest>(&message))
    return " term " + std::to_string(request->term) + (request->preVote ? " (pre-vote)" : "");
  if (const auto* response = std::get_if<VoteResponse>(&message))
    return " term " + std::to_string(response->term) + (response->preVote ? " (pre-vote)" : "");
  if (const auto* append = std::get_if<AppendEntries>(&message))
    return " term " + std::to_string(append->term) + ", " + std::to_string(append->entries.size()) + " after " +
           std::to_string(append->prevLogIndex) + ", committed " + std::to_string(append->commitIndex);
  if (const auto* response = std::get_if<AppendEntriesResponse>(&message))
    return " term " + std::to_string(response->term) + ", matched " + std::to_string(response->matchIndex) +
           (response->mismatch ? " (mismatch)" : "");
  return {};
}
}  // namespace

RaftOptions modelOptions() {
  RaftOptions options;
  options.tickInterval = kTimeStep;
  options.heartbeatInterval = kTimeStep;
  options.lease = kTimeStep * 3;
  options.maxLease = options.lease;
  options.leaseMargin = kTimeStep / 2;
  options.electionTimeout = kTimeStep * 4;
  options.electionTimeoutSpread = Duration(1);
  options.voteRetryInterval = kTimeStep * 2;
  options.resendTimeout = kTimeStep * 2;
  options.joinInterval = kTimeStep * 2;
  options.leaveInterval = kTimeStep;
  options.unreachableAfter = kTimeStep * 8;
  options.syncStallTimeout = kTimeStep * 4;
  return options;
}
std::string contentOf(const LogEntry& entry) {
  return std::to_string(entry.term) + "|" + std::to_string(entry.kind) + "|" + entry.operationId + "|" + entry.body;
}
bool diskHolds(const Machine& machine, const LogEntry& entry) {
  if (machine.disk.empty())
    return false;
  const auto node = recovered(machine, TimePoint(std::chrono::seconds(1)));
  if (entry.index < node.firstIndex())
    return true;
  const auto* onDisk = node.entryAt(entry.index);
  return onDisk && onDisk->term == entry.term;
}
std::uint64_t Machine::hash(TimePoint now) const {
  if (hashedAt_ == now)
    return hash_;
  auto text = id + "," + std::to_string(frozen) + std::to_string(leaving) + std::to_string(exited);
  text += "," + std::to_string(identities) + "," + std::to_string(diskHash) + ",";
  for (const auto& record : pending) {
    auto withoutSequence = record.record;
    withoutSequence.seq = 0;
    text += avro::encode(withoutSequence);
  }
  if (raft)
    text += raft->fingerprint(now);
  hashedAt_ = now;
  return hash_ = hash64(text);
}

World::World(const RaftOptions& raftOptions) : options(raftOptions) {
  for (std::size_t machine = 0; machine < kMachines; ++machine) {
    auto machineState = std::make_shared<Machine>();
    machineState->address = kAddresses[machine];
    machines[machine] = std::move(machineState);
  }
  for (std::size_t machine = 0; machine < kFounders; ++machine)
    start(machine);
}
Machine& World::mutableMachine(std::size_t machine) {
  auto copy = std::make_shared<Machine>(*machines[machine]);
  copy->hashedAt_ = {};
  auto& changed = *copy;
  machines[machine] = std::move(copy);
  return changed;
}
template <class Event>
void World::processEvent(std::size_t machine, Event event) {
  auto& changed = mutableMachine(machine);
  auto node = std::make_shared<RaftNode>(*changed.raft);
  const bool couldExit = node->mayExit();
  event(*node);
  auto actions = node->takeActions();
  const bool exitGranted = !couldExit && node->mayExit();
  changed.raft = std::move(node);
  carryOut(machine, std::move(actions));
  if (exitGranted)
    recordExit(machine);
}
void World::carryOut(std::size_t machine, std::vector<RaftAction> actions) {
  for (auto& action : actions) {
    if (const auto* message = std::get_if<SendMessage>(&action))
      sendMessage(machine, *message);
    else if (const auto* record = std::get_if<PersistRecord>(&action))
      mutableMachine(machine).pending.push_back(*record);
    else if (const auto* applied = std::get_if<ApplyEntry>(&action))
      recordCommitted(machine, applied->entry);
  }
}
void World::sendMessage(std::size_t machine, const SendMessage& action) {
  recordVote(machine, action);
  const auto receiver = machineAt(addressOf(action.to));
  if (cut.contains({machine, receiver}) || inFlight.size() >= budgets.maxInFlight)
    return;
  auto message = std::make_shared<Message>();
  message->from = machines[machine]->id;
  message->sender = machine;
  message->receiver = receiver;
  message->content = action.message;
  message->bytes = message->from + ">" + addressOf(action.to) + ":" + encodeMessage(action.message);
  const auto at = std::lower_bound(inFlight.begin(), inFlight.end(), message,
                                   [](const auto& one, const auto& other) { return one->bytes < other->bytes; });
  inFlight.insert(at, std::move(message));
}
// Records a vote when it is sent. A voter's vote is sent as a response, a candidate's own vote with its vote requests.
void World::recordVote(std::size_t machine, const SendMessage& action) {
  std::string candidate;
  std::int64_t term = 0;
  if (const auto* response = std::get_if<VoteResponse>(&action.message); response && !response->preVote) {
    candidate = addressOf(action.to);
    term = response->term;
  }
  if (const auto* request = std::get_if<VoteRequest>(&action.message); request && !request->preVote) {
    candidate = machines[machine]->address;
    term = request->term;
  }
  if (candidate.empty())
    return;
  const auto key = std::make_pair(machines[machine]->id, term);
  const auto given = history->votes.find(key);
  if (given != history->votes.end()) {
    if (given->second != candidate)
      reportViolation("two votes of one member in a term");
    return;
  }
  auto extended = std::make_shared<History>(*history);
  extended->votes[key] = candidate;
  history = std::move(extended);
}
void World::recordCommitted(std::size_t machine, const LogEntry& entry) {
  const auto& node = *machines[machine]->raft;
  const auto known = history->committed.find(entry.index);
  if (known != history->committed.end()) {
    if (known->second.content != contentOf(entry))
      reportViolation("two entries at one index");
    return;
  }
  const bool onQuorum = node.config().hasQuorum([&](const MemberId& voter) {
    const auto& holder = *machines[machineAt(addressOf(voter))];
    return history->lostIdentities.contains(voter) || (holder.id == voter && diskHolds(holder, entry));
  });
  if (!onQuorum)
    reportViolation("committed without a quorum's disks");
  auto extended = std::make_shared<History>(*history);
  extended->committed[entry.index] = {contentOf(entry), node.term()};
  history = std::move(extended);
}
// Checks that a majority of voters with existing disks remains when a member is allowed to exit. No disk is lost while
// a member is leaving (see `toleratesLossOf`), so every lost disk was lost before the member asked to leave.
void World::recordExit(std::size_t machine) {
  const auto& leaving = machines[machine]->id;
  std::shared_ptr<const RaftNode> newest;
  for (const auto& other : machines)
    if (other->raft && (!newest || other->raft->commitIndex() > newest->commitIndex()))
      newest = other->raft;
  const auto& config = newest->config();
  if (!config.isVoter(leaving) || config.voters.size() == 1)
    return;
  const bool majorityRemains = config.hasQuorum(
      [&](const MemberId& voter) { return voter != leaving && !history->lostIdentities.contains(voter); });
  if (!majorityRemains)
    reportViolation("a member may exit although no majority remains without it");
}
void World::reportViolation(const std::string& invariant) {
  if (violation.empty())
    violation = invariant;
}
void World::deliver(std::size_t index, bool keep) {
  const auto message = inFlight[index];
  if (!keep)
    inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(index));
  if (!machines[message->receiver]->raft || cut.contains({message->sender, message->receiver}))
    return;
  processEvent(message->receiver, [&](RaftNode& node) { node.receive(now, message->from, message->content); });
}
void World::sync(std::size_t machine) {
  auto& changed = mutableMachine(machine);
  const auto record = changed.pending.front();
  changed.pending.pop_front();
  changed.disk.push_back(record.record);
  changed.diskHash = hash64(recovered(changed, now).fingerprint(now));
  processEvent(machine, [&](RaftNode& node) { node.persisted(now, record.ticket, true); });
}
void World::start(std::size_t machine) {
  auto& changed = mutableMachine(machine);
  const bool founder = machine < kFounders && changed.identities <= 1;
  if (changed.disk.empty()) {
    if (!founder || changed.identities == 0)
      changed.id = identityOf(changed.address, changed.identities++);
  }
  auto node = std::make_shared<RaftNode>(changed.id, options, kJitterSeed, now);
  node->setSeedAddresses({kAddresses.begin(), kAddresses.begin() + kFounders});
  if (!changed.disk.empty())
    node->recover(changed.disk, now);
  else if (founder)
    node->bootstrap(founders(), now);
  auto actions = node->takeActions();
  changed.raft = std::move(node);
  carryOut(machine, std::move(actions));
}
void World::stop(std::size_t machine) {
  auto& changed = mutableMachine(machine);
  changed.raft.reset();
  changed.pending.clear();
  changed.frozen = false;
  changed.leaving = false;
  ticked &= ~(1U << machine);
}
void World::loseDisk(std::size_t machine) {
  auto& changed = mutableMachine(machine);
  changed.disk.clear();
  changed.diskHash = 0;
  changed.identities = std::max(changed.identities, 2);  // the machine no longer counts as a founder
  auto extended = std::make_shared<History>(*history);
  extended->lostIdentities.insert(changed.id);
  history = std::move(extended);
}
void World::advanceTime() {
  now += kTimeStep;
  ticked = 0;
}
void World::write() {
  const auto leader = leaderWithLease();
  LogEntry entry;
  entry.operationId = "w" + std::to_string(budgets.writes);
  processEvent(leader, [&](RaftNode& node) { node.submit(now, entry); });
}
void World::cutOff(std::size_t machine, bool incoming, bool outgoing) {
  cutMachine = machine;
  for (std::size_t other = 0; other < kMachines; ++other) {
    if (other == machine)
      continue;
    if (incoming)
      cut.insert({other, machine});
    if (outgoing)
      cut.insert({machine, other});
  }
}
std::size_t World::leaderWithLease() const {
  for (std::size_t machine = 0; machine < kMachines; ++machine)
    if (running(machine) && machines[machine]->raft->hasLease(now))
      return machine;
  return kMachines;
}
bool World::toleratesLossOf(std::size_t machine) const {
  const auto leader = leaderWithLease();
  if (leader == kMachines)
    return false;
  const auto& config = machines[leader]->raft->config();
  const auto& committed = history->committed;
  return config.hasQuorum([&](const MemberId& voter) {
    const auto at = machineAt(addressOf(voter));
    const auto& holder = *machines[at];
    const bool available = at != machine && holder.id == voter && running(at) && !holder.leaving && at != cutMachine;
    return available && holder.raft->commitIndex() >= (committed.empty() ? 0 : committed.rbegin()->first);
  });
}

std::vector<Action> World::possibleActions() const {
  std::vector<Action> actions;
  for (std::size_t message = 0; message < inFlight.size(); ++message) {
    if (message > 0 && inFlight[message]->bytes == inFlight[message - 1]->bytes)
      continue;  // delivering either of two equal messages has the same effect
    if (!machines[inFlight[message]->receiver]->frozen)
      actions.push_back({ActionKind::deliver, message});
    if (budgets.losses > 0)
      actions.push_back({ActionKind::lose, message});
    if (budgets.duplicates > 0)
      actions.push_back({ActionKind::duplicate, message});
  }
  bool allTicked = true;
  for (std::size_t machine = 0; machine < kMachines; ++machine) {
    addMachineActions(actions, machine);
    allTicked = allTicked && (!running(machine) || (ticked & (1U << machine)));
  }
  if (allTicked && budgets.timeSteps > 0)
    actions.push_back({ActionKind::advanceTime});
  if (budgets.writes > 0 && leaderWithLease() < kMachines)
    actions.push_back({ActionKind::write});
  if (cutMachine < kMachines)
    actions.push_back({ActionKind::heal});
  return actions;
}
void World::addMachineActions(std::vector<Action>& actions, std::size_t machine) const {
  const auto& state = *machines[machine];
  const bool spare = machine >= kFounders;
  if (state.exited)
    return;
  if (!state.raft) {
    if (!spare || state.identities > 0)
      actions.push_back({ActionKind::restart, machine});
    else if (budgets.spares > 0)
      actions.push_back({ActionKind::startSpare, machine});
    return;
  }
  if (state.frozen) {
    actions.push_back({ActionKind::thaw, machine});
    return;
  }
  if (!state.pending.empty())
    actions.push_back({ActionKind::sync, machine});
  if (!(ticked & (1U << machine)))
    actions.push_back({ActionKind::tick, machine});
  if (state.leaving && state.raft->mayExit())
    actions.push_back({ActionKind::exitAllowed, machine});
  else if (state.leaving && toleratesLossOf(machine))
    actions.push_back({ActionKind::killLeaving, machine});
  addFaults(actions, machine);
}
void World::addFaults(std::vector<Action>& actions, std::size_t machine) const {
  const auto& state = *machines[machine];
  if (budgets.compactions > 0 && state.raft->commitIndex() >= state.raft->firstIndex())
    actions.push_back({ActionKind::compact, machine});
  if (budgets.crashes > 0)
    actions.push_back({ActionKind::crash, machine});
  if (budgets.wipes > 0 && toleratesLossOf(machine))
    actions.push_back({ActionKind::wipe, machine});
  if (budgets.leaves > 0 && !state.leaving)
    actions.push_back({ActionKind::leave, machine});
  if (budgets.freezes > 0)
    actions.push_back({ActionKind::freeze, machine});
  if (budgets.cuts > 0 && cutMachine == kMachines)
    for (const auto kind : {ActionKind::cutIncoming, ActionKind::cutOutgoing, ActionKind::cutBoth})
      actions.push_back({kind, machine});
}
void World::apply(const Action& action) {
  const auto index = action.index;
  switch (action.kind) {
    case ActionKind::deliver:
      return deliver(index, false);
    case ActionKind::sync:
      return sync(index);
    case ActionKind::tick:
      ticked |= 1U << index;
      return processEvent(index, [&](RaftNode& node) { node.tick(now); });
    case ActionKind::advanceTime:
      --budgets.timeSteps;
      return advanceTime();
    case ActionKind::write:
      write();
      --budgets.writes;
      return;
    case ActionKind::compact:
      --budgets.compactions;
      return processEvent(index, [&](RaftNode& node) { node.compact(node.commitIndex(), "state", now); });
    case ActionKind::lose:
    case ActionKind::duplicate:
    case ActionKind::cutIncoming:
    case ActionKind::cutOutgoing:
    case ActionKind::cutBoth:
    case ActionKind::heal:
      return applyToNetwork(action);
    default:
      return applyToProcess(action);
  }
}
void World::applyToNetwork(const Action& action) {
  switch (action.kind) {
    case ActionKind::lose:
      --budgets.losses;
      inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(action.index));
      return;
    case ActionKind::duplicate:
      --budgets.duplicates;
      return deliver(action.index, true);
    case ActionKind::heal:
      cut.clear();
      cutMachine = kMachines;
      return;
    default:
      --budgets.cuts;
      const bool incoming = action.kind != ActionKind::cutOutgoing;
      const bool outgoing = action.kind != ActionKind::cutIncoming;
      return cutOff(action.index, incoming, outgoing);
  }
}
void World::applyToProcess(const Action& action) {
  const auto machine = action.index;
  switch (action.kind) {
    case ActionKind::crash:
      --budgets.crashes;
      return stop(machine);
    case ActionKind::wipe:
      --budgets.wipes;
      stop(machine);
      return loseDisk(machine);
    case ActionKind::startSpare:
      --budgets.spares;
      return start(machine);
    case ActionKind::restart:
      return start(machine);
    case ActionKind::leave:
      --budgets.leaves;
      mutableMachine(machine).leaving = true;
      return processEvent(machine, [&](RaftNode& node) { node.leave(now); });
    case ActionKind::freeze:
      --budgets.freezes;
      mutableMachine(machine).frozen = true;
      return;
    case ActionKind::thaw:
      mutableMachine(machine).frozen = false;
      return;
    default:  // exitAllowed and killLeaving
      stop(machine);
      loseDisk(machine);
      mutableMachine(machine).exited = true;
      return;
  }
}
std::string World::describe(const Action& action) const {
  constexpr std::array<const char*, 21> kNames = {"deliver",
                                                  "lose",
                                                  "deliver and keep",
                                                  "sync",
                                                  "tick",
                                                  "advance the time",
                                                  "write",
                                                  "crash",
                                                  "restart",
                                                  "lose the disk of",
                                                  "start the spare",
                                                  "leave",
                                                  "leaves for good",
                                                  "killed while leaving",
                                                  "cut off what comes to",
                                                  "cut off what goes from",
                                                  "cut off",
                                                  "heal",
                                                  "freeze",
                                                  "thaw",
                                                  "compact the log of"};
  std::string text = kNames[static_cast<std::size_t>(action.kind)];
  const bool ofMessage = action.kind <= ActionKind::duplicate;
  if (ofMessage) {
    const auto& message = *inFlight[action.index];
    return text + " " + message.from + " -> " + kAddresses[message.receiver] + " " + nameOf(message.content) +
           detailOf(message.content);
  }
  const bool ofNobody =
      action.kind == ActionKind::advanceTime || action.kind == ActionKind::write || action.kind == ActionKind::heal;
  return ofNobody ? text : text + " " + kAddresses[action.index];
}
std::uint64_t World::hash() const {
  std::uint64_t hash = 0;
  for (const auto& machine : machines)
    hash = hash * 0x9E3779B97F4A7C15ULL + machine->hash(now);
  for (const auto& message : inFlight)
    hash = combineHash(hash, message->bytes);
  std::string rest = std::to_string(ticked) + "," + std::to_string(cutMachine) + "," + std::to_string(cut.size());
  for (const auto& [sender, receiver] : cut)
    rest += std::to_string(sender) + std::to_string(receiver);
  for (const auto budget :
       {budgets.crashes, budgets.wipes, budgets.leaves, budgets.cuts, budgets.freezes, budgets.duplicates,
        budgets.losses, budgets.writes, budgets.spares, budgets.timeSteps, budgets.compactions})
    rest += "," + std::to_string(budget);
  for (const auto& [index, entry] : history->committed)
    rest += entry.content + std::to_string(entry.committedInTerm) + ";";
  for (const auto& [term, leader] : history->leaders)
    rest += std::to_string(term) + leader;
  for (const auto& [key, candidate] : history->votes)
    rest += key.first + std::to_string(key.second) + candidate;
  for (const auto& lost : history->lostIdentities)
    rest += lost;
  return combineHash(hash, rest);
}
void World::endAllFaults() {
  budgets = Budgets{};
  budgets.maxInFlight = 1000;
  cut.clear();
  cutMachine = kMachines;
  const bool anyExited =
      std::any_of(machines.begin(), machines.end(), [](const auto& machine) { return machine->exited; });
  for (std::size_t machine = 0; machine < kMachines; ++machine) {
    mutableMachine(machine).frozen = false;
    const bool wanted = machine < kFounders || anyExited || machines[machine]->identities > 0;
    if (wanted && !machines[machine]->raft && !machines[machine]->exited)
      start(machine);
  }
}
void World::runFairly(Duration duration) {
  const auto end = now + duration;
  const auto stabilize = [&] {
    for (int round = 0; round < kRoundsPerStep; ++round) {
      for (std::size_t machine = 0; machine < kMachines; ++machine)
        while (running(machine) && !machines[machine]->pending.empty())
          sync(machine);
      if (inFlight.empty())
        return;
      deliver(0, false);
    }
  };
  while (now < end && violation.empty()) {
    for (std::size_t machine = 0; machine < kMachines; ++machine) {
      if (!running(machine))
        continue;
      processEvent(machine, [&](RaftNode& node) { node.tick(now); });
      stabilize();
      const bool ends = machines[machine]->leaving && machines[machine]->raft->mayExit();
      if (ends)
        apply({ActionKind::exitAllowed, machine});
    }
    advanceTime();
  }
}
}  // namespace zinccleat::model
