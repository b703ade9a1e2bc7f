#include "exchange.hpp"

#include <array>
#include <charconv>
#include <cstdio>

namespace zinccleat::proxy {
namespace {
constexpr auto kClientWriteTimeout = 10s;
constexpr double kMsPerS = 1000;
constexpr std::size_t kChunkFraming = 32;  // maximum number of framing bytes of a chunk
constexpr int kHexBase = 16;

std::string retryAfterHeader(Duration duration) {
  std::array<char, 48> header{};
  std::snprintf(header.data(), header.size(), "Retry-After: %.3f\r\n", static_cast<double>(duration.count()) / kMsPerS);
  return header.data();
}
// Whether an attempt with this outcome counts as a failure of the runner.
bool isRunnerFailure(AttemptOutcome outcome, bool staleConnection) {
  if (outcome == AttemptOutcome::notSent || outcome == AttemptOutcome::interrupted)
    return !staleConnection;
  return outcome == AttemptOutcome::failed || outcome == AttemptOutcome::deadlineExceeded;
}
}  // namespace

bool Exchange::writeToClient(std::string_view header, std::string_view body) {
  runtime::SocketError ec;
  client.allowUnsent(context.socketBuffers, header.size() + body.size());
  client.setDeadline(now() + kClientWriteTimeout);
  client.write(asio::buffer(header), asio::buffer(body), ec);
  client.clearDeadline();
  return !ec;
}

bool Exchange::writeChunk(std::string_view bytes) {
  std::array<char, 2 * sizeof(std::size_t)> digits{};
  const auto size = std::to_chars(digits.data(), digits.data() + digits.size(), bytes.size(), kHexBase);
  std::string chunk;
  chunk.reserve(bytes.size() + kChunkFraming);
  chunk.append(digits.data(), size.ptr);
  chunk += "\r\n";
  chunk += bytes;
  chunk += "\r\n";
  return writeToClient(chunk);
}

bool Exchange::respond(int status, Duration retryAfter, std::string_view reason) {
  std::string headers;
  if (!attemptId.empty())
    headers += "X-Attempt-Id: " + attemptId + "\r\n";
  if (retryAfter > Duration(0))
    headers += retryAfterHeader(retryAfter);
  ++context.rejected;
  const auto body = jsonError(reason.empty() ? reasonPhrase(status) : reason);
  return writeToClient(plainResponse(status, headers, "application/json", body, decideKeepAlive())) && keepAlive;
}

void Exchange::beginAttempt(int runnerIndex) {
  ++context.attempts;
  context.runners.attemptStarted(runnerIndex, query.promptTokens, now());
  runner = runnerIndex;
  prefillTokens = query.promptTokens;
  usageRecorded = false;
  pendingAttempt = {runnerIndex, service, prefillTokens, now(), false};
  context.pendingAttempts.insert(&pendingAttempt);
  observed = context.revisions.isObserved(*service);
  slowResponse = slownessRecorded = false;
  runnerLoad = 0;
  pace = {};
}

void Exchange::endPrefill(bool responded) {
  if (prefillTokens < 0)
    return;
  context.runners.prefillEnded(runner, prefillTokens);
  context.pendingAttempts.erase(&pendingAttempt);
  runnerLoad = context.runners.load(runner, now());
  if (responded)
    slowResponse =
        !context.observer.recordResponse(context.runners.at(runner).id, *service, prefillTokens,
                                         toDuration(now() - pendingAttempt.startedAt), pendingAttempt.countedSlow);
  prefillTokens = -1;
  if (route->latencyTarget > Duration(0))
    context.admission.recordResponse(*service, now() - arrivedAt > route->latencyTarget, now());
}

void Exchange::recordUsage(TimePoint began) {
  if (!std::exchange(usageRecorded, true))
    context.usage.recordRequest(tenant, began);
}

void Exchange::endAttempt(AttemptOutcome outcome) {
  endPrefill(false);
  if (isRunnerFailure(outcome, staleConnection))
    context.observer.recordFailure(context.runners.at(runner).id);
  if (observed)
    observeRevision(outcome);
  context.runners.attemptEnded(runner);
}

void Exchange::observeRevision(AttemptOutcome outcome) {
  // Nothing was sent, or the outcome does not depend on the runner's revision.
  const bool isInconclusive = outcome == AttemptOutcome::notSent || outcome == AttemptOutcome::notExecuted ||
                              outcome == AttemptOutcome::clientDisconnected || outcome == AttemptOutcome::migrated ||
                              staleConnection;
  if (isInconclusive)
    return;
  const bool slowStream = context.paceBaselines.recordStream(*service, pace);
  auto attempt = observedAttempt();
  attempt.answered = outcome != AttemptOutcome::interrupted && outcome != AttemptOutcome::deadlineExceeded;
  attempt.failed = outcome == AttemptOutcome::failed;
  attempt.slowStart = slowResponse && startIsComparable();
  attempt.slowPace = slowStream && runnerIsWarm();
  // An attempt that was already recorded as slow is recorded a second time only if it failed or was not answered.
  if (!slownessRecorded || !attempt.answered || attempt.failed)
    context.revisions.recordAttempt(*service, attempt);
}

rollout::ObservedAttempt Exchange::observedAttempt() const {
  const auto& endpoint = context.runners.at(runner);
  rollout::ObservedAttempt attempt;
  attempt.route = route->label;
  attempt.runner = endpoint.id;
  attempt.revision = endpoint.revision;
  attempt.answered = true;
  attempt.load = runnerLoad;
  return attempt;
}

void Exchange::observeSlowness() {
  if (!observed || slownessRecorded || !runnerIsWarm())
    return;
  auto attempt = observedAttempt();
  attempt.slowStart = slowResponse && startIsComparable();
  attempt.slowPace = context.paceBaselines.isSlowWhileOpen(*service, pace);
  slownessRecorded = attempt.isSlow();
  if (slownessRecorded)
    context.revisions.recordAttempt(*service, attempt);
}
}  // namespace zinccleat::proxy
