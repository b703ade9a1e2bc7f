#include "request_handler.hpp"

#include "admission_check.hpp"
#include "heads.hpp"
#include "partner_attempt.hpp"
#include "retry.hpp"
#include "runner_attempt.hpp"

namespace zinccleat::proxy {
namespace {
constexpr int kConnectTries = 3;  // beyond the route's attempts: a runner that can't be reached has been sent nothing

// A long opening that a partner site holds and this one does not: that node's address, or empty.
// Only what may be repeated, so that a stale hint or a partner that fails costs a moment and never an answer: the
// request then goes on here. A runner there counts among those of the try, so one must be left for this site.
std::string partnerFor(Exchange& x, const RetryInput& state) {
  auto& context = x.context;
  if (!context.lookupPartner || state.runnersAllowed < 2 || state.kind != RequestKind::resumableStream ||
      x.query.sharedTokens < balancing::PartnerTrust::kLongTokens)
    return {};
  auto address = context.lookupPartner(x.query.affinity, x.tenant);
  if (address.empty() || !context.partner.allows(Exchange::now()))
    return {};
  return address;
}
void tryPartner(Exchange& x, const std::string& address, RetryInput& state) {
  auto& context = x.context;
  ++context.toPartner;
  state.outcome = attemptOnPartner(x, address);
  if (state.outcome == AttemptOutcome::completed) {
    context.partner.answered();
    ++context.fromPartner;
    return;
  }
  if (state.outcome == AttemptOutcome::clientGone)
    return;
  context.partner.recordFailure(Exchange::now());
  if (mayHaveRun(state.outcome)) {
    state.mayHaveRun = true;
    --state.runnersAllowed;
  }
}
// A runner for the next attempt that is paid for; -1: there is none, or no lease, or no budget.
int nextRunner(Exchange& x, const RetryInput& state) {
  // Why asked before every attempt: the lease may have ended while an earlier one failed.
  if (!x.context.hasLease(Exchange::now()))
    return -1;
  const int runner = x.context.runners.choose(x.query, Exchange::now());
  if (runner < 0)
    return -1;
  const bool further = state.runnersUsed > 0;
  if (further && !std::exchange(x.movePaid, false) && !x.context.budget.spend(*x.service, Exchange::now()))
    return -1;
  return runner;
}
void tryRunner(Exchange& x, int runner, RetryInput& state) {
  x.lastRunner = state.runnersUsed + 1 >= state.runnersAllowed;
  x.query.excluded.push_back(runner);
  x.attemptBegins(runner);
  state.outcome = attemptOnRunner(x);
  x.attemptEnds(state.outcome);
  if (state.outcome != AttemptOutcome::notSent)
    ++state.runnersUsed;
  state.mayHaveRun = state.mayHaveRun || mayHaveRun(state.outcome);
  state.answerStarted = x.answerStarted;
  state.resumePointKnown = x.events.resumable();
}
bool relayFailure(Exchange& x) {
  auto s = std::move(x.failure.head);
  s += "Content-Length: " + std::to_string(x.failure.body.size()) + "\r\n";
  s += x.connectionHead();
  s += "\r\n";
  s += x.failure.body;
  return x.writeToClient(s) && x.keepAlive;
}
}  // namespace

bool handleRequest(ProxyContext& context, runtime::Connection& client, RequestParser& parser) {
  Exchange x(context, client, parser);
  if (const auto refusal = admit(x))
    return x.answer(refusal->status, refusal->retryAfter, refusal->why);
  x.watch.emplace(client);

  RetryInput state;
  state.kind = kindOf(*x.route);
  // A partner site keeps more attempts for itself; a try that came from there has one runner here.
  state.runnersAllowed = field(x.request, kFromPartner).empty() ? x.route->maxAttempts : 1;

  auto decision = RetryDecision::tryAnother;
  if (const auto partner = partnerFor(x, state); !partner.empty()) {
    tryPartner(x, partner, state);
    state.answerStarted = x.answerStarted;
    state.resumePointKnown = x.events.resumable();
    decision = decide(state);
  }
  for (int tries = 0; decision == RetryDecision::tryAnother; ++tries) {
    if (x.watch->gone())
      return false;
    if (Exchange::now() >= x.deadline)
      state.outcome = AttemptOutcome::deadlineExceeded;
    const bool mayTry =
        state.outcome != AttemptOutcome::deadlineExceeded && tries < state.runnersAllowed + kConnectTries;
    const int runner = mayTry ? nextRunner(x, state) : -1;
    if (runner < 0) {
      decision = conclude(state);
      break;
    }
    tryRunner(x, runner, state);
    decision = decide(state);
  }

  switch (decision) {
    case RetryDecision::finished:
      ++context.served;
      return x.keepAlive;
    case RetryDecision::tryAnother:  // the loop does not end with it
    case RetryDecision::close:
      // An answer begun and not ended must not look whole.
      context.cutAnswers += x.answerStarted && state.outcome != AttemptOutcome::clientGone;
      return false;
    case RetryDecision::relayFailure:
      return relayFailure(x);
    case RetryDecision::answerBadGateway:
      return x.answer(502, Duration(0), "the runner's answer was lost");
    case RetryDecision::answerTimeout:
      return x.answer(504, Duration(0), "time is up");
    case RetryDecision::answerUnavailable:
      break;
  }
  // Nothing has run: say when to come back, spread so that all do not come at once.
  return x.answer(503, Duration(100 + static_cast<std::int64_t>(context.rng() % 200)), "no runner is free");
}
}  // namespace zinccleat::proxy
