#include "platform/scaling_policy.hpp"

#include <cmath>

namespace zinccleat::platform {
namespace {
// Of the places of the runners that are left after the loss of a zone, in a burst that comes faster than runners boot:
// beyond it first tokens come late more and more, since prompts are read between the tokens of others.
constexpr double kUseInBurst = 0.45;
constexpr double kBurst = 1.8;          // times the demand of the moment
constexpr double kTurnedAwayHoldS = 1;  // a request that was turned away would have held a place for about so long
constexpr auto kLoadLifetime = 3s;
constexpr auto kFirstLoads = 4s;       // of a term: by then all proxies have told their load
constexpr auto kMinObservation = 20s;  // of a term: what the demand is in quiet seconds says little before
constexpr double kSightedPart = 0.9;   // of the proxies; with fewer the leader is blind
constexpr auto kMinOrderInterval = 2s;
constexpr std::array kRepeatAfter = {3s, 8s};  // an order that got no answer

bool isEvacuated(const state_machine::StateContents& state, const std::string& zone) {
  return std::find(state.evacuatedZones.begin(), state.evacuatedZones.end(), zone) != state.evacuatedZones.end();
}
/// The part of the places that the demand of the moment may take.
double targetUse(std::size_t zones) {
  const double left = zones > 1 ? static_cast<double>(zones - 1) / static_cast<double>(zones) : 1;
  return kUseInBurst / kBurst * left;
}
bool isRolledOut(const state_machine::StateContents& state, const std::string& service) {
  return std::any_of(state.rollouts.begin(), state.rollouts.end(), [&](const state_machine::Rollout& rollout) {
    return rollout.service == service && rollout.inProgress();
  });
}
}  // namespace

void ScalingPolicy::startTerm(TimePoint now) {
  termBegan_ = now;
  machines_.clear();
  subjects_.clear();
}
void ScalingPolicy::report(const std::string& machine, const std::vector<transport::RunnerLoadReport>& loads,
                           TimePoint now) {
  machines_[machine] = {now, loads};
}
std::map<ScalingPolicy::Subject, ScalingPolicy::Load> ScalingPolicy::sumLoads(TimePoint now, std::size_t& reporting) {
  std::erase_if(machines_, [now](const auto& machine) { return now - machine.second.reportedAt > kLoadLifetime; });
  reporting = machines_.size();
  std::map<Subject, Load> sums;
  for (const auto& [machine, each] : machines_) {
    for (const auto& load : each.loads) {
      auto& sum = sums[{load.service, load.zone}];
      sum.inFlight += std::max(0, load.inFlight);
      sum.turnedAway += std::max(0, load.turnedAway);
    }
  }
  return sums;
}
void ScalingPolicy::recordWanted(SubjectState& subject, int runners, Duration kept, TimePoint now) {
  auto& wanted = subject.wanted;
  while (!wanted.empty() && wanted.back().runners <= runners)
    wanted.pop_back();
  wanted.push_back({now, runners});
  while (now - wanted.front().seenAt > kept)
    wanted.pop_front();
}
std::vector<ScalingOrder> ScalingPolicy::decide(const config::Configuration& configuration,
                                                const state_machine::StateContents& state, std::size_t machines,
                                                TimePoint now) {
  std::size_t reporting = 0;
  const auto loads = sumLoads(now, reporting);
  const bool sighted = static_cast<double>(reporting) >= kSightedPart * static_cast<double>(machines) &&
                       now - termBegan_ >= kMinObservation;
  std::vector<ScalingOrder> orders;
  for (const auto& service : configuration.services) {
    if (!service.scaling)
      continue;
    std::map<std::string, std::pair<int, int>> zones;  // runners in service and their places, by zone
    for (const auto& runner : state.runners) {
      if (runner.service != service.label || runner.runnerState() != state_machine::RunnerState::inService)
        continue;
      auto& [runners, places] = zones[runner.zone];
      ++runners;
      places += static_cast<int>(runner.capacity);
    }
    const auto turnedAway = loads.find({service.label, ""});
    const double refused = turnedAway == loads.end() ? 0 : turnedAway->second.turnedAway * kTurnedAwayHoldS;
    for (const auto& [zone, present] : zones) {
      const Subject name{service.label, zone};
      auto& subject = subjects_[name];
      const auto load = loads.find(name);
      subject.present = present.first;
      subject.demand = (load == loads.end() ? 0 : load->second.inFlight) +
                       static_cast<int>(std::ceil(refused / static_cast<double>(zones.size())));
      const double placesEach = std::max(1.0, static_cast<double>(present.second) / present.first);
      const int wanted = static_cast<int>(std::ceil(subject.demand / (placesEach * targetUse(zones.size()))));
      recordWanted(subject, std::clamp(wanted, service.scaling->min, service.scaling->max), service.scaling->startup,
                   now);
      const bool mayLower = sighted && !isEvacuated(state, zone) && !isRolledOut(state, service.label);
      if (auto order = decideOne(name, subject, *service.scaling, mayLower, now))
        orders.push_back(std::move(*order));
    }
  }
  return orders;
}
std::optional<ScalingOrder> ScalingPolicy::decideOne(const Subject& name, SubjectState& subject,
                                                     const config::Scaling& scaling, bool mayLower, TimePoint now) {
  if (now - termBegan_ < kFirstLoads)
    return std::nullopt;
  const int current = subject.ordered.value_or(subject.present);
  const int wanted = subject.wanted.front().runners;
  const int inRange = std::clamp(current, scaling.min, scaling.max);
  const int desired = wanted < inRange && !mayLower ? inRange : wanted;
  subject.reason = desired > current ? "demand" : desired < current ? "idle" : "steady";
  const bool repeats = repeatIsDue(subject, now);
  if (desired == current && !repeats)
    return std::nullopt;
  const bool tooSoon = subject.ordered && now - subject.orderedAt < kMinOrderInterval;
  if (tooSoon && !repeats)
    return std::nullopt;
  return ScalingOrder{name.first, name.second, desired, repeats ? "repeated" : subject.reason};
}
bool ScalingPolicy::repeatIsDue(SubjectState& subject, TimePoint now) {
  return std::any_of(subject.repeatAt.begin(), subject.repeatAt.end(), [now](TimePoint at) { return now >= at; });
}
void ScalingPolicy::accepted(const ScalingOrder& order, TimePoint now) {
  auto& subject = subjects_[{order.service, order.zone}];
  subject.ordered = order.desiredCount;
  subject.orderedAt = now;
  std::erase_if(subject.repeatAt, [now](TimePoint at) { return now >= at; });
}
void ScalingPolicy::unanswered(const ScalingOrder& order, TimePoint now) {
  auto& subject = subjects_[{order.service, order.zone}];
  subject.repeatAt.clear();
  for (const auto after : kRepeatAfter)
    subject.repeatAt.push_back(now + after);
}
std::vector<ScalingStatus> ScalingPolicy::status() const {
  std::vector<ScalingStatus> all;
  for (const auto& [name, subject] : subjects_) {
    const int wanted = subject.wanted.empty() ? 0 : subject.wanted.front().runners;
    all.push_back({name.first, name.second, subject.present, subject.demand, wanted, subject.ordered.value_or(-1),
                   subject.reason});
  }
  return all;
}
}  // namespace zinccleat::platform
