/// @file
/// The attempts of one call, as the machine that took it from an application makes them: at the leaseholder that it
/// knows of, at the next one if that is lost, until the caller's time is up. Pure: the clock is passed in.
///
/// Guarantee: a call is said to be not executed only if every attempt at it either never left this machine or was
/// refused by the leaseholder that it reached.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::coordination {
/// How one attempt ended.
enum class AttemptEnd {
  answered,     ///< the leaseholder has executed the call
  notSent,      ///< no byte of it has left this machine
  notExecuted,  ///< the leaseholder has refused it and will not execute it
  unknown,      ///< it may have been executed, or may yet be
};
/// See the file's comment.
class CallProgress {
 public:
  CallProgress(TimePoint startedAt, Duration timeout) : startedAt_(startedAt), deadline_(startedAt + timeout) {}
  /// Until when an attempt may wait for its answer.
  TimePoint deadline() const { return deadline_; }
  /// After an attempt without an answer. Each call may be repeated: another lock for the same holder, another number, a
  /// put that is known by its value.
  /// @return the pause before the next attempt; none: the call ends, see `failure`.
  std::optional<Duration> retryDelayAfter(AttemptEnd end, TimePoint now);
  /// `ErrorCode::unavailable`: not executed, and it never will be; `ErrorCode::outcomeUnknown` otherwise.
  ErrorCode failure() const { return mayHaveExecuted_ ? ErrorCode::outcomeUnknown : ErrorCode::unavailable; }

 private:
  TimePoint startedAt_;
  TimePoint deadline_;
  bool mayHaveExecuted_ = false;
};
}  // namespace zinccleat::coordination
