#include "coordination/shard_state.hpp"

#include "coordination/sharding.hpp"
#include "transport/avro.hpp"

namespace zinccleat::coordination {
namespace {
constexpr std::int64_t kSweepIntervalMs = 1000;
// A caller's clock may be slower than the shard's time by one part in this many.
constexpr std::int64_t kClockDriftDivisor = 100;
constexpr std::int64_t kRoundingAllowanceMs = 2;  // the shard's time is a sum of times rounded down to milliseconds

std::size_t bytesOf(const CellEvent& event) {
  return event.cell.size() + event.value.size();
}
std::size_t bytesOf(const std::string& name, const std::string& value) {
  return name.size() + value.size();
}

// --- snapshot format ---

struct LockRecord {
  std::string name;
  std::string holder;
  std::int64_t fence = 0;
  std::int64_t endsAtMs = 0;
  template <class V>
  void fields(V& v) {
    v("name", name), v("holder", holder), v("fence", fence), v("endsAtMs", endsAtMs);
  }
};
struct NumberRecord {
  std::string name;
  std::int64_t reservedUpTo = 0;
  template <class V>
  void fields(V& v) {
    v("name", name), v("reservedUpTo", reservedUpTo);
  }
};
struct CellRecord {
  std::string name;
  std::string value;
  std::int64_t revision = 0;
  template <class V>
  void fields(V& v) {
    v("name", name), v("value", value), v("revision", revision);
  }
};
struct GroupRecord {
  std::string name;
  std::int64_t revision = 0;
  std::int64_t discardedUpTo = 0;
  std::vector<CellRecord> cells;
  std::vector<CellEvent> history;
  template <class V>
  void fields(V& v) {
    v("name", name), v("revision", revision), v("discardedUpTo", discardedUpTo);
    v("cells", cells), v("history", history);
  }
};
/// Whether a group has the form that `ShardState::snapshot` writes: contiguous revisions, because puts are looked up by
/// their offset in the history.
bool isConsistent(const GroupRecord& group) {
  auto next = group.revision - static_cast<std::int64_t>(group.history.size());
  if (group.discardedUpTo < 0 || group.discardedUpTo > next)
    return false;
  for (const auto& event : group.history)
    if (event.revision != ++next)
      return false;
  return true;
}
}  // namespace

struct ShardState::Contents {
  std::int64_t index = 0;
  std::int64_t timeMs = 0;
  std::int64_t lastFence = 0;
  std::int64_t nextSweepMs = 0;
  std::vector<LockRecord> locks;
  std::vector<NumberRecord> numbers;
  std::vector<GroupRecord> groups;
  template <class V>
  void fields(V& v) {
    v("index", index), v("timeMs", timeMs), v("lastFence", lastFence), v("nextSweepMs", nextSweepMs);
    v("locks", locks), v("numbers", numbers), v("groups", groups);
  }
};

// --- applying entries ---

std::vector<Outcome> ShardState::apply(const transport::LogEntry& entry) {
  index_ = entry.index;
  changedGroups_.clear();
  std::vector<Outcome> outcomes;
  if (entry.op() != transport::OperationKind::coordination)
    return outcomes;
  const auto batch = avro::decode<CommandBatch>(entry.body);
  // The batch was encoded by a leaseholder and its checksum was verified. If it cannot be decoded, it is undecodable on
  // every replica, so all replicas skip it.
  if (!batch)
    return outcomes;
  timeMs_ += batch->elapsedMs;
  if (timeMs_ >= nextSweepMs_) {
    nextSweepMs_ = timeMs_ + kSweepIntervalMs;
    discardExpiredLocks();
    discardHistory(batch->historyMs);
  }
  outcomes.reserve(batch->commands.size());
  for (const auto& command : batch->commands)
    outcomes.push_back(execute(command));
  return outcomes;
}
Outcome ShardState::execute(const Command& command) {
  switch (command.op()) {
    case CommandKind::acquireLock:
      return acquireLock(command);
    case CommandKind::renewLock:
      return renewLock(command);
    case CommandKind::releaseLock:
      return releaseLock(command);
    case CommandKind::reserveNumbers:
      return reserveNumbers(command);
    case CommandKind::putCell:
      return putCell(command);
    case CommandKind::nextNumber:
    case CommandKind::getCell:
    case CommandKind::readIndex:
      break;  // never written to the log
  }
  return makeOutcome(OutcomeKind::notFound);
}

// --- locks ---

const ShardState::Lock* ShardState::findActiveLock(const std::string& name) const {
  const auto it = locks_.find(name);
  return it == locks_.end() || it->second.endsAtMs <= timeMs_ ? nullptr : &it->second;
}
std::int64_t ShardState::fenceOf(const std::string& lock) const {
  const auto* activeLock = findActiveLock(lock);
  return activeLock ? activeLock->fence : 0;
}
// The caller measures the duration from a moment before it sent the call, when the shard's time was not later than now.
// With allowances for the drift of the caller's clock and for rounding, the lock expires here no earlier than at the
// caller.
std::int64_t ShardState::lockExpiryMs(std::int64_t holdMs) const {
  return timeMs_ + holdMs + holdMs / kClockDriftDivisor + kRoundingAllowanceMs;
}
// The holder gets a new fence even if it already has the lock, so that a delayed release from its previous incarnation
// does not release the new lock.
Outcome ShardState::acquireLock(const Command& command) {
  const auto* activeLock = findActiveLock(command.name);
  if (activeLock && activeLock->holder != command.holder)
    return makeOutcome(OutcomeKind::lockTaken);
  if (!activeLock && locks_.size() >= limits_.names && !locks_.contains(command.name))
    return makeOutcome(OutcomeKind::limitReached);
  const auto endsAt = std::max(lockExpiryMs(command.holdMs), activeLock ? activeLock->endsAtMs : 0);
  locks_[command.name] = {command.holder, ++lastFence_, endsAt};
  return makeOutcome(OutcomeKind::done, lastFence_);
}
Outcome ShardState::renewLock(const Command& command) {
  const auto* activeLock = findActiveLock(command.name);
  if (!activeLock || activeLock->holder != command.holder || activeLock->fence != command.fence)
    return makeOutcome(OutcomeKind::lockTaken);
  auto& renewed = locks_[command.name];
  renewed.endsAtMs = std::max(renewed.endsAtMs, lockExpiryMs(command.holdMs));
  return makeOutcome(OutcomeKind::done, renewed.fence);
}
Outcome ShardState::releaseLock(const Command& command) {
  const auto it = locks_.find(command.name);
  if (it != locks_.end() && it->second.holder == command.holder && it->second.fence == command.fence)
    locks_.erase(it);
  return makeOutcome(OutcomeKind::done);
}
void ShardState::discardExpiredLocks() {
  std::erase_if(locks_, [this](const auto& named) { return named.second.endsAtMs <= timeMs_; });
}

// --- numbers ---

Outcome ShardState::reserveNumbers(const Command& command) {
  if (numbers_.size() >= limits_.names && !numbers_.contains(command.name))
    return makeOutcome(OutcomeKind::limitReached);
  auto& reservedUpTo = numbers_[command.name];
  return makeOutcome(OutcomeKind::done, std::exchange(reservedUpTo, reservedUpTo + command.argument));
}

// --- cells ---

// A repeated put cannot be recognized by its expected revision, because its first execution has already changed the
// revision. It is recognized by its value, which is unique among the puts of the cell.
std::optional<std::int64_t> ShardState::revisionOfRepeatedPut(const Group& group, const Cell& cell,
                                                              const std::string& value) {
  if (cell.value == value)
    return cell.revision;
  for (const auto revision : cell.revisions)
    if (group.eventAt(revision).value == value)
      return revision;
  return std::nullopt;
}
Outcome ShardState::putCell(const Command& command) {
  const std::string groupName(groupOf(command.name));
  const auto knownGroup = groups_.find(groupName);
  const Cell* cell = nullptr;
  if (knownGroup != groups_.end())
    if (const auto known = knownGroup->second.cells.find(command.name); known != knownGroup->second.cells.end())
      cell = &known->second;
  if (cell)
    if (const auto first = revisionOfRepeatedPut(knownGroup->second, *cell, command.value))
      return makeOutcome(OutcomeKind::done, *first);
  const auto current = cell ? cell->revision : 0;
  if (command.argument != kAnyRevision && command.argument != current)
    return makeOutcome(OutcomeKind::revisionMismatch, current);
  const auto addedBytes = 2 * bytesOf(command.name, command.value);  // stored in the cell and in the history
  if ((!cell && cellCount_ >= limits_.names) || cellBytes_ + addedBytes > limits_.cellBytes)
    return makeOutcome(OutcomeKind::limitReached);
  cellCount_ += cell ? 0 : 1;
  cellBytes_ += addedBytes - (cell ? bytesOf(command.name, cell->value) : 0);
  auto& group = groups_[groupName];
  store(group, command);
  if (changedGroups_.empty() || changedGroups_.back() != groupName)
    changedGroups_.push_back(groupName);
  return makeOutcome(OutcomeKind::done, group.revision);
}
void ShardState::store(Group& group, const Command& put) {
  auto& cell = group.cells[put.name];
  cell.value = put.value;
  cell.revision = ++group.revision;
  cell.revisions.push_back(group.revision);
  group.history.push_back({put.name, put.value, group.revision, timeMs_});
}
void ShardState::discardHistory(std::int64_t historyMs) {
  for (auto& [name, group] : groups_)
    while (!group.history.empty() && group.history.front().atMs < timeMs_ - historyMs) {
      const auto& oldest = group.history.front();
      group.discardedUpTo = oldest.revision;
      cellBytes_ -= bytesOf(oldest);
      group.cells[oldest.cell].revisions.pop_front();
      group.history.pop_front();
    }
}

// --- reads ---

Outcome ShardState::readCell(const std::string& cell) const {
  const auto group = groups_.find(groupOf(cell));
  if (group == groups_.end())
    return makeOutcome(OutcomeKind::notFound);
  const auto known = group->second.cells.find(cell);
  if (known == group->second.cells.end())
    return makeOutcome(OutcomeKind::notFound);
  return makeOutcome(OutcomeKind::done, known->second.revision, known->second.value);
}
std::int64_t ShardState::revisionOf(const std::string& group) const {
  const auto it = groups_.find(group);
  return it == groups_.end() ? 0 : it->second.revision;
}
WatchedEvents ShardState::eventsAfter(const std::string& group, std::int64_t revision, std::size_t maxBytes) const {
  WatchedEvents found;
  found.revision = revision;
  const auto it = groups_.find(group);
  if (it == groups_.end())
    return found;
  found.discarded = revision < it->second.discardedUpTo;
  const auto& history = it->second.history;
  std::size_t bytes = 0;
  const auto first = std::partition_point(history.begin(), history.end(),
                                          [revision](const CellEvent& event) { return event.revision <= revision; });
  for (auto event = first; event != history.end(); ++event) {
    bytes += bytesOf(*event);
    if (bytes > maxBytes && !found.events.empty())
      return found;
    found.events.push_back(*event);
    found.revision = event->revision;
  }
  return found;
}

// --- snapshots ---

std::string ShardState::snapshot() const {
  Contents contents{index_, timeMs_, lastFence_, nextSweepMs_, {}, {}, {}};
  for (const auto& [name, lock] : locks_)
    contents.locks.push_back({name, lock.holder, lock.fence, lock.endsAtMs});
  for (const auto& [name, reservedUpTo] : numbers_)
    contents.numbers.push_back({name, reservedUpTo});
  for (const auto& [name, group] : groups_) {
    GroupRecord record{name, group.revision, group.discardedUpTo, {}, {group.history.begin(), group.history.end()}};
    for (const auto& [cellName, cell] : group.cells)
      record.cells.push_back({cellName, cell.value, cell.revision});
    contents.groups.push_back(std::move(record));
  }
  return avro::encode(std::move(contents));
}
Result<void> ShardState::restore(const std::string& snapshot) {
  auto contents = avro::decode<Contents>(snapshot);
  if (!contents)
    return tl::unexpected(contents.error());
  if (!std::all_of(contents->groups.begin(), contents->groups.end(), isConsistent))
    return makeError(ErrorCode::corruption, "the history of a group in the snapshot has gaps");
  *this = ShardState(limits_);
  index_ = contents->index;
  timeMs_ = contents->timeMs;
  lastFence_ = contents->lastFence;
  nextSweepMs_ = contents->nextSweepMs;
  for (auto& lock : contents->locks)
    locks_[lock.name] = {std::move(lock.holder), lock.fence, lock.endsAtMs};
  for (const auto& number : contents->numbers)
    numbers_[number.name] = number.reservedUpTo;
  for (auto& record : contents->groups) {
    auto& group = groups_[record.name];
    group.revision = record.revision;
    group.discardedUpTo = record.discardedUpTo;
    for (auto& cell : record.cells) {
      cellBytes_ += bytesOf(cell.name, cell.value);
      group.cells[cell.name] = {std::move(cell.value), cell.revision, {}};
    }
    for (const auto& event : record.history) {
      cellBytes_ += bytesOf(event);
      group.cells[event.cell].revisions.push_back(event.revision);
    }
    group.history.assign(record.history.begin(), record.history.end());
    cellCount_ += group.cells.size();
  }
  return {};
}
}  // namespace zinccleat::coordination
