/// @file
/// The recorded coordination calls of applications, and the rules that such a history must satisfy. Each violation
/// starts with the name of the violated rule: ONE (one holder per lock), ORDER (numbers and revisions ascend), STALE
/// (no outdated reads), MIXED (values and revisions match), REFUSED (refused puts have no effect), LOST (no
/// acknowledged put is missing).
#pragma once
#include "coordination/shard_state.hpp"

namespace zinccleat::coordination_history {
enum class CallKind { beginLock, renewLock, releaseLock, number, put, read, watch };

/// One call. Times are in microseconds on a common steady clock. Only their order matters, and their differences in
/// relation to `holdMs`.
struct Call {
  static constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();

  CallKind kind = CallKind::read;
  std::string caller;  ///< for locks also the holder
  std::string name;    ///< of the lock, number, cell or group
  std::int64_t sentAt = 0;
  std::int64_t answeredAt = kNever;
  int status = 0;                                       ///< HTTP status; 0: no answer
  std::int64_t number = 0;                              ///< response: the fence, number or revision
  std::string value;                                    ///< put: request; read: response
  std::int64_t fence = 0;                               ///< renew and release: request
  std::int64_t holdMs = 0;                              ///< begin and renew: request
  std::int64_t appliesTo = coordination::kAnyRevision;  ///< put: request
  std::int64_t after = 0;                               ///< watch: request
  std::vector<coordination::CellEvent> events;          ///< watch: response

  bool succeeded() const { return status == 200; }
};
/// Describes each violation of a rule in one line; empty if there is none.
std::vector<std::string> violationsIn(const std::vector<Call>& calls);
}  // namespace zinccleat::coordination_history
