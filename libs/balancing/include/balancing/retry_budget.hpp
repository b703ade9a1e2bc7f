/// @file
/// Retry budget: first attempts to a service earn tokens, and each retry to the same service spends one. This keeps
/// retries from flooding a failing service.
///
/// The retry rule limits the ratio of retries to first attempts over a window, plus a constant slack, for all proxies
/// together. An earned token expires after a short part of that window, so the proxies together stay within the ratio,
/// whatever their number. Tokens that a proxy keeps for longer are its reserve, which comes out of the slack that all
/// proxies share. Deterministic: callers pass in the time. Not thread safe.
#pragma once
#include <array>

#include "runtime/common.hpp"
namespace zinccleat::balancing {

class RetryBudget {
 public:
  /// @param retryRatio     tokens that a first attempt earns; must be below the ratio of the retry rule
  /// @param tokenLifetime  time until an earned token expires; at most a quarter of the window of the retry rule
  RetryBudget(double retryRatio, Duration tokenLifetime)
      : retryRatio_(retryRatio), slotLength_(tokenLifetime / kSlots) {}

  /// Records a first attempt, which earns `retryRatio` tokens.
  void recordRequest(const std::string& service, TimePoint now);
  /// Takes one token for a retry.
  /// @return false if no token is left: the retry must not be made.
  bool tryWithdraw(const std::string& service, TimePoint now);
  /// Sets this proxy's part of the slack, in tokens for each service. The part is 0 until the number of proxies is
  /// known.
  /// @param limit  if it is below 1, this proxy gets one token with this probability, otherwise none
  /// @param draw   random number in [0, 1) that this proxy drew once and uses for every call
  void setReserve(double limit, double draw);

 private:
  static constexpr int kSlots = 4;  ///< slots that the token lifetime is divided into; a slot's tokens expire together
  struct TokenBucket {
    double reserve = 0;
    std::array<double, kSlots> earned{};  ///< tokens earned in each slot, by slot number modulo `kSlots`
    std::int64_t newestSlot = 0;

    double& earnedIn(std::int64_t slot) { return earned[static_cast<std::size_t>(slot % kSlots)]; }
  };
  TokenBucket& bucketAt(const std::string& service, TimePoint now);

  double retryRatio_;
  double reserveLimit_ = 0;
  Duration slotLength_;
  std::unordered_map<std::string, TokenBucket> buckets_;
};
}  // namespace zinccleat::balancing
