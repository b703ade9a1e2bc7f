#include "config/run_daemon.hpp"

#include "runtime/lifecycle.hpp"
#include "runtime/log_ring.hpp"
#include "runtime/process_end.hpp"

namespace zinccleat::config {
namespace {
void reload(const std::string& path, const Daemon& daemon) {
  if (const auto settings = loadSettings(path))
    daemon.reloadSettings(*settings);
  else
    log::error("settings_unreadable", {{"reason", settings.error().message}});
}
}  // namespace

int runDaemon(runtime::EventLoop& loop, std::string_view program, const Settings& settings, const Daemon& daemon) {
  if (const auto started = daemon.start(); !started) {
    log::info("daemon_start_failed", {{"program", program}, {"reason", started.error().message}});
    return 1;
  }
  runtime::watchLifecycle(settings.path,
                          {.onTerminate = daemon.shutDown, .onReloadSettings = [&] { reload(settings.path, daemon); }});
  loop.run();
  runtime::blockLifecycleSignals();  // a further signal must not kill the process during its cleanup
  runtime::endProcess(runtime::ExitStatus::success, "asked to end");
}
}  // namespace zinccleat::config
