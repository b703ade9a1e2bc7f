#include "agent/agent.hpp"

#include "agent/agent_daemon.hpp"
#include "config/run_daemon.hpp"

namespace zinccleat::agent {
void runAgent(const config::Settings& settings, runtime::Startup& startup) {
  runtime::EventLoop loop;
  AgentDaemon agent(settings);
  config::runDaemon(loop, "agent", settings, startup,
                    {.start = [&agent](runtime::Startup& waits) { return agent.start(waits); },
                     .shutDown = [&agent] { agent.shutDown(); },
                     .reloadSettings = [&agent](const config::Settings& changed) { agent.reloadSettings(changed); }});
}
}  // namespace zinccleat::agent
