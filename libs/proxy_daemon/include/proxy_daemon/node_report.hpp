/// What the leader is to know of this machine: it travels with each lease request.
#pragma once
#include "proxy/proxy_context.hpp"
#include "proxy_daemon/zone_drains.hpp"
#include "transport/access_messages.hpp"
namespace zinccleat::proxy_daemon {
/// Requests a second, measured from the count of all requests. Pure.
class RequestRate {
 public:
  /// @param start when the count was 0.
  explicit RequestRate(TimePoint start) : measuredAt_(start) {}
  /// Measures anew if the last measurement is old enough.
  /// @param total requests since `start`.
  /// @return requests a second between the last two measurements.
  double update(TimePoint now, std::uint64_t total);

 private:
  TimePoint measuredAt_;
  std::uint64_t measuredTotal_ = 0;
  double requestsPerS_ = 0;
};

/// Gathers the report.
class NodeReport {
 public:
  /// @param context must outlive this object.
  NodeReport(proxy::ProxyContext& context, ZoneToRegion zones, TimePoint start)
      : context_(context), zones_(std::move(zones)), rate_(start) {}
  /// Fills in quotas, load, the outcome of attempts since the last report, and what was seen of rollouts.
  void fill(transport::LeaseRequest& request, TimePoint now, const std::vector<state_machine::ZoneDrain>& drains);

 private:
  std::vector<transport::ZoneLoad> load(TimePoint now, const std::vector<state_machine::ZoneDrain>& drains);
  void fillPlatform(transport::PlatformReport& report, TimePoint now);
  std::vector<transport::RunnerLoadReport> runnerLoads();
  transport::ZoneLoad loadOf(const state_machine::ZoneDrain& drain) const;

  proxy::ProxyContext& context_;
  ZoneToRegion zones_;
  RequestRate rate_;
  TimePoint loadsReportedAt_{};
};
}  // namespace zinccleat::proxy_daemon
