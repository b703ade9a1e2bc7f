// What the platform tells a process by signals, and a settings file that changes silently.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::runtime {
struct Lifecycle {
  std::function<void()> onTerm, onSettings;
};
// Watches SIGTERM, SIGINT, SIGHUP, SIGUSR1 (writes the log ring out) and the file's change time.
void watchLifecycle(const std::string& settingsPath, Lifecycle l);
}  // namespace zinccleat::runtime
