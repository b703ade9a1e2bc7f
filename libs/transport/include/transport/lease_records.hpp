/// @file
/// The records that lease and quota-token messages carry between access machines and the leader.
///
/// Each is one string and two doubles on the wire, in the order of its members. A member called `unused` is written as
/// it stands and never read: the format has a place for it.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::transport {
/// What an access machine needs of one tenant's quota.
struct QuotaDemand {
  std::string tenant;
  double requestsPerS = 0;     ///< Steady demand, for which a local reserve is wanted; 0: no reserve.
  double waitingRequests = 0;  ///< Requests that wait for a token right now.
  template <class Visitor>
  void fields(Visitor& v) {
    v("tenant", tenant), v("requestsPerS", requestsPerS), v("waitingRequests", waitingRequests);
  }
};
/// Tokens of one tenant in an access machine's local reserve.
struct QuotaHolding {
  std::string tenant;
  double tokens = 0;
  double unused = 0;
  template <class Visitor>
  void fields(Visitor& v) {
    v("tenant", tenant), v("tokens", tokens), v("unused", unused);
  }
};
/// Tokens of one tenant's quota, granted by the leader.
struct QuotaGrant {
  std::string tenant;
  double tokens = 0;
  double secondsUntilMore = 0;  ///< Until the leader expects to have another token.
  template <class Visitor>
  void fields(Visitor& v) {
    v("tenant", tenant), v("tokens", tokens), v("secondsUntilMore", secondsUntilMore);
  }
};
/// The load of one zone or region that is being drained, as one proxy sees it.
struct ZoneLoad {
  std::string zone;           ///< Empty: the proxy itself; then `runnerRequests` is its requests a second.
  double runnerRequests = 0;  ///< This proxy's requests in flight at runners of the zone.
  double proxyRequests = 0;   ///< Requests in flight at this proxy, if it is in the zone; else 0.
  template <class Visitor>
  void fields(Visitor& v) {
    v("zone", zone), v("runnerRequests", runnerRequests), v("proxyRequests", proxyRequests);
  }
};
/// Results of one proxy's attempts at a runner since its last report.
struct RunnerAttempts {
  std::string runner;
  double succeeded = 0;
  double failed = 0;  ///< Failures; an attempt that was only slow counts in part.
  template <class Visitor>
  void fields(Visitor& v) {
    v("runner", runner), v("succeeded", succeeded), v("failed", failed);
  }
};
/// How far all proxies are to avoid a runner.
struct RunnerEjection {
  std::string runner;
  double level = 0;  ///< 1: it gets no requests. Below 1: a few idempotent requests probe it. Not listed: 0.
  double unused = 0;
  template <class Visitor>
  void fields(Visitor& v) {
    v("runner", runner), v("level", level), v("unused", unused);
  }
};
}  // namespace zinccleat::transport
