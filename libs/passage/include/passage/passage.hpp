// One request from its client to a runner and back.
#pragma once
#include <unordered_set>

#include "berth/allow.hpp"
#include "berth/budget.hpp"
#include "berth/docks.hpp"
#include "berth/quota.hpp"
#include "berth/partner.hpp"
#include "berth/witness.hpp"
#include "charter/configuration.hpp"
#include "passage/http.hpp"
#include "passage/pool.hpp"
namespace zc {
// What every request of this process reads; changed between requests only.
struct Waters {
  std::shared_ptr<const Configuration> cfg;
  Docks docks{1};
  Pool pool;
  Budget budget{0.15, Span(2500)};
  QuotaStash quota;
  Allowance allowance;
  Witness witness;
  struct Attempt {  // one at a runner that has said nothing yet
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
  std::function<void()> draw = [] {};  // has the stashes filled at once
  std::function<void()> ask = [] {};   // asks for the tokens that requests wait for, once a turn of the loop
  struct Thirsty {
    const std::string* label;
    Waiter* waiter;
  };
  std::vector<Thirsty> thirsty;  // requests that wait for tokens
  void quench(const std::vector<Grant>& gs) {
    for (auto& t : thirsty)
      if (std::any_of(gs.begin(), gs.end(), [&](auto& g) { return g.label == *t.label; })) t.waiter->wake();
  }
  std::string zone;
  Instant leaseEnds{};
  Instant born = Clock::now();
  bool leaving = false;
  bool doorsShut = false;  // this zone is being closed
  int aboard = 0;  // requests in work
  int clients = 0, clientsMost = 1 << 20;        // connections; beyond the most, a new one is closed unread
  std::size_t held = 0, heldMost = std::size_t{1} << 40;  // bytes of bodies in work; beyond the most, nothing new is read
  std::mt19937_64 rng;
  std::uint64_t served = 0, declined = 0, attempts = 0, cut = 0, carried = 0;
  bool leased(Instant now) const { return cfg && now < leaseEnds; }
  // When a client that finds no lease here should come back.
  Span untilLease(Instant now);
};
// Serves a client's connection until it ends.
// Called for each connection that was accepted: serves it, or closes it at once when there are too many.
void takeClient(Waters& wa, tcp::socket s);
void serveClient(Waters& wa, tcp::socket s);
}  // namespace zc
