#include "runtime/lifecycle.hpp"

#include <sys/stat.h>

#include <array>
#include <boost/asio/signal_set.hpp>
#include <csignal>

#include "runtime/event_loop.hpp"
#include "runtime/log_ring.hpp"

namespace zinccleat::runtime {
namespace {
constexpr auto kFileCheckInterval = 2000ms;

constexpr std::array kSignals{SIGTERM, SIGINT, SIGHUP, SIGUSR1};

void changeSignalMask(int how) {
  sigset_t signals;
  ::sigemptyset(&signals);
  for (const int signal : kSignals)
    ::sigaddset(&signals, signal);
  ::pthread_sigmask(how, &signals, nullptr);
}
LifecycleEvent eventOf(int signal) {
  switch (signal) {
    case SIGHUP:
      return LifecycleEvent::reloadSettings;
    case SIGUSR1:
      return LifecycleEvent::dumpLog;
    default:
      return LifecycleEvent::terminate;
  }
}
/// A value that changes with the modification time or the size of a file; 0 if the file does not exist.
std::int64_t fingerprintOf(const std::string& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0)
    return 0;
  const std::int64_t modifiedNs = status.st_mtim.tv_sec * std::int64_t{1'000'000'000} + status.st_mtim.tv_nsec;
  return modifiedNs + status.st_size;
}

/// Watches signals and the settings file. Owned by the pending wait for a signal and by the periodic file check.
class LifecycleWatcher : public std::enable_shared_from_this<LifecycleWatcher> {
 public:
  LifecycleWatcher(std::string settingsPath, LifecycleHandlers handlers)
      : settingsPath_(std::move(settingsPath)),
        fingerprint_(fingerprintOf(settingsPath_)),
        handlers_(std::move(handlers)),
        signals_(EventLoop::get().io()) {
    for (const int signal : kSignals)
      signals_.add(signal);
  }
  void start() {
    awaitSignal();
    changeSignalMask(SIG_UNBLOCK);
    EventLoop::get().callEvery(kFileCheckInterval, [self = shared_from_this()] { self->checkFile(); });
  }

 private:
  void awaitSignal() {
    signals_.async_wait([self = shared_from_this()](SocketError ec, int signal) {
      if (ec)
        return;
      self->handle(eventOf(signal));
      self->awaitSignal();
    });
  }
  void checkFile() {
    const auto fingerprint = fingerprintOf(settingsPath_);
    if (std::exchange(fingerprint_, fingerprint) != fingerprint)
      handle(LifecycleEvent::reloadSettings);
  }
  void handle(LifecycleEvent event) const {
    switch (event) {
      case LifecycleEvent::terminate:
        return handlers_.onTerminate();
      case LifecycleEvent::reloadSettings:
        return handlers_.onReloadSettings();
      case LifecycleEvent::dumpLog:
        return log::dump();
    }
  }

  std::string settingsPath_;
  std::int64_t fingerprint_;
  LifecycleHandlers handlers_;
  asio::signal_set signals_;
};
}  // namespace

void blockLifecycleSignals() {
  changeSignalMask(SIG_BLOCK);
}
void watchLifecycle(const std::string& settingsPath, LifecycleHandlers handlers) {
  std::make_shared<LifecycleWatcher>(settingsPath, std::move(handlers))->start();
}
}  // namespace zinccleat::runtime
