/// What the leader answers access machines: leases, shares of tenants' quotas, runners to leave alone. And what it
/// learns from their questions: how busy the fleet is, and how attempts at runners went.
#pragma once
#include "core_context.hpp"
#include "outliers.hpp"
#include "quota.hpp"
#include "transport/access_messages.hpp"
namespace zinccleat::controller {
class AgentRequestHandler {
 public:
  explicit AgentRequestHandler(const CoreContext& core);
  void noOp(TimePoint now);
  /// Weighs anew what was told of runners. For the leader, some times a second.
  void evaluateRunners(TimePoint now);
  /// Once a second: who was not heard for long is counted no more.
  void sweep(TimePoint now);
  transport::LeaseResponse onLeaseQuestion(TimePoint now, const std::string& agent,
                                           const transport::LeaseRequest& requestId);
  transport::QuotaTokenResponse onDraw(TimePoint now, const transport::QuotaTokenRequest& draw);

  /// Requests a second over all proxies heard from lately.
  double requestsPerS(TimePoint now) const;
  /// What still runs in a place that closes.
  struct Progress {
    double atItsRunners = 0, atItsProxies = 0;
    int nodesHeard = 0;
  };
  Progress progressOf(const std::string& name, TimePoint now) const;
  const OutlierDetector& outliers() const { return outliers_; }

 private:
  struct Load {
    std::vector<transport::ZoneLoad> places;
    TimePoint at;
  };
  const CoreContext& core_;
  QuotaAllocator quota_;
  OutlierDetector outliers_;
  std::map<std::string, Load> loads_;  // by agent
  std::int64_t nodesHeard_ = 0;        // access machines that asked for a lease lately
};
}  // namespace zinccleat::controller
