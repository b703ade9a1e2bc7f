#include "agent/agent.hpp"

#include "agent/agent_daemon.hpp"
#include "config/run_daemon.hpp"

namespace zinccleat::agent {
int runAgent(const config::Settings& settings) {
  runtime::EventLoop loop;
  AgentDaemon agent(settings);
  return config::runDaemon(
      loop, "agent", settings,
      {.start = [&agent] { return agent.start(); },
       .shutDown = [&agent] { agent.shutDown(); },
       .reloadSettings = [&agent](const config::Settings& changed) { agent.reloadSettings(changed); }});
}
}  // namespace zinccleat::agent
