/// The life of a daemon process (agent, proxy or controller): settings, start, signals, reload of the settings and end.
#pragma once
#include "config/settings.hpp"
#include "runtime/event_loop.hpp"
#include "runtime/startup.hpp"
namespace zinccleat::config {
/// The callbacks of a daemon. `runDaemon` calls all of them on the event loop's thread.
struct Daemon {
  /// Opens listeners and links, before the event loop runs. Waits for obstacles through the argument only. An error
  /// ends the process.
  std::function<Result<void>(runtime::Startup&)> start;
  /// Called for each SIGTERM or SIGINT, possibly more than once. The daemon calls `EventLoop::stop` as soon as the
  /// process may exit.
  std::function<void()> shutDown;
  /// Called with the new settings after the settings file was reloaded, because the file changed or SIGHUP arrived.
  std::function<void(const Settings&)> reloadSettings;
};
/// Constructs a daemon and calls `runDaemon`. Does not return.
using RunDaemon = void (*)(const Settings&, runtime::Startup&);
/// Runs a whole daemon process: blocks the lifecycle signals, reads the settings, calls `run` and ends the process.
/// Invalid settings end it with `ExitStatus::invalidSettings` once `StartupTimeouts::settings` has passed.
/// @param program the name of the program in log lines.
[[noreturn]] void runDaemonProcess(std::string_view program, const std::string& settingsPath, RunDaemon run);
/// Starts a daemon, runs the event loop until it is stopped, and ends the process: with `ExitStatus::success` after a
/// request to end, also during the start, or with `ExitStatus::startFailed`. If a reload of the settings file fails,
/// the failure is logged and the current settings stay in force.
/// @param settings the settings at the start of the daemon; a reload reads the file `settings.path`.
/// @param program the name of the program in the log line about a failed start.
[[noreturn]] void runDaemon(runtime::EventLoop& loop, std::string_view program, const Settings& settings,
                            runtime::Startup& startup, const Daemon& daemon);
}  // namespace zinccleat::config
