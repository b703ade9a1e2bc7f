// A node's stash of each subscriber's quota, drawn from the sequencer's purse; it ends by itself. Pure.
#pragma once
#include "signal/messages.hpp"
namespace zc {
class QuotaStash {
 public:
  void drawn(const std::vector<Grant>& gs, Instant now);
  bool take(const std::string& label, Instant now);
  // Whether a draw should go out now instead of waiting for the next regular one.
  bool low(const std::string& label, Instant now);
  void waits(const std::string& label, int by) { purses_[label].waiting += by; }
  Span hint(const std::string& label, Instant now) const;
  // Demand a second, smoothed, with the requests that wait right now.
  std::vector<Grant> demand(const std::vector<std::string>& labels, Instant now);
  std::vector<Grant> holds(Instant now) const;
  static constexpr Span life{3000};  // a stash not renewed for so long is gone

 private:
  struct Purse {
    double tokens = 0, perS = 0, hint = 0.3;
    int asked = 0, waiting = 0;
    Instant told{};
  };
  std::map<std::string, Purse> purses_;
  Instant counted_{}, lastLow_{};
};
}  // namespace zc
