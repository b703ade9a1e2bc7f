#include "partner_hints.hpp"

#include "operations/call.hpp"
#include "runtime/event_loop.hpp"
#include "runtime/log_ring.hpp"
#include "transport/avro.hpp"

namespace zinccleat::controller {
namespace {
constexpr std::size_t kMaxHintsBytes = std::size_t{16} << 20;  // as of a call of the control API
constexpr hints::HintBounds kBounds{};
constexpr auto kSendInterval = 2000ms;
constexpr auto kResponseTimeout = 1000ms;
constexpr int kHttpOk = 200;

// The epoch follows the wall clock, so that both sites change the key at the same time. Hints under the previous key
// are still accepted.
std::int64_t currentEpoch() {
  return std::chrono::system_clock::now().time_since_epoch() / kBounds.keyPeriod;
}
/// A response consists of the seal, a line feed and the encoded hints.
struct SealedHints {
  std::string seal, body;
};
std::optional<SealedHints> splitResponse(const std::string& response) {
  const auto lineEnd = response.find('\n');
  if (lineEnd == std::string::npos)
    return std::nullopt;
  return SealedHints{response.substr(0, lineEnd), response.substr(lineEnd + 1)};
}
}  // namespace

Result<void> PartnerHints::start() {
  if (!context_.settings.partner)
    return {};
  auto key = hints::HintKey::parse(context_.settings.partner->secret);
  if (!key)
    return tl::unexpected(key.error());
  key_ = *key;
  table_.emplace(*key, kBounds, randomSeed());
  runtime::EventLoop::get().callEvery(kSendInterval, [this] { sendInBackground(); });
  return {};
}
std::string PartnerHints::encodedHints() {
  return avro::encode(table_->nextUpdate(Clock::now(), currentEpoch()));
}
std::string PartnerHints::sealed(const std::string& body) const {
  return key_->sign(body) + "\n" + body;
}
void PartnerHints::sendInBackground() {
  if (!context_.raft->hasLease(Clock::now()) || std::exchange(sending_, true))
    return;
  runtime::EventLoop::get().spawn([this] {
    send();
    sending_ = false;
  });
}
void PartnerHints::send() {
  const auto body = encodedHints();
  operations::Call call{"POST", "/v1/Hints.Exchange", body, {{"X-Hint-Seal", key_->sign(body)}}};
  call.maxAnswerBytes = kMaxHintsBytes;
  for (const auto& address : context_.settings.partner->control) {
    const auto answer = operations::callOne(address, call, kResponseTimeout);
    if (answer && answer->status == kHttpOk)
      return onResponse(address, answer->body);
  }
}
Result<void> PartnerHints::accept(std::string_view body, std::string_view seal) {
  const auto update = avro::decode<hints::HintUpdate>(body);
  if (!key_->verify(body, seal) || !update) {
    table_->countRejected();
    return makeError(ErrorCode::permissionDenied, "hints of a stranger");
  }
  return table_->applyUpdate(Clock::now(), currentEpoch(), *update);
}
void PartnerHints::onResponse(const std::string& from, const std::string& response) {
  const auto hints = splitResponse(response).value_or(SealedHints{});
  if (auto accepted = accept(hints.body, hints.seal); !accepted)
    log::debug("partner_hints_declined", {{"peer", from}, {"reason", accepted.error().message}});
}
Result<std::string> PartnerHints::exchange(std::string_view body, std::string_view seal) {
  if (!table_)
    return makeError(ErrorCode::notFound, "no partner site");
  if (!context_.raft->hasLease(Clock::now()))
    return makeError(ErrorCode::unavailable, "no lease");
  if (auto accepted = accept(body, seal); !accepted) {
    log::debug("partner_hints_declined", {{"peer", "caller"}, {"reason", accepted.error().message}});
    return tl::unexpected(accepted.error());
  }
  return sealed(encodedHints());
}
transport::PrefixLookupResponse PartnerHints::onPrefixLookupRequest(TimePoint now,
                                                                    const transport::PrefixLookupRequest& request) {
  transport::PrefixLookupResponse response;
  response.requestId = request.requestId;
  if (!table_ || !context_.raft->hasLease(now))
    return response;
  const auto prefix = static_cast<std::uint64_t>(request.promptPrefix);
  const auto tenantDigest = static_cast<std::uint64_t>(request.tenantDigest);
  // The response does not distinguish a prefix that the partner has not cached from one that it has not announced.
  if (table_->cachedOnlyAtPartner(now, currentEpoch(), prefix, tenantDigest))
    response.access = context_.settings.partner->access;
  return response;
}
}  // namespace zinccleat::controller
