/// @file
/// Learns the typical value of one kind of latency and derives the threshold above which a sample is slow. No threshold
/// is configured. Deterministic, without I/O.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::balancing {
/// The exponentially weighted mean and mean absolute deviation of a latency.
class LatencyBaseline {
 public:
  /// The latency above which a response is slow; `Duration::max()` until enough samples have been added.
  Duration slowThreshold() const;
  void add(double latencyMs);

 private:
  double meanMs_ = 0;
  double deviationMs_ = 0;
  int samples_ = 0;
};
}  // namespace zinccleat::balancing
