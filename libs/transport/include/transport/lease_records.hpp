/// @file
/// The records in the lease and quota-token messages between access machines and the leader.
///
/// Each record is encoded as one string and two doubles, in the order of its members. A member called `unused` fills a
/// place in the wire format: it is encoded, but its value is never used.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::transport {
/// The demand of an access machine for one tenant's quota.
struct QuotaDemand {
  std::string tenant;
  double requestsPerS = 0;     ///< Steady demand, for which the machine requests a local reserve; 0: no reserve.
  double waitingRequests = 0;  ///< Requests that are currently waiting for a token.
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
  double secondsUntilMore = 0;  ///< Time until the leader expects to have another token.
  template <class Visitor>
  void fields(Visitor& v) {
    v("tenant", tenant), v("tokens", tokens), v("secondsUntilMore", secondsUntilMore);
  }
};
/// The load of one zone or region that is being drained, as measured by one proxy.
struct ZoneLoad {
  std::string zone;           ///< Empty: the record is about the proxy, and `runnerRequests` is its requests a second.
  double runnerRequests = 0;  ///< This proxy's requests in flight at runners of the zone.
  double proxyRequests = 0;   ///< Requests in flight at this proxy, if it is in the zone; else 0.
  template <class Visitor>
  void fields(Visitor& v) {
    v("zone", zone), v("runnerRequests", runnerRequests), v("proxyRequests", proxyRequests);
  }
};
/// Results of one proxy's attempts at a runner since the proxy's last report.
struct RunnerAttempts {
  std::string runner;
  double succeeded = 0;
  double failed = 0;  ///< Failed attempts. A slow but successful attempt counts as a fraction of a failure.
  template <class Visitor>
  void fields(Visitor& v) {
    v("runner", runner), v("succeeded", succeeded), v("failed", failed);
  }
};
/// The degree to which all proxies avoid a runner.
struct RunnerEjection {
  std::string runner;
  double level = 0;  ///< 1: no requests. Below 1: only a few idempotent requests as probes. 0 for unlisted runners.
  double unused = 0;
  template <class Visitor>
  void fields(Visitor& v) {
    v("runner", runner), v("level", level), v("unused", unused);
  }
};
}  // namespace zinccleat::transport
