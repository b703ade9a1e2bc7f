// A node's tokens of each tenant's quota, drawn from the leader's purse. Pure.
// Two kinds: a stash for tenants that send here steadily, kept to bridge a take-over; and loose tokens, drawn for
// requests that wait right now. Both end by themselves. A tenant that sends nothing here costs nothing here.
#pragma once
#include "transport/messages.hpp"
namespace zc {
class QuotaGrants {
 public:
  // The answer to what `demand` and `holds` told at `asked`: more for the stash.
  void drawn(const std::vector<Grant>& gs, Instant asked);
  // The answer to what `unasked` told: tokens for those that wait.
  void loose(const std::vector<Grant>& gs, Instant now);
  bool take(const std::string& label, Instant now);    // a request's first try
  bool retake(const std::string& label, Instant now);  // the same request once more, after a wait
  // Whether the stash of a steady tenant should be filled now instead of at the next regular time.
  bool low(const std::string& label, Instant now);
  // A request begins to wait (or asks again); it ends its wait with `unwait`.
  void wait(const std::string& label) { ++buckets_[label].unasked; }
  void unwait(const std::string& label);
  std::vector<Grant> unasked();  // requests waiting that no draw has told of yet, by label; told with this
  // Whether draws are being answered just now: the next answer is then worth waiting for.
  bool answering(Instant now) const { return now - heard_ < std::chrono::milliseconds(400); }
  Span hint(const std::string& label, Instant now) const;  // when a refused client should come back
  Span until(const std::string& label) const;              // when the purse is thought to hold a token again
  // Demand a second of the steady tenants, smoothed.
  std::vector<Grant> demand(Instant now);
  std::vector<Grant> holds(Instant now) const;
  std::size_t size() const { return buckets_.size(); }
  static constexpr Span life{3000};      // a stash not renewed for so long is gone
  static constexpr Span looseLife{100};  // what waited was not there to take it

 private:
  struct TokenBucket {
    double tokens = 0, free = 0, perS = 0, steady = 0, hint = 0.3;
    int asked = 0, unasked = 0;
    Instant told{}, freed{}, heard{};
  };
  static bool busy(const TokenBucket& p);
  std::unordered_map<std::string, TokenBucket> buckets_;
  Instant counted_{}, lastLow_{}, heard_{};
};
}  // namespace zc
