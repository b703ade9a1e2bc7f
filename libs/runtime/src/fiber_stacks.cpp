#include "fiber_stacks.hpp"

#include <sys/mman.h>
#include <unistd.h>

#include <cstdlib>
#include <new>

namespace zinccleat::runtime {
namespace {
std::size_t roundUpToPages(std::size_t bytes) {
  static const auto page = static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  return (bytes + page - 1) / page * page;
}
// Stacks grow downwards, so Boost.Context expects the address just above the highest byte of the stack.
boost::context::stack_context stackAt(void* lowest, std::size_t bytes) {
  boost::context::stack_context stack;
  stack.size = bytes;
  stack.sp = static_cast<char*>(lowest) + bytes;
  return stack;
}
void* lowestOf(const boost::context::stack_context& stack) {
  return static_cast<char*>(stack.sp) - stack.size;
}
}  // namespace

FiberStackPool::FiberStackPool(FiberStackSizes sizes) : sizes_(sizes) {
  sizes_.stackBytes = roundUpToPages(sizes_.stackBytes);
  sizes_.guardBytes = roundUpToPages(sizes_.guardBytes);
  cached_.reserve(sizes_.maxCached);  // deallocate() is noexcept, so push_back there must not allocate
}
FiberStackPool::~FiberStackPool() {
  for (void* lowest : cached_)
    ::munmap(lowest, mappingBytes());
}
boost::context::stack_context FiberStackPool::allocate() {
  if (!cached_.empty()) {
    void* lowest = cached_.back();
    cached_.pop_back();
    return stackAt(lowest, mappingBytes());
  }
  if (guarded_ < sizes_.maxGuarded) {
    if (void* lowest = mapGuarded()) {
      ++guarded_;
      return stackAt(lowest, mappingBytes());
    }
  }
  void* lowest = std::malloc(sizes_.stackBytes);
  if (!lowest)
    throw std::bad_alloc();
  return stackAt(lowest, sizes_.stackBytes);
}
void FiberStackPool::deallocate(boost::context::stack_context& stack) noexcept {
  void* lowest = lowestOf(stack);
  if (!isGuarded(stack)) {
    std::free(lowest);
    return;
  }
  if (cached_.size() < sizes_.maxCached) {
    cached_.push_back(lowest);
    return;
  }
  ::munmap(lowest, mappingBytes());
  --guarded_;
}
void* FiberStackPool::mapGuarded() const {
  void* lowest = ::mmap(nullptr, mappingBytes(), PROT_NONE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  if (lowest == MAP_FAILED)
    return nullptr;
  if (::mprotect(static_cast<char*>(lowest) + sizes_.guardBytes, sizes_.stackBytes, PROT_READ | PROT_WRITE) != 0) {
    ::munmap(lowest, mappingBytes());
    return nullptr;
  }
  return lowest;
}
// Only guarded stacks include the guard area in their size.
bool FiberStackPool::isGuarded(const boost::context::stack_context& stack) const {
  return stack.size == mappingBytes();
}
}  // namespace zinccleat::runtime
