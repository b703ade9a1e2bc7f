/// @file
/// The records in lease messages for the platform functions that the fleet uses: request counts for usage reports, and
/// load reports from which the number of runners to order is computed. Sent only if the settings list such functions.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::transport {
/// The number of requests of one tenant that runners began to process in one usage window.
struct UsageCount {
  std::int64_t window = 0;  ///< number of the window, see `platform::windowOf`
  std::string tenant;
  std::int64_t requests = 0;
  /// Lists the fields in wire order.
  template <class Visitor>
  void fields(Visitor& v) {
    v("window", window), v("tenant", tenant), v("requests", requests);
  }
  bool operator==(const UsageCount&) const = default;
};
/// The usage that one proxy counted between two reports. The proxy repeats a batch until the leader has received it.
struct UsageBatch {
  std::int64_t number = 0;           ///< consecutive number, starting at 1 when the proxy process starts
  std::int64_t completeThrough = 0;  ///< batches up to this one contain all usage of the windows up to this number
  std::vector<UsageCount> counts;
  /// Lists the fields in wire order.
  template <class Visitor>
  void fields(Visitor& v) {
    v("number", number), v("completeThrough", completeThrough), v("counts", counts);
  }
};
/// The load of the runners of one service in one zone that one proxy causes.
struct RunnerLoadReport {
  std::string service;
  std::string zone;
  std::int32_t inFlight = 0;    ///< attempts in progress
  std::int32_t prefilling = 0;  ///< attempts in progress for which the runner has not begun to respond
  std::int32_t turnedAway = 0;  ///< requests since the last report for which no runner was available; `zone` is empty
  /// Lists the fields in wire order.
  template <class Visitor>
  void fields(Visitor& v) {
    v("service", service), v("zone", zone), v("inFlight", inFlight), v("prefilling", prefilling);
    v("turnedAway", turnedAway);
  }
};
/// A proxy's usage and load reports to the leader, for the platform's functions.
struct PlatformReport {
  std::int64_t incarnation = 0;  ///< chosen at each start of the proxy; 0: the report is empty
  std::int64_t timeOfDayMs = 0;  ///< the proxy's wall-clock time since 1970
  std::int64_t firstBatch = 0;   ///< the oldest batch that the proxy retains; earlier batches will not be sent
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
/// The leader's response to a `PlatformReport`.
struct PlatformReportAnswer {
  std::int64_t fleetTimeMs = 0;      ///< wall-clock time since 1970 according to the majority; 0: unknown
  std::int64_t receivedBatch = 0;    ///< the leader has received all batches of the proxy up to this one
  std::int64_t reportedThrough = 0;  ///< the reports of all windows up to this one are committed
  bool empty() const { return fleetTimeMs == 0 && receivedBatch == 0 && reportedThrough == 0; }
  /// Lists the fields in wire order.
  template <class Visitor>
  void fields(Visitor& v) {
    v("fleetTimeMs", fleetTimeMs), v("receivedBatch", receivedBatch), v("reportedThrough", reportedThrough);
  }
};
}  // namespace zinccleat::transport
