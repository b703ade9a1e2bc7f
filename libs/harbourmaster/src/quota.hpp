// How the sequencer shares each subscriber's quota among the access nodes. Pure.
#pragma once
#include "charter/configuration.hpp"
#include "signal/messages.hpp"
namespace zc {
class QuotaDesk {
 public:
  struct Bounds {  // what a window may hold beyond the limit before it counts as broken
    double excess = 0.1, slack = 20, windowS = 5;
  };
  void bounds(Bounds b) { bounds_ = b; }
  // Forgets nothing on a take-over but the time since when it can be sure of all live grants.
  void takeOver(Instant now);
  // node asks with its demand and what it still holds; the answer never lifts the sum of live grants over the limit.
  std::vector<Grant> grant(Instant now, const std::string& node, const std::vector<Grant>& demand,
                           const std::vector<Grant>& holds, const Configuration* cfg);
  static constexpr Span life{3000};  // how long a grant counts as live

 private:
  struct Share {
    double demand = 0;
    double rate = 0, burst = 0;          // newest grant
    double oldRate = 0, oldBurst = 0;    // the largest of those before it that may still live
    Instant until{}, oldUntil{};
  };
  std::map<std::string, std::map<std::string, Share>> desk_;  // subscriber -> node
  Instant sureFrom_{};
  Bounds bounds_;
};
}  // namespace zc
