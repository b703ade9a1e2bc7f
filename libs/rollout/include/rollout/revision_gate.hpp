/// @file
/// Which revision of a service's runners a request goes to, at one proxy, while the service is being rolled out. Pure:
/// the time is passed in. Not thread safe.
///
/// An unproven candidate gets a request only for a token that the leader granted; tokens expire when no grant follows,
/// so a proxy that hears nothing stops by itself. So does one that sees the candidate fail repeatedly, at once and
/// without waiting for the leader.
#pragma once
#include <random>
#include <tuple>

#include "rollout/stratum.hpp"
#include "state_machine/rollout.hpp"
#include "transport/rollout_records.hpp"
namespace zinccleat::rollout {
/// The runners of a service that a request may go to.
struct RevisionFilter {
  enum class Rule : std::uint8_t {
    any,     ///< all runners
    only,    ///< those of the revision
    except,  ///< all but those of the revision
  };
  Rule rule = Rule::any;
  std::string revision;
  /// With `only`: the part of its runners that are used, so that each is as busy as usual. A request whose prompt
  /// prefix prefers another of its runners fits none of them.
  double runnerShare = 1;
  /// With `only`: the group of its runners that is being loaded fully, counted from 1; 0: there is no load test.
  std::int32_t loadTestGroup = 0;
  double exposureShare = 0;  ///< of the deployment, for the size of the group
  bool matches(std::string_view runnerRevision) const {
    return rule == Rule::any || (runnerRevision == revision) == (rule == Rule::only);
  }
};
/// What a proxy saw of one attempt.
struct ObservedAttempt {
  std::string route;       ///< label
  std::string runner;      ///< id
  std::string revision;    ///< of the runner
  bool answered = false;   ///< else the answer broke off or never came
  bool failed = false;     ///< answered with an error of the runner's own
  bool slowStart = false;  ///< it began to answer far later than usual
  bool slowPace = false;   ///< its events followed each other far slower than usual
  double load = 0;         ///< of the runner when it began to answer, as a part of its slots
  /// Whether there is nothing to hold against the runner.
  bool isGood() const { return answered && !failed && !isSlow(); }
  /// At a full runner requests wait whatever its revision: only the pace says something there.
  bool isSlow() const { return slowPace || (slowStart && loadClassOf(load) != LoadClass::full); }
};

class RevisionGate {
 public:
  explicit RevisionGate(std::uint64_t seed = 1) : rng_(seed) {}
  /// @param share the deployment's `exposureShare`.
  void setExposureShare(double share) { exposureShare_ = share; }
  /// Takes over the rollouts of the replica. Those that are known keep their counts.
  void setRollouts(const std::vector<state_machine::Rollout>& rollouts);
  /// The rollouts in progress end their effect with the service's requests: none means that nothing is filtered.
  bool hasRollouts() const { return !services_.empty(); }
  /// Whether attempts at this service's runners are to be observed.
  bool isObserved(std::string_view service) const;

  /// The filter for a request's next attempt. May spend a token.
  /// @param affinity hash of the prompt's shared prefix; 0: none
  /// @param isRetry an earlier attempt failed: such a request is not risked with an unproven candidate
  RevisionFilter choose(const std::string& service, std::uint64_t affinity, bool isRetry, TimePoint now);
  /// The filter where no runner fits the first one, whose token is given back; none: nobody else may get the request.
  std::optional<RevisionFilter> fallback(const std::string& service, const RevisionFilter& tried);

  /// A request for the service was admitted: it will pay for a part of a token.
  void recordRequest(const std::string& service);
  void recordAttempt(const std::string& service, const ObservedAttempt& attempt);
  /// Takes over tokens. They count until `kGrantLifetime` after this.
  void addGrants(const std::vector<transport::ExposureGrant>& grants, TimePoint now);
  /// What the leader is to know, since the last call. In-flight attempts are the caller's to fill in.
  std::vector<transport::RolloutReport> takeReports();

  /// How long tokens last without another grant.
  static constexpr Duration kGrantLifetime{1500};

 private:
  struct AnswerKey {
    std::string stratum;
    std::string runner;
    bool operator<(const AnswerKey& other) const {
      return std::tie(stratum, runner) < std::tie(other.stratum, other.runner);
    }
  };
  struct ServiceRollout {
    state_machine::Rollout rollout;
    double tokens = 0;
    TimePoint tokensUntil{};
    bool tripped = false;      ///< this proxy has seen the candidate fail
    double candidateGood = 0;  ///< attempts in this phase, decayed
    double candidateBad = 0;
    double baselineGood = 0;
    double baselineBad = 0;
    double requests = 0;  ///< since the last report
    std::map<AnswerKey, transport::RevisionAnswers> answers;
  };
  ServiceRollout* find(std::string_view service);
  const ServiceRollout* find(std::string_view service) const;
  RevisionFilter chooseCanary(ServiceRollout& service, bool isRetry, TimePoint now) const;
  RevisionFilter chooseShifted(const ServiceRollout& service, bool hasAffinity);
  static void updateCircuitBreaker(ServiceRollout& service, bool isCandidate, bool isGood);

  double exposureShare_ = 0.1;
  std::vector<ServiceRollout> services_;
  std::mt19937_64 rng_;
};
}  // namespace zinccleat::rollout
