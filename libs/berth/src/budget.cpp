#include "berth/budget.hpp"

namespace zc {
void Budget::earn(const std::string& s) {
  auto& p = purse_.try_emplace(s, start_).first->second;
  p = std::min(most_, p + ratio_);
}
bool Budget::spend(const std::string& s) {
  auto& p = purse_.try_emplace(s, start_).first->second;
  p = std::min(p, std::max(1.0, most_));
  if (p < 1) return false;
  p -= 1;
  return true;
}
}  // namespace zc
