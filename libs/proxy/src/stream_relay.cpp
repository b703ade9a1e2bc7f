#include "stream_relay.hpp"

#include "headers.hpp"

namespace zinccleat::proxy {
namespace {
constexpr auto kDeadlineMargin = 50ms;

// Whether a suitable runner exists to which a live stream can move. Without one the stream stays at its runner.
bool hasMigrationTarget(Exchange& exchange) {
  auto& runners = exchange.context.runners;
  const int target = runners.choose(exchange.query, Exchange::now());
  return target >= 0 && !runners.at(target).migrateStreams && runners.at(target).consecutiveFailures == 0;
}

// Whether a live stream should now move to another runner because its zone is being drained. Called only between two
// complete events. Charges the retry budget if it returns true.
bool shouldMigrate(Exchange& exchange) {
  auto& context = exchange.context;
  if (exchange.runner < 0 || !context.runners.at(exchange.runner).migrateStreams || exchange.isLastAttempt)
    return false;
  return !exchange.events.lastEventId().empty() && exchange.events.isResumable() && hasMigrationTarget(exchange) &&
         context.retryBudget.tryWithdraw(*exchange.service, Exchange::now());
}

class StreamRelay {
 public:
  StreamRelay(Exchange& exchange, runtime::Connection& upstream, Buffer& buffer, ResponseParser& response)
      : exchange_(exchange), response_(response), feed_(upstream, buffer, response) {}

  AttemptOutcome run() {
    if (!beginResponse())
      return AttemptOutcome::clientDisconnected;
    for (;;) {
      if (!forwardReceived())
        return AttemptOutcome::clientDisconnected;
      if (response_.is_done())
        return finish();
      if (completeEventsOnly_ && shouldMigrate(exchange_)) {
        exchange_.nextAttemptIsPaid = true;
        exchange_.events.discardPartialEvent();
        return AttemptOutcome::migrated;
      }
      if (!receive()) {
        // The partial event is dropped because another runner continues after the last complete event.
        exchange_.events.discardPartialEvent();
        return AttemptOutcome::interrupted;
      }
    }
  }

 private:
  // Writes the response header to the client unless a response has begun. Returns false if the client has disconnected.
  bool beginResponse() {
    if (exchange_.responseStarted)
      return true;
    auto header = forwardedResponseHeader(response_.get());
    header += "Transfer-Encoding: chunked\r\n";
    header += exchange_.connectionHeader();
    header += "\r\n";
    exchange_.responseStarted = true;
    return exchange_.writeToClient(header);
  }

  // Forwards the body bytes that the parser has decoded. Returns false if the client has disconnected.
  bool forwardReceived() {
    auto& body = response_.get().body();
    if (body.empty())
      return true;
    exchange_.recordUsage(Exchange::now());
    exchange_.endPrefill(true);
    if (exchange_.observed) {
      exchange_.pace.recordBytes(body, Exchange::now());
      exchange_.observeSlowness();
    }
    if (exchange_.pendingPartnerConnection)
      std::exchange(exchange_.pendingPartnerConnection, nullptr)->setDeadline(exchange_.deadline + kDeadlineMargin);
    const auto bytes = completeEventsOnly_ ? exchange_.events.feed(body) : std::string_view(body);
    if (!bytes.empty() && !exchange_.writeChunk(bytes))
      return false;
    body.clear();
    return true;
  }

  // Parses the bytes in the buffer, or reads more bytes if nothing can be parsed. Returns false if the stream is
  // broken.
  bool receive() {
    runtime::SocketError ec;
    // An event that never ends must not fill the memory.
    if (!exchange_.memory.tryGrowTo(requestBytes_ + 2 * exchange_.events.partialEvent().size()))
      return false;
    feed_.advance(ec);
    return !ec;
  }

  AttemptOutcome finish() {
    const auto& rest = exchange_.events.partialEvent();
    if (completeEventsOnly_ && !rest.empty() && !exchange_.writeChunk(rest))
      return AttemptOutcome::clientDisconnected;
    exchange_.clientWatch->attach(nullptr);
    return exchange_.writeToClient("0\r\n\r\n") ? AttemptOutcome::completed : AttemptOutcome::clientDisconnected;
  }

  Exchange& exchange_;
  ResponseParser& response_;
  MessageFeed<ResponseParser> feed_;
  const std::size_t requestBytes_ = exchange_.memory.bytes();
  // If another runner may have to continue the stream, only complete events are forwarded to the client.
  const bool completeEventsOnly_ = exchange_.route->streamResume;
};
}  // namespace

AttemptOutcome relayStream(Exchange& exchange, runtime::Connection& upstream, Buffer& buffer,
                           ResponseParser& response) {
  return StreamRelay(exchange, upstream, buffer, response).run();
}
}  // namespace zinccleat::proxy
