/// @file
/// The state that all requests of one proxy process share.
///
/// Only the event loop's thread accesses this state. Fibers switch only at points where they wait, so no locks are
/// needed.
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
#include "runtime/connection_table.hpp"
#include "runtime/event_loop.hpp"
namespace zinccleat::proxy {

/// An attempt whose runner has not begun to respond.
struct PendingAttempt {
  int runner = -1;                       ///< index in the runner pool
  const std::string* service = nullptr;  ///< service label; points into the request's configuration
  std::int64_t promptTokens = 0;
  TimePoint startedAt{};
  bool countedSlow = false;  ///< whether the attempt was reported to the runner observer as slow
};
/// A request that waits for a token of its tenant's quota.
struct QuotaWaiter {
  const std::string* tenant = nullptr;
  runtime::Waiter* waiter = nullptr;
};

struct ProxyContext {
  /// For the connections of clients and to runners together. Declared first, because it must outlive them.
  runtime::SocketBufferBudget socketBuffers;
  /// The newest configuration; null until the first one has been received.
  std::shared_ptr<const config::Configuration> configuration;
  std::string zone;
  balancing::RunnerPool runners{1};
  ConnectionPool connections;       ///< idle connections to runners
  rollout::RevisionGate revisions;  ///< chooses the revision of a service that a request goes to

  // Rate limits and load shedding.
  balancing::RetryBudget retryBudget{0.15, Duration(2500)};
  balancing::QuotaTokenBuckets quota;
  balancing::AdmissionControl admission;
  balancing::PartnerCircuitBreaker partner;

  // Data for reports to the platform.
  platform::UsageRecorder usage;
  /// Requests that were shed or found no runner since the last report, by service.
  std::unordered_map<std::string, int> turnedAway;

  // Outlier detection.
  balancing::RunnerObserver observer;
  balancing::StreamPaceBaselines paceBaselines;  ///< for services that are being rolled out
  std::unordered_set<PendingAttempt*> pendingAttempts;
  /// Records a pending attempt as slow once it has waited for far longer than usual. To be called periodically.
  void recordSlowAttempts(TimePoint now);

  /// Finds a node of the partner site that caches a prompt prefix which this site does not cache. The call may take
  /// some milliseconds. The function is unset if there is no partner site.
  /// @return the node's address; empty if there is no such node.
  std::function<std::string(std::uint64_t prefix, const std::string& tenant)> lookupPartner;
  std::function<void()> requestReserveRefill = [] {};  ///< requests an immediate refill of the local quota reserves
  std::function<void()> requestQuotaTokens = [] {};    ///< sends token requests, at most once per event loop iteration
  std::vector<QuotaWaiter> quotaWaiters;
  /// Wakes the waiting requests of the tenants that were granted tokens.
  void wakeQuotaWaiters(const std::vector<transport::QuotaGrant>& grants);

  /// The end of the lease under which this proxy serves requests. After that time a newer configuration may have
  /// revoked a key.
  TimePoint leaseExpiresAt{};
  const TimePoint startedAt = Clock::now();
  bool hasLease(TimePoint now) const { return configuration && now < leaseExpiresAt; }
  /// The delay after which a client should retry if it was rejected because this proxy has no lease.
  Duration retryAfterWithoutLease(TimePoint now);

  GracefulShutdown shutdown;
  IdleConnections idleConnections;  ///< idle client connections
  bool zoneDraining = false;        ///< whether this zone accepts no new clients
  int inFlight = 0;                 ///< requests that were read completely and have not ended
  int clients = 0;                  ///< open client connections
  /// Above this number a late connection makes way for a new one; if none is late, the new one is closed unread.
  int maxClients = 1 << 20;
  runtime::MemoryBudget messageMemory;       ///< for what all connections hold beyond their fixed charge
  runtime::ConnectionTable connectionTable;  ///< the connections accepted at all ports
  std::mt19937_64 rng;

  // Counters since the process started.
  std::uint64_t served = 0;              ///< complete responses forwarded from runners or the partner site
  std::uint64_t rejected = 0;            ///< requests answered by this proxy itself
  std::uint64_t attempts = 0;            ///< attempts at runners
  std::uint64_t truncatedResponses = 0;  ///< responses that were begun and not completed
  std::uint64_t migratedStreams = 0;     ///< live streams moved out of a zone that is being drained
  std::uint64_t forwardedToPartner = 0;  ///< requests forwarded to the partner site
  std::uint64_t answeredByPartner = 0;   ///< requests that the partner site answered completely
};
}  // namespace zinccleat::proxy
