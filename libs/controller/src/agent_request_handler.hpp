/// @file
/// The leader's answers to access machines: leases, tokens of tenants' quotas and runners to avoid. Their requests also
/// report how busy the fleet is and how attempts at runners went.
///
/// Owns the soft state behind the answers (token buckets, outlier detection, reported load), which no other component
/// changes. On the event-loop thread.
#pragma once
#include "controller_context.hpp"
#include "outlier_detector.hpp"
#include "quota_allocator.hpp"
#include "rollout/rollout_tracker.hpp"
#include "transport/access_messages.hpp"
#include "warmup_allocator.hpp"
namespace zinccleat::controller {
/// What still runs in a zone or region that is being drained.
struct ZoneDrainProgress {
  double runnerRequests = 0;  ///< requests in flight at its runners
  double proxyRequests = 0;   ///< requests in flight at its proxies
  int reportingProxies = 0;   ///< proxies of the fleet that reported their load lately
};

/// Answers the requests of access machines; see the file's comment.
class AgentRequestHandler {
 public:
  /// @param context must outlive this; its settings bound the quota.
  explicit AgentRequestHandler(const ControllerContext& context);
  /// This controller has become the leader: what was learned in an earlier term is dropped.
  void startTerm(TimePoint now);
  /// Has outlier detection judge the runners again. For the leader, several times a second.
  void evaluateRunners(TimePoint now);
  /// Keeps track of the rollouts of the replica; for every controller, several times a second.
  void followRollouts(TimePoint now) { rollouts_.follow(now, context_.replica.state()); }
  /// Keeps track of the runners that are warming up; for every controller, several times a second.
  void followWarmups(TimePoint now) { warmups_.follow(now, context_.replica.state(), context_.configuration.get()); }
  /// Whether a heartbeat says of its runner's warm-up what is not known.
  bool changesWarmup(TimePoint now, const state_machine::Runner& reported) const {
    return warmups_.isChangedBy(now, reported);
  }
  /// The records of rollouts that the leader is to write to the log now.
  std::vector<state_machine::Rollout> decideRollouts(TimePoint now) {
    return rollouts_.decide(now, context_.replica.state(), outliers_.ejections());
  }
  /// Forgets access machines that have not asked for long. To be called each second.
  void expireSilentMachines(TimePoint now);
  /// A lease is granted by a leader with a valid lease of its own; every answer tells how far the log is committed.
  transport::LeaseResponse onLeaseRequest(TimePoint now, const std::string& agent,
                                          const transport::LeaseRequest& request);
  /// Tokens for requests that wait right now; granted by a leader with a valid lease.
  transport::QuotaTokenResponse onQuotaTokenRequest(TimePoint now, const transport::QuotaTokenRequest& request);

  /// Requests a second of all proxies that reported lately.
  double requestsPerS(TimePoint now) const;
  /// @param zone a zone or region.
  ZoneDrainProgress drainProgressOf(const std::string& zone, TimePoint now) const;
  /// For reports.
  const OutlierDetector& outliers() const { return outliers_; }

 private:
  struct ReportedLoad {
    std::vector<transport::ZoneLoad> zones;
    TimePoint reportedAt;
  };
  const ControllerContext& context_;
  QuotaAllocator quota_;
  OutlierDetector outliers_;
  rollout::RolloutTracker rollouts_;
  WarmupAllocator warmups_;
  std::map<std::string, ReportedLoad> loads_;  // by agent
  std::int64_t accessMachines_ = 0;            // that asked for a lease lately
};
}  // namespace zinccleat::controller
