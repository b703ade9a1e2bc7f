/// @file
/// Decides when a call to the platform may be made. At most one call per subject is in flight. Failed calls are retried
/// with exponential backoff. All subjects together stay within the platform's rate limit. A subject is the scope within
/// which the platform compares fences: the usage reports, or one service in one zone.
///
/// Guarantees:
/// - A holder whose call the platform has refused because of a stale fence makes no further call for that subject in
///   the same term.
/// - A holder that lost its function and regains it makes no call until `lease` has passed since its last call. It
///   waits longer if that call got no answer, because the platform may still execute it. Another holder may have made
///   calls in the meantime.
///
/// Source of the fencing scheme: sequencers in Burrows, "The Chubby lock service for loosely-coupled distributed
/// systems" (2006).
///
/// The state is not persisted; it belongs to the current holder of the function. Pure: the time is passed in.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::platform {
/// The result of a call.
enum class CallOutcome : std::uint8_t {
  accepted,
  staleFence,   ///< another holder has made a call with a higher fence
  invalid,      ///< the platform rejects this call as invalid
  rateLimited,  ///< the call was not executed
  unanswered,   ///< the call may have been executed or may still be executed
};

/// Schedules the calls of one function's holder. The guarantees are listed at the top of this file.
class CallSchedule {
 public:
  /// @param callsPerS the platform's rate limit for the holder of this function; 0: unlimited.
  /// @param lease a function does not return to an earlier holder within this time.
  CallSchedule(double callsPerS, Duration lease) : callsPerS_(callsPerS), lease_(lease) {}
  /// This node has become the holder, with a higher fence than any holder before.
  void startTerm(TimePoint now);
  /// Whether a call for the subject may be sent now.
  bool mayCall(const std::string& subject, TimePoint now) const;
  /// A call was sent.
  void started(const std::string& subject, TimePoint now);
  /// A call has ended. The outcome of a call from an earlier term does not affect the subjects of this term.
  void ended(const std::string& subject, std::int64_t startedInTerm, CallOutcome outcome, TimePoint now);
  /// Number of terms in which this process has been the holder.
  std::int64_t term() const { return term_; }
  /// When the latest unanswered call of this term was sent; none if there is none.
  std::optional<TimePoint> unansweredAt(const std::string& subject) const;

 private:
  struct Subject {
    bool inFlight = false;
    bool staleFence = false;
    int failures = 0;  ///< consecutive failures
    TimePoint nextAt{};
    TimePoint startedAt{};
    std::optional<TimePoint> unansweredAt;
  };
  void refill(TimePoint now);

  double callsPerS_;
  Duration lease_;
  std::int64_t term_ = 0;
  TimePoint callsAllowedFrom_{};
  TimePoint lastCallAt_{};
  bool lastCallIsUnanswered_ = false;
  double tokens_ = 1;
  TimePoint refilledAt_{};
  std::map<std::string, Subject> subjects_;
};
}  // namespace zinccleat::platform
