#include "partner_attempt.hpp"

#include "headers.hpp"
#include "stream_relay.hpp"

namespace zinccleat::proxy {
namespace {
constexpr int kLatencyTargetDivisor = 5;  // the timeout is the route's latency target divided by this
constexpr Duration kMinTimeout{20};
constexpr Duration kMaxTimeout{400};
constexpr unsigned kServiceUnavailable = 503;
constexpr std::size_t kMaxUnreadBytes = std::size_t{32} * 1024;  // of a response that the client does not take
}  // namespace

AttemptOutcome PartnerAttempt::run(const std::string& address) {
  if (!connect(address))
    return AttemptOutcome::notSent;
  const AttachedConnection attached(*exchange_.clientWatch, connection_);
  exchange_.pendingPartnerConnection = &connection_;
  sendRequest();
  configureParser(response_);
  if (!ec_)
    readIntoParser(connection_, buffer_, response_, true, ec_);
  if (ec_ || exchange_.clientWatch->disconnected())
    return interruptedOutcome();
  if (const auto outcome = checkHeader())
    return *outcome;
  // The header is forwarded only once the first bytes of the body have arrived. Until then this site can still answer
  // the request if the partner node fails.
  if (!awaitBody())
    return interruptedOutcome();
  const auto outcome = relayStream(exchange_, connection_, buffer_, response_);
  return outcome == AttemptOutcome::interrupted ? interruptedOutcome() : outcome;
}

bool PartnerAttempt::connect(const std::string& address) {
  const auto endpoint = runtime::parseEndpoint(address);
  if (!endpoint)
    return false;
  const auto timeout = std::clamp(exchange_.route->latencyTarget / kLatencyTargetDivisor, kMinTimeout, kMaxTimeout);
  connection_.setDeadline(std::min(exchange_.deadline, Exchange::now() + timeout));
  connection_.limitBuffers();
  connection_.allowUnread(exchange_.context.socketBuffers, kMaxUnreadBytes);
  connection_.allowUnsent(exchange_.context.socketBuffers, exchange_.request.body().size());
  connection_.connect(*endpoint, ec_);
  return !ec_;
}

void PartnerAttempt::sendRequest() {
  ForwardingOptions options;
  options.toPartner = true;
  options.timeLeft = toDuration(exchange_.deadline - Exchange::now());
  options.removeAuthorization = false;
  const auto& body = exchange_.request.body();
  auto message = forwardedRequestHeader(exchange_.request, options, body.size());
  message += body;
  connection_.write(asio::buffer(message), ec_);
}

std::optional<AttemptOutcome> PartnerAttempt::checkHeader() {
  const auto& header = response_.get();
  const auto status = header.result_int();
  if (isClientError(status) || status == kServiceUnavailable)
    return AttemptOutcome::notExecuted;
  if (!isSuccess(status) || !belongsTo(header, exchange_.attemptId) || !isSealed(header))
    return AttemptOutcome::interrupted;
  return std::nullopt;
}

bool PartnerAttempt::awaitBody() {
  MessageFeed<ResponseParser> feed(connection_, buffer_, response_);
  while (response_.get().body().empty() && !response_.is_done()) {
    feed.advance(ec_);
    if (ec_ || exchange_.clientWatch->disconnected())
      return false;
  }
  return true;
}

AttemptOutcome PartnerAttempt::interruptedOutcome() const {
  return exchange_.clientWatch->disconnected() ? AttemptOutcome::clientDisconnected : AttemptOutcome::interrupted;
}
}  // namespace zinccleat::proxy
