/// @file
/// The usage reports of the fleet in the replicated state: for each window, the report that was sent or will be sent to
/// the platform. A report is committed before it is first sent, so that a new leader that sends it again sends the same
/// report.
#pragma once
#include "runtime/common.hpp"

namespace zinccleat::state_machine {
/// The requests of one tenant in a window.
struct TenantUsage {
  std::string tenant;
  std::int64_t requests = 0;
  /// Lists the fields in wire order.
  template <class V>
  void fields(V& v) {
    v("tenant", tenant), v("requests", requests);
  }
  bool operator==(const TenantUsage&) const = default;
};
/// The report of one window.
struct UsageReport {
  std::int64_t window = 0;
  std::int64_t reporters = 0;  ///< number of proxies whose counts the report contains
  std::vector<TenantUsage> counts;
  /// Lists the fields in wire order.
  template <class V>
  void fields(V& v) {
    v("window", window), v("reporters", reporters), v("counts", counts);
  }
  bool operator==(const UsageReport&) const = default;
};

/// The reports of the newest windows. Replicated to controllers only.
class UsageReports {
 public:
  /// Maximum number of windows in the table. If the table is full, a window older than all of its windows can no longer
  /// be reported.
  static constexpr std::size_t kMaxTrackedWindows = 64;

  /// Adds the report of a window.
  /// @return false if the window already has a report, or is too old for the table to contain its report.
  bool commit(UsageReport report);
  /// Records that the platform has received the report of a window, and deletes the report's counts.
  void confirm(std::int64_t window);
  bool contains(std::int64_t window) const { return windows_.contains(window); }
  bool empty() const { return windows_.empty(); }
  /// Whether a report of this window would be accepted.
  bool mayCommit(std::int64_t window) const;
  /// The last window of the gapless sequence of reported windows that begins with the oldest window in the table; 0 if
  /// the table is empty.
  std::int64_t reportedThrough() const;
  /// The number of reporters of the newest report before a window; 0 if there is no such report.
  std::int64_t reportersBefore(std::int64_t window) const;
  /// The reports that the platform has not confirmed, the oldest first.
  const std::vector<UsageReport>& unconfirmed() const { return unconfirmed_; }
  /// The windows that have a report, each with the number of its reporters.
  const std::map<std::int64_t, std::int64_t>& windows() const { return windows_; }
  /// Replaces the contents by those of a snapshot.
  void restore(std::map<std::int64_t, std::int64_t> windows, std::vector<UsageReport> unconfirmed);
  bool operator==(const UsageReports&) const = default;

 private:
  std::map<std::int64_t, std::int64_t> windows_;  // number of reporters by reported window
  std::vector<UsageReport> unconfirmed_;          // in ascending order of window
};
}  // namespace zinccleat::state_machine
