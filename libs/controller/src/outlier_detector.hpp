/// @file
/// Outlier detection: which runners all proxies had better avoid, judged by the leader from the attempts that proxies
/// report.
///
/// Soft state of the leader, owned by its event-loop thread: it is not replicated. Ejections expire by themselves, and
/// a new leader relearns them from reports within a second. Pure: the time is passed in. The rules and their figures:
/// docs/notes-outliers.md.
#pragma once
#include <set>

#include "state_machine/replicated_state.hpp"
#include "transport/lease_records.hpp"
namespace zinccleat::controller {
/// Judges runners by the reports of proxies; see the file's comment.
class OutlierDetector {
 public:
  /// Adds what a proxy has seen since its last report. Reports about unknown runners are counted and dropped.
  void report(TimePoint now, const std::string& proxy, const std::vector<transport::RunnerAttempts>& attempts);
  /// Ejects, probes and readmits runners by the reports so far.
  /// @param runners those in service or draining; all others are unknown until the next call.
  void evaluate(TimePoint now, const std::vector<state_machine::Runner>& runners);
  /// Forgets everything: a leader's term begins.
  void startTerm(std::int64_t term);
  /// The runners to avoid. At most a fifth of a service's runners, and one at least if it has two.
  const std::vector<transport::RunnerEjection>& ejections() const { return ejections_; }
  /// Changes with `ejections`, also from one leader to the next; never 0.
  std::int64_t version() const { return version_; }
  /// Reports declined so far because nobody knows the runner.
  std::uint64_t unknownRunnerReports() const { return unknownRunnerReports_; }

 private:
  enum class Health {
    healthy,
    ejected,    ///< gets no requests until its ejection ends
    probation,  ///< a few idempotent requests probe it
  };
  struct RunnerStats {
    double succeeded = 0, failed = 0;  ///< attempts, decayed exponentially
    TimePoint decayedAt{};
    std::map<std::string, TimePoint> failureReporters;  ///< proxy -> its newest report of a failure
    Health health = Health::healthy;
    TimePoint healthSince{}, healthUntil{};
    int ejectionCount = 0;  ///< consecutive ones; each doubles the next ejection's time
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
  /// The one place where a runner's health changes.
  static void setHealth(const std::string& runner, RunnerStats& stats, Health health, TimePoint now);
  static void updateHealth(const std::string& runner, RunnerStats& stats, TimePoint now);
  static bool isOutlier(const RunnerStats& stats, const ServiceTotals& service);
  RunnerStats* statsOf(const std::string& runner);
  TotalsByService updateStats(TimePoint now, const std::vector<state_machine::Runner>& runners);
  std::vector<Suspect> findSuspects(const std::vector<state_machine::Runner>& runners, TotalsByService& totals);
  static void eject(std::vector<Suspect> suspects, TimePoint now);
  void publish(const std::vector<state_machine::Runner>& runners);
  void forgetStats(TimePoint now);

  std::unordered_map<std::string, RunnerStats> stats_;  // by runner
  std::set<std::string> knownRunners_;
  std::vector<transport::RunnerEjection> ejections_;
  std::uint64_t unknownRunnerReports_ = 0;
  std::int64_t version_ = 1;
};
}  // namespace zinccleat::controller
