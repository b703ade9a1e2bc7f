// Further goes are paid from a share of the node's own traffic to that service. Pure.
#pragma once
#include "keel/common.hpp"
namespace zc {
class Budget {
 public:
  Budget(double ratio, double start, double most) : ratio_(ratio), start_(start), most_(most) {}
  void earn(const std::string& service);
  bool spend(const std::string& service);
  // What one node may save up, so that all nodes together stay inside the slack of a window.
  void share(double most) { most_ = most; }

 private:
  double ratio_, start_, most_;
  std::unordered_map<std::string, double> purse_;
};
}  // namespace zc
