/// @file
/// The usage reports of the fleet in the replicated state: what was, or is to be, sent to the platform for each window.
/// A report is committed before it is first sent, so whoever sends it sends the same.
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
  std::int64_t reporters = 0;  ///< the proxies whose counts are in it
  std::vector<TenantUsage> counts;
  /// Lists the fields in wire order.
  template <class V>
  void fields(V& v) {
    v("window", window), v("reporters", reporters), v("counts", counts);
  }
  bool operator==(const UsageReport&) const = default;
};

/// The reports of the newest windows. Known to controllers only.
class UsageReports {
 public:
  /// Windows that are remembered; an older one is never reported.
  static constexpr std::size_t kMaxTrackedWindows = 64;

  /// @return false: the window has a report already, or is too old to tell.
  bool commit(UsageReport report);
  /// The platform has the report of a window: its counts are forgotten.
  void confirm(std::int64_t window);
  bool contains(std::int64_t window) const { return windows_.contains(window); }
  bool empty() const { return windows_.empty(); }
  /// Whether a window without a report may still get one.
  bool mayCommit(std::int64_t window) const;
  /// The newest window up to which all have a report, from the oldest one that is remembered; 0: there is none.
  std::int64_t reportedThrough() const;
  /// The proxies whose counts are in the newest report before a window; 0: there is none.
  std::int64_t reportersBefore(std::int64_t window) const;
  /// Those that the platform is not known to have, the oldest first.
  const std::vector<UsageReport>& unconfirmed() const { return unconfirmed_; }
  /// The windows that have a report, with the number of its reporters.
  const std::map<std::int64_t, std::int64_t>& windows() const { return windows_; }
  /// Restores what was stored.
  void restore(std::map<std::int64_t, std::int64_t> windows, std::vector<UsageReport> unconfirmed);
  bool operator==(const UsageReports&) const = default;

 private:
  std::map<std::int64_t, std::int64_t> windows_;  // that have a report, with its reporters
  std::vector<UsageReport> unconfirmed_;          // by window
};
}  // namespace zinccleat::state_machine
