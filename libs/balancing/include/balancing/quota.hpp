// A node's tokens of each tenant's quota, drawn from the leader's purse. Pure.
// Two kinds: a stash for tenants that send here steadily, kept to bridge a take-over; and loose tokens, drawn for
// requests that wait right now. Both end by themselves. A tenant that sends nothing here costs nothing here.
#pragma once
#include "transport/lease_records.hpp"
namespace zinccleat::balancing {
class QuotaGrants {
 public:
  // The answer to what `demand` and `holds` told at `asked`: more for the stash.
  void drawn(const std::vector<transport::QuotaGrant>& gs, TimePoint asked);
  // The answer to what `unasked` told: tokens for those that wait.
  void loose(const std::vector<transport::QuotaGrant>& gs, TimePoint now);
  bool take(const std::string& label, TimePoint now);    // a request's first try
  bool retake(const std::string& label, TimePoint now);  // the same request once more, after a wait
  // Whether the stash of a steady tenant should be filled now instead of at the next regular time.
  bool low(const std::string& label, TimePoint now);
  // A request begins to wait (or asks again); it ends its wait with `unwait`.
  void wait(const std::string& label) { ++buckets_[label].unasked; }
  void unwait(const std::string& label);
  std::vector<transport::QuotaDemand>
  unasked();  // requests waiting that no draw has told of yet, by label; told with this
  // Whether draws are being answered just now: the next answer is then worth waiting for.
  bool answering(TimePoint now) const { return now - heard_ < std::chrono::milliseconds(400); }
  Duration hint(const std::string& label, TimePoint now) const;  // when a refused client should come back
  Duration until(const std::string& label) const;                // when the purse is thought to hold a token again
  // Demand a second of the steady tenants, smoothed.
  std::vector<transport::QuotaDemand> demand(TimePoint now);
  std::vector<transport::QuotaHolding> holds(TimePoint now) const;
  std::size_t size() const { return buckets_.size(); }
  static constexpr Duration life{3000};                   // a stash not renewed for so long is gone
  static constexpr Duration immediateTokenLifetime{100};  // what waited was not there to take it

 private:
  struct TokenBucket {
    double tokens = 0, free = 0, perS = 0, steady = 0, hint = 0.3;
    int asked = 0, unasked = 0;
    TimePoint told{}, freed{}, heard{};
  };
  static bool busy(const TokenBucket& p);
  std::unordered_map<std::string, TokenBucket> buckets_;
  TimePoint counted_{}, lastLow_{}, heard_{};
};
}  // namespace zinccleat::balancing
