/// @file
/// What applications ask of the coordination service, and what it answers: locks, numbers, cells.
///
/// The lists of fields are the wire and disk format: a field keeps its position and its type.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::coordination {
/// What a command does. The numbers are part of the wire and disk formats.
enum class CommandKind : std::int32_t {
  acquireLock = 1,     ///< by the log
  renewLock = 2,       ///< by the log
  releaseLock = 3,     ///< by the log
  nextNumber = 4,      ///< by the leaseholder, from its block of numbers
  reserveNumbers = 5,  ///< by the log: a block for the leaseholder
  putCell = 6,         ///< by the log
  getCell = 7,         ///< by the leaseholder, from memory
  readIndex = 8,  ///< by the leaseholder: up to where a replica must have applied the log to be as new as it is now
};
/// A put that applies to whatever the cell holds.
constexpr std::int64_t kAnyRevision = -1;
/// One call of an application, or a reservation of the leaseholder's own. Which fields count depends on the kind.
struct Command {
  std::int32_t kind = 0;    ///< a `CommandKind`
  std::string name;         ///< of the lock, the number or the cell; for `readIndex` of a group of cells
  std::string holder;       ///< locks: who calls
  std::string value;        ///< `putCell`: unique among all puts of its cell
  std::int64_t fence = 0;   ///< `renewLock`, `releaseLock`: the fence of the hold
  std::int64_t holdMs = 0;  ///< `acquireLock`, `renewLock`: how long from now the lock is to be kept, in ms
  /// `putCell`: the revision that the cell must have, 0 for a cell that must not exist, or `kAnyRevision`;
  /// `reserveNumbers`: how many.
  std::int64_t argument = 0;
  template <class V>
  void fields(V& v) {
    v("kind", kind), v("name", name), v("holder", holder), v("value", value);
    v("fence", fence), v("holdMs", holdMs), v("argument", argument);
  }
  /// The kind, as its type.
  CommandKind op() const { return static_cast<CommandKind>(kind); }
};
/// How a command ended. The numbers are part of the wire format.
enum class OutcomeKind : std::int32_t {
  done = 1,
  lockTaken = 2,         ///< another holds the lock, or the hold that was to be renewed is over
  revisionMismatch = 3,  ///< the cell has another revision, which `Outcome::number` names
  notFound = 4,          ///< no such cell
  limitReached = 5,      ///< the state has no room for another name or value; nothing was done
};
/// The outcome of a command.
struct Outcome {
  std::int32_t kind = 0;  ///< an `OutcomeKind`
  /// The fence, the number, the last number before a reserved block, the revision or the log index.
  std::int64_t number = 0;
  std::string value;  ///< `getCell`: the cell's value
  template <class V>
  void fields(V& v) {
    v("kind", kind), v("number", number), v("value", value);
  }
  /// The kind, as its type.
  OutcomeKind result() const { return static_cast<OutcomeKind>(kind); }
};
/// Makes an outcome.
inline Outcome makeOutcome(OutcomeKind kind, std::int64_t number = 0, std::string value = {}) {
  return {static_cast<std::int32_t>(kind), number, std::move(value)};
}
/// What one log entry applies, all of it in this order.
struct CommandBatch {
  /// Time on the proposer's steady clock since the batch that it proposed before, or since it became the leaseholder;
  /// in ms, rounded down. Their sum is the shard's own time.
  std::int64_t elapsedMs = 0;
  std::int64_t historyMs = 0;  ///< puts of the last so many ms of the shard's own time are kept for watches
  std::vector<Command> commands;
  template <class V>
  void fields(V& v) {
    v("elapsedMs", elapsedMs), v("historyMs", historyMs), v("commands", commands);
  }
};
}  // namespace zinccleat::coordination
