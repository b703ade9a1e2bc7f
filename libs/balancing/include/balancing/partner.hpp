// How far a partner site's hints are followed: a few of the long requests at most, and less while it disappoints. Pure.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::balancing {
class PartnerTrust {
 public:
  static constexpr std::int64_t kLongTokens = 2000;  // shared tokens from which going elsewhere may pay
  // A long request that could go: whether it may. Never more than one in four of them.
  bool allows(TimePoint now);
  void answered() { faults_ = 0; }
  // Refused, late or cut: nobody goes there for a while, doubled each time.
  void recordFailure(TimePoint now) {
    faults_ = std::min(faults_ + 1, 6);
    until_ = now + std::chrono::milliseconds(500) * (1 << faults_);
  }

 private:
  double all_ = 0, gone_ = 0;
  int faults_ = 0;
  TimePoint until_{};
};
}  // namespace zinccleat::balancing
