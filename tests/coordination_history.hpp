/// @file
/// The calls of applications for coordination as they were answered, and the rules that a history of them must keep.
/// Each check says in its violations which rule is broken: ONE, ORDER, STALE, MIXED, REFUSED, LOST.
#pragma once
#include "coordination/shard_state.hpp"

namespace zinccleat::coordination_history {
enum class CallKind { beginLock, renewLock, releaseLock, number, put, read, watch };

/// One call. Times are of one steady clock, in microseconds; only their order counts, and `holdMs` beside them.
struct Call {
  static constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();

  CallKind kind = CallKind::read;
  std::string caller;  ///< the holder of locks
  std::string name;    ///< of the lock, the number, the cell or the group
  std::int64_t sentAt = 0;
  std::int64_t answeredAt = kNever;
  int status = 0;                                       ///< of HTTP; 0: no answer
  std::int64_t number = 0;                              ///< answered: the fence, the number, the revision
  std::string value;                                    ///< put: sent; read: answered
  std::int64_t fence = 0;                               ///< renew, release: sent
  std::int64_t holdMs = 0;                              ///< begin, renew: sent
  std::int64_t appliesTo = coordination::kAnyRevision;  ///< put: sent
  std::int64_t after = 0;                               ///< watch: sent
  std::vector<coordination::CellEvent> events;          ///< watch: answered

  bool succeeded() const { return status == 200; }
};
/// What breaks a rule, a line each; empty: nothing does.
std::vector<std::string> violationsIn(const std::vector<Call>& calls);
}  // namespace zinccleat::coordination_history
