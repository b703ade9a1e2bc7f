#include "admission_check.hpp"

#include "balancing/prompt_prefix.hpp"
#include "headers.hpp"

namespace zinccleat::proxy {
namespace {
// `Retry-After` while this process shuts down is short because other nodes can serve the client immediately.
constexpr Duration kShutdownRetryAfter{100};
constexpr std::uint64_t kShutdownRetrySpreadMs = 200;
constexpr std::int64_t kOverloadRetryAfterMs = 400;
constexpr std::uint64_t kOverloadRetrySpreadMs = 900;
constexpr std::uint64_t kDrawSteps = 1000;
constexpr Duration kMinQuotaWait{15};
constexpr Duration kMaxQuotaWait{150};
constexpr Duration kMaxQuotaWaitResponsive{250};
constexpr Duration kTokenResponseTimeout{100};
using MaybeRejection = std::optional<Rejection>;

std::string_view bearerKey(const http::fields& fields) {
  constexpr std::string_view kScheme = "bearer ";
  auto value = headerValue(fields, "Authorization");
  if (value.size() <= kScheme.size() || !equalsIgnoreCase(value.substr(0, kScheme.size()), kScheme))
    return {};
  value.remove_prefix(kScheme.size());
  while (!value.empty() && value.front() == ' ')
    value.remove_prefix(1);
  while (!value.empty() && value.back() == ' ')
    value.remove_suffix(1);
  return value;
}

MaybeRejection checkServing(const Exchange& exchange) {
  auto& context = exchange.context;
  // The process may exit before it could answer a request that it accepts now.
  if (!context.shutdown.acceptsRequests(exchange.arrivedAt)) {
    const auto spread = Duration(static_cast<std::int64_t>(context.rng() % kShutdownRetrySpreadMs));
    return Rejection{503, kShutdownRetryAfter + spread, "shutting down"};
  }
  // Without a valid lease, the configuration may be outdated and still contain a revoked key.
  if (!context.hasLease(exchange.arrivedAt))
    return Rejection{503, context.retryAfterWithoutLease(exchange.arrivedAt), "no fresh lease"};
  return std::nullopt;
}

MaybeRejection findRoute(Exchange& exchange) {
  const auto& configuration = *exchange.configuration;
  const std::string_view target(exchange.request.target().data(), exchange.request.target().size());
  const int index = configuration.find(headerValue(exchange.request, "Host"), target);
  if (index < 0)
    return Rejection{404, Duration(0), "no route"};
  exchange.route = &configuration.routes[static_cast<std::size_t>(index)];
  exchange.precedence = exchange.route->precedence;
  return std::nullopt;
}

MaybeRejection authenticate(Exchange& exchange) {
  const auto& configuration = *exchange.configuration;
  if (!configuration.requiresAccessKeys || exchange.route->keyless)
    return std::nullopt;
  const int index = configuration.findSubscriber(bearerKey(exchange.request));
  if (index < 0)
    return Rejection{401, Duration(0), "key not known"};
  exchange.subscriber = &configuration.subscribers[static_cast<std::size_t>(index)];
  exchange.tenant = exchange.subscriber->label;
  if (exchange.subscriber->precedence >= 0)
    exchange.precedence = exchange.subscriber->precedence;
  return std::nullopt;
}

// Chooses one of the route's services at random, in proportion to their weights.
const config::Service& selectService(Exchange& exchange) {
  const auto& route = *exchange.route;
  std::uint64_t draw = route.totalWeight > 1 ? exchange.context.rng() % route.totalWeight : 0;
  std::size_t target = 0;
  while (target + 1 < route.targets.size() && draw >= route.targets[target].weight)
    draw -= route.targets[target++].weight;
  return exchange.configuration->services[static_cast<std::size_t>(route.targets[target].service)];
}

MaybeRejection checkOverload(Exchange& exchange) {
  auto& context = exchange.context;
  const double draw = static_cast<double>(context.rng() % kDrawSteps) / kDrawSteps;
  if (context.admission.admits(*exchange.service, exchange.precedence, draw, exchange.arrivedAt))
    return std::nullopt;
  ++context.turnedAway[*exchange.service];
  const auto spread = static_cast<std::int64_t>(context.rng() % kOverloadRetrySpreadMs);
  return Rejection{503, Duration(kOverloadRetryAfterMs + spread), "overloaded"};
}

// Registers a request as waiting for quota tokens for the duration of a scope.
class QuotaWaitScope {
 public:
  QuotaWaitScope(ProxyContext& context, const std::string& tenant) : context_(context) {
    context_.quotaWaiters.push_back({&tenant, &waiter_});
  }
  ~QuotaWaitScope() {
    std::erase_if(context_.quotaWaiters, [this](const auto& waiting) { return waiting.waiter == &waiter_; });
  }
  QuotaWaitScope(const QuotaWaitScope&) = delete;
  QuotaWaitScope& operator=(const QuotaWaitScope&) = delete;

  // Returns false if the timeout expired before tokens were granted.
  bool waitFor(Duration timeout) { return runtime::EventLoop::get().waitFor(waiter_, timeout); }

 private:
  ProxyContext& context_;
  runtime::Waiter waiter_;
};

// The time until which a request may wait for a quota token. A rejection must come well within the latency target, so
// that the client's next attempt can still meet the target. While the leader is responsive, a longer wait is allowed,
// because a late grant still leaves time to run the request, whereas another attempt would not.
TimePoint quotaDeadline(const Exchange& exchange) {
  const auto target = exchange.route->latencyTarget;
  const bool responsive = exchange.context.quota.leaderResponsive(exchange.arrivedAt);
  return exchange.arrivedAt + (responsive ? std::clamp(target * 9 / 20, kMinQuotaWait, kMaxQuotaWaitResponsive)
                                          : std::clamp(target / 5, kMinQuotaWait, kMaxQuotaWait));
}

bool waitForQuotaToken(Exchange& exchange, const std::string& tenant) {
  auto& context = exchange.context;
  auto& quota = context.quota;
  const auto deadline = quotaDeadline(exchange);
  QuotaWaitScope wait(context, tenant);
  while (Exchange::now() < deadline) {
    quota.requestToken(tenant);
    context.requestQuotaTokens();
    const auto timeLeft = toDuration(deadline - Exchange::now()) + Duration(1);
    const bool granted = wait.waitFor(std::clamp(timeLeft, Duration(1), kTokenResponseTimeout));
    if (quota.retryAcquire(tenant, Exchange::now()))
      return true;
    if (!granted)
      continue;
    // The leader had no token for this request. Wait for the leader's next token if it is due before the deadline.
    const auto nextToken = quota.timeToNextToken(tenant);
    if (Exchange::now() + nextToken >= deadline)
      break;
    (void)wait.waitFor(nextToken);
    if (quota.retryAcquire(tenant, Exchange::now()))
      return true;
  }
  quota.cancelTokenRequest(tenant);
  return false;
}

MaybeRejection checkQuota(Exchange& exchange) {
  if (!exchange.subscriber || exchange.subscriber->ratePerS <= 0)
    return std::nullopt;
  auto& quota = exchange.context.quota;
  const auto& tenant = exchange.subscriber->label;
  if (quota.tryAcquire(tenant, Exchange::now())) {
    if (quota.shouldRefill(tenant, Exchange::now()))
      exchange.context.requestReserveRefill();
    return std::nullopt;
  }
  if (waitForQuotaToken(exchange, tenant))
    return std::nullopt;
  return Rejection{429, quota.retryAfter(tenant, Exchange::now()), "over quota"};
}

void setDeadline(Exchange& exchange) {
  const auto expiry = exchange.route->expiry;
  const auto requestedMs = parseNumber(headerValue(exchange.request, "X-Deadline-Ms"), expiry.count());
  exchange.deadline = exchange.arrivedAt + std::min(Duration(requestedMs), expiry);
}

void prepareRunnerQuery(Exchange& exchange, const config::Service& service) {
  auto& query = exchange.query;
  query.service = service.label;
  query.zone = exchange.context.zone;
  query.hasPrefixCache = service.engine;
  query.idempotent = exchange.route->idempotent();
  if (!service.engine)
    return;
  const auto prefix = balancing::parsePromptPrefix(headerValue(exchange.request, "X-Prompt-Prefix"));
  if (exchange.route->sessionAffinity) {
    query.affinity = prefix.affinity;
    query.sharedTokens = prefix.sharedTokens;
  }
  const auto tokenCounts = headerValue(exchange.request, "X-Token-Count");
  query.promptTokens = std::max(prefix.totalTokens, parseNumber(tokenCounts.substr(0, tokenCounts.find(',')), 0));
}
}  // namespace

std::optional<Rejection> admit(Exchange& exchange) {
  exchange.attemptId = std::string(headerValue(exchange.request, "X-Attempt-Id"));
  if (auto rejection = checkServing(exchange))
    return rejection;
  if (auto rejection = findRoute(exchange))
    return rejection;
  if (auto rejection = authenticate(exchange))
    return rejection;
  const auto& service = selectService(exchange);
  exchange.service = &service.label;
  // Overload is checked before the quota because a request that is shed must not use up a token.
  if (auto rejection = checkOverload(exchange))
    return rejection;
  if (auto rejection = checkQuota(exchange))
    return rejection;
  setDeadline(exchange);
  exchange.context.retryBudget.recordRequest(service.label, exchange.arrivedAt);
  exchange.context.revisions.recordRequest(service.label);
  prepareRunnerQuery(exchange, service);
  return std::nullopt;
}
}  // namespace zinccleat::proxy
