/// @file
/// What all proxies have seen of the two revisions of one rollout. Pure: the time is passed in.
///
/// Answers are compared by stratum: a route, and whether the runner was busy. A version that fails under load only has
/// no fault where its runners idle, and a busy runner is slower than an idle one whatever its version.
///
/// Answers of the candidate are kept by runner, so that a fault of the version, which all its runners have, can be told
/// from a fault of single runners: those are left out, see `runner_outliers.hpp`. Where more of the candidate's runners
/// are faulty than of the baseline's, that is a fault of the version as well. An attempt whose answer broke off counts
/// against the candidate only once its runner has answered something later: a runner that crashed has not, and a crash
/// says nothing of the version.
#pragma once
#include <set>

#include "rollout/sequential_test.hpp"
#include "rollout/stratum.hpp"
#include "state_machine/rollout.hpp"
#include "transport/rollout_records.hpp"
namespace zinccleat::rollout {
/// What is wrong with a candidate.
struct Fault {
  enum class Kind : std::uint8_t {
    answersFail,
    answersAreSlow,
    runnersFail,  ///< some of its runners are faulty, and the baseline has fewer such runners
  };
  std::string stratum;  ///< see `stratumOf`; empty: all together
  Kind kind = Kind::answersFail;
  BadCount candidate;  ///< answers, or runners
};

class EvidenceLedger {
 public:
  /// Begins with what an earlier leader had gathered.
  explicit EvidenceLedger(const std::vector<state_machine::RouteEvidence>& carriedOver = {});
  /// Adds one proxy's counts since its last report.
  /// @param previousReport when that was; none: this is its first, whose answers may be of any age
  void report(TimePoint now, std::optional<TimePoint> previousReport,
              const std::vector<transport::RevisionAnswers>& answers);
  /// The fraction of the baseline's runners that outlier detection has all proxies avoid: their answers are few, and
  /// yet a candidate may have as many such runners. To be kept up to date by the leader.
  void setEjectedBaselineFraction(double fraction) { ejectedBaselineFraction_ = fraction; }
  /// The first fault of the candidate that the evidence proves; none: none is proven.
  std::optional<Fault> findFault() const;
  /// How sure a suspicion is.
  enum class Suspicion : std::uint8_t {
    slight,  ///< no more requests are to be risked than needed to decide
    strong,  ///< nor is there time to wait for the proof
  };
  /// Whether there is a suspicion that is not proven.
  bool isSuspicious(Suspicion suspicion = Suspicion::slight) const;
  /// Answers of both revisions up to now.
  double allAnswers() const;
  /// How finely answers are looked at before the candidate is cleared.
  enum class Clearing : std::uint8_t {
    byStratum,  ///< a larger fault is excluded on each usual route, busy runners apart
    byRoute,    ///< on each usual route
  };
  /// Whether the answers clear the candidate of a faint fault, and of a larger one as said.
  bool isCleared(Clearing clearing) const;
  /// Answers of the candidate up to now.
  double candidateAnswers() const;
  /// Bad answers of the candidate up to now, interrupted ones included.
  double candidateBadAnswers() const;
  /// All counts, for the log; interrupted attempts that count are among the failed ones.
  std::vector<state_machine::RouteEvidence> summary() const;

 private:
  /// Counts of one revision in one stratum.
  struct Answers {
    double answered = 0;
    double failed = 0;
    double slow = 0;
    Answers& operator+=(const Answers& other);
    BadCount failures() const { return {failed, answered}; }
    BadCount slowness() const { return {slow, answered}; }
    BadCount bad() const { return {std::max(failed, slow), answered}; }
  };
  /// An interruption that may have been a crash of its runner.
  struct Interruption {
    std::string stratum;
    double count = 0;
    TimePoint reportedAt{};
  };
  struct CandidateRunner {
    std::map<std::string, Answers> byStratum;
    std::vector<Interruption> interruptions;
    /// Of the strata of busy runners, or of the others.
    Answers total(bool busy) const;
  };
  using ByStratum = std::map<std::string, Answers>;
  /// What is left of the candidate's answers when those of outliers are left out.
  struct CandidateEvidence {
    ByStratum answers;
    BadCount runners;         ///< how many were left out, of how many
    BadCount outlierAnswers;  ///< theirs
    /// Whether at least two runners that were not busy had bad answers: of one it is not known whose fault that is,
    /// unless the version has no other.
    bool idleFaultIsShared = false;
  };

  static void confirmInterruptions(CandidateRunner& runner, TimePoint answeredAfter);
  /// The candidate's answers at all runners.
  ByStratum candidateAnswersByStratum() const;
  CandidateEvidence withoutOutliers() const;
  /// All of the candidate's answers, as if there were no outliers.
  CandidateEvidence withAllRunners() const;
  static bool isFaultProven(const BadCount& candidate, const BadCount& baseline, const TestOptions& options,
                            double threshold);
  std::optional<Fault> findFaultAmong(const CandidateEvidence& candidate, double threshold) const;
  std::optional<Fault> findRunnerFault(const CandidateEvidence& candidate, double tolerance, double threshold) const;
  Answers baselineOf(const std::string& stratum) const;

  double ejectedBaselineFraction_ = 0;
  ByStratum baseline_;
  ByStratum carriedOver_;                             ///< of the candidate, by runners that are not known any more
  std::map<std::string, CandidateRunner> candidate_;  ///< by runner
};
}  // namespace zinccleat::rollout
