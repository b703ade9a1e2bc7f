/// @file
/// The records that lease messages carry for the functions that the fleet has at its platform: what proxies count for
/// usage reports, and the load that runners are ordered by. Sent only where the settings name such functions.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::transport {
/// Requests of one tenant that runners began in one window of usage.
struct UsageCount {
  std::int64_t window = 0;  ///< see `platform::windowOf`
  std::string tenant;
  std::int64_t requests = 0;
  /// Lists the fields in wire order.
  template <class Visitor>
  void fields(Visitor& v) {
    v("window", window), v("tenant", tenant), v("requests", requests);
  }
  bool operator==(const UsageCount&) const = default;
};
/// What one proxy has counted between two of its reports. Sent again until the leader has it.
struct UsageBatch {
  std::int64_t number = 0;           ///< counted from 1 in each life of the proxy
  std::int64_t completeThrough = 0;  ///< the batches up to this one hold all of the windows up to here
  std::vector<UsageCount> counts;
  /// Lists the fields in wire order.
  template <class Visitor>
  void fields(Visitor& v) {
    v("number", number), v("completeThrough", completeThrough), v("counts", counts);
  }
};
/// One proxy's load at the runners of one service in one zone.
struct RunnerLoadReport {
  std::string service;
  std::string zone;
  std::int32_t inFlight = 0;    ///< attempts that have not ended
  std::int32_t prefilling = 0;  ///< of those, the ones whose runner has not begun to respond
  std::int32_t turnedAway = 0;  ///< requests for the service that found no runner since the last report; zone is empty
  /// Lists the fields in wire order.
  template <class Visitor>
  void fields(Visitor& v) {
    v("service", service), v("zone", zone), v("inFlight", inFlight), v("prefilling", prefilling);
    v("turnedAway", turnedAway);
  }
};
/// What a proxy tells the leader for the platform's functions.
struct PlatformReport {
  std::int64_t incarnation = 0;  ///< drawn at each start of the proxy; 0: the proxy has nothing to tell
  std::int64_t timeOfDayMs = 0;  ///< the proxy's own, since 1970
  std::int64_t firstBatch = 0;   ///< the oldest batch that it keeps; earlier ones will not come
  std::vector<UsageBatch> batches;
  std::vector<RunnerLoadReport> loads;  ///< empty in most messages
  bool empty() const { return incarnation == 0; }
  /// Lists the fields in wire order.
  template <class Visitor>
  void fields(Visitor& v) {
    v("incarnation", incarnation), v("timeOfDayMs", timeOfDayMs), v("firstBatch", firstBatch);
    v("batches", batches), v("loads", loads);
  }
};
/// The leader's answer to a `PlatformReport`.
struct PlatformReportAnswer {
  std::int64_t fleetTimeMs = 0;      ///< true time since 1970 as the majority has it; 0: not known yet
  std::int64_t receivedBatch = 0;    ///< all batches of the proxy up to this one are here
  std::int64_t reportedThrough = 0;  ///< the reports of all windows up to this one are committed
  bool empty() const { return fleetTimeMs == 0 && receivedBatch == 0 && reportedThrough == 0; }
  /// Lists the fields in wire order.
  template <class Visitor>
  void fields(Visitor& v) {
    v("fleetTimeMs", fleetTimeMs), v("receivedBatch", receivedBatch), v("reportedThrough", reportedThrough);
  }
};
}  // namespace zinccleat::transport
