/// @file
/// The records about rollouts in the lease messages between access machines and the leader.
///
/// A rollout moves the traffic of a service from the current revision of its runners, the baseline, to a new revision,
/// the candidate.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::transport {
/// Responses of runners on one route, as counted by one proxy since its last report.
struct RevisionAnswers {
  std::string route;       ///< label, with a mark if the runner was busy (see `rollout::stratumOf`)
  std::string runner;      ///< a runner of the candidate; empty: all runners of the baseline together
  double answered = 0;     ///< attempts with a response, successful or not
  double failed = 0;       ///< of the answered attempts, those with an error caused by the runner
  double interrupted = 0;  ///< sent attempts whose response was interrupted or missing
  double slow = 0;         ///< responses far slower than the baseline's responses at this proxy
  /// Lists the fields in wire order.
  template <class Visitor>
  void fields(Visitor& v) {
    v("route", route), v("runner", runner), v("answered", answered), v("failed", failed);
    v("interrupted", interrupted), v("slow", slow);
  }
};
/// One proxy's measurements of one rollout since the proxy's last report.
struct RolloutReport {
  std::string service;
  std::string revision;      ///< the candidate
  std::int32_t percent = 0;  ///< percentage of traffic that this proxy sends to the candidate on its own decision
  double requests = 0;       ///< number of requests for the service
  std::int64_t baselineInFlight = 0;  ///< this proxy's attempts in flight at runners of the baseline
  std::vector<RevisionAnswers> answers;
  /// Lists the fields in wire order.
  template <class Visitor>
  void fields(Visitor& v) {
    v("service", service), v("revision", revision), v("percent", percent), v("requests", requests);
    v("baselineInFlight", baselineInFlight), v("answers", answers);
  }
};
/// Permission to send requests to a candidate that is not proven yet. The tokens expire if no further grant follows.
struct ExposureGrant {
  std::string service;
  std::string revision;  ///< the candidate
  double tokens = 0;     ///< one token per request; fractions are accumulated
  /// Lists the fields in wire order.
  template <class Visitor>
  void fields(Visitor& v) {
    v("service", service), v("revision", revision), v("tokens", tokens);
  }
};
}  // namespace zinccleat::transport
