#include "controller/controller.hpp"

#include "config/run_daemon.hpp"
#include "control_server.hpp"
#include "controller_node.hpp"

namespace zinccleat::controller {
namespace {
Result<void> startController(ControllerNode& node, ControlServer& server) {
  if (auto started = node.start(); !started)
    return started;
  return server.start();
}
}  // namespace

int runController(const config::Settings& settings) {
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
  return config::runDaemon(loop, "controller", settings,
                           {.start = [&] { return startController(node, server); },
                            .shutDown = [&] { node.shutDown(stopServing); },
                            .reloadSettings = [&](const config::Settings& changed) { node.reloadSettings(changed); }});
}
}  // namespace zinccleat::controller
