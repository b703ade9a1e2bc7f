/// @file
/// Preloaded library that sends its own process lifecycle signals from a constructor, as a supervisor may while the
/// constructors of the process's libraries still run.
#include <unistd.h>

#include <csignal>

namespace {
[[gnu::constructor]] void sendSignals() {
  ::kill(::getpid(), SIGHUP);
  ::kill(::getpid(), SIGUSR1);
}
}  // namespace
