/// Requests to a process to stop or to reload its settings: by signals, and by changes of its settings file.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::runtime {
/// What a process is requested to do.
enum class LifecycleEvent {
  terminate,       ///< SIGTERM or SIGINT: shut down gracefully
  reloadSettings,  ///< SIGHUP, or the settings file has changed
  dumpLog,         ///< SIGUSR1: the log's ring buffer is written out
};
/// What the process does about it. `LifecycleEvent::dumpLog` needs no handler.
struct LifecycleHandlers {
  std::function<void()> onTerminate;
  std::function<void()> onReloadSettings;
};
/// Holds back the signals of `LifecycleEvent` in this thread, and in threads that it starts later, until
/// `watchLifecycle` takes what has come meanwhile. Without it such a signal ends a process that is still starting, or
/// has left its event loop. To be called before the first other thread starts.
void holdLifecycleSignals();
/// Calls the handlers on the event loop's thread until the loop stops. A handler may be called more than once.
/// @param settingsPath the file whose change is looked for every two seconds; it need not exist.
void watchLifecycle(const std::string& settingsPath, LifecycleHandlers handlers);
}  // namespace zinccleat::runtime
