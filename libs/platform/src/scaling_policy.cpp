#include "platform/scaling_policy.hpp"

#include <cmath>

namespace zinccleat::platform {
namespace {
// Target utilization of the slots that remain after the loss of one zone, during a burst that is too fast for new
// runners to start. Beyond this utilization the time to the first token grows quickly, because prompts are processed
// between the tokens of other requests.
constexpr double kBurstUtilization = 0.45;
constexpr double kBurstFactor = 1.8;             // burst demand relative to the current demand
constexpr double kRejectedRequestDurationS = 1;  // approximate time for which a rejected request would have used a slot
constexpr auto kLoadReportMaxAge = 3s;
constexpr auto kInitialReportingTime = 4s;  // from the start of a term; all proxies have reported their load by then
// From the start of a term; the demand of a shorter period is not representative.
constexpr auto kMinObservationTime = 20s;
constexpr double kMinReportingShare = 0.9;  // share of the proxies; with fewer reports the load is considered unknown
constexpr auto kMinOrderInterval = 2s;
constexpr std::array kRepeatDelays = {3s, 8s};  // for an order that got no answer

bool isEvacuated(const state_machine::StateContents& state, const std::string& zone) {
  return std::find(state.evacuatedZones.begin(), state.evacuatedZones.end(), zone) != state.evacuatedZones.end();
}
/// The share of the slots that the current demand may use.
double targetUtilization(std::size_t zones) {
  const double remainingShare = zones > 1 ? static_cast<double>(zones - 1) / static_cast<double>(zones) : 1;
  return kBurstUtilization / kBurstFactor * remainingShare;
}
bool hasActiveRollout(const state_machine::StateContents& state, const std::string& service) {
  return std::any_of(state.rollouts.begin(), state.rollouts.end(), [&](const state_machine::Rollout& rollout) {
    return rollout.service == service && rollout.inProgress();
  });
}
}  // namespace

void ScalingPolicy::startTerm(TimePoint now) {
  termStartedAt_ = now;
  machines_.clear();
  serviceZones_.clear();
}
void ScalingPolicy::report(const std::string& machine, const std::vector<transport::RunnerLoadReport>& loads,
                           TimePoint now) {
  machines_[machine] = {now, loads};
}
std::map<ScalingPolicy::ServiceZone, ScalingPolicy::Load> ScalingPolicy::sumLoads(TimePoint now,
                                                                                  std::size_t& reporting) {
  std::erase_if(machines_, [now](const auto& machine) { return now - machine.second.reportedAt > kLoadReportMaxAge; });
  reporting = machines_.size();
  std::map<ServiceZone, Load> sums;
  for (const auto& [machine, each] : machines_) {
    for (const auto& load : each.loads) {
      auto& sum = sums[{load.service, load.zone}];
      sum.inFlight += std::max(0, load.inFlight);
      sum.turnedAway += std::max(0, load.turnedAway);
    }
  }
  return sums;
}
void ScalingPolicy::recordNeededRunners(ServiceZoneState& zoneState, int runners, Duration retention, TimePoint now) {
  auto& wanted = zoneState.wanted;
  while (!wanted.empty() && wanted.back().runners <= runners)
    wanted.pop_back();
  wanted.push_back({now, runners});
  while (now - wanted.front().seenAt > retention)
    wanted.pop_front();
}
std::vector<ScalingOrder> ScalingPolicy::decide(const config::Configuration& configuration,
                                                const state_machine::StateContents& state, std::size_t machines,
                                                TimePoint now) {
  std::size_t reporting = 0;
  const auto loads = sumLoads(now, reporting);
  const bool loadIsKnown = static_cast<double>(reporting) >= kMinReportingShare * static_cast<double>(machines) &&
                           now - termStartedAt_ >= kMinObservationTime;
  std::vector<ScalingOrder> orders;
  for (const auto& service : configuration.services) {
    if (!service.scaling)
      continue;
    std::map<std::string, std::pair<int, int>> zones;  // number of runners in service and of their slots, by zone
    for (const auto& runner : state.runners) {
      if (runner.service != service.label || runner.runnerState() != state_machine::RunnerState::inService)
        continue;
      auto& [runners, slots] = zones[runner.zone];
      ++runners;
      slots += static_cast<int>(runner.capacity);
    }
    const auto turnedAway = loads.find({service.label, ""});
    const double rejectedDemand =
        turnedAway == loads.end() ? 0 : turnedAway->second.turnedAway * kRejectedRequestDurationS;
    for (const auto& [zone, present] : zones) {
      const ServiceZone serviceZone{service.label, zone};
      auto& zoneState = serviceZones_[serviceZone];
      const auto load = loads.find(serviceZone);
      zoneState.present = present.first;
      zoneState.demand = (load == loads.end() ? 0 : load->second.inFlight) +
                         static_cast<int>(std::ceil(rejectedDemand / static_cast<double>(zones.size())));
      const double slotsPerRunner = std::max(1.0, static_cast<double>(present.second) / present.first);
      const int wanted =
          static_cast<int>(std::ceil(zoneState.demand / (slotsPerRunner * targetUtilization(zones.size()))));
      recordNeededRunners(zoneState, std::clamp(wanted, service.scaling->min, service.scaling->max),
                          service.scaling->startup, now);
      const bool mayScaleDown = loadIsKnown && !isEvacuated(state, zone) && !hasActiveRollout(state, service.label);
      if (auto order = decideForZone(serviceZone, zoneState, *service.scaling, mayScaleDown, now))
        orders.push_back(std::move(*order));
    }
  }
  return orders;
}
std::optional<ScalingOrder> ScalingPolicy::decideForZone(const ServiceZone& serviceZone, ServiceZoneState& zoneState,
                                                         const config::Scaling& scaling, bool mayScaleDown,
                                                         TimePoint now) {
  if (now - termStartedAt_ < kInitialReportingTime)
    return std::nullopt;
  const int current = zoneState.ordered.value_or(zoneState.present);
  const int wanted = zoneState.wanted.front().runners;
  const int clampedCount = std::clamp(current, scaling.min, scaling.max);
  const int desired = wanted < clampedCount && !mayScaleDown ? clampedCount : wanted;
  zoneState.reason = desired > current ? "demand" : desired < current ? "idle" : "steady";
  const bool isRepeated = repeatIsDue(zoneState, now);
  if (desired == current && !isRepeated)
    return std::nullopt;
  const bool tooSoon = zoneState.ordered && now - zoneState.orderedAt < kMinOrderInterval;
  if (tooSoon && !isRepeated)
    return std::nullopt;
  return ScalingOrder{serviceZone.first, serviceZone.second, desired, isRepeated ? "repeated" : zoneState.reason};
}
bool ScalingPolicy::repeatIsDue(ServiceZoneState& zoneState, TimePoint now) {
  return std::any_of(zoneState.repeatAt.begin(), zoneState.repeatAt.end(), [now](TimePoint at) { return now >= at; });
}
void ScalingPolicy::accepted(const ScalingOrder& order, TimePoint now) {
  auto& zoneState = serviceZones_[{order.service, order.zone}];
  zoneState.ordered = order.desiredCount;
  zoneState.orderedAt = now;
  std::erase_if(zoneState.repeatAt, [now](TimePoint at) { return now >= at; });
}
void ScalingPolicy::unanswered(const ScalingOrder& order, TimePoint now) {
  auto& zoneState = serviceZones_[{order.service, order.zone}];
  zoneState.repeatAt.clear();
  for (const auto after : kRepeatDelays)
    zoneState.repeatAt.push_back(now + after);
}
std::vector<ScalingStatus> ScalingPolicy::status() const {
  std::vector<ScalingStatus> all;
  for (const auto& [serviceZone, zoneState] : serviceZones_) {
    const int wanted = zoneState.wanted.empty() ? 0 : zoneState.wanted.front().runners;
    all.push_back({serviceZone.first, serviceZone.second, zoneState.present, zoneState.demand, wanted,
                   zoneState.ordered.value_or(-1), zoneState.reason});
  }
  return all;
}
}  // namespace zinccleat::platform
