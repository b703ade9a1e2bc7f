/// @file
/// Chooses the revision of a service's runners for each request at one proxy during a rollout of the service.
/// Deterministic for a given seed: the time is passed in. Not thread-safe.
///
/// A candidate in the canary phase gets a request only for a token that the leader granted. Tokens expire when no
/// further grant arrives, so a proxy without contact to the leader stops sending requests to the candidate. A circuit
/// breaker also stops them as soon as this proxy observes repeated failures of the candidate, without waiting for the
/// leader.
#pragma once
#include <random>
#include <tuple>

#include "rollout/stratum.hpp"
#include "state_machine/rollout.hpp"
#include "transport/rollout_records.hpp"
namespace zinccleat::rollout {
/// Selects the runners of a service that may serve a request.
struct RevisionFilter {
  enum class Rule : std::uint8_t {
    any,     ///< all runners
    only,    ///< only runners of the revision
    except,  ///< all runners except those of the revision
  };
  Rule rule = Rule::any;
  std::string revision;
  /// With `only`: the fraction of the revision's runners that are used, chosen so that each of them has its usual load.
  /// A request whose prompt prefix prefers a runner outside this fraction matches no runner.
  double runnerShare = 1;
  /// With `only`: the group of the revision's runners that is under load test, counted from 1; 0: no load test.
  std::int32_t loadTestGroup = 0;
  double exposureShare = 0;  ///< the deployment's `exposureShare`, which determines the size of the group
  bool matches(std::string_view runnerRevision) const {
    return rule == Rule::any || (runnerRevision == revision) == (rule == Rule::only);
  }
};
/// The outcome of one attempt, as observed by a proxy.
struct ObservedAttempt {
  std::string route;       ///< label
  std::string runner;      ///< id
  std::string revision;    ///< revision of the runner
  bool answered = false;   ///< false: the answer was interrupted or never arrived
  bool failed = false;     ///< the answer was an error that the runner itself caused
  bool slowStart = false;  ///< the answer began far later than usual
  bool slowPace = false;   ///< the interval between the answer's events was far longer than usual
  double load = 0;         ///< load of the runner at the start of the answer, as a fraction of its slots
  /// Whether the runner answered without an error and without being slow.
  bool isGood() const { return answered && !failed && !isSlow(); }
  /// Whether the runner was slow. At a full runner, requests wait for a slot whatever its revision, so a slow start is
  /// ignored there.
  bool isSlow() const { return slowPace || (slowStart && loadClassOf(load) != LoadClass::full); }
};

/// Chooses revisions and collects observations for all services with a rollout.
class RevisionGate {
 public:
  explicit RevisionGate(std::uint64_t seed = 1) : rng_(seed) {}
  /// @param share the deployment's `exposureShare`.
  void setExposureShare(double share) { exposureShare_ = share; }
  /// Updates the rollouts from the replica. A rollout that is already known keeps its tokens and unreported counts.
  void setRollouts(const std::vector<state_machine::Rollout>& rollouts);
  /// Whether any service has a rollout that filters its requests, which completed rollouts do not.
  bool hasRollouts() const { return !services_.empty(); }
  /// Whether attempts at this service's runners must be passed to `recordAttempt`.
  bool isObserved(std::string_view service) const;

  /// The filter for the next attempt of a request. May consume a token.
  /// @param affinity hash of the prompt's shared prefix; 0: no prefix
  /// @param isRetry whether an earlier attempt failed; such a request is not sent to a candidate in the canary phase
  RevisionFilter choose(const std::string& service, std::uint64_t affinity, bool isRetry, TimePoint now);
  /// The filter to use if no runner matches `tried`, whose token is returned. None if no other runner may get the
  /// request.
  std::optional<RevisionFilter> fallback(const std::string& service, const RevisionFilter& tried);

  /// Counts an admitted request of the service. The leader grants a fraction of a token for each request.
  void recordRequest(const std::string& service);
  void recordAttempt(const std::string& service, const ObservedAttempt& attempt);
  /// Adds granted tokens. All tokens of a service expire `kGrantLifetime` after its newest grant.
  void addGrants(const std::vector<transport::ExposureGrant>& grants, TimePoint now);
  /// The reports for the leader, with the counts since the last call. The caller must set `baselineInFlight`.
  std::vector<transport::RolloutReport> takeReports();

  /// Time after which tokens expire if no further grant arrives.
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
    TimePoint tokensExpireAt{};
    bool tripped = false;      ///< the circuit breaker has tripped because the candidate failed at this proxy
    double candidateGood = 0;  ///< good attempts in this step of the rollout, with exponential decay
    double candidateBad = 0;
    double baselineGood = 0;
    double baselineBad = 0;
    double requests = 0;  ///< number of requests since the last report
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
