#include "partner_hints.hpp"

#include "operations/call.hpp"
#include "runtime/event_loop.hpp"
#include "runtime/log_ring.hpp"
#include "transport/avro.hpp"

namespace zinccleat::controller {
namespace {
constexpr hints::HintBounds kBounds{};
constexpr auto kTellEvery = 2000ms;
constexpr auto kAnswerWithin = 1000ms;
// By the time of day: both sites change the key together, and a list one key old still counts.
std::int64_t epochNow() {
  return std::chrono::system_clock::now().time_since_epoch() / kBounds.keyPeriod;
}
}  // namespace

Result<void> PartnerHints::start() {
  if (!core_.settings.partner)
    return {};
  auto key = hints::HintKey::parse(core_.settings.partner->secret);
  if (!key)
    return tl::unexpected(key.error());
  key_ = *key;
  table_.emplace(*key, kBounds, randomSeed());
  runtime::EventLoop::get().callEvery(kTellEvery, [this] { tell(); });
  return {};
}
void PartnerHints::tell() {
  if (!core_.raft->hasLease(Clock::now()) || std::exchange(telling_, true))
    return;
  runtime::EventLoop::get().spawn([this] {
    tellOne();
    telling_ = false;
  });
}
// To the first of the partner's machines that answers.
void PartnerHints::tellOne() {
  const auto news = avro::encode(table_->nextUpdate(Clock::now(), epochNow()));
  const operations::Call call{"POST", "/v1/Hints.Exchange", news, {{"X-Hint-Seal", key_->sign(news)}}};
  for (auto& address : core_.settings.partner->control) {
    const auto answer = operations::callOne(address, call, kAnswerWithin);
    if (answer && answer->status == 200)
      return takeAnswer(address, answer->body);
  }
}
void PartnerHints::takeAnswer(const std::string& from, const std::string& answer) {
  const auto cut = answer.find('\n');
  const auto body = cut == std::string::npos ? std::string{} : answer.substr(cut + 1);
  const auto news = avro::decode<hints::HintUpdate>(body);
  if (cut == std::string::npos || !key_->verify(body, answer.substr(0, cut)) || !news) {
    table_->countRejected();
    return log::debug("hints from " + from + " declined");
  }
  if (auto taken = table_->applyUpdate(Clock::now(), epochNow(), *news); !taken)
    log::debug("hints from " + from + " declined: " + taken.error().message);
}
Result<std::string> PartnerHints::take(std::string_view body, std::string_view seal) {
  if (!table_)
    return makeError(ErrorCode::notFound, "no partner site");
  if (!core_.raft->hasLease(Clock::now()))
    return makeError(ErrorCode::unavailable, "no lease");
  const auto news = avro::decode<hints::HintUpdate>(body);
  if (!key_->verify(body, seal) || !news) {
    table_->countRejected();
    log::debug("hints from a stranger declined");
    return makeError(ErrorCode::permissionDenied, "hints of a stranger");
  }
  if (auto taken = table_->applyUpdate(Clock::now(), epochNow(), *news); !taken)
    return tl::unexpected(taken.error());
  const auto ours = avro::encode(table_->nextUpdate(Clock::now(), epochNow()));
  return key_->sign(ours) + "\n" + ours;
}
transport::PrefixLookupResponse PartnerHints::onPrefixLookupRequest(TimePoint now,
                                                                    const transport::PrefixLookupRequest& requestId) {
  transport::PrefixLookupResponse answer;
  answer.requestId = requestId.requestId;
  if (!table_ || !core_.raft->hasLease(now))
    return answer;
  const auto opening = static_cast<std::uint64_t>(requestId.promptPrefix);
  const auto tenantDigest = static_cast<std::uint64_t>(requestId.tenantDigest);
  // Alike whether the partner does not hold it, or has not told: only whether to go there.
  if (table_->cachedOnlyAtPartner(now, epochNow(), opening, tenantDigest))
    answer.access = core_.settings.partner->access;
  return answer;
}
}  // namespace zinccleat::controller
