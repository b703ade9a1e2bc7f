#include "exchange.hpp"

#include <cstdio>

namespace zinccleat::proxy {
namespace {
constexpr auto kWriteStall = 10s;  // a client that takes nothing for so long is given up

std::string retryAfterHead(Duration d) {
  char b[48];
  std::snprintf(b, sizeof b, "Retry-After: %.3f\r\n", static_cast<double>(d.count()) / 1000.0);
  return b;
}
// Whether the end of an attempt speaks against its runner.
bool speaksAgainstRunner(AttemptOutcome outcome, bool staleConnection) {
  if (outcome == AttemptOutcome::notSent || outcome == AttemptOutcome::interrupted)
    return !staleConnection;
  return outcome == AttemptOutcome::failed || outcome == AttemptOutcome::deadlineExceeded;
}
}  // namespace

bool Exchange::writeToClient(std::string_view bytes) {
  runtime::SocketError ec;
  client.setDeadline(now() + kWriteStall);
  client.write(asio::buffer(bytes), ec);
  client.clearDeadline();
  return !ec;
}
bool Exchange::writeChunk(std::string_view bytes) {
  char size[24];
  const int n = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  std::string s;
  s.reserve(bytes.size() + 32);
  s.append(size, static_cast<std::size_t>(n));
  s += bytes;
  s += "\r\n";
  return writeToClient(s);
}
bool Exchange::answer(int status, Duration retryAfter, std::string_view why) {
  std::string heads;
  if (!attemptId.empty())
    heads += "X-Attempt-Id: " + attemptId + "\r\n";
  if (retryAfter > Duration(0))
    heads += retryAfterHead(retryAfter);
  ++context.refused;
  const auto body = jsonError(why.empty() ? reasonOf(status) : why);
  return writeToClient(plainAnswer(status, heads, "application/json", body, staysOpen())) && keepAlive;
}
void Exchange::attemptBegins(int runnerIndex) {
  ++context.attempts;
  context.runners.attemptBegan(runnerIndex, query.promptTokens);
  runner = runnerIndex;
  unreadTokens = query.promptTokens;
  unanswered = {runnerIndex, service, unreadTokens, now(), false};
  context.unanswered.insert(&unanswered);
}
void Exchange::promptRead(bool began) {
  if (unreadTokens < 0)
    return;
  context.runners.promptRead(runner, unreadTokens);
  context.unanswered.erase(&unanswered);
  if (began)
    (void)context.observer.began(context.runners.at(runner).id, *service, unreadTokens,
                                 toDuration(now() - unanswered.since), unanswered.countedSlow);
  unreadTokens = -1;
  if (route->latencyTarget > Duration(0))
    context.admission.first(*service, now() - arrived > route->latencyTarget, now());
}
void Exchange::attemptEnds(AttemptOutcome outcome) {
  promptRead(false);
  if (speaksAgainstRunner(outcome, staleConnection))
    context.observer.failed(context.runners.at(runner).id);
  context.runners.attemptEnded(runner);
}
}  // namespace zinccleat::proxy
