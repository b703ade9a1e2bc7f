// A node's part of each subscriber's quota, as granted by the sequencer; it ends by itself. Pure.
#pragma once
#include "signal/messages.hpp"
namespace zc {
class QuotaShare {
 public:
  // asked: when the grant was asked for; it lives from then.
  void granted(const std::vector<Grant>& gs, Instant asked, Instant now);
  // 0 if allowed; else how long until the next could be.
  Span take(const std::string& label, Instant now);
  std::vector<Grant> demand(Instant now);  // since the last call, a second
  std::vector<Grant> holds(Instant now) const;
  static constexpr Span life{2700};

 private:
  struct Bucket {
    double rate = 0, burst = 0, tokens = 0;
    Instant at{}, until{};
    bool known = false;
    int asked = 0;
  };
  std::map<std::string, Bucket> buckets_;
  Instant counted_{};
};
}  // namespace zc
