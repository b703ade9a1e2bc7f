/// @file
/// Tells whether a network partition separates this machine from one peer. Silence alone shows no partition: the peer's
/// process may have ended or stand still, or this process may have stood still and left messages unread. Pure: the
/// clock is passed in. Not thread-safe.
///
/// The evidence for a partition is `kMinUnansweredAttempts` connection attempts in a row to which the peer's machine
/// answered nothing. An ended process refuses connections, and the machine of a process that stands still accepts them.
/// Everything gathered so far is void as soon as the peer is heard or its machine accepts or refuses a connection, and
/// if this process may have been too late to notice. A machine without power cannot be told apart from a partition.
#pragma once
#include <optional>

#include "transport/connection_attempt.hpp"
namespace zinccleat::replicated_counters {
/// The evidence about one peer; see the file comment.
class PartitionDetector {
 public:
  /// After this time without an answer an attempt ends. Shorter than TCP's first retransmission of a SYN, so each
  /// attempt is one packet.
  static constexpr Duration kAttemptTimeout{300};
  /// Interval between attempts that are not answered. They overlap, so that the end of a partition is noticed after
  /// this time and a round trip.
  static constexpr Duration kAttemptInterval{50};
  /// Interval to the next attempt after an answered one. A process that stands still leaves the connections in its
  /// accept queue, which holds 512 of them.
  static constexpr Duration kAnsweredAttemptInterval{1000};
  /// The number of unanswered attempts that show a partition: a link that loses packets leaves single ones unanswered.
  static constexpr int kMinUnansweredAttempts = 8;
  /// For this long after the last unanswered attempt the evidence remains valid.
  static constexpr Duration kEvidenceLifetime{500};
  /// If this process was delayed for longer than this, it may not have noticed an answer in time.
  static constexpr Duration kMaxPause{200};

  /// Whether the next attempt is due. The caller makes it only while the peer is silent.
  bool isAttemptDue(TimePoint now) const { return now >= nextAttemptAt_; }
  /// The caller starts an attempt.
  void beginAttempt(TimePoint now) { nextAttemptAt_ = now + kAttemptInterval; }
  /// An attempt has ended.
  void recordAttempt(const transport::ConnectionAttempt& attempt);
  /// Discards the evidence: a message from the peer was received, or this process was paused. Attempts that began
  /// before `now` no longer count.
  void discard(TimePoint now);
  /// Whether the evidence shows a partition.
  bool isCutOff(TimePoint now) const {
    return unanswered_ >= kMinUnansweredAttempts && now - lastUnansweredAt_ < kEvidenceLifetime;
  }
  /// Number of unanswered attempts in a row.
  int unansweredAttempts() const { return unanswered_; }
  /// The last attempt that was answered.
  const std::optional<transport::ConnectionAttempt>& lastAnswer() const { return lastAnswer_; }

 private:
  int unanswered_ = 0;
  TimePoint lastUnansweredAt_{};
  TimePoint validSince_{};  // attempts that began before do not count
  TimePoint nextAttemptAt_{};
  std::optional<transport::ConnectionAttempt> lastAnswer_;
};
}  // namespace zinccleat::replicated_counters
