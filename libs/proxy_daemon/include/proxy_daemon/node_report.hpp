/// The report on this machine that the proxy sends to the leader with each lease request.
#pragma once
#include "proxy/proxy_context.hpp"
#include "proxy_daemon/zone_drains.hpp"
#include "transport/access_messages.hpp"
namespace zinccleat::proxy_daemon {
/// Computes requests per second from a running count of all requests. Pure: the current time is passed in.
class RequestRate {
 public:
  /// @param start the time at which the count was 0.
  explicit RequestRate(TimePoint start) : measuredAt_(start) {}
  /// Takes a new measurement if the last one is older than 900 ms.
  /// @param total number of requests since `start`.
  /// @return requests per second between the last two measurements.
  double update(TimePoint now, std::uint64_t total);

 private:
  TimePoint measuredAt_;
  std::uint64_t measuredTotal_ = 0;
  double requestsPerS_ = 0;
};

/// Builds the report from the proxy's state.
class NodeReport {
 public:
  /// @param context must outlive this object.
  NodeReport(proxy::ProxyContext& context, ZoneToRegion zones, TimePoint start)
      : context_(context), zones_(std::move(zones)), rate_(start) {}
  /// Fills in quota demand, load, the outcome of attempts since the last report, and observations of rollouts.
  /// @param drains the drains of zones and regions whose progress is reported.
  void fill(transport::LeaseRequest& request, TimePoint now, const std::vector<state_machine::ZoneDrain>& drains);

 private:
  std::vector<transport::ZoneLoad> load(TimePoint now, const std::vector<state_machine::ZoneDrain>& drains);
  void fillPlatform(transport::PlatformReport& report, TimePoint now);
  std::vector<transport::RunnerLoadReport> runnerLoads();
  transport::ZoneLoad drainLoad(const state_machine::ZoneDrain& drain) const;

  proxy::ProxyContext& context_;
  ZoneToRegion zones_;
  RequestRate rate_;
  TimePoint loadsReportedAt_{};
};
}  // namespace zinccleat::proxy_daemon
