/// @file
/// Retry budget: retries to a service are paid with tokens that first attempts to the same service earn, so that a
/// failing service is not flooded with retries.
///
/// An earned token expires after a short part of the rule's window, so all proxies together stay within the ratio
/// however many they are. What a proxy keeps beyond that, its reserve, comes from the rule's slack, which all proxies
/// share. Pure: the time is passed in. Not thread safe.
#pragma once
#include <array>

#include "runtime/common.hpp"
namespace zinccleat::balancing {

class RetryBudget {
 public:
  /// @param retryRatio     tokens that a first attempt earns; below the ratio of the rule
  /// @param tokenLifetime  how long they last, at most a quarter of the rule's window
  RetryBudget(double retryRatio, Duration tokenLifetime)
      : retryRatio_(retryRatio), slotLength_(tokenLifetime / kSlots) {}

  /// Records a first attempt, which earns a part of a token.
  void recordRequest(const std::string& service, TimePoint now);
  /// Takes one token for a retry.
  /// @return false if there is none: the retry must not be made.
  bool tryWithdraw(const std::string& service, TimePoint now);
  /// Sets this proxy's part of the slack, as tokens a service. It is 0 until the number of proxies is known.
  /// @param limit  below 1, each proxy has one token with this probability, else none
  /// @param draw   this proxy's own random number in [0, 1), drawn once
  void setReserve(double limit, double draw);

 private:
  static constexpr int kSlots = 4;  ///< Parts of the lifetime, in which tokens expire together.
  struct TokenBucket {
    double reserve = 0;
    std::array<double, kSlots> earned{};  ///< by slot number modulo the number of slots
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
