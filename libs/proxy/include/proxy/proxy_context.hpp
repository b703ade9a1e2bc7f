// What all requests of one proxy process share. One thread: a request reads and changes it only between two waits.
#pragma once
#include <random>
#include <unordered_set>

#include "balancing/admission.hpp"
#include "balancing/budget.hpp"
#include "balancing/partner.hpp"
#include "balancing/quota.hpp"
#include "balancing/runner_observer.hpp"
#include "balancing/runner_pool.hpp"
#include "config/configuration.hpp"
#include "proxy/connection_pool.hpp"
#include "proxy/graceful_shutdown.hpp"
#include "proxy/idle_connections.hpp"
#include "runtime/event_loop.hpp"
namespace zinccleat::proxy {

// An attempt whose runner has answered nothing yet.
struct UnansweredAttempt {
  int runner = -1;                       // its place in the runner pool
  const std::string* service = nullptr;  // its label, in the request's configuration
  std::int64_t promptTokens = 0;
  TimePoint since{};
  bool countedSlow = false;
};
// A request that waits for a token of its tenant's quota.
struct QuotaWait {
  const std::string* tenant = nullptr;
  runtime::Waiter* waiter = nullptr;
};

struct ProxyContext {
  // What this copy knows of the fleet. Null until the first configuration has come.
  std::shared_ptr<const config::Configuration> configuration;
  std::string zone;
  balancing::RunnerPool runners{1};
  ConnectionPool connections;

  // How much is taken on, and what is paid for.
  balancing::Budget budget{0.15, Duration(2500)};
  balancing::QuotaGrants quota;
  balancing::AdmissionControl admission;
  balancing::PartnerTrust partner;

  // What is seen of the runners.
  balancing::RunnerObserver observer;
  std::unordered_set<UnansweredAttempt*> unanswered;
  // Counts those as slow that have waited far longer than usual; called now and then.
  void countSlow(TimePoint now);

  // A node of the partner site that holds a long opening which this site does not hold; empty: none. May take some
  // milliseconds. Unset where there is no partner site.
  std::function<std::string(std::uint64_t opening, const std::string& tenant)> lookupPartner;
  std::function<void()> drawGrants = [] {};  // has the stock of quota tokens filled at once
  std::function<void()> askTokens = [] {};   // asks for the tokens that requests wait for, once a turn of the loop
  std::vector<QuotaWait> quotaWaits;
  // Wakes the requests whose tenants these grants name.
  void wakeQuotaWaits(const std::vector<transport::QuotaGrant>& grants);

  // Until when this copy may serve: a later configuration may have taken a key away.
  TimePoint leaseEnds{};
  const TimePoint startedAt = Clock::now();
  bool hasLease(TimePoint now) const { return configuration && now < leaseEnds; }
  // When a client that finds no lease here should come back.
  Duration retryAfterLease(TimePoint now);

  GracefulShutdown shutdown;                        // from SIGTERM on connections close after the answer under way
  IdleConnections idleConnections;                  // clients'
  bool zoneDraining = false;                        // this zone takes no new clients
  int inFlight = 0;                                 // requests read whole and not ended
  int clients = 0;                                  // their connections
  int maxClients = 1 << 20;                         // beyond them a new one is closed unread
  std::size_t bodyBytes = 0;                        // of the requests in flight
  std::size_t maxBodyBytes = std::size_t{1} << 40;  // beyond them nothing new is read
  std::mt19937_64 rng;

  // Counters since the start.
  std::uint64_t served = 0, refused = 0, attempts = 0;
  std::uint64_t cutAnswers = 0;                  // begun and not ended
  std::uint64_t migratedStreams = 0;             // taken away from a place that closes
  std::uint64_t toPartner = 0, fromPartner = 0;  // requests that went there, and that were answered from there
};
}  // namespace zinccleat::proxy
