/// Logs that the process's memory comes near its limit. The platform kills a process that exceeds the limit, and such
/// an end leaves no line of its own.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::runtime {
/// Decides when a line is due.
class MemoryWatch {
 public:
  /// @param limit in bytes; 0: none
  explicit MemoryWatch(std::size_t limit) : limit_(limit) {}
  /// @param used resident bytes
  /// @return whether memory has come near the limit since the last call, after it had been well below it.
  bool hasComeNearLimit(std::size_t used);

 private:
  std::size_t limit_;
  bool near_ = false;
};
/// Watches this process for as long as the event loop runs. @param memoryMb 0: not watched
void watchMemory(int memoryMb);
}  // namespace zinccleat::runtime
