#include "controller/controller.hpp"

#include "config/run_daemon.hpp"
#include "control_server.hpp"
#include "controller_node.hpp"

namespace zinccleat::controller {
namespace {
Result<void> startController(ControllerNode& node, ControlServer& server, runtime::Startup& startup) {
  if (auto started = node.start(startup); !started)
    return started;
  return startup.retry([&server] { return server.start(); });
}
}  // namespace

void runController(const config::Settings& settings, runtime::Startup& startup) {
  runtime::EventLoop loop;
  ControllerNode node(settings);
  ControlServer server(node, settings.controlAddress);
  // Called once the other controllers can operate without this member: answers the accepted requests and accepts no
  // more.
  const auto stopServing = [&](bool deadlinePassed) {
    server.stopAccepting();
    if (deadlinePassed || server.inFlight() == 0)
      loop.stop();
  };
  config::runDaemon(loop, "controller", settings, startup,
                    {.start = [&](runtime::Startup& waits) { return startController(node, server, waits); },
                     .shutDown = [&] { node.shutDown(stopServing); },
                     .reloadSettings = [&](const config::Settings& changed) { node.reloadSettings(changed); }});
}
}  // namespace zinccleat::controller
