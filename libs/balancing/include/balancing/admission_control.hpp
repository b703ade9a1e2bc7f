/// @file
/// Load shedding: rejects a fraction of a service's requests while too many of its responses miss the latency target.
/// The accepted requests then meet the target instead of every request being late.
///
/// The decision depends on observed response times only, not on a configured capacity. The shed level rises quickly
/// while most responses are late and falls slowly once few are, because rejected clients retry.
/// Deterministic: callers pass in the time and the random number. Not thread safe.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::balancing {

class AdmissionControl {
 public:
  /// Records the response to an accepted request.
  /// @param late  the response began after the route's latency target, or never began
  void recordResponse(const std::string& service, bool late, TimePoint now);
  /// Whether to accept a request. At most 75 % of the requests are rejected, however high the overload.
  /// @param precedence  of the request; 0 is the most urgent and is rejected least; values of 4 and above are equal
  /// @param draw        random number, uniformly distributed in [0, 1)
  bool admits(const std::string& service, int precedence, double draw, TimePoint now);
  /// The service's shed level, from 0 (no request is rejected) to 1.
  double shedLevel(const std::string& service) const;

 private:
  struct ServiceLoad {
    double shedLevel = 0;
    int lateResponses = 0;  ///< late responses since the last evaluation
    int responses = 0;      ///< all responses since the last evaluation
    TimePoint evaluatedAt{};
  };
  static void evaluate(ServiceLoad& load, TimePoint now);

  std::unordered_map<std::string, ServiceLoad> loads_;
};
}  // namespace zinccleat::balancing
