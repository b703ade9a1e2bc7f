// Whether a request is taken at all while a service is overloaded: a few are turned away early, so that the rest
// arrive inside their aim instead of all arriving late. Follows what was observed here, not any figure of a machine.
// Pure.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::balancing {
class AdmissionControl {
 public:
  // The first event of an answer came, this much of its aim after the request (or the aim went by without one).
  void first(const std::string& service, bool late, TimePoint now);
  // draw: 0 to 1. Ranks under 5 go before those above; nobody is turned away beyond three in four.
  bool allows(const std::string& service, int precedence, double draw, TimePoint now);
  double level(const std::string& service) const;

 private:
  struct ServiceLoad {
    double level = 0;
    int late = 0, all = 0;
    TimePoint at{};
  };
  void turn(ServiceLoad& s, TimePoint now);
  std::unordered_map<std::string, ServiceLoad> loads_;
};
}  // namespace zinccleat::balancing
