#include "proxy_daemon/node_report.hpp"

namespace zinccleat::proxy_daemon {
namespace {
constexpr std::size_t kMaxReportedRunners = 24;  // the worst first
constexpr auto kRateInterval = 900ms;
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
}
/// The load of the machine, and the progress of each drain.
std::vector<transport::ZoneLoad> NodeReport::load(TimePoint now, const std::vector<state_machine::ZoneDrain>& drains) {
  std::vector<transport::ZoneLoad> loads;
  loads.push_back({"", rate_.update(now, context_.served + context_.rejected), 0});
  for (const auto& drain : drains)
    loads.push_back(loadOf(drain));
  return loads;
}
transport::ZoneLoad NodeReport::loadOf(const state_machine::ZoneDrain& drain) const {
  const auto zones = zonesNamed(zones_, drain.zone);
  const int ownRequests = zones.contains(context_.zone) ? context_.inFlight : 0;
  return {drain.zone, static_cast<double>(context_.runners.inFlightInZones(zones)), static_cast<double>(ownRequests)};
}
}  // namespace zinccleat::proxy_daemon
