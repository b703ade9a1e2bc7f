/// Whether the peer of a connection keeps up with a least rate of transfer. A pause is allowed, so that a cut of a
/// second or a slow link does not make an honest peer late.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::runtime {
/// Measures one transfer. Each byte puts off the time at which the peer is late; being ahead counts up to `kMaxCredit`.
class TransferProgress {
 public:
  static constexpr std::int64_t kMinBytesPerS = 4096;
  /// The longest pause after which a peer that has kept up is not late.
  static constexpr Duration kMaxCredit{3000};

  /// Begins to measure. @param credit the time until the peer is late if it transfers nothing.
  void begin(TimePoint now, Duration credit = kMaxCredit) { due_ = now + credit; }
  /// Records bytes that the peer has sent or taken.
  void record(std::size_t bytes, TimePoint now) {
    const std::chrono::microseconds credit(static_cast<std::int64_t>(bytes) * kMicrosecondsPerS / kMinBytesPerS);
    due_ = std::min(due_ + credit, now + kMaxCredit);
  }
  /// Puts off the time at which the peer is late, because the peer could not transfer for this time.
  void extend(Duration duration) { due_ += duration; }
  /// The time from which the peer is late.
  TimePoint due() const { return due_; }

 private:
  static constexpr std::int64_t kMicrosecondsPerS = 1'000'000;
  TimePoint due_ = TimePoint::max();
};
}  // namespace zinccleat::runtime
