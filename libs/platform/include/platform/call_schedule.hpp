/// @file
/// Which calls to the platform may be made now. One call of a subject is under way at a time; what failed is tried
/// again after a pause that grows; all subjects together stay inside the platform's rate. A subject is what fences are
/// compared within: the usage reports, or one service in one zone.
///
/// Guarantees:
/// - a holder that the platform has refused for a lower fence makes no further call of that subject in its term;
/// - a holder that lost its function makes no call again before `lease` has passed since its last call, and longer
///   after one without an answer, which the platform may still carry out: others may have acted in between.
///
/// Source of the fence: Burrows, "The Chubby lock service for loosely-coupled distributed systems" (2006), sequencers.
///
/// Soft state of the holder. Pure: the time is passed in.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::platform {
/// How a call ended.
enum class CallOutcome : std::uint8_t {
  accepted,
  staleFence,   ///< another holder has acted with a higher fence
  invalid,      ///< the platform does not take such a call
  rateLimited,  ///< not carried out
  unanswered,   ///< it may be carried out, also later
};

/// See the file's comment.
class CallSchedule {
 public:
  /// @param callsPerS of the platform's rate, for this function's holder; 0: no bound.
  /// @param lease in this time a function does not return to an earlier holder.
  CallSchedule(double callsPerS, Duration lease) : callsPerS_(callsPerS), lease_(lease) {}
  /// This node has become the holder, with a higher fence than ever before.
  void startTerm(TimePoint now);
  /// Whether a call of the subject may be sent now.
  bool mayCall(const std::string& subject, TimePoint now) const;
  /// A call is sent.
  void started(const std::string& subject, TimePoint now);
  /// A call has ended. One that began in an earlier term says nothing about this one.
  void ended(const std::string& subject, std::int64_t startedInTerm, CallOutcome outcome, TimePoint now);
  /// Counts the terms of this process as holder.
  std::int64_t term() const { return term_; }
  /// When the last call without an answer was sent; none since the term began.
  std::optional<TimePoint> unansweredAt(const std::string& subject) const;

 private:
  struct Subject {
    bool inFlight = false;
    bool staleFence = false;
    int failures = 0;  ///< in a row
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
