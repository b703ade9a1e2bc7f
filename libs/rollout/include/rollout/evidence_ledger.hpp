/// @file
/// The answers of both revisions of one rollout, as observed by all proxies, and the statistical decision whether the
/// candidate is faulty. Deterministic: the time is passed in.
///
/// Answers are compared by stratum, which is a route and the load class of the runner. A revision that fails only under
/// load shows no fault on idle runners, and a busy runner is slower than an idle one whatever its revision.
///
/// Answers of the candidate are counted by runner, to distinguish a fault of the revision, which all its runners have,
/// from a fault of single runners. Runners with a fault of their own are excluded, see `runner_outliers.hpp`. If a
/// larger fraction of the candidate's runners than of the baseline's is faulty, the revision is considered faulty as
/// well. An attempt whose answer was interrupted counts against the candidate only after its runner has answered a
/// later request: a crashed runner does not answer again, and a crash is no evidence against the revision.
#pragma once
#include <set>

#include "rollout/sequential_test.hpp"
#include "rollout/stratum.hpp"
#include "state_machine/rollout.hpp"
#include "transport/rollout_records.hpp"
namespace zinccleat::rollout {
/// A fault of a candidate.
struct Fault {
  enum class Kind : std::uint8_t {
    failedAnswers,
    slowAnswers,
    faultyRunners,  ///< a larger fraction of the candidate's runners than of the baseline's is faulty
  };
  std::string stratum;  ///< see `stratumOf`; empty: all strata together
  Kind kind = Kind::failedAnswers;
  BadCount candidate;  ///< bad answers of all answers; for `faultyRunners`, faulty runners of all runners
};

/// Collects the answers of one rollout and tests them for a fault of the candidate.
class EvidenceLedger {
 public:
  /// @param carriedOver the counts that an earlier leader collected, from the log.
  explicit EvidenceLedger(const std::vector<state_machine::RouteEvidence>& carriedOver = {});
  /// Adds the counts of one proxy since the proxy's previous report.
  /// @param previousReport time of the previous report; none for the first report of the proxy, whose answers may be of
  ///        any age.
  void report(TimePoint now, std::optional<TimePoint> previousReport,
              const std::vector<transport::RevisionAnswers>& answers);
  /// Sets the fraction of the baseline's runners that outlier detection has ejected from all proxies. Ejected runners
  /// answer few requests, so the baseline's answers do not show them, and the candidate may have the same fraction of
  /// faulty runners without being at fault. The leader must keep this fraction up to date.
  void setEjectedBaselineFraction(double fraction) { ejectedBaselineFraction_ = fraction; }
  /// The first fault of the candidate that is statistically significant; none if there is no such fault.
  std::optional<Fault> findFault() const;
  /// The confidence of a suspicion: evidence of a fault that is not significant enough to revert.
  enum class Suspicion : std::uint8_t {
    slight,  ///< the candidate should get only the requests that are needed to decide
    strong,  ///< in addition, waiting for significance would expose too many requests
  };
  /// Whether there is at least this much evidence of a fault of the candidate.
  bool isSuspicious(Suspicion suspicion = Suspicion::slight) const;
  /// Number of answers of both revisions so far.
  double allAnswers() const;
  /// The groups of answers in which a large fault must be ruled out before the candidate is cleared.
  enum class Clearing : std::uint8_t {
    byStratum,  ///< each frequent route, with separate groups for idle runners and for busy ones
    byRoute,    ///< each frequent route
  };
  /// Whether the answers rule out a small fault over all answers together, and a large fault in each group of
  /// `clearing`.
  bool isCleared(Clearing clearing) const;
  /// Number of answers of the candidate so far.
  double candidateAnswers() const;
  /// Number of bad answers of the candidate so far, including interrupted ones.
  double candidateBadAnswers() const;
  /// All counts, for the log. Confirmed interruptions are counted as failed answers.
  std::vector<state_machine::RouteEvidence> summary() const;

 private:
  /// Counts of answers of one revision or of one runner.
  struct Answers {
    double answered = 0;
    double failed = 0;
    double slow = 0;
    Answers& operator+=(const Answers& other);
    BadCount failures() const { return {failed, answered}; }
    BadCount slowness() const { return {slow, answered}; }
    BadCount bad() const { return {std::max(failed, slow), answered}; }
  };
  /// Interrupted answers that may be due to a crash of the runner.
  struct Interruption {
    std::string stratum;
    double count = 0;
    TimePoint reportedAt{};
  };
  struct CandidateRunner {
    std::map<std::string, Answers> byStratum;
    std::vector<Interruption> interruptions;
    /// The sum over the strata of busy and full runners, or over the strata of idle runners.
    Answers total(bool busy) const;
  };
  using ByStratum = std::map<std::string, Answers>;
  /// The candidate's answers, with or without those of outlier runners.
  struct CandidateEvidence {
    ByStratum answers;
    BadCount runners;         ///< excluded outliers, of all runners
    BadCount outlierAnswers;  ///< answers of the excluded outliers
    /// Whether bad answers of idle runners may be attributed to the revision: at least two runners had bad answers
    /// while idle, or the revision has only one runner. Bad answers of one of several runners may be a fault of that
    /// runner.
    bool idleFaultIsShared = false;
  };

  /// Counts the interruptions that were reported up to `answeredAfter` as failures, because the runner has answered
  /// since.
  static void confirmInterruptions(CandidateRunner& runner, TimePoint answeredAfter);
  /// The candidate's answers, summed over all its runners.
  ByStratum candidateAnswersByStratum() const;
  CandidateEvidence withoutOutliers() const;
  /// All answers of the candidate, including those of outliers.
  CandidateEvidence withAllRunners() const;
  static bool isFaultProven(const BadCount& candidate, const BadCount& baseline, const TestOptions& options,
                            double threshold);
  std::optional<Fault> findFaultAmong(const CandidateEvidence& candidate, double threshold) const;
  std::optional<Fault> findRunnerFault(const CandidateEvidence& candidate, double tolerance, double threshold) const;
  Answers baselineOf(const std::string& stratum) const;

  double ejectedBaselineFraction_ = 0;
  ByStratum baseline_;
  ByStratum carriedOver_;                             ///< of the candidate, at runners that are no longer known
  std::map<std::string, CandidateRunner> candidate_;  ///< by runner
};
}  // namespace zinccleat::rollout
