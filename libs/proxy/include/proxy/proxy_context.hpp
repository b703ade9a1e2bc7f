/// @file
/// The state that all requests of one proxy process share.
///
/// It belongs to the event loop's thread. A request changes it only between two points at which its fiber waits, so no
/// locks are needed.
#pragma once
#include <random>
#include <unordered_set>

#include "balancing/admission_control.hpp"
#include "balancing/partner_circuit_breaker.hpp"
#include "balancing/quota_token_buckets.hpp"
#include "balancing/retry_budget.hpp"
#include "balancing/runner_observer.hpp"
#include "balancing/runner_pool.hpp"
#include "balancing/stream_pace.hpp"
#include "config/configuration.hpp"
#include "platform/usage_recorder.hpp"
#include "proxy/connection_pool.hpp"
#include "proxy/graceful_shutdown.hpp"
#include "proxy/idle_connections.hpp"
#include "rollout/revision_gate.hpp"
#include "runtime/event_loop.hpp"
namespace zinccleat::proxy {

/// An attempt whose runner has not begun to respond.
struct PendingAttempt {
  int runner = -1;                       ///< index in the runner pool
  const std::string* service = nullptr;  ///< label, in the request's configuration
  std::int64_t promptTokens = 0;
  TimePoint startedAt{};
  bool countedSlow = false;  ///< reported to the runner observer as slow
};
/// A request that waits for a token of its tenant's quota.
struct QuotaWaiter {
  const std::string* tenant = nullptr;
  runtime::Waiter* waiter = nullptr;
};

struct ProxyContext {
  /// The newest configuration; null until the first has come.
  std::shared_ptr<const config::Configuration> configuration;
  std::string zone;
  balancing::RunnerPool runners{1};
  ConnectionPool connections;       ///< to runners
  rollout::RevisionGate revisions;  ///< which revision of a service a request goes to

  // Limits.
  balancing::RetryBudget retryBudget{0.15, Duration(2500)};
  balancing::QuotaTokenBuckets quota;
  balancing::AdmissionControl admission;
  balancing::PartnerCircuitBreaker partner;

  // What the platform is told.
  platform::UsageRecorder usage;
  std::unordered_map<std::string, int>
      turnedAway;  ///< requests that found no runner, by service; since the last report

  // Outlier detection.
  balancing::RunnerObserver observer;
  balancing::StreamPaceBaselines paceBaselines;  ///< of services that are being rolled out
  std::unordered_set<PendingAttempt*> pendingAttempts;
  /// Records attempts that have had no response for far longer than usual as slow; to be called periodically.
  void recordSlowAttempts(TimePoint now);

  /// Finds a node of the partner site that caches a prompt prefix which this site does not cache.
  /// @return its address, or empty. May take some milliseconds. Unset if there is no partner site.
  std::function<std::string(std::uint64_t prefix, const std::string& tenant)> lookupPartner;
  std::function<void()> requestReserveRefill = [] {};  ///< has the local quota reserves refilled at once
  std::function<void()> requestQuotaTokens = [] {};    ///< sends the token requests, once a turn of the event loop
  std::vector<QuotaWaiter> quotaWaiters;
  /// Wakes the requests of the tenants that were granted tokens.
  void wakeQuotaWaiters(const std::vector<transport::QuotaGrant>& grants);

  /// The end of the lease under which this proxy serves: after it a newer configuration may have revoked a key.
  TimePoint leaseExpiresAt{};
  const TimePoint startedAt = Clock::now();
  bool hasLease(TimePoint now) const { return configuration && now < leaseExpiresAt; }
  /// When a client that was rejected for want of a lease should come back.
  Duration retryAfterWithoutLease(TimePoint now);

  GracefulShutdown shutdown;
  IdleConnections idleConnections;                  ///< of clients
  bool zoneDraining = false;                        ///< this zone accepts no new clients
  int inFlight = 0;                                 ///< requests read and not ended
  int clients = 0;                                  ///< open connections of clients
  int maxClients = 1 << 20;                         ///< beyond it new ones are closed unread
  std::size_t bodyBytes = 0;                        ///< of the requests in flight
  std::size_t maxBodyBytes = std::size_t{1} << 40;  ///< beyond it no new request is read
  std::mt19937_64 rng;

  // Counters since the start.
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;  ///< answered by this proxy itself
  std::uint64_t attempts = 0;
  std::uint64_t truncatedResponses = 0;  ///< responses begun and not completed
  std::uint64_t migratedStreams = 0;     ///< live streams moved out of a zone that is drained
  std::uint64_t forwardedToPartner = 0;           ///< requests forwarded to the partner site
  std::uint64_t answeredByPartner = 0;         ///< of those, the ones answered from there
};
}  // namespace zinccleat::proxy
