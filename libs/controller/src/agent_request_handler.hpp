/// @file
/// Handles the requests that access machines send to the leader: leases, quota tokens and the list of ejected runners.
/// The requests also carry the load of each proxy and the outcomes of its attempts at runners.
///
/// Owns the state behind the answers (token buckets, outlier detection, reported load). This state is not replicated,
/// and no other component changes it. Runs on the event-loop thread.
#pragma once
#include "controller_context.hpp"
#include "outlier_detector.hpp"
#include "quota_allocator.hpp"
#include "rollout/rollout_tracker.hpp"
#include "transport/access_messages.hpp"
#include "warmup_allocator.hpp"
namespace zinccleat::controller {
/// Remaining load in a zone or region that is being drained.
struct ZoneDrainProgress {
  double runnerRequests = 0;  ///< requests in flight at the runners of the zone
  double proxyRequests = 0;   ///< requests in flight at the proxies of the zone
  int reportingProxies = 0;   ///< proxies of the whole fleet with a recent load report
};

/// Handles the requests of access machines; see the file comment.
class AgentRequestHandler {
 public:
  /// @param context must outlive this object; its settings set the quota bounds.
  explicit AgentRequestHandler(const ControllerContext& context);
  /// Called when this controller becomes the leader. Discards the state of any earlier term.
  void startTerm(TimePoint now);
  /// Re-evaluates which runners are outliers. Called several times a second on the leader.
  void evaluateRunners(TimePoint now);
  /// Updates the tracked rollouts from the replica. Called several times a second on every controller.
  void followRollouts(TimePoint now) { rollouts_.follow(now, context_.replica.state()); }
  /// Updates the tracked warm-ups from the replica. Called several times a second on every controller.
  void followWarmups(TimePoint now) { warmups_.follow(now, context_.replica.state(), context_.configuration.get()); }
  /// Whether a heartbeat carries warm-up information that differs from the tracked state.
  bool changesWarmup(TimePoint now, const state_machine::Runner& reported) const {
    return warmups_.isChangedBy(now, reported);
  }
  /// Returns the rollout records that the leader must append to the log now.
  std::vector<state_machine::Rollout> decideRollouts(TimePoint now) {
    return rollouts_.decide(now, context_.replica.state(), outliers_.ejections());
  }
  /// Removes access machines that have sent no request for a long time. Called once a second.
  void expireSilentMachines(TimePoint now);
  /// Handles a lease request. A lease is granted only by a leader that holds a valid lease of its own. Every response
  /// carries the commit index.
  transport::LeaseResponse onLeaseRequest(TimePoint now, const std::string& agent,
                                          const transport::LeaseRequest& request);
  /// Grants quota tokens for requests that are waiting at a proxy. Only a leader with a valid lease grants tokens.
  transport::QuotaTokenResponse onQuotaTokenRequest(TimePoint now, const transport::QuotaTokenRequest& request);

  /// Total request rate of all proxies with a recent load report.
  double requestsPerS(TimePoint now) const;
  /// @param zone name of a zone or region.
  ZoneDrainProgress drainProgressOf(const std::string& zone, TimePoint now) const;
  /// Read access for status reports.
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
  std::map<std::string, ReportedLoad> loads_;  // keyed by agent id
  std::int64_t accessMachines_ = 0;            // access machines with a recent lease request
};
}  // namespace zinccleat::controller
