/// @file
/// What is usual of one kind of latency, and from when on it is slow: never against a configured figure. Pure.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::balancing {
/// An exponentially weighted mean and mean deviation.
class LatencyBaseline {
 public:
  /// The latency from which a response is slow; `Duration::max()` while too few are known.
  Duration slowThreshold() const;
  void add(double latencyMs);

 private:
  double meanMs_ = 0;
  double deviationMs_ = 0;
  int samples_ = 0;
};
}  // namespace zinccleat::balancing
