#include "partner_attempt.hpp"

#include <cstddef>

#include "heads.hpp"
#include "stream_relay.hpp"

namespace zinccleat::proxy {
namespace {
constexpr std::size_t kReadBytes = std::size_t{4} * 1024;
constexpr std::uint64_t kMostAnswerBytes = 64U << 20;
constexpr Duration kLeastPatience{20}, kMostPatience{400};
}  // namespace

AttemptOutcome attemptOnPartner(Exchange& x, const std::string& address) {
  const auto endpoint = runtime::parseEndpoint(address);
  if (!endpoint)
    return AttemptOutcome::notSent;
  runtime::Connection there;
  runtime::SocketError ec;
  there.setDeadline(
      std::min(x.deadline, Exchange::now() + std::clamp(x.route->latencyTarget / 5, kLeastPatience, kMostPatience)));
  there.connect(*endpoint, ec);
  if (ec)
    return AttemptOutcome::notSent;
  Outbound o;
  o.toPartner = true;
  o.left = toDuration(x.deadline - Exchange::now());
  o.hideKey = false;
  auto out = outboundHead(x.request, o, x.request.body().size());
  out += x.request.body();
  const AttachedConnection attached(*x.watch, there);
  x.partnerPending = &there;
  struct ForgetPending {
    Exchange& x;
    ~ForgetPending() { x.partnerPending = nullptr; }
  } const forgetPending{x};
  there.write(asio::buffer(out), ec);
  Buffer buffer;
  AnswerParser answer;
  answer.eager(true);
  answer.body_limit(kMostAnswerBytes);
  if (!ec)
    pump(there, buffer, answer, true, ec);
  if (x.watch->gone())
    return AttemptOutcome::clientGone;
  if (ec)
    return AttemptOutcome::interrupted;
  const auto& head = answer.get();
  // Whatever is no whole success is left there: this site answers for itself.
  if (head.result_int() / 100 == 4 || head.result_int() == 503)
    return AttemptOutcome::notExecuted;
  if (head.result_int() / 100 != 2 || field(head, "X-Attempt-Id") != x.attemptId ||
      field(head, "X-Server-Seal").empty() || head.count(http::field::content_encoding) > 0)
    return AttemptOutcome::interrupted;
  // Why the first bytes before the head goes on: one that only says that it begins must not hold the client.
  while (answer.get().body().empty() && !answer.is_done()) {
    if (buffer.size() == 0) {
      const auto n = there.read(buffer.prepare(kReadBytes), ec);
      if (x.watch->gone())
        return AttemptOutcome::clientGone;
      if (ec)
        return AttemptOutcome::interrupted;
      buffer.commit(n);
    }
    const auto n = answer.put(buffer.data(), ec);
    buffer.consume(n);
    if (ec && ec != http::error::need_more)
      return AttemptOutcome::interrupted;
  }
  const auto outcome = relayStream(x, there, buffer, answer);
  return outcome == AttemptOutcome::interrupted && x.watch->gone() ? AttemptOutcome::clientGone : outcome;
}
}  // namespace zinccleat::proxy
