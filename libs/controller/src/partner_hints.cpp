#include "partner_hints.hpp"

#include "operations/call.hpp"
#include "runtime/event_loop.hpp"
#include "runtime/log_ring.hpp"
#include "transport/avro.hpp"

namespace zc {
namespace {
constexpr HintBounds kBounds{};
constexpr auto kTellEvery = 2000ms;
constexpr auto kAnswerWithin = 1000ms;
// By the time of day: both sites change the key together, and a list one key old still counts.
std::int64_t epochNow() {
  return std::chrono::system_clock::now().time_since_epoch() / kBounds.epoch;
}
}  // namespace

Outcome<void> PartnerHints::start() {
  if (!core_.settings.partner)
    return {};
  auto key = HintKey::from(core_.settings.partner->secret);
  if (!key)
    return tl::unexpected(key.error());
  key_ = *key;
  table_.emplace(*key, kBounds, drawSeed());
  EventLoop::get().every(kTellEvery, [this] { tell(); });
  return {};
}
void PartnerHints::tell() {
  if (!core_.raft->hasLease(Clock::now()) || std::exchange(telling_, true))
    return;
  EventLoop::get().launch([this] {
    tellOne();
    telling_ = false;
  });
}
// To the first of the partner's machines that answers.
void PartnerHints::tellOne() {
  const auto news = avro::encode(table_->news(Clock::now(), epochNow()));
  const Call call{"POST", "/v1/Hints.Exchange", news, {{"X-Hint-Seal", key_->seal(news)}}};
  for (auto& address : core_.settings.partner->control) {
    const auto answer = callOne(address, call, kAnswerWithin);
    if (answer && answer->status == 200)
      return takeAnswer(address, answer->body);
  }
}
void PartnerHints::takeAnswer(const std::string& from, const std::string& answer) {
  const auto cut = answer.find('\n');
  const auto body = cut == std::string::npos ? std::string{} : answer.substr(cut + 1);
  const auto news = avro::decode<HintNews>(body);
  if (cut == std::string::npos || !key_->fits(body, answer.substr(0, cut)) || !news) {
    table_->decline();
    return ring::note("hints from " + from + " declined");
  }
  if (auto taken = table_->heard(Clock::now(), epochNow(), *news); !taken)
    ring::note("hints from " + from + " declined: " + taken.error().text);
}
Outcome<std::string> PartnerHints::take(std::string_view body, std::string_view seal) {
  if (!table_)
    return fault(404, "no partner site");
  if (!core_.raft->hasLease(Clock::now()))
    return fault(503, "no lease");
  const auto news = avro::decode<HintNews>(body);
  if (!key_->fits(body, seal) || !news) {
    table_->decline();
    ring::note("hints from a stranger declined");
    return fault(403, "hints of a stranger");
  }
  if (auto taken = table_->heard(Clock::now(), epochNow(), *news); !taken)
    return tl::unexpected(taken.error());
  const auto ours = avro::encode(table_->news(Clock::now(), epochNow()));
  return key_->seal(ours) + "\n" + ours;
}
OpeningAnswer PartnerHints::onOpeningQuestion(Instant now, const OpeningQuestion& question) {
  OpeningAnswer answer;
  answer.question = question.question;
  if (!table_ || !core_.raft->hasLease(now))
    return answer;
  const auto opening = static_cast<std::uint64_t>(question.opening);
  const auto tenantMark = static_cast<std::uint64_t>(question.tenantMark);
  // Alike whether the partner does not hold it, or has not told: only whether to go there.
  if (table_->elsewhere(now, epochNow(), opening, tenantMark))
    answer.access = core_.settings.partner->access;
  return answer;
}
}  // namespace zc
