#include "stream_relay.hpp"

#include <cstddef>

#include "heads.hpp"

namespace zinccleat::proxy {
namespace {
constexpr std::size_t kReadBytes = std::size_t{4} * 1024;
constexpr auto kDeadlineMargin = 50ms;

// Whether a live stream would find a runner elsewhere: one that nobody can take up stays where it is.
bool canMove(Exchange& x) {
  const int there = x.context.runners.choose(x.query, Exchange::now());
  return there >= 0 && !x.context.runners.at(there).migrateStreams && x.context.runners.at(there).failures == 0;
}
// A live session leaves a place that closes between two whole events, if the budget has a further attempt for it.
bool movesAway(Exchange& x) {
  if (x.runner < 0 || !x.context.runners.at(x.runner).migrateStreams || x.lastRunner)
    return false;
  return !x.events.lastId().empty() && x.events.resumable() && canMove(x) &&
         x.context.budget.spend(*x.service, Exchange::now());
}
}  // namespace

AttemptOutcome relayStream(Exchange& x, runtime::Connection& upstream, Buffer& buffer, AnswerParser& answer) {
  if (!x.answerStarted) {
    auto head = inboundHead(answer.get());
    head += "Transfer-Encoding: chunked\r\n";
    head += x.connectionHead();
    head += "\r\n";
    x.answerStarted = true;
    if (!x.writeToClient(head))
      return AttemptOutcome::clientGone;
  }
  const bool wholeEvents = x.route->streamResume;  // only whole ones go on where another runner may take the stream up
  for (;;) {
    auto& body = answer.get().body();
    if (!body.empty()) {
      x.promptRead(true);
      if (x.partnerPending)
        std::exchange(x.partnerPending, nullptr)->setDeadline(x.deadline + kDeadlineMargin);
      const auto pass = wholeEvents ? x.events.feed(body) : std::string_view(body);
      if (!pass.empty() && !x.writeChunk(pass))
        return AttemptOutcome::clientGone;
      body.clear();
    }
    if (answer.is_done())
      break;
    if (wholeEvents && movesAway(x)) {
      x.movePaid = true;
      x.events.dropRest();
      return AttemptOutcome::movedAway;
    }
    runtime::SocketError ec;
    if (buffer.size() > 0) {
      const auto n = answer.put(buffer.data(), ec);
      buffer.consume(n);
      if (ec && ec != http::error::need_more) {
        x.events.dropRest();
        return AttemptOutcome::interrupted;
      }
      if (n > 0)
        continue;
    }
    ec = {};
    const auto n = upstream.read(buffer.prepare(kReadBytes), ec);
    if (ec) {
      if (ec == asio::error::eof && !answer.chunked() && !answer.content_length()) {
        answer.put_eof(ec);
        if (!ec)
          continue;
      }
      // What of an event had come is dropped: whoever goes on begins after the last whole one.
      x.events.dropRest();
      return AttemptOutcome::interrupted;
    }
    buffer.commit(n);
  }
  if (wholeEvents && !x.events.rest().empty() && !x.writeChunk(x.events.rest()))
    return AttemptOutcome::clientGone;
  x.watch->attach(nullptr);
  return x.writeToClient("0\r\n\r\n") ? AttemptOutcome::completed : AttemptOutcome::clientGone;
}
}  // namespace zinccleat::proxy
