#include "balancing/partner.hpp"

namespace zinccleat::balancing {
namespace {
constexpr double kShare = 0.25, kStart = 2, kMemory = 400;
}
bool PartnerTrust::allows(TimePoint now) {
  if (all_ > kMemory)
    all_ /= 2, gone_ /= 2;
  ++all_;
  if (now < until_ || gone_ + 1 > all_ * kShare + kStart)
    return false;
  ++gone_;
  return true;
}
}  // namespace zinccleat::balancing
