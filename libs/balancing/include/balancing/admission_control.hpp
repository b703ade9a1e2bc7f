/// @file
/// Load shedding: rejects a part of a service's requests while too many of its responses miss their latency target, so
/// that the others meet theirs instead of all being late.
///
/// The decision follows from observed response times alone, not from a configured capacity. The level of shedding rises
/// quickly while most responses are late and falls slowly once few are, because rejected clients come back.
/// Pure: the time and the random number are passed in. Not thread safe.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::balancing {

class AdmissionControl {
 public:
  /// Records a response to an accepted request.
  /// @param late  its first event came after the route's latency target, or never
  void recordResponse(const std::string& service, bool late, TimePoint now);
  /// Whether to accept a request. At most three in four are rejected, whatever the overload.
  /// @param precedence  of the request; 0 is the most urgent and rejected least, all from 4 on are treated alike
  /// @param draw        uniformly random in [0, 1)
  bool admits(const std::string& service, int precedence, double draw, TimePoint now);
  /// How strongly the service's requests are shed: 0 (not at all) to 1.
  double shedLevel(const std::string& service) const;

 private:
  struct ServiceLoad {
    double shedLevel = 0;
    int lateResponses = 0;  ///< since the last evaluation
    int responses = 0;      ///< since the last evaluation
    TimePoint evaluatedAt{};
  };
  static void evaluate(ServiceLoad& load, TimePoint now);

  std::unordered_map<std::string, ServiceLoad> loads_;
};
}  // namespace zinccleat::balancing
