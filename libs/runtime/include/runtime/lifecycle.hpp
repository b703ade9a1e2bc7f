/// Handles requests to stop the process or to reload its settings, made by signals or by changing the settings file.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::runtime {
/// A request to the process.
enum class LifecycleEvent {
  terminate,       ///< SIGTERM or SIGINT: shut down gracefully
  reloadSettings,  ///< SIGHUP, or the settings file has changed
  dumpLog,         ///< SIGUSR1: write the log's ring buffer to standard error
};
/// The callbacks for lifecycle events. `LifecycleEvent::dumpLog` is handled by `watchLifecycle` itself.
struct LifecycleHandlers {
  std::function<void()> onTerminate;
  std::function<void()> onReloadSettings;
};
/// Blocks the signals of `LifecycleEvent` in the calling thread, and in threads that the calling thread starts later.
/// Blocked signals stay pending until `watchLifecycle` unblocks them. Without blocking, such a signal would kill a
/// process that is still starting or has left its event loop. Must be called before the first other thread starts.
void blockLifecycleSignals();
/// Unblocks the signals and calls the handlers on the event loop's thread until the loop stops. A handler may be called
/// more than once.
/// @param settingsPath the file that is checked for changes every two seconds; the file need not exist.
void watchLifecycle(const std::string& settingsPath, LifecycleHandlers handlers);
}  // namespace zinccleat::runtime
