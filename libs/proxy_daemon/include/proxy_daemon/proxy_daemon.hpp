/// The proxy's program: the proxy itself (`libs/proxy`) with all that keeps its view of the fleet up to date. The
/// parts:
///
///  - `daemon.hpp` wires the parts below to sockets, timers and signals;
///  - `agent_link.hpp` is the connection to the agent on the same machine;
///  - `lease_renewal.hpp` decides until when the proxy may serve (pure);
///  - `pending_requests.hpp` matches responses of the leader to requests (pure);
///  - `state_adoption.hpp` hands what the log says to the proxy: runners, zone drains, configuration;
///  - `zone_drains.hpp` resolves zones and regions (pure);
///  - `node_report.hpp` gathers what the leader is to know of this machine;
///  - `quota_token_client.hpp` gets tokens for requests that wait;
///  - `partner_lookup.hpp` asks whether the partner site has a prompt prefix;
///  - `readiness_server.hpp` answers health checks.
#pragma once
#include "config/settings.hpp"
namespace zinccleat::proxy_daemon {
/// Runs the proxy until it may end after SIGTERM.
/// @return the exit code of the process.
int runProxy(const config::Settings& settings);
}  // namespace zinccleat::proxy_daemon
