#include "config/run_daemon.hpp"

#include "runtime/lifecycle.hpp"
#include "runtime/log_ring.hpp"

namespace zinccleat::config {
namespace {
void reload(const Daemon& daemon) {
  if (const auto settings = loadSettings(settingsPath()))
    daemon.reloadSettings(*settings);
  else
    log::error("settings_unreadable", {{"reason", settings.error().message}});
}
}  // namespace

int runDaemon(runtime::EventLoop& loop, std::string_view program, const Daemon& daemon) {
  if (const auto started = daemon.start(); !started) {
    log::info("daemon_start_failed", {{"program", program}, {"reason", started.error().message}});
    return 1;
  }
  runtime::watchLifecycle(settingsPath(),
                          {.onTerminate = daemon.shutDown, .onReloadSettings = [&daemon] { reload(daemon); }});
  loop.run();
  return 0;
}
}  // namespace zinccleat::config
