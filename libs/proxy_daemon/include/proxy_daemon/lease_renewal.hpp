/// Decides until when a proxy may serve requests. Pure: the current time is passed in.
///
/// A lease confirms that the proxy's state was the newest when the leader answered the lease request. It starts when
/// the proxy sends its request, so the clocks of proxy and leader need not agree. The proxy may use the lease only
/// after its replica has applied all entries that were committed when the leader answered. Source: Gray and Cheriton,
/// "Leases: an efficient fault-tolerant mechanism for distributed file cache consistency" (SOSP 1989).
///
/// The lease duration limits for how long a proxy may serve without knowing of a committed entry. A shorter limit
/// applies to entries that the proxy knows to be committed but has not applied (`LeaseRenewal::maxLag`): drains and
/// configurations must take effect on a connected machine before a lease would expire (`Timers::drain`,
/// `Timers::configApply`).
#pragma once
#include "agent/replica_lag.hpp"
#include "config/settings.hpp"
#include "proxy_daemon/pending_requests.hpp"
#include "transport/access_messages.hpp"
namespace zinccleat::proxy_daemon {
/// Tracks the lease requests of one proxy, the lease granted last and the lag of the proxy's replica.
class LeaseRenewal {
 public:
  /// A response that grants the lease.
  struct Granted {
    TimePoint requestedAt;
    bool isNewestRequest = false;  ///< the response is to the newest request
  };
  /// Returns the duration of a lease under these settings. A key revocation that is acknowledged after a lease request
  /// was sent must apply to client requests that are sent `Timers::revoke` later. A client request is checked after its
  /// arrival, so the duration needs no margin for requests in progress. The duration is shorter than `Timers::revoke`
  /// by a tenth, because this machine's clock may run slower than true time by up to a tenth.
  static Duration leaseDuration(const config::Timers& timers);
  /// Time between two lease requests.
  static constexpr Duration kInterval{400};
  /// Returns for how long a proxy continues to serve after it has learned that its replica lacks a committed entry. The
  /// time is counted from the lease request whose response reported the entry. The entry may have been committed and
  /// acknowledged up to one renewal interval before that request.
  static Duration maxLag(const config::Timers& timers);

  /// @param previousId the first lease request gets the id after this one.
  LeaseRenewal(Duration leaseDuration, Duration maxLag, std::int64_t previousId)
      : leaseDuration_(leaseDuration), maxLag_(maxLag), pending_(previousId) {}
  /// Starts a lease request.
  /// @return the id of the request.
  std::int64_t start(TimePoint now) { return pending_.start(now); }
  /// Processes a lease response.
  /// @return none if the response grants no lease or its request is not pending.
  std::optional<Granted> accept(const transport::LeaseResponse& response);
  /// Returns the expiry of the lease that may be used by a replica that has applied all entries up to `lastApplied`;
  /// none if no lease may be used.
  std::optional<TimePoint> usableUntil(std::int64_t lastApplied) const;
  /// Returns until when the proxy may serve if its replica has applied all entries up to `lastApplied` and lacks
  /// entries that are known to be committed; `TimePoint::max()` if no entry is known to be missing.
  TimePoint freshUntil(std::int64_t lastApplied);
  /// Index of the entry that must be applied before the lease with the latest expiry may be used.
  std::int64_t requiredIndex() const { return requiredIndex_; }

 private:
  Duration leaseDuration_;
  Duration maxLag_;
  agent::ReplicaLag lag_;
  PendingRequests pending_;
  TimePoint grantedUntil_{};        // expiry of the granted lease that expires last
  std::int64_t requiredIndex_ = 0;  // must be applied before the lease until `grantedUntil_` may be used
};
}  // namespace zinccleat::proxy_daemon
