/// @file
/// Outlier detection: the leader decides from the proxies' reports on their attempts which runners all proxies should
/// avoid.
///
/// The state belongs to the leader's event-loop thread and is not replicated. Ejections expire by themselves, and a new
/// leader rebuilds the state from reports within a second. Performs no I/O and reads no clock: the time is passed in.
/// The rules and their figures are in docs/notes-outliers.md.
#pragma once
#include <set>

#include "state_machine/replicated_state.hpp"
#include "transport/lease_records.hpp"
namespace zinccleat::controller {
/// Evaluates runners by the reports of proxies; see the file comment.
class OutlierDetector {
 public:
  /// Adds the attempts that a proxy has made since its last report. Reports about unknown runners are counted and
  /// dropped.
  void report(TimePoint now, const std::string& proxy, const std::vector<transport::RunnerAttempts>& attempts);
  /// Ejects, probes and readmits runners according to the reports received.
  /// @param runners the runners in service or draining; reports about all other runners are dropped until the next
  /// call.
  void evaluate(TimePoint now, const std::vector<state_machine::Runner>& runners);
  /// Discards all state at the start of a leader's term.
  void startTerm(std::int64_t term);
  /// Returns the runners to avoid: at most a fifth of a service's runners, except that one of two to four may be
  /// ejected.
  const std::vector<transport::RunnerEjection>& ejections() const { return ejections_; }
  /// Returns a version that changes whenever `ejections` changes, including from one leader to the next; never 0.
  std::int64_t version() const { return version_; }
  /// Returns the number of reports dropped because their runner is unknown.
  std::uint64_t unknownRunnerReports() const { return unknownRunnerReports_; }

 private:
  enum class Health {
    healthy,
    ejected,    ///< receives no requests until the ejection ends
    probation,  ///< receives a few idempotent requests as probes
  };
  struct RunnerStats {
    double succeeded = 0, failed = 0;  ///< exponentially decayed numbers of attempts
    TimePoint decayedAt{};
    std::map<std::string, TimePoint> failureReporters;  ///< keyed by proxy: time of its newest report of a failure
    Health health = Health::healthy;
    TimePoint healthSince{}, healthUntil{};
    int ejectionCount = 0;  ///< number of consecutive ejections; each doubles the duration of the next one
  };
  struct ServiceTotals {
    std::size_t runners = 0, unhealthy = 0;
    double succeeded = 0, failed = 0;
  };
  using TotalsByService = std::map<std::string, ServiceTotals>;
  struct Suspect {
    std::string runner;
    double failureRate = 0;
    RunnerStats* stats = nullptr;
    ServiceTotals* service = nullptr;
  };
  static void decay(RunnerStats& stats, TimePoint now);
  /// Changes a runner's health; all changes are made here.
  static void setHealth(const std::string& runner, RunnerStats& stats, Health health, TimePoint now);
  static void updateHealth(const std::string& runner, RunnerStats& stats, TimePoint now);
  static bool isOutlier(const RunnerStats& stats, const ServiceTotals& service);
  RunnerStats* statsOf(const std::string& runner);
  TotalsByService updateStats(TimePoint now, const std::vector<state_machine::Runner>& runners);
  std::vector<Suspect> findSuspects(const std::vector<state_machine::Runner>& runners, TotalsByService& totals);
  static void eject(std::vector<Suspect> suspects, TimePoint now);
  void publish(const std::vector<state_machine::Runner>& runners);
  void forgetStats(TimePoint now);

  std::unordered_map<std::string, RunnerStats> stats_;  // keyed by runner id
  std::set<std::string> knownRunners_;
  std::vector<transport::RunnerEjection> ejections_;
  std::uint64_t unknownRunnerReports_ = 0;
  std::int64_t version_ = 1;
};
}  // namespace zinccleat::controller
