// Further attempts are paid from a share of the node's own traffic to that service. Pure.
// What a request earns lasts for a short part of the rule's window, so that all nodes together stay inside the ratio
// however many they are; what is saved beyond that comes from the window's slack, which all nodes share.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::balancing {
class Budget {
 public:
  // ratio: earned a request, below the rule's own. fresh: how long that lasts, at most a quarter of the rule's window.
  Budget(double ratio, Duration fresh) : ratio_(ratio), slot_(fresh / kSlots) {}
  void earn(const std::string& service, TimePoint now);
  bool spend(const std::string& service, TimePoint now);
  // This node's part of the slack: 0 until it is known how many share it. Where it is under one, as many nodes as it
  // allows save one and the others none; draw (0 to 1) is the node's own, drawn once.
  void share(double most, double draw);

 private:
  static constexpr int kSlots = 4;
  struct TokenBucket {
    double saved = 0;
    double earned[kSlots] = {};
    std::int64_t turn = 0;  // the slot of the newest
  };
  TokenBucket& at(const std::string& service, TimePoint now);
  double ratio_, most_ = 0;
  Duration slot_;
  std::unordered_map<std::string, TokenBucket> buckets_;
};
}  // namespace zinccleat::balancing
