#include "coordination/leaseholder.hpp"

#include "transport/avro.hpp"

namespace zinccleat::coordination {
namespace {
constexpr std::int64_t kNumberBlockSize = 64;
constexpr std::size_t kMaxQueuedCalls = 4096;
constexpr std::size_t kMaxBatchCommands = 512;
// While locks are taken, the elapsed time is committed at least this often. This limits how much of the shard's time is
// lost with a leader.
constexpr Duration kTimeEntryInterval{200};
}  // namespace

void Leaseholder::startTerm(TimePoint now) {
  endTerm();
  leading_ = true;
  timeRecordedUpTo_ = now;
}
void Leaseholder::endTerm() {
  leading_ = false;
  timeEntryIsDue_ = false;
  for (const auto& queued : std::exchange(queue_, {}))
    reject(queued.callId);
  for (const auto& proposed : std::exchange(inFlight_, {}))
    if (proposed.callId != 0)
      results_.push_back({proposed.callId, CallStatus::unknown, {}});
  inFlightId_.clear();
  for (const auto& [name, block] : std::exchange(numbers_, {}))
    for (const auto callId : block.waiting)
      reject(callId);
}
void Leaseholder::finish(std::int64_t callId, Outcome outcome) {
  if (callId != 0)
    results_.push_back({callId, CallStatus::executed, std::move(outcome)});
}
void Leaseholder::reject(std::int64_t callId) {
  if (callId != 0)
    results_.push_back({callId, CallStatus::notExecuted, {}});
}
// The process may have been suspended since the previous check of the lease. Only a lease that is valid after the
// evaluation proves that no other leaseholder has written in the meantime.
void Leaseholder::finishIfLeaseHolds(std::int64_t callId, Outcome outcome) {
  if (hasLease_())
    finish(callId, std::move(outcome));
  else
    reject(callId);
}
void Leaseholder::call(std::int64_t callId, const Command& command) {
  if (!leading_ || !hasLease_())
    return reject(callId);
  switch (command.op()) {
    case CommandKind::nextNumber:
      return requestNumber(callId, command.name);
    case CommandKind::getCell:
      return finishIfLeaseHolds(callId, state_.readCell(command.name));
    case CommandKind::readIndex:
      return finishIfLeaseHolds(callId, makeOutcome(OutcomeKind::done, state_.index()));
    case CommandKind::acquireLock:
    case CommandKind::renewLock:
    case CommandKind::releaseLock:
    case CommandKind::putCell:
      return enqueue(callId, command);
    case CommandKind::reserveNumbers:  // issued only by the leaseholder itself
      break;
  }
  reject(callId);
}
void Leaseholder::enqueue(std::int64_t callId, const Command& command) {
  if (queue_.size() >= kMaxQueuedCalls)
    return reject(callId);
  queue_.push_back({callId, command});
}

// --- numbers ---

void Leaseholder::requestNumber(std::int64_t callId, const std::string& name) {
  auto& block = numbers_[name];
  block.waiting.push_back(callId);
  assignNumbers(name, block);
}
void Leaseholder::assignNumbers(const std::string& name, NumberBlock& block) {
  while (!block.waiting.empty() && !block.empty()) {
    const auto callId = block.waiting.front();
    block.waiting.pop_front();
    finishIfLeaseHolds(callId, makeOutcome(OutcomeKind::done, block.next++));
  }
  if (block.waiting.empty() || block.reserving)
    return;
  block.reserving = true;
  Command reserve;
  reserve.kind = static_cast<std::int32_t>(CommandKind::reserveNumbers);
  reserve.name = name;
  reserve.argument = kNumberBlockSize;
  queue_.push_back({0, reserve});
}
void Leaseholder::onReserved(const Command& command, const Outcome& outcome) {
  auto& block = numbers_[command.name];
  block.reserving = false;
  if (outcome.result() != OutcomeKind::done) {
    for (const auto callId : std::exchange(block.waiting, {}))
      finish(callId, outcome);
    return;
  }
  block.next = outcome.number + 1;
  block.last = outcome.number + command.argument;
  assignNumbers(command.name, block);
}

// --- batches ---

void Leaseholder::tick(TimePoint now) {
  timeEntryIsDue_ = leading_ && state_.hasLocks() && now - timeRecordedUpTo_ >= kTimeEntryInterval;
}
// Only one batch is in flight at a time. Calls that arrive while it is being written go into the next batch.
std::optional<transport::LogEntry> Leaseholder::nextBatch(TimePoint now, const std::string& operationId) {
  if (!leading_ || !inFlightId_.empty() || (queue_.empty() && !timeEntryIsDue_))
    return std::nullopt;
  const auto count = std::min(queue_.size(), kMaxBatchCommands);
  const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
  inFlight_.assign(std::make_move_iterator(queue_.begin()), std::make_move_iterator(end));
  queue_.erase(queue_.begin(), end);
  inFlightId_ = operationId;
  timeEntryIsDue_ = false;
  CommandBatch batch;
  batch.elapsedMs = toDuration(now - timeRecordedUpTo_).count();
  batch.historyMs = history_.count();
  timeRecordedUpTo_ += Duration(batch.elapsedMs);  // the rounded-off remainder goes into the next batch
  for (const auto& proposed : inFlight_)
    batch.commands.push_back(proposed.command);
  transport::LogEntry entry;
  entry.kind = static_cast<std::int32_t>(transport::OperationKind::coordination);
  entry.operationId = operationId;
  entry.body = avro::encode(std::move(batch));
  return entry;
}
void Leaseholder::onApplied(const transport::LogEntry& entry, const std::vector<Outcome>& outcomes) {
  if (inFlightId_.empty() || entry.operationId != inFlightId_)
    return;
  inFlightId_.clear();
  const auto proposed = std::exchange(inFlight_, {});
  for (std::size_t i = 0; i < proposed.size() && i < outcomes.size(); ++i) {
    if (proposed[i].command.op() == CommandKind::reserveNumbers)
      onReserved(proposed[i].command, outcomes[i]);
    else
      finish(proposed[i].callId, outcomes[i]);
  }
}
std::vector<CallResult> Leaseholder::takeResults() {
  return std::exchange(results_, {});
}
}  // namespace zinccleat::coordination
