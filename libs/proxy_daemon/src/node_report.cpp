#include "proxy_daemon/node_report.hpp"

namespace zinccleat::proxy_daemon {
namespace {
constexpr std::size_t kMaxReportedRunners = 24;  // runners with the worst outcomes come first
constexpr auto kRateInterval = 900ms;
constexpr auto kRunnerLoadInterval = 900ms;
}  // namespace

double RequestRate::update(TimePoint now, std::uint64_t total) {
  if (now - measuredAt_ <= kRateInterval)
    return requestsPerS_;
  const double seconds = std::chrono::duration<double>(now - measuredAt_).count();
  requestsPerS_ = static_cast<double>(total - measuredTotal_) / seconds;
  measuredAt_ = now;
  measuredTotal_ = total;
  return requestsPerS_;
}

void NodeReport::fill(transport::LeaseRequest& request, TimePoint now,
                      const std::vector<state_machine::ZoneDrain>& drains) {
  request.demand = context_.quota.steadyDemand(now);
  request.holds = context_.quota.reserveHoldings(now);
  request.load = load(now, drains);
  context_.recordSlowAttempts(now);
  request.attempts = context_.observer.takeReport(kMaxReportedRunners);
  request.extension.rollouts = context_.revisions.takeReports();
  if (context_.runners.hasLimitedWarmup(now))
    request.extension.extension.warmupZone = context_.zone;
  for (auto& report : request.extension.rollouts)
    report.baselineInFlight = context_.runners.inFlightAtOtherRevisions(report.service, report.revision);
  fillPlatform(request.extension.extension.extension, now);
}
void NodeReport::fillPlatform(transport::PlatformReport& report, TimePoint now) {
  if (!context_.usage.enabled())
    return;
  const auto timeOfDay = std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
  context_.usage.fill(report, timeOfDay, now, context_.shutdown.begun());
  if (now - loadsReportedAt_ < kRunnerLoadInterval)
    return;
  loadsReportedAt_ = now;
  report.loads = runnerLoads();
}
/// Returns one record per zone for each service with a `scaling` section, and one record per such service that counts
/// the requests that were shed or found no runner.
std::vector<transport::RunnerLoadReport> NodeReport::runnerLoads() {
  std::vector<transport::RunnerLoadReport> loads;
  if (!context_.configuration)
    return loads;
  for (const auto& service : context_.configuration->services) {
    if (!service.scaling)
      continue;
    std::map<std::string, transport::RunnerLoadReport> byZone;
    for (const auto& endpoint : context_.runners.endpoints()) {
      if (!endpoint.present || endpoint.service != service.label || endpoint.inFlight == 0)
        continue;
      auto& load = byZone[endpoint.zone];
      load.inFlight += endpoint.inFlight;
      load.prefilling += endpoint.prefilling;
    }
    for (auto& [zone, load] : byZone) {
      load.service = service.label;
      load.zone = zone;
      loads.push_back(std::move(load));
    }
    const auto turnedAway = context_.turnedAway.find(service.label);
    loads.push_back({service.label, "", 0, 0, turnedAway == context_.turnedAway.end() ? 0 : turnedAway->second});
  }
  context_.turnedAway.clear();
  return loads;
}
/// Returns the load of this machine, followed by the progress of each drain.
std::vector<transport::ZoneLoad> NodeReport::load(TimePoint now, const std::vector<state_machine::ZoneDrain>& drains) {
  std::vector<transport::ZoneLoad> loads;
  loads.push_back({"", rate_.update(now, context_.served + context_.rejected), 0});
  for (const auto& drain : drains)
    loads.push_back(drainLoad(drain));
  return loads;
}
transport::ZoneLoad NodeReport::drainLoad(const state_machine::ZoneDrain& drain) const {
  const auto zones = zonesMatching(zones_, drain.zone);
  const int ownRequests = zones.contains(context_.zone) ? context_.inFlight : 0;
  return {drain.zone, static_cast<double>(context_.runners.inFlightInZones(zones)), static_cast<double>(ownRequests)};
}
}  // namespace zinccleat::proxy_daemon
