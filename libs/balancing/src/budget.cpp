#include "balancing/budget.hpp"

#include <cmath>

namespace zinccleat::balancing {
Budget::TokenBucket& Budget::at(const std::string& service, TimePoint now) {
  auto& p = buckets_[service];
  const auto turn = now.time_since_epoch() / std::chrono::duration_cast<Clock::duration>(slot_);
  if (turn - p.turn > kSlots)
    p.turn = turn - kSlots;
  for (; p.turn < turn; ++p.turn) {
    // The oldest slot ends: what was not spent of it is saved, as far as there is room.
    auto& old = p.earned[(p.turn + 1) % kSlots];
    p.saved = std::min(std::max(p.saved, most_), p.saved + old);
    old = 0;
  }
  p.saved = std::min(p.saved, most_);
  return p;
}
void Budget::earn(const std::string& s, TimePoint now) {
  auto& p = at(s, now);
  p.earned[p.turn % kSlots] += ratio_;
}
bool Budget::spend(const std::string& s, TimePoint now) {
  auto& p = at(s, now);
  double all = p.saved;
  for (double e : p.earned)
    all += e;
  if (all < 1)
    return false;
  double left = 1;
  // What ends first goes first.
  for (int i = 1; i <= kSlots && left > 0; ++i) {
    auto& e = p.earned[(p.turn + i) % kSlots];
    const double x = std::min(e, left);
    e -= x, left -= x;
  }
  p.saved -= left;
  return true;
}
void Budget::share(double most, double draw) {
  most_ = most >= 1 ? most : draw < most ? 1 : 0;
}
}  // namespace zinccleat::balancing
