/// @file
/// Adds up the usage counts of all proxies at the leader, and decides when the report of a usage window can be
/// committed.
///
/// A window is ready once every proxy that may have served requests in it has declared its counts complete. If a small
/// share of the proxies is silent, the window waits for them for a short time. If more are silent, which indicates a
/// network partition, it waits longer.
///
/// Guarantee: each batch of a proxy is added once, no matter how often it arrives. The sums of a leader are discarded
/// at the end of its term, and the proxies send the next leader everything that has not been reported yet.
///
/// The state is not persisted; it belongs to the leader. Pure: the steady time is passed in.
#pragma once
#include "platform/usage_window.hpp"
#include "state_machine/usage_reports.hpp"
#include "transport/platform_records.hpp"
namespace zinccleat::platform {
/// Times that govern when a window is reported.
struct UsageTimes {
  Duration windowLength{0};  ///< 0: usage is not reported
  Duration delay{10000};     ///< a report is due this long after the end of its window
  Duration lease{4500};      ///< a proxy without contact for this long no longer serves requests
};

/// Collects usage counts; see the description at the top of this file.
class UsageCollector {
 public:
  explicit UsageCollector(UsageTimes times) : times_(times) {}
  /// A new term of the leader begins.
  void startTerm(TimePoint now);
  /// Adds the counts that a proxy has reported.
  /// @param machine the machine on which the proxy runs.
  /// @return the number of the last batch up to which all batches of this proxy have arrived.
  std::int64_t report(const std::string& machine, const transport::PlatformReport& report, TimePoint now);
  /// The reports to commit now, oldest first. Windows in `known` are already committed.
  /// @param fleetTime the true time.
  std::vector<state_machine::UsageReport> ready(const state_machine::UsageReports& known, FleetTime fleetTime,
                                                TimePoint now);
  /// Number of windows that were committed although some proxies had not completed their counts.
  std::uint64_t incompleteWindows() const { return incompleteWindows_; }

 private:
  struct Reporter {
    std::string machine;
    TimePoint heardAt{};
    std::int64_t received = 0;
    std::int64_t completeThrough = 0;
    bool superseded = false;  ///< a newer proxy process has started on the same machine
  };
  /// The proxies whose counts a window needs.
  struct Completeness {
    std::int64_t reporters = 0;  ///< proxies known to this leader that may have served requests in the window
    /// Proxies whose counts are still missing, including proxies that only an earlier leader knew.
    std::int64_t missing = 0;
  };
  void addCounts(const transport::UsageBatch& batch);
  Completeness completenessOf(std::int64_t window, const state_machine::UsageReports& known,
                              TimePoint windowBegan) const;
  bool mayCommit(const Completeness& completeness, Duration sinceEnd, TimePoint now) const;
  void discardBefore(std::int64_t before, TimePoint now);

  UsageTimes times_;
  TimePoint termStartedAt_{};
  std::optional<std::int64_t> firstWindow_;                      // the first window to report if no report is known
  std::unordered_map<std::int64_t, Reporter> reporters_;         // by incarnation
  std::unordered_map<std::string, std::int64_t> incarnationOf_;  // newest incarnation, by machine
  std::map<std::int64_t, std::map<std::string, std::int64_t>> counts_;  // by window and tenant
  std::uint64_t incompleteWindows_ = 0;
};
}  // namespace zinccleat::platform
