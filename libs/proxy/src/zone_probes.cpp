#include "proxy/zone_probes.hpp"

#include "runtime/log_ring.hpp"

namespace zinccleat::proxy {
namespace {
constexpr Duration kProbeTimeout{300};
constexpr Duration kProbedConnectionLifetime{1000};

// Their fibers find their connection's operation cancelled, and try another runner.
void abandonAttempts(ProxyContext& context, const std::string& zone) {
  for (auto* attempt : context.pendingAttempts)
    if (attempt->abandonable && context.runners.at(attempt->runner).zone == zone)
      attempt->abandonable->cancel();
}
void probe(ProxyContext& context, const std::string& zone, const std::string& runnerId, const std::string& address) {
  const auto endpoint = runtime::parseEndpoint(address);
  if (!endpoint)
    return;
  auto connection = std::make_unique<runtime::Connection>();
  runtime::SocketError ec;
  connection->setDeadline(Clock::now() + kProbeTimeout);
  connection->connect(*endpoint, ec);
  const auto now = Clock::now();
  if (ec && connection->deadlineExceeded()) {
    if (context.runners.recordProbeTimeout(zone)) {
      log::debug("zone_unreachable", {{"zone", zone}, {"reason", "several runners are silent"}});
      abandonAttempts(context, zone);
    }
    return;
  }
  // A refusal comes from there too.
  if (context.runners.recordZoneHeard(zone, now))
    log::debug("zone_reachable", {{"zone", zone}});
  if (ec)
    return;
  connection->clearDeadline();
  context.connections.release(runnerId, std::move(connection), now + kProbedConnectionLifetime, now);
}
}  // namespace

void probeSilentZones(ProxyContext& context) {
  std::vector<balancing::ZoneReachability::SilentAttempt> silent;
  silent.reserve(context.pendingAttempts.size());
  for (const auto* attempt : context.pendingAttempts)
    silent.push_back({context.runners.at(attempt->runner).zone, attempt->runner, attempt->startedAt});
  for (const auto& zone : context.runners.zonesToProbe(silent, Clock::now())) {
    const int runner = context.runners.anyRunnerIn(zone);
    if (runner < 0)
      continue;
    const auto& endpoint = context.runners.at(runner);
    runtime::EventLoop::get().spawn(
        [&context, zone, id = endpoint.id, address = endpoint.address] { probe(context, zone, id, address); });
  }
}
}  // namespace zinccleat::proxy
