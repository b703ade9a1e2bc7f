#include "balancing/admission.hpp"

namespace zinccleat::balancing {
namespace {
constexpr auto kTurn = 150ms;
constexpr int kFew = 6;          // fewer answers than this say nothing
constexpr double kStormy = 0.5;  // this share late: more are turned away
constexpr double kCalm = 0.25;   // this share late: fewer
constexpr double kUp = 0.12, kDown = 0.03, kMost = 0.75;
}  // namespace
void AdmissionControl::turn(ServiceLoad& s, TimePoint now) {
  if (now - s.at < kTurn)
    return;
  // Why slowly down: whoever was turned away comes back.
  if (s.all >= kFew) {
    const double share = static_cast<double>(s.late) / s.all;
    if (share > kStormy)
      s.level = std::min(1.0, s.level + kUp);
    else if (share < kCalm)
      s.level = std::max(0.0, s.level - kDown);
    s.late = s.all = 0;
    s.at = now;
  } else if (now - s.at > 4 * kTurn) {
    s.level = std::max(0.0, s.level - kDown);
    s.late = s.all = 0;
    s.at = now;
  }
}
void AdmissionControl::first(const std::string& service, bool late, TimePoint now) {
  auto& s = loads_[service];
  ++s.all;
  s.late += late;
  turn(s, now);
}
bool AdmissionControl::allows(const std::string& service, int precedence, double draw, TimePoint now) {
  auto& s = loads_[service];
  turn(s, now);
  if (s.level <= 0)
    return true;
  const double p = std::min(kMost, s.level * (0.6 + 0.2 * std::clamp(precedence, 0, 4)));
  return draw >= p;
}
double AdmissionControl::level(const std::string& service) const {
  const auto it = loads_.find(service);
  return it == loads_.end() ? 0 : it->second.level;
}
}  // namespace zinccleat::balancing
