#include "request_handler.hpp"

#include "admission_check.hpp"
#include "headers.hpp"
#include "partner_attempt.hpp"
#include "retry.hpp"
#include "runner_attempt.hpp"

namespace zinccleat::proxy {
namespace {
// Attempts in addition to the route's `maxAttempts`. Connecting to an unreachable runner sends nothing, so such an
// attempt does not use up one of the route's attempts.
constexpr int kExtraConnectAttempts = 3;
constexpr std::int64_t kNoRunnerRetryAfterMs = 100;
constexpr std::uint64_t kNoRunnerRetrySpreadMs = 200;

RetryState initialState(const Exchange& exchange) {
  RetryState state;
  state.kind = kindOf(*exchange.route);
  // A request that the partner site forwarded gets only one runner here, because the partner site keeps the remaining
  // attempts for itself.
  const bool fromPartner = !headerValue(exchange.request, kPartnerSiteHeader).empty();
  state.runnersAllowed = fromPartner ? 1 : exchange.route->maxAttempts;
  return state;
}

// The address of a partner node that caches a long prompt prefix which this site does not cache; empty if there is
// none. Only idempotent requests are forwarded to the partner site. If the cache hint is stale or the partner fails,
// the request continues at this site and only loses a little time. The partner's runner counts towards the request's
// runners, so at least one runner must remain for this site.
std::string findPartner(Exchange& exchange, const RetryState& state) {
  auto& context = exchange.context;
  const bool qualifies = context.lookupPartner && state.runnersAllowed >= 2 &&
                         state.kind == RequestKind::resumableStream &&
                         exchange.query.sharedTokens >= balancing::PartnerCircuitBreaker::kMinSharedTokens;
  if (!qualifies)
    return {};
  auto address = context.lookupPartner(exchange.query.affinity, exchange.tenant);
  if (address.empty() || !context.partner.allowRequest(Exchange::now()))
    return {};
  return address;
}

void recordPartnerOutcome(ProxyContext& context, AttemptOutcome outcome) {
  if (outcome == AttemptOutcome::completed) {
    context.partner.recordSuccess();
    ++context.answeredByPartner;
  } else if (outcome != AttemptOutcome::clientDisconnected) {
    context.partner.recordFailure(Exchange::now());
  }
}

RetryDecision attemptPartnerSite(Exchange& exchange, RetryState& state) {
  const auto address = findPartner(exchange, state);
  if (address.empty())
    return RetryDecision::nextRunner;
  ++exchange.context.forwardedToPartner;
  state.outcome = PartnerAttempt(exchange).run(address);
  recordPartnerOutcome(exchange.context, state.outcome);
  if (state.outcome != AttemptOutcome::completed && mayHaveRun(state.outcome)) {
    state.mayHaveRun = true;
    --state.runnersAllowed;
  }
  state.responseStarted = exchange.responseStarted;
  state.resumePointKnown = exchange.events.isResumable();
  return decide(state);
}

/// The reason why there is no runner for an attempt.
enum class NoRunnerReason : std::uint8_t { leaseEnded, noneAvailable, budgetSpent };

// Chooses a runner of the revision that the rollout selects for the request. If that revision has no usable runner and
// a fallback is allowed, chooses a runner of another revision. Returns -1 if there is none.
int chooseRunner(Exchange& exchange, bool isFirst) {
  auto& context = exchange.context;
  auto& query = exchange.query;
  if (!context.revisions.hasRollouts()) {
    query.revisions = {};
    return context.runners.choose(query, Exchange::now());
  }
  query.revisions = context.revisions.choose(*exchange.service, query.affinity, !isFirst, Exchange::now());
  const int runner = context.runners.choose(query, Exchange::now());
  if (runner >= 0)
    return runner;
  auto fallback = context.revisions.fallback(*exchange.service, query.revisions);
  if (!fallback)
    return -1;
  query.revisions = std::move(*fallback);
  return context.runners.choose(query, Exchange::now());
}

// Selects the runner for the next attempt and charges the retry budget if the attempt is a retry.
tl::expected<int, NoRunnerReason> selectRunner(Exchange& exchange, const RetryState& state, int earlierAttempts) {
  auto& context = exchange.context;
  // The lease is checked before each attempt because it may have expired during the previous attempt.
  if (!context.hasLease(Exchange::now()))
    return tl::unexpected(NoRunnerReason::leaseEnded);
  const int runner = chooseRunner(exchange, earlierAttempts == 0);
  if (runner < 0) {
    ++context.turnedAway[*exchange.service];
    return tl::unexpected(NoRunnerReason::noneAvailable);
  }
  const bool isRetry = state.runnersUsed > 0;
  const bool needsNoRetryToken = !isRetry || std::exchange(exchange.nextAttemptIsPaid, false);
  if (needsNoRetryToken || context.retryBudget.tryWithdraw(*exchange.service, Exchange::now()))
    return runner;
  return tl::unexpected(NoRunnerReason::budgetSpent);
}

void attemptRunner(Exchange& exchange, int runner, RetryState& state) {
  exchange.isLastAttempt = state.runnersUsed + 1 >= state.runnersAllowed;
  exchange.query.excluded.push_back(runner);
  exchange.beginAttempt(runner);
  state.outcome = RunnerAttempt(exchange).run();
  exchange.endAttempt(state.outcome);
  if (state.outcome != AttemptOutcome::notSent)
    ++state.runnersUsed;
  state.mayHaveRun = state.mayHaveRun || mayHaveRun(state.outcome);
  state.responseStarted = exchange.responseStarted;
  state.resumePointKnown = exchange.events.isResumable();
}

RetryDecision attemptNextRunner(Exchange& exchange, RetryState& state, int earlierAttempts) {
  if (Exchange::now() >= exchange.deadline)
    state.outcome = AttemptOutcome::deadlineExceeded;
  const bool mayAttempt = state.outcome != AttemptOutcome::deadlineExceeded &&
                          earlierAttempts < state.runnersAllowed + kExtraConnectAttempts;
  if (!mayAttempt)
    return conclude(state);
  const auto runner = selectRunner(exchange, state, earlierAttempts);
  if (!runner)
    return conclude(state);
  attemptRunner(exchange, *runner, state);
  return decide(state);
}

bool forwardFailure(Exchange& exchange) {
  auto& [header, body] = exchange.failure;
  header += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  header += exchange.connectionHeader();
  header += "\r\n";
  return exchange.writeToClient(header, body) && exchange.keepAlive;
}

// The request has not run, so the client may retry. `Retry-After` is randomized so that clients do not retry all at
// once.
bool respondUnavailable(Exchange& exchange) {
  const auto spread = static_cast<std::int64_t>(exchange.context.rng() % kNoRunnerRetrySpreadMs);
  return exchange.respond(503, Duration(kNoRunnerRetryAfterMs + spread), "no runner is free");
}

bool finish(Exchange& exchange, const RetryState& state, RetryDecision decision) {
  switch (decision) {
    case RetryDecision::finished:
      ++exchange.context.served;
      return exchange.keepAlive;
    case RetryDecision::nextRunner:  // not a final decision
    case RetryDecision::closeConnection:
      // The connection is closed so that a truncated response does not look complete.
      if (exchange.responseStarted && state.outcome != AttemptOutcome::clientDisconnected)
        ++exchange.context.truncatedResponses;
      return false;
    case RetryDecision::forwardFailure:
      return forwardFailure(exchange);
    case RetryDecision::respondBadGateway:
      return exchange.respond(502, Duration(0), "the runner's answer was lost");
    case RetryDecision::respondTimeout:
      return exchange.respond(504, Duration(0), "time is up");
    case RetryDecision::respondUnavailable:
      break;
  }
  return respondUnavailable(exchange);
}
}  // namespace

bool handleRequest(ProxyContext& context, runtime::Connection& client, RequestParser& parser,
                   runtime::MemoryReservation& memory) {
  Exchange exchange(context, client, parser, memory);
  if (const auto rejection = admit(exchange))
    return exchange.respond(rejection->status, rejection->retryAfter, rejection->reason);
  exchange.clientWatch.emplace(client);

  auto state = initialState(exchange);
  auto decision = attemptPartnerSite(exchange, state);
  for (int attempts = 0; decision == RetryDecision::nextRunner; ++attempts) {
    if (exchange.clientWatch->disconnected())
      return false;
    decision = attemptNextRunner(exchange, state, attempts);
  }
  return finish(exchange, state, decision);
}
}  // namespace zinccleat::proxy
