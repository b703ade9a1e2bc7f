#include "config/run_daemon.hpp"

#include "runtime/lifecycle.hpp"
#include "runtime/log_ring.hpp"
#include "runtime/memory_watch.hpp"
#include "runtime/process_end.hpp"

namespace zinccleat::config {
namespace {
using runtime::ExitStatus;

void reload(const std::string& path, const Daemon& daemon) {
  if (const auto settings = loadSettings(path))
    daemon.reloadSettings(*settings);
  else
    log::error("settings_unreadable", {{"reason", settings.error().message}});
}
Result<Settings> awaitSettings(runtime::Startup& startup, const std::string& path) {
  for (;;) {
    auto settings = loadSettings(path);
    if (settings || !startup.retryAfter(runtime::Obstacle::settings, settings.error()))
      return settings;
  }
}
/// Ends a process whose start has failed or was ended by a signal.
[[noreturn]] void endFailedStart(const runtime::Startup& startup, std::string_view program, ExitStatus status,
                                 const Error& error) {
  if (startup.terminationRequested())
    runtime::endProcess(ExitStatus::success, "asked to end during the start, which waited: " + error.message);
  log::dump();
  log::info("daemon_start_failed",
            {{"program", program}, {"reason", error.message}, {"status", static_cast<int>(status)}});
  runtime::exitWithoutCleanup(static_cast<int>(status));
}
}  // namespace

void runDaemonProcess(std::string_view program, const std::string& settingsPath, RunDaemon run) {
  const std::string name(program);
  runtime::blockLifecycleSignals();
  runtime::reportCrashes("zinccleat/" + name);
  log::setNodeName("zinccleat/" + name);
  runtime::Startup startup;
  const auto settings = awaitSettings(startup, settingsPath);
  if (!settings)
    endFailedStart(startup, program, ExitStatus::invalidSettings, settings.error());
  runtime::reportCrashes(settings->node + "/" + name);
  log::setNodeName(settings->node + "/" + name);
  startup.setGrace(settings->timers.grace);
  run(*settings, startup);
  runtime::endProcess(ExitStatus::success, "asked to end");
}
void runDaemon(runtime::EventLoop& loop, std::string_view program, const Settings& settings, runtime::Startup& startup,
               const Daemon& daemon) {
  if (const auto started = daemon.start(startup); !started)
    endFailedStart(startup, program, ExitStatus::startFailed, started.error());
  runtime::watchLifecycle(settings.path,
                          {.onTerminate = daemon.shutDown, .onReloadSettings = [&] { reload(settings.path, daemon); }});
  runtime::watchMemory(settings.memoryMb);
  loop.run();
  runtime::endProcess(ExitStatus::success, "asked to end");
}
}  // namespace zinccleat::config
