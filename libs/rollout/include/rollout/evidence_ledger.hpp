/// @file
/// What all proxies have seen of the two revisions of one rollout. Pure: the time is passed in.
///
/// Answers of the candidate are kept by runner, so that a fault of the version, which all its runners have, can be told
/// from a fault of single runners. An attempt whose answer broke off counts against the candidate only once its runner
/// has answered something later: a runner that crashed has not, and a crash says nothing of the version.
#pragma once
#include "rollout/sequential_test.hpp"
#include "state_machine/rollout.hpp"
#include "transport/rollout_records.hpp"
namespace zinccleat::rollout {
/// What is wrong with a candidate.
struct Fault {
  std::string route;  ///< label; empty: all routes together
  bool slow = false;  ///< its answers are slow; else they fail
  BadCount candidate;
};

class EvidenceLedger {
 public:
  /// Begins with what an earlier leader had gathered.
  explicit EvidenceLedger(const std::vector<state_machine::RouteEvidence>& carriedOver = {});
  /// Adds one proxy's counts since its last report.
  /// @param previousReport when that was; none: this is its first, whose answers may be of any age
  void report(TimePoint now, std::optional<TimePoint> previousReport,
              const std::vector<transport::RevisionAnswers>& answers);
  /// The first fault of the candidate that the evidence proves; none: none is proven.
  std::optional<Fault> findFault() const;
  /// Whether there is a suspicion that is not proven: no more requests are to be risked than needed to decide.
  bool isSuspicious() const;
  /// Whether the answers clear the candidate of a faint fault, and of a larger one on each usual route.
  bool isCleared() const;
  /// Answers of the candidate up to now.
  double candidateAnswers() const;
  /// Bad answers of the candidate up to now, interrupted ones included.
  double candidateBadAnswers() const;
  /// All counts, for the log; interrupted attempts that count are among the failed ones.
  std::vector<state_machine::RouteEvidence> summary() const;

 private:
  /// Counts of one revision on one route.
  struct Answers {
    double answered = 0;
    double failed = 0;
    double slow = 0;
    Answers& operator+=(const Answers& other);
    BadCount failures() const { return {failed, answered}; }
    BadCount slowness() const { return {slow, answered}; }
  };
  /// An interruption that may have been a crash of its runner.
  struct Interruption {
    std::string route;
    double count = 0;
    TimePoint reportedAt{};
  };
  struct CandidateRunner {
    std::map<std::string, Answers> byRoute;
    std::vector<Interruption> interruptions;
    Answers total() const;
  };
  using ByRoute = std::map<std::string, Answers>;

  static void confirmInterruptions(CandidateRunner& runner, TimePoint answeredAfter);
  /// The runners that are left when those with most bad answers are left out.
  std::vector<const CandidateRunner*> withoutOutliers() const;
  ByRoute candidateByRoute(const std::vector<const CandidateRunner*>& runners) const;
  std::vector<const CandidateRunner*> allRunners() const;
  std::optional<Fault> findFaultAmong(const std::vector<const CandidateRunner*>& runners, double threshold) const;
  Answers baselineOf(const std::string& route) const;

  ByRoute baseline_;
  ByRoute carriedOver_;                               ///< of the candidate, by runners that are not known any more
  std::map<std::string, CandidateRunner> candidate_;  ///< by runner
};
}  // namespace zinccleat::rollout
