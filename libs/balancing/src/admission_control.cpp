#include "balancing/admission_control.hpp"

namespace zinccleat::balancing {
namespace {
constexpr auto kEvaluationInterval = 150ms;
// After this time without `kMinResponses` responses the service counts as not overloaded.
constexpr auto kIdleInterval = 4 * kEvaluationInterval;
constexpr int kMinResponses = 6;              // fewer responses are too small a sample for a late ratio
constexpr double kOverloadedLateRatio = 0.5;  // a higher ratio of late responses raises the shed level
constexpr double kRecoveredLateRatio = 0.25;  // a lower ratio of late responses reduces the shed level
constexpr double kShedLevelIncrease = 0.12;
constexpr double kShedLevelDecrease = 0.03;
constexpr double kMaxRejectProbability = 0.75;
constexpr double kBaseWeight = 0.6;  // factor of the shed level in the reject probability at precedence 0
constexpr double kWeightPerPrecedence = 0.2;
constexpr int kLowestPrecedence = 4;
}  // namespace

void AdmissionControl::evaluate(ServiceLoad& load, TimePoint now) {
  const auto elapsed = now - load.evaluatedAt;
  const bool enoughResponses = load.responses >= kMinResponses;
  if (elapsed < kEvaluationInterval || (!enoughResponses && elapsed <= kIdleInterval))
    return;
  const double lateRatio = enoughResponses ? static_cast<double>(load.lateResponses) / load.responses : 0;
  if (lateRatio > kOverloadedLateRatio)
    load.shedLevel = std::min(1.0, load.shedLevel + kShedLevelIncrease);
  else if (lateRatio < kRecoveredLateRatio)
    load.shedLevel = std::max(0.0, load.shedLevel - kShedLevelDecrease);
  load.lateResponses = 0;
  load.responses = 0;
  load.evaluatedAt = now;
}

void AdmissionControl::recordResponse(const std::string& service, bool late, TimePoint now) {
  auto& load = loads_[service];
  ++load.responses;
  load.lateResponses += late;
  evaluate(load, now);
}

bool AdmissionControl::admits(const std::string& service, int precedence, double draw, TimePoint now) {
  auto& load = loads_[service];
  evaluate(load, now);
  if (load.shedLevel <= 0)
    return true;
  const double weight = kBaseWeight + kWeightPerPrecedence * std::clamp(precedence, 0, kLowestPrecedence);
  return draw >= std::min(kMaxRejectProbability, load.shedLevel * weight);
}

double AdmissionControl::shedLevel(const std::string& service) const {
  const auto it = loads_.find(service);
  return it == loads_.end() ? 0 : it->second.shedLevel;
}
}  // namespace zinccleat::balancing
