// Hints to and from the partner site: the leader alone tells, since it alone hears what all nodes send.
#include "core.hpp"
#include "operations/call.hpp"
#include "runtime/log_ring.hpp"
#include "transport/avro.hpp"

namespace zc {
// By the time of day: both sites change the key together, and a list one key old still counts.
std::int64_t Core::hintEpoch() const {
  return std::chrono::system_clock::now().time_since_epoch() / kHintBounds.epoch;
}
void Core::tellPartner() {
  if (!raft_->hasLease(Clock::now()) || std::exchange(tellingHints_, true))
    return;
  EventLoop::get().launch([this] {
    const auto body = avro::encode(hints_->news(Clock::now(), hintEpoch()));
    Call c{"POST", "/v1/Hints.Exchange", body, {{"X-Hint-Seal", hintKey_->seal(body)}}};
    for (auto& a : s_.partner->control) {
      const auto r = callOne(a, c, 1000ms);
      if (!r || r->status != 200)
        continue;
      const auto cut = r->body.find('\n');
      const auto theirs = cut == std::string::npos ? std::string{} : r->body.substr(cut + 1);
      auto n = avro::decode<HintNews>(theirs);
      if (cut == std::string::npos || !hintKey_->fits(theirs, r->body.substr(0, cut)) || !n) {
        hints_->decline();
        ring::note("hints from " + a + " errorResponse");
      } else if (auto ok = hints_->heard(Clock::now(), hintEpoch(), *n); !ok) {
        ring::note("hints from " + a + " errorResponse: " + ok.error().text);
      }
      break;
    }
    tellingHints_ = false;
  });
}
Outcome<std::string> Core::hintsFrom(std::string_view body, std::string_view seal) {
  if (!hints_)
    return fault(404, "no partner site");
  if (!raft_->hasLease(Clock::now()))
    return fault(503, "no lease");
  auto n = avro::decode<HintNews>(body);
  if (!hintKey_->fits(body, seal) || !n) {
    hints_->decline();
    ring::note("hints from a stranger errorResponse");
    return fault(403, "hints of a stranger");
  }
  if (auto ok = hints_->heard(Clock::now(), hintEpoch(), *n); !ok)
    return tl::unexpected(ok.error());
  const auto ours = avro::encode(hints_->news(Clock::now(), hintEpoch()));
  return hintKey_->seal(ours) + "\n" + ours;
}
}  // namespace zc
