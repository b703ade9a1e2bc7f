/// @file
/// The commands of applications to the coordination service and their outcomes: locks, numbers and cells.
///
/// The field lists define the wire and disk format: the position and type of a field must not change.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::coordination {
/// The kind of a command. The numeric values are part of the wire and disk formats.
enum class CommandKind : std::int32_t {
  acquireLock = 1,     ///< executed through the log
  renewLock = 2,       ///< executed through the log
  releaseLock = 3,     ///< executed through the log
  nextNumber = 4,      ///< answered by the leaseholder, from its reserved block of numbers
  reserveNumbers = 5,  ///< executed through the log: reserves a block of numbers for the leaseholder
  putCell = 6,         ///< executed through the log
  getCell = 7,         ///< answered by the leaseholder, from memory
  /// Answered by the leaseholder: the log index that a replica must have applied to be as recent as the leaseholder.
  readIndex = 8,
};
/// The expected revision of a put that applies to any revision of the cell.
constexpr std::int64_t kAnyRevision = -1;
/// A call of an application, or a reservation of numbers by the leaseholder. The fields in use depend on the kind.
struct Command {
  std::int32_t kind = 0;    ///< a `CommandKind`
  std::string name;         ///< name of the lock, number or cell; for `readIndex` of a group of cells
  std::string holder;       ///< lock commands: the id of the caller
  std::string value;        ///< `putCell`: the new value; unique among all puts to this cell
  std::int64_t fence = 0;   ///< `renewLock`, `releaseLock`: the fence returned by `acquireLock`
  std::int64_t holdMs = 0;  ///< `acquireLock`, `renewLock`: requested duration of the lock in ms, starting now
  /// `putCell`: the expected revision of the cell, 0 if the cell must not exist, or `kAnyRevision`. `reserveNumbers`:
  /// the size of the block.
  std::int64_t argument = 0;
  template <class V>
  void fields(V& v) {
    v("kind", kind), v("name", name), v("holder", holder), v("value", value);
    v("fence", fence), v("holdMs", holdMs), v("argument", argument);
  }
  /// The kind as an enum value.
  CommandKind op() const { return static_cast<CommandKind>(kind); }
};
/// The result of a command. The numeric values are part of the wire format.
enum class OutcomeKind : std::int32_t {
  done = 1,
  lockTaken = 2,         ///< another holder has the lock, or the lock to be renewed has expired
  revisionMismatch = 3,  ///< the cell has a different revision, which is in `Outcome::number`
  notFound = 4,          ///< there is no such cell
  limitReached = 5,      ///< the state has no room for another name or value; the state is unchanged
};
/// The result of a command with its data.
struct Outcome {
  std::int32_t kind = 0;  ///< an `OutcomeKind`
  /// Depending on the command: the fence, the number, the last number before the reserved block, the revision, or the
  /// log index.
  std::int64_t number = 0;
  std::string value;  ///< `getCell`: the value of the cell
  template <class V>
  void fields(V& v) {
    v("kind", kind), v("number", number), v("value", value);
  }
  /// The kind as an enum value.
  OutcomeKind result() const { return static_cast<OutcomeKind>(kind); }
};
/// Creates an outcome.
inline Outcome makeOutcome(OutcomeKind kind, std::int64_t number = 0, std::string value = {}) {
  return {static_cast<std::int32_t>(kind), number, std::move(value)};
}
/// The content of one log entry, applied atomically and in this order.
struct CommandBatch {
  /// Time in ms, rounded down, on the proposer's steady clock since its previous batch, or since it became the
  /// leaseholder. The sum over all batches is the shard's own time.
  std::int64_t elapsedMs = 0;
  std::int64_t historyMs = 0;  ///< puts within the last `historyMs` of the shard's own time are kept for watches
  std::vector<Command> commands;
  template <class V>
  void fields(V& v) {
    v("elapsedMs", elapsedMs), v("historyMs", historyMs), v("commands", commands);
  }
};
}  // namespace zinccleat::coordination
