/// The agent process. One agent runs next to each proxy. It follows the replicated log of the core and sends the log to
/// the proxy on the same machine. The components:
///
///  - `agent_daemon.hpp` connects the components below to sockets and timers;
///  - `leader_discovery.hpp` decides to which members of the core the agent connects (pure);
///  - `feed_source.hpp` decides which member of the core sends the log to the agent (pure);
///  - `core_links.hpp` maintains the connections to members of the core;
///  - `log_follower.hpp` orders the entries, detects missing entries and updates the replica (pure);
///  - `followed_replica.hpp` is the replica of the fleet's state (pure);
///  - `replica_lag.hpp` measures how long the replica has lacked committed entries (pure);
///  - `proxy_feed.hpp` sends the replica's state and new entries to the proxy;
///  - `port.hpp` defines the endpoint at which the proxy connects;
///  - `request_forwarding.hpp` defines which messages the agent forwards between proxy and leader (pure).
#pragma once
#include "config/settings.hpp"
#include "runtime/startup.hpp"
namespace zinccleat::agent {
/// Runs the agent until its shutdown after SIGTERM is complete, and ends the process.
[[noreturn]] void runAgent(const config::Settings& settings, runtime::Startup& startup);
}  // namespace zinccleat::agent
