/// @file
/// The records about rollouts that lease messages carry between access machines and the leader.
///
/// A rollout moves the traffic of a service from the revision that its runners have, the baseline, to a new one, the
/// candidate.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::transport {
/// Answers of runners on one route, as one proxy counted them since its last report.
struct RevisionAnswers {
  std::string route;       ///< label, marked where the runner was busy (see `rollout::stratumOf`)
  std::string runner;      ///< of the candidate; empty: all runners of the baseline together
  double answered = 0;     ///< attempts that were answered, with success or not
  double failed = 0;       ///< of those, the ones answered with an error of the runner's own
  double interrupted = 0;  ///< attempts that were sent and whose answer broke off or never came
  double slow = 0;         ///< answers far slower than the baseline's are on this proxy
  /// Lists the fields in wire order.
  template <class Visitor>
  void fields(Visitor& v) {
    v("route", route), v("runner", runner), v("answered", answered), v("failed", failed);
    v("interrupted", interrupted), v("slow", slow);
  }
};
/// What one proxy knows of one rollout since its last report.
struct RolloutReport {
  std::string service;
  std::string revision;               ///< the candidate
  std::int32_t percent = 0;           ///< of the traffic that this proxy sends to the candidate by itself
  double requests = 0;                ///< requests for the service
  std::int64_t baselineInFlight = 0;  ///< this proxy's attempts in flight at runners of the baseline
  std::vector<RevisionAnswers> answers;
  /// Lists the fields in wire order.
  template <class Visitor>
  void fields(Visitor& v) {
    v("service", service), v("revision", revision), v("percent", percent), v("requests", requests);
    v("baselineInFlight", baselineInFlight), v("answers", answers);
  }
};
/// Requests that a proxy may send to a candidate that is not proven yet. They expire if no grant follows.
struct ExposureGrant {
  std::string service;
  std::string revision;  ///< the candidate
  double tokens = 0;     ///< one for each request; fractions add up
  /// Lists the fields in wire order.
  template <class Visitor>
  void fields(Visitor& v) {
    v("service", service), v("revision", revision), v("tokens", tokens);
  }
};
}  // namespace zinccleat::transport
