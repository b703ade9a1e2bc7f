/// The main function shared by the three daemons (agent, proxy and controller): start, signal handling, reload of the
/// settings and exit code.
#pragma once
#include "config/settings.hpp"
#include "runtime/event_loop.hpp"
namespace zinccleat::config {
/// The callbacks of a daemon. `runDaemon` calls all of them on the event loop's thread.
struct Daemon {
  /// Opens listeners and links, before the event loop runs. An error ends the process.
  std::function<Result<void>()> start;
  /// Called for each SIGTERM or SIGINT, possibly more than once. The daemon calls `EventLoop::stop` as soon as the
  /// process may exit.
  std::function<void()> shutDown;
  /// Called with the new settings after the settings file was reloaded, because the file changed or SIGHUP arrived.
  std::function<void(const Settings&)> reloadSettings;
};
/// Starts a daemon and runs the event loop until it is stopped. If a reload of the settings file fails, the failure is
/// logged and the current settings stay in force.
/// @param settings the settings at the start of the daemon; a reload reads the file `settings.path`. Must outlive the
/// call.
/// @param program the name of the program in the log line about a failed start.
/// @return the exit code of the process: 0, or 1 if the daemon failed to start.
int runDaemon(runtime::EventLoop& loop, std::string_view program, const Settings& settings, const Daemon& daemon);
}  // namespace zinccleat::config
