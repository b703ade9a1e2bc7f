// The leader's purse of each tenant's quota: access nodes draw tokens from it as their requests need them.
// Pure. What all nodes may use in a window is bounded by what the purse gives out in it and by the holders that
// nodes held when it began; both together stay within what the window may hold. Only tenants named in a draw cost.
#pragma once
#include "config/configuration.hpp"
#include "transport/lease_records.hpp"
namespace zinccleat::controller {
class QuotaAllocator {
 public:
  struct Bounds {  // what a window may hold beyond the limit before it counts as broken
    double excess = 0.1, slack = 20, windowS = 5;
  };
  void bounds(Bounds b) { bounds_ = b; }
  // Purses begin all but empty: what the leader before gave out is not known, and must not be given out again.
  void noOp(TimePoint now);
  // demand: label, requests a second that a stash is wanted for, requests waiting right now. holds: label, tokens in
  // the stash. Tokens for waiting requests count as spent at once; a stash is told of by its node until it ends.
  // Answer: label, tokens, seconds until more could be had.
  std::vector<transport::QuotaGrant> draw(TimePoint now, const std::string& node,
                                          const std::vector<transport::QuotaDemand>& demand,
                                          const std::vector<transport::QuotaHolding>& holds,
                                          const config::Configuration* cfg);
  static constexpr double reserveFor = 1.6;  // seconds of its demand that a node may keep, to bridge a take-over

 private:
  struct GrantHolder {
    double tokens = 0;
    TimePoint told{};
  };
  struct TokenBucket {
    double tokens = 0;
    TimePoint at{};
    std::map<std::string, GrantHolder> holders;
  };
  const config::Subscriber* tenant(const config::Configuration& cfg, const std::string& label);
  std::unordered_map<std::string, TokenBucket> buckets_;
  std::unordered_map<std::string, int> byLabel_;
  const config::Configuration* indexed_ = nullptr;
  std::int64_t indexedVersion_ = -1;
  TimePoint since_{};
  Bounds bounds_;
};
}  // namespace zinccleat::controller
