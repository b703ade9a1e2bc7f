#include "admission_check.hpp"

#include "heads.hpp"

namespace zinccleat::proxy {
namespace {
// When a client that finds this process about to end should try again, which other nodes can serve at once.
constexpr Duration kRetryElsewhere{100};
constexpr std::uint64_t kRetrySpreadMs = 200;

std::string_view bearerKey(const http::fields& f) {
  auto v = field(f, "Authorization");
  constexpr std::string_view scheme = "bearer ";
  if (v.size() <= scheme.size() || !sameText(v.substr(0, scheme.size()), scheme))
    return {};
  v.remove_prefix(scheme.size());
  while (!v.empty() && v.front() == ' ')
    v.remove_prefix(1);
  while (!v.empty() && v.back() == ' ')
    v.remove_suffix(1);
  return v;
}

// A token of the quota: from the stash, or drawn in one short round trip. A request that finds the purse empty is
// turned away as soon as that is known, unless a token will be there in time.
bool takeQuotaToken(Exchange& x, const std::string& tenant) {
  auto& context = x.context;
  auto& quota = context.quota;
  if (quota.take(tenant, Exchange::now())) {
    if (quota.low(tenant, Exchange::now()))
      context.drawGrants();
    return true;
  }
  // Why not long: a refusal must come well inside the aim, so that the client's next try still can. While draws are
  // answered one that is merely late is awaited longer: the answer leaves time for the work, another try would not.
  const auto latencyTarget = x.route->latencyTarget;
  const auto end =
      x.arrived + (quota.answering(x.arrived) ? std::clamp(latencyTarget * 9 / 20, Duration(15), Duration(250))
                                              : std::clamp(latencyTarget / 5, Duration(15), Duration(150)));
  runtime::Waiter waiter;
  context.quotaWaits.push_back({&tenant, &waiter});
  bool has = false;
  while (!has && Exchange::now() < end) {
    quota.wait(tenant);
    context.askTokens();
    const auto left = toDuration(end - Exchange::now()) + Duration(1);
    const bool told = runtime::EventLoop::get().waitFor(waiter, std::max(Duration(1), std::min(Duration(100), left)));
    has = quota.retake(tenant, Exchange::now());
    if (has || !told)
      continue;
    const auto again = quota.until(tenant);
    if (Exchange::now() + again >= end)
      break;
    (void)runtime::EventLoop::get().waitFor(waiter, again);
    has = quota.retake(tenant, Exchange::now());
  }
  if (!has)
    quota.unwait(tenant);
  std::erase_if(context.quotaWaits, [&](auto& t) { return t.waiter == &waiter; });
  return has;
}
// One of the route's services, drawn by their shares.
const config::Service& drawService(Exchange& x) {
  const auto& route = *x.route;
  std::uint64_t draw = route.totalWeight > 1 ? x.context.rng() % route.totalWeight : 0;
  std::size_t i = 0;
  while (i + 1 < route.targets.size() && draw >= route.targets[i].weight)
    draw -= route.targets[i++].weight;
  return x.configuration->services[static_cast<std::size_t>(route.targets[i].service)];
}
void describe(Exchange& x, const config::Service& service) {
  auto& query = x.query;
  query.service = service.label;
  query.zone = x.context.zone;
  query.engine = service.engine;
  query.idempotent = x.route->idempotent();
  if (!service.engine)
    return;
  const auto parts = balancing::promptOf(field(x.request, "X-Prompt-Prefix"));
  if (x.route->sessionAffinity) {
    query.affinity = parts.affinity;
    query.sharedTokens = parts.shared;
  }
  const auto tokens = field(x.request, "X-Token-Count");
  query.promptTokens = std::max(parts.all, wholeNumber(tokens.substr(0, tokens.find(',')), 0));
}
}  // namespace

std::optional<Refusal> admit(Exchange& x) {
  auto& context = x.context;
  x.attemptId = std::string(field(x.request, "X-Attempt-Id"));

  // Why a refusal: a process that is about to end could not answer what it takes on now.
  if (!context.shutdown.takesRequests(x.arrived))
    return Refusal{503, kRetryElsewhere + Duration(static_cast<std::int64_t>(context.rng() % kRetrySpreadMs)),
                   "shutting down"};

  // Why before all else: without a fresh lease this copy may be older than a key that was taken away.
  if (!context.hasLease(x.arrived))
    return Refusal{503, context.retryAfterLease(x.arrived), "no fresh lease"};

  const std::string_view target(x.request.target().data(), x.request.target().size());
  const int routeIndex = x.configuration->find(field(x.request, "Host"), target);
  if (routeIndex < 0)
    return Refusal{404, Duration(0), "no route"};
  x.route = &x.configuration->routes[static_cast<std::size_t>(routeIndex)];
  x.precedence = x.route->precedence;

  const config::Subscriber* subscriber = nullptr;
  if (!x.configuration->subscribers.empty() && !x.route->keyless) {
    const int index = x.configuration->findSubscriber(bearerKey(x.request));
    if (index < 0)
      return Refusal{401, Duration(0), "key not known"};
    subscriber = &x.configuration->subscribers[static_cast<std::size_t>(index)];
    x.tenant = subscriber->label;
    if (subscriber->precedence >= 0)
      x.precedence = subscriber->precedence;
  }
  const auto& service = drawService(x);
  x.service = &service.label;
  // Why before the quota: what is turned away here must not cost a token.
  const double draw = static_cast<double>(context.rng() % 1000) / 1000;
  if (!context.admission.allows(service.label, x.precedence, draw, x.arrived))
    return Refusal{503, Duration(400 + static_cast<std::int64_t>(context.rng() % 900)), "overloaded"};
  if (subscriber && subscriber->ratePerS > 0 && !takeQuotaToken(x, subscriber->label))
    return Refusal{429, context.quota.hint(subscriber->label, Exchange::now()), "over quota"};

  const auto asked = wholeNumber(field(x.request, "X-Deadline-Ms"), x.route->expiry.count());
  x.deadline = x.arrived + std::min(Duration(asked), x.route->expiry);
  context.budget.earn(service.label, x.arrived);
  describe(x, service);
  return std::nullopt;
}
}  // namespace zinccleat::proxy
