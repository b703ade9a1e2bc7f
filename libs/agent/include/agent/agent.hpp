/// The agent's program. One runs beside each proxy, follows the replicated log of the core and feeds it to the proxy
/// over loopback. The parts:
///
///  - `agent_daemon.hpp` wires the parts below to sockets and timers;
///  - `leader_discovery.hpp` decides which members of the core to be connected to (pure);
///  - `core_links.hpp` keeps these connections;
///  - `log_follower.hpp` orders the entries, notices what is missing and keeps the replica (pure);
///  - `proxy_feed.hpp` brings the proxy to the replica's state;
///  - `request_forwarding.hpp` names the messages that pass through the agent unread (pure).
#pragma once
#include "config/settings.hpp"
namespace zinccleat::agent {
/// Runs the agent until it may end after SIGTERM.
/// @return the exit code of the process.
int runAgent(const config::Settings& settings);
}  // namespace zinccleat::agent
