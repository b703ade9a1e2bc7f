#include "configuration_load.hpp"

namespace zinccleat::simulation {
namespace {
constexpr auto kCallTimeout = 3000ms;
constexpr auto kRetryInterval = 100ms;
constexpr auto kChangeTimeout = 3000ms;
constexpr auto kInForceTimeout = 13s;
constexpr auto kInForcePoll = 2ms;
constexpr double kMsPerMinute = 60'000;
constexpr std::uint64_t kMaxVersionStep = 3;  // versions need not be consecutive

using Milliseconds = std::chrono::duration<double, std::milli>;
}  // namespace

ConfigurationLoad::ConfigurationLoad(const ScaleRunPlan& plan, const LocalFleet& fleet, const HollowNodes& nodes,
                                     std::mt19937_64& random)
    : plan_(plan),
      fleet_(fleet),
      nodes_(nodes),
      random_(random),
      keyNumbers_(static_cast<std::size_t>(plan.tenants), 0) {}
bool ConfigurationLoad::installFirst(Duration within) {
  version_ = 1;
  return replace(version_, within);
}
bool ConfigurationLoad::replace(std::int64_t version, Duration within) {
  const auto call = replaceCall(planConfiguration(plan_, version, keyNumbers_), acknowledgedVersion_);
  for (const auto end = Clock::now() + within; Clock::now() < end; runtime::EventLoop::get().sleepFor(kRetryInterval)) {
    if (!isAcknowledged(operations::callOne(fleet_.control(random_()), call, kCallTimeout)))
      continue;
    acknowledgedVersion_ = version;
    acknowledgedAt_ = Clock::now();
    return true;
  }
  return false;
}
void ConfigurationLoad::start() {
  if (plan_.changesPerMinute <= 0)
    return;
  runtime::EventLoop::get().spawn([this] {
    const Duration interval(static_cast<std::int64_t>(kMsPerMinute / plan_.changesPerMinute));
    while (!stopped_) {
      runtime::EventLoop::get().sleepFor(interval);
      if (!stopped_)
        changeOneKey();
    }
  });
}
void ConfigurationLoad::changeOneKey() {
  ++keyNumbers_[random_() % keyNumbers_.size()];
  version_ += 1 + static_cast<std::int64_t>(random_() % kMaxVersionStep);
  const bool acknowledged = replace(version_, kChangeTimeout);
  changes_.add(acknowledged);
  if (acknowledged)
    measureInForce(version_, acknowledgedAt_);
}
void ConfigurationLoad::measureInForce(std::int64_t version, TimePoint acknowledgedAt) {
  std::vector<bool> waiting(nodes_.size(), true);
  std::size_t left = nodes_.size();
  while (left > 0 && Clock::now() - acknowledgedAt < kInForceTimeout) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!waiting[i] || nodes_[i]->version() < version)
        continue;
      waiting[i] = false;
      --left;
      inForceMs_.push_back(Milliseconds(Clock::now() - acknowledgedAt).count());
    }
    if (left > 0)
      runtime::EventLoop::get().sleepFor(kInForcePoll);
  }
  inForceMs_.insert(inForceMs_.end(), left, Milliseconds(kInForceTimeout).count());
}
}  // namespace zinccleat::simulation
