/// What the three daemons (agent, proxy and controller) have in common: start, signals, settings that change, exit
/// code.
#pragma once
#include "config/settings.hpp"
#include "runtime/event_loop.hpp"
namespace zinccleat::config {
/// A daemon as `runDaemon` sees it. All functions are called on the event loop's thread.
struct Daemon {
  /// Opens listeners and links; nothing runs yet. An error ends the process.
  std::function<Result<void>()> start;
  /// SIGTERM or SIGINT has come, for the first time or again. Calls `EventLoop::stop` once the daemon may end.
  std::function<void()> shutDown;
  /// The settings file was read again, because it has changed or because SIGHUP has come.
  std::function<void(const Settings&)> reloadSettings;
};
/// Starts a daemon and runs the event loop until it is stopped. Settings that cannot be read again are logged, and the
/// earlier ones stay in force.
/// @param settings those that the daemon has begun with; their file is the one that is read again. Must outlive the
/// call.
/// @param program the name of the program in the log line of a failed start.
/// @return the exit code of the process: 0, or 1 if the daemon could not start.
int runDaemon(runtime::EventLoop& loop, std::string_view program, const Settings& settings, const Daemon& daemon);
}  // namespace zinccleat::config
