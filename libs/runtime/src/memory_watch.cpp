#include "runtime/memory_watch.hpp"

#include <unistd.h>

#include <fstream>
#include <memory>

#include "runtime/event_loop.hpp"
#include "runtime/log_ring.hpp"

namespace zinccleat::runtime {
namespace {
constexpr std::size_t kBytesPerMb = std::size_t{1} << 20;
constexpr auto kWatchInterval = 2s;
constexpr std::size_t kPercent = 100;
constexpr std::size_t kNearPercent = 80;
constexpr std::size_t kWellBelowPercent = 70;

/// Resident bytes of this process; 0 if they cannot be read.
std::size_t residentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  if (!(statm >> total >> resident))
    return 0;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}
}  // namespace

bool MemoryWatch::hasComeNearLimit(std::size_t used) {
  if (limit_ == 0)
    return false;
  if (used < limit_ / kPercent * kWellBelowPercent)
    near_ = false;
  if (near_ || used < limit_ / kPercent * kNearPercent)
    return false;
  near_ = true;
  return true;
}
void watchMemory(int memoryMb) {
  if (memoryMb <= 0)
    return;
  auto watch = std::make_shared<MemoryWatch>(static_cast<std::size_t>(memoryMb) * kBytesPerMb);
  EventLoop::get().callEvery(kWatchInterval, [watch, memoryMb] {
    const auto used = residentBytes();
    if (watch->hasComeNearLimit(used))
      log::info("memory_near_limit", {{"resident_mb", used / kBytesPerMb}, {"limit_mb", memoryMb}});
  });
}
}  // namespace zinccleat::runtime
