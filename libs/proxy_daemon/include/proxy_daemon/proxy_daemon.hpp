/// The proxy process: the proxy itself (`libs/proxy`) and the components that keep its view of the fleet up to date.
/// The components:
///
///  - `daemon.hpp` connects the components below to sockets, timers and settings;
///  - `agent_link.hpp` is the connection to the agent on the same machine;
///  - `lease_renewal.hpp` decides until when the proxy may serve (pure);
///  - `pending_requests.hpp` matches responses of the leader to requests (pure);
///  - `state_adoption.hpp` applies the replicated state to the proxy: runners, zone drains, rollouts, configuration;
///  - `zone_drains.hpp` resolves zones and regions (pure);
///  - `node_report.hpp` builds the report on this machine for the leader;
///  - `quota_token_client.hpp` requests quota tokens for waiting client requests;
///  - `partner_lookup.hpp` queries whether the partner site has cached a prompt prefix;
///  - `readiness_server.hpp` answers health checks.
#pragma once
#include "config/settings.hpp"
#include "runtime/startup.hpp"
namespace zinccleat::proxy_daemon {
/// Runs the proxy until its graceful shutdown after SIGTERM is complete, and ends the process.
[[noreturn]] void runProxy(const config::Settings& settings, runtime::Startup& startup);
}  // namespace zinccleat::proxy_daemon
