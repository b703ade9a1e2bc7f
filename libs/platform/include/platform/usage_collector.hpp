/// @file
/// Adds up, at the leader, what the proxies have counted, and decides when the report of a window can be committed.
///
/// A window is ready once every proxy that may have served in it has said that its counts are complete. One that is
/// silent is waited for: a short time if fewMissing are, and longer if many are, which is what a partition looks like.
///
/// Guarantee: each batch of a proxy is added once, however often it arrives. What a leader has added up ends with its
/// term: the proxies send the next one everything that is not reported yet.
///
/// Soft state of the leader. Pure: the steady time is passed in.
#pragma once
#include "platform/usage_window.hpp"
#include "state_machine/usage_reports.hpp"
#include "transport/platform_records.hpp"
namespace zinccleat::platform {
/// How long a window's report waits for proxies.
struct UsageTimes {
  Duration windowLength{0};  ///< 0: nothing is reported
  Duration delay{10000};     ///< a report is due so long after the end of its window
  Duration lease{4500};      ///< a proxy that is silent for so long serves nothing
};

/// See the file's comment.
class UsageCollector {
 public:
  explicit UsageCollector(UsageTimes times) : times_(times) {}
  /// A leader's term begins.
  void startTerm(TimePoint now);
  /// Takes over what a proxy has counted.
  /// @param machine that the proxy runs on.
  /// @return the newest batch up to which everything of this proxy is here.
  std::int64_t report(const std::string& machine, const transport::PlatformReport& report, TimePoint now);
  /// The reports to be committed now, the oldest first; those of windows in `known` are committed already.
  /// @param fleetTime true time.
  std::vector<state_machine::UsageReport> ready(const state_machine::UsageReports& known, FleetTime fleetTime,
                                                TimePoint now);
  /// Windows that were committed although proxies were silent.
  std::uint64_t incompleteWindows() const { return incompleteWindows_; }

 private:
  struct Reporter {
    std::string machine;
    TimePoint heardAt{};
    std::int64_t received = 0;
    std::int64_t completeThrough = 0;
    bool superseded = false;  ///< another proxy has started on its machine
  };
  /// Who a window waits for.
  struct Completeness {
    std::int64_t reporters = 0;  ///< that were heard and may have served in the window
    std::int64_t missing = 0;    ///< of those, and of those that an earlier leader knew, the ones it waits for
  };
  void addCounts(const transport::UsageBatch& batch);
  Completeness completenessOf(std::int64_t window, const state_machine::UsageReports& known,
                              TimePoint windowBegan) const;
  bool mayCommit(const Completeness& completeness, Duration sinceEnd, TimePoint now) const;
  void discardBefore(std::int64_t before, TimePoint now);

  UsageTimes times_;
  TimePoint termStartedAt_{};
  std::optional<std::int64_t> firstWindow_;                             // where no report is known, reports begin here
  std::unordered_map<std::int64_t, Reporter> reporters_;                // by incarnation
  std::unordered_map<std::string, std::int64_t> incarnationOf_;         // by machine, the newest
  std::map<std::int64_t, std::map<std::string, std::int64_t>> counts_;  // by window and tenant
  std::uint64_t incompleteWindows_ = 0;
};
}  // namespace zinccleat::platform
