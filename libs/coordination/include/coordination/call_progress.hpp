/// @file
/// Tracks the attempts to execute one call on behalf of an application. The machine that received the call sends it to
/// the leaseholder that it knows, and to the next leaseholder if that one is lost, until the deadline of the call.
/// Pure: the clock is passed in.
///
/// Guarantee: a call is reported as not executed only if no attempt left this machine except those that a leaseholder
/// refused.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::coordination {
/// How one attempt ended.
enum class AttemptEnd {
  answered,     ///< the leaseholder has executed the call
  notSent,      ///< no byte of the call has left this machine
  notExecuted,  ///< the leaseholder has refused the call and will not execute it
  unknown,      ///< the call may have been executed or may still be executed
};
/// The attempts of one call.
class CallProgress {
 public:
  CallProgress(TimePoint startedAt, Duration timeout) : startedAt_(startedAt), deadline_(startedAt + timeout) {}
  /// The time until which an attempt may wait for its answer.
  TimePoint deadline() const { return deadline_; }
  /// Handles an attempt that ended without an answer. Every call may be repeated: a repeated lock request by the same
  /// holder and a repeated number request are harmless, and a repeated put is recognized by its value.
  /// @return the delay before the next attempt; none if the call has failed, see `failure`.
  std::optional<Duration> retryDelayAfter(AttemptEnd end, TimePoint now);
  /// The error of a failed call. `ErrorCode::unavailable`: the call was not executed and will never be executed.
  /// `ErrorCode::outcomeUnknown`: the call may have been executed.
  ErrorCode failure() const { return mayHaveExecuted_ ? ErrorCode::outcomeUnknown : ErrorCode::unavailable; }

 private:
  TimePoint startedAt_;
  TimePoint deadline_;
  bool mayHaveExecuted_ = false;
};
}  // namespace zinccleat::coordination
