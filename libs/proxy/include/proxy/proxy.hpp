// One request from its client to a runner and back.
#pragma once
#include <unordered_set>

#include "balancing/admission.hpp"
#include "balancing/budget.hpp"
#include "balancing/partner.hpp"
#include "balancing/quota.hpp"
#include "balancing/runner_observer.hpp"
#include "balancing/runner_pool.hpp"
#include "config/configuration.hpp"
#include "proxy/connection_pool.hpp"
#include "proxy/http.hpp"
namespace zc {
// What every request of this process reads; changed between requests only.
struct ProxyContext {
  std::shared_ptr<const Configuration> cfg;
  RunnerPool runnerPool{1};
  Pool pool;
  Budget budget{0.15, Span(2500)};
  QuotaGrants quota;
  Allowance allowance;
  RunnerObserver observer;
  struct Attempt {  // one at a runner that has response nothing yet
    int dock;
    const std::string* service;
    std::int64_t tokens;
    Instant since;
    bool blamed = false;
  };
  std::unordered_set<Attempt*> silent;
  // Counts those that have waited far longer than usual; called now and then.
  void blameSilent(Instant now);
  // A long opening that this site does not hold and its partner does: an address there, or empty at once or after ms.
  // No partner site: unset.
  std::function<std::string(std::uint64_t opening, const std::string& tenant)> heldElsewhere;
  PartnerTrust partner;
  std::uint64_t toPartner = 0, fromPartner = 0;  // requests that went there and were answered from there
  std::function<void()> draw = [] {};            // has the holders filled at once
  std::function<void()> ask = [] {};             // asks for the tokens that requests wait for, once a turn of the loop
  struct TokenWaiter {
    const std::string* label;
    Waiter* waiter;
  };
  std::vector<TokenWaiter> tokenWaiters;  // requests that wait for tokens
  void quench(const std::vector<Grant>& gs) {
    for (auto& t : tokenWaiters)
      if (std::any_of(gs.begin(), gs.end(), [&](auto& g) { return g.label == *t.label; }))
        t.waiter->wake();
  }
  std::string zone;
  Instant leaseEnds{};
  Instant born = Clock::now();
  bool leaving = false;
  bool doorsShut = false;                  // this zone is being closed
  int aboard = 0;                          // requests in work
  int clients = 0, clientsMost = 1 << 20;  // connections; beyond the most, a new one is closed unread
  std::size_t held = 0,
              heldMost = std::size_t{1} << 40;  // bytes of bodies in work; beyond the most, nothing new is read
  std::mt19937_64 rng;
  std::uint64_t served = 0, errorResponse = 0, attempts = 0, cut = 0, carried = 0;
  bool leased(Instant now) const { return cfg && now < leaseEnds; }
  // When a client that finds no lease here should come back.
  Span untilLease(Instant now);
};
// Serves a client's connection until it ends.
// Called for each connection that was accepted: serves it, or closes it at once when there are too many.
void takeClient(ProxyContext& wa, tcp::socket s);
void serveClient(ProxyContext& wa, tcp::socket s);
}  // namespace zc
