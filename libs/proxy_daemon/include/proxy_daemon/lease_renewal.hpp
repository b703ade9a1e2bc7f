/// Until when a proxy may serve. Pure: the present time is passed in.
///
/// A lease says that the proxy's configuration was the newest when the leader answered. It lasts from the moment of the
/// proxy's own request, so clocks need not agree, and it may be used only once everything is applied here that was
/// committed when the leader answered. Source: Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for
/// distributed file cache consistency" (SOSP 1989).
///
/// A lease bounds what a proxy may not know yet. What it does know to be missing is bounded more tightly: entries that
/// the leader has committed bind a machine that is in touch sooner than a lease ends (`Timers::drain`,
/// `Timers::configApply`).
#pragma once
#include "agent/replica_lag.hpp"
#include "config/settings.hpp"
#include "proxy_daemon/pending_requests.hpp"
#include "transport/access_messages.hpp"
namespace zinccleat::proxy_daemon {
class LeaseRenewal {
 public:
  /// A response that grants the lease.
  struct Granted {
    TimePoint requestedAt;
    bool newestRequest = false;  ///< the response is to the newest request
  };
  /// How long a lease lasts under these settings. A revocation that is acknowledged after the request for a lease must
  /// bind requests that are sent `Timers::revoke` later; each request is checked after it has arrived, so it needs no
  /// margin for what is in progress. The margin, a tenth, is for this machine's clock: it may run slower by so much.
  static Duration leaseDuration(const config::Timers& timers);
  /// Time between two renewals.
  static constexpr Duration kInterval{400};
  /// For how long a proxy serves on although it knows that its replica lacks an entry. Counted from the request whose
  /// answer told of the entry; it may have been committed and acknowledged up to one renewal before that.
  static Duration maxLag(const config::Timers& timers);

  /// @param previousId see `PendingRequests`.
  LeaseRenewal(Duration leaseDuration, Duration maxLag, std::int64_t previousId)
      : leaseDuration_(leaseDuration), maxLag_(maxLag), pending_(previousId) {}
  /// Begins a renewal.
  /// @return the id of its request.
  std::int64_t start(TimePoint now) { return pending_.start(now); }
  /// Takes over a response.
  /// @return none if it grants nothing, or answers no pending request.
  std::optional<Granted> accept(const transport::LeaseResponse& response);
  /// When the lease ends that may be used once entries up to `lastApplied` are applied; none if none may.
  std::optional<TimePoint> usableUntil(std::int64_t lastApplied) const;
  /// Until when the proxy may serve although entries are missing that it knows to be committed, once entries up to
  /// `lastApplied` are applied; `TimePoint::max()` if nothing is known to be missing.
  TimePoint freshUntil(std::int64_t lastApplied);
  /// The entry that must be applied before the newest grant may be used.
  std::int64_t requiredIndex() const { return requiredIndex_; }

 private:
  Duration leaseDuration_;
  Duration maxLag_;
  agent::ReplicaLag lag_;
  PendingRequests pending_;
  TimePoint grantedUntil_{};        // of the grant that lasts longest
  std::int64_t requiredIndex_ = 0;  // must be applied before that grant may be used
};
}  // namespace zinccleat::proxy_daemon
