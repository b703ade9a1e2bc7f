#include "runner_attempt.hpp"

#include "headers.hpp"
#include "stream_relay.hpp"

namespace zinccleat::proxy {
namespace {
constexpr auto kConnectTimeout = 300ms;
constexpr auto kDeadlineMargin = 50ms;  // time for the runner's own deadline response to arrive
constexpr std::size_t kMaxUnreadBytes = std::size_t{32} * 1024;  // of a response that the client does not take
constexpr unsigned kNoContent = 204;
constexpr unsigned kMisdirectedRequest = 421;
}  // namespace

RunnerAttempt::RunnerAttempt(Exchange& exchange)
    : exchange_(exchange),
      runner_(exchange.runner),
      runnerId_(exchange.context.runners.at(runner_).id),
      address_(exchange.context.runners.at(runner_).address) {}

AttemptOutcome RunnerAttempt::run() {
  exchange_.staleConnection = false;
  if (!connect())
    return AttemptOutcome::notSent;
  if (clientDisconnected())
    return AttemptOutcome::clientDisconnected;
  // The lease may have expired while the connection was being established.
  if (!exchange_.context.hasLease(Exchange::now())) {
    exchange_.staleConnection = true;
    return AttemptOutcome::notSent;
  }
  const AttachedConnection attached(*exchange_.clientWatch, *connection_);
  connection_->setDeadline(exchange_.deadline + kDeadlineMargin);
  if (const auto outcome = sendRequest())
    return *outcome;
  ec_ = readFinalHeader(*connection_, buffer_, response_, exchange_.request.method(), exchange_.attemptId);
  if (ec_ || !belongsTo(response_->get(), exchange_.attemptId))
    return handleLostResponse();
  return relayResponse();
}

bool RunnerAttempt::connect() {
  auto& pool = exchange_.context.connections;
  connection_ = pool.acquire(runnerId_, Exchange::now(), exchange_.query.idempotent);
  reused_ = connection_ != nullptr;
  if (reused_)
    return true;
  const auto endpoint = runtime::parseEndpoint(address_);
  if (!endpoint)
    return false;
  makeRoomForConnection();
  connection_ = std::make_unique<runtime::Connection>();
  connection_->limitBuffers();
  connection_->allowUnread(exchange_.context.socketBuffers, kMaxUnreadBytes);
  connection_->setDeadline(std::min(exchange_.deadline, Exchange::now() + kConnectTimeout));
  connection_->connect(*endpoint, ec_);
  if (ec_) {
    recordFailure();
    pool.closeAll(runnerId_);
    return false;
  }
  connection_->clearDeadline();
  return true;
}

// Each client's place includes a descriptor for one connection to a runner. Idle connections must not use up those of
// the requests in flight.
void RunnerAttempt::makeRoomForConnection() {
  auto& context = exchange_.context;
  const auto allowed = static_cast<std::size_t>(std::max(0, context.maxClients - context.inFlight));
  while (context.connections.size() > allowed && context.connections.closeOldest()) {
  }
}

std::optional<AttemptOutcome> RunnerAttempt::sendRequest() {
  ForwardingOptions options;
  options.expectedInstance = runnerId_;
  options.subscriber = exchange_.tenant;
  options.timeLeft = toDuration(exchange_.deadline - Exchange::now());
  options.precedence = exchange_.precedence;
  options.removeAuthorization = exchange_.configuration->requiresAccessKeys;
  if (exchange_.responseStarted)
    options.lastEventId = exchange_.events.lastEventId();
  const auto& body = exchange_.request.body();
  const auto header = forwardedRequestHeader(exchange_.request, options, body.size());
  connection_->allowUnsent(exchange_.context.socketBuffers, header.size() + body.size());
  const auto bytesWritten = connection_->write(asio::buffer(header), asio::buffer(body), ec_);
  if (!ec_)
    return std::nullopt;
  if (clientDisconnected())
    return AttemptOutcome::clientDisconnected;
  if (connection_->deadlineExceeded()) {
    recordFailure();
    return AttemptOutcome::deadlineExceeded;
  }
  if (bytesWritten == 0)
    return handleNothingSent();
  // A part of the request was sent. Whether the runner ran the request is known only if a response has arrived already.
  partiallySent_ = true;
  return std::nullopt;
}

// A write of zero bytes is the only failure of an open connection after which certainly nothing reached the runner.
AttemptOutcome RunnerAttempt::handleNothingSent() {
  exchange_.staleConnection = reused_;
  if (reused_)
    exchange_.context.connections.recordStaleConnection();
  else
    recordFailure();
  return AttemptOutcome::notSent;
}

AttemptOutcome RunnerAttempt::handleLostResponse() {
  if (clientDisconnected())
    return AttemptOutcome::clientDisconnected;
  if (connection_->deadlineExceeded() || Exchange::now() >= exchange_.deadline)
    return AttemptOutcome::deadlineExceeded;
  // A reset of a reused connection before any response byte is not counted as a failure of the runner: the runner may
  // have dropped the connection while it was idle.
  exchange_.staleConnection = reused_ && ec_ == asio::error::connection_reset && !response_->got_some();
  if (exchange_.staleConnection)
    exchange_.context.connections.recordStaleConnection();
  else
    recordFailure();
  return AttemptOutcome::interrupted;
}

AttemptOutcome RunnerAttempt::relayResponse() {
  const auto& header = response_->get();
  exchange_.context.runners.updateLoad(runner_, headerValue(header, "X-Instance-Load"), Exchange::now());
  const bool success = isSuccess(header.result_int());
  const bool notExecuted = isNotExecuted(header);
  // A success status with "not executed" contradicts itself, so neither statement can be relied on.
  if (success && (notExecuted || !isSealed(header)))
    return handleLostResponse();
  const bool hasBody = header.result_int() != kNoContent && exchange_.request.method() != http::verb::head;
  if (success && hasBody && exchange_.route->type == config::RouteType::stream)
    return relayEvents();
  return relayComplete(notExecuted);
}

AttemptOutcome RunnerAttempt::relayEvents() {
  const auto outcome = relayStream(exchange_, *connection_, buffer_, *response_);
  if (outcome == AttemptOutcome::interrupted)
    return handleLostResponse();
  if (outcome == AttemptOutcome::migrated)
    ++exchange_.context.migratedStreams;
  if (outcome != AttemptOutcome::completed)
    return outcome;
  exchange_.context.runners.recordSuccess(runner_);
  exchange_.endPrefill(true);
  releaseConnection();
  return AttemptOutcome::completed;
}

// Reads the rest of the response. Returns false if its body does not fit into the memory that is free.
bool RunnerAttempt::readBody() {
  auto& memory = exchange_.memory;
  const auto length = response_->content_length();
  if (response_->is_done() || !length) {
    readIntoParser(*connection_, buffer_, *response_, false, ec_, &memory);
    return ec_ != asio::error::no_buffer_space;
  }
  if (!memory.tryGrowTo(memory.bytes() + *length))
    return false;
  readIntoParser(*connection_, buffer_, *response_, false, ec_);
  return true;
}

// Handles a response whose body does not fit into memory. A success is forwarded as it arrives, no faster than the
// client reads it; another runner can then no longer be tried. Other responses are treated as lost.
AttemptOutcome RunnerAttempt::relayWithoutMemory(bool notExecuted) {
  if (isSuccess(response_->get().result_int()) && !notExecuted && !exchange_.responseStarted) {
    ec_ = {};
    return relayEvents();
  }
  exchange_.staleConnection = true;
  return notExecuted ? AttemptOutcome::notExecuted : AttemptOutcome::interrupted;
}

AttemptOutcome RunnerAttempt::relayComplete(bool notExecuted) {
  if (!readBody())
    return relayWithoutMemory(notExecuted);
  if (ec_ && clientDisconnected())
    return AttemptOutcome::clientDisconnected;
  // "Not executed" in a complete header is valid even if the body does not arrive.
  if (ec_ && !notExecuted)
    return handleLostResponse();
  const auto status = response_->get().result_int();
  recordResult(status, notExecuted);
  // A stream that failed before its first event has not begun to run. Any other request began to run at about the time
  // at which it was sent.
  if (!notExecuted && exchange_.route->type != config::RouteType::stream)
    exchange_.recordUsage(exchange_.pendingAttempt.startedAt);
  auto header = forwardedResponseHeader(response_->get());
  auto body = std::move(response_->get().body());
  releaseConnection();

  if (notExecuted) {
    if (status == kMisdirectedRequest)
      recordFailure();
    return AttemptOutcome::notExecuted;
  }
  if (!isSuccess(status))
    return storeFailure(status, std::move(header), std::move(body));
  if (exchange_.responseStarted)
    return AttemptOutcome::interrupted;
  return sendToClient(std::move(header), body);
}

void RunnerAttempt::recordResult(unsigned status, bool notExecuted) {
  const bool failed = isServerError(status) && !notExecuted;
  if (failed)
    recordFailure();
  else
    exchange_.context.runners.recordSuccess(runner_);
  if (!failed && !notExecuted)
    exchange_.endPrefill(true);
}

AttemptOutcome RunnerAttempt::storeFailure(unsigned status, std::string header, std::string body) {
  // This status would tell the client that the request has not run, which the runner did not state.
  if (promisesNotExecuted(status))
    return AttemptOutcome::interrupted;
  exchange_.failure = {std::move(header), std::move(body)};
  return AttemptOutcome::failed;
}

AttemptOutcome RunnerAttempt::sendToClient(std::string header, const std::string& body) {
  header += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  header += exchange_.connectionHeader();
  header += "\r\n";
  const auto sent = exchange_.request.method() == http::verb::head ? std::string_view() : std::string_view(body);
  exchange_.clientWatch->attach(nullptr);
  return exchange_.writeToClient(header, sent) ? AttemptOutcome::completed : AttemptOutcome::clientDisconnected;
}

void RunnerAttempt::releaseConnection() {
  if (ec_ || partiallySent_ || !response_->keep_alive() || buffer_.size() > 0)
    return;
  const auto now = Exchange::now();
  connection_->clearDeadline();
  // The watch is detached first. The client may disconnect while its response is being written, and by then another
  // request may be using this connection, which must not be closed.
  exchange_.clientWatch->attach(nullptr);
  exchange_.context.connections.release(runnerId_, std::move(connection_), reusableUntil(response_->get(), now), now);
}
}  // namespace zinccleat::proxy
