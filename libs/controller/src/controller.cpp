#include "controller/controller.hpp"

#include "control_server.hpp"
#include "controller_node.hpp"
#include "runtime/lifecycle.hpp"
#include "runtime/log_ring.hpp"

namespace zinccleat::controller {
namespace {
Result<void> startController(ControllerNode& node) {
  if (auto started = node.start(); !started)
    return started;
  return startControlServer(node.settings().controlAddr, node);
}
void reloadSettings(ControllerNode& node) {
  if (auto settings = config::loadSettings(config::settingsPath()))
    node.reloadSettings(*settings);
  else
    log::error("settings_unreadable", {{"reason", settings.error().message}});
}
}  // namespace

int runController(const config::Settings& settings) {
  runtime::EventLoop loop;
  ControllerNode node(settings);
  if (auto started = startController(node); !started) {
    log::info("controller_start_failed", {{"reason", started.error().message}});
    return 1;
  }
  runtime::watchLifecycle(config::settingsPath(), {.onTerm = [&] { node.shutDown([&] { loop.stop(); }); },
                                                   .onSettings = [&] { reloadSettings(node); }});
  loop.run();
  return 0;
}
}  // namespace zinccleat::controller
