/// Stacks for fibers. Each lies above a guard area that may not be touched, so that a fiber which needs more than its
/// stack ends the process at once (SIGSEGV) instead of writing over other memory.
#pragma once
#include <boost/context/stack_context.hpp>
#include <cstddef>
#include <memory>
#include <vector>

namespace zinccleat::runtime {
/// How large the stacks of a pool are and how many it holds.
struct FiberStackSizes {
  std::size_t stackBytes = std::size_t{64} * 1024;
  std::size_t guardBytes = std::size_t{16} * 1024;
  /// Unused stacks kept for the next fiber: to map and unmap one costs three system calls.
  std::size_t mostKept = 2048;
  /// A guarded stack takes two of the kernel's mappings (vm.max_map_count, 65530 by default). Beyond this many in
  /// existence fibers get stacks without a guard area from the heap rather than none.
  std::size_t mostGuarded = 24'000;
};

/// Makes stacks and keeps those that are free for reuse, the one used last first. Not thread-safe.
class FiberStackPool {
 public:
  explicit FiberStackPool(FiberStackSizes sizes = {});
  ~FiberStackPool();
  FiberStackPool(const FiberStackPool&) = delete;
  FiberStackPool& operator=(const FiberStackPool&) = delete;
  /// Throws std::bad_alloc when there is no memory.
  boost::context::stack_context allocate();
  void deallocate(boost::context::stack_context& stack) noexcept;
  /// Guarded stacks in existence, in use or kept.
  std::size_t guarded() const { return guarded_; }
  std::size_t kept() const { return kept_.size(); }

 private:
  /// The lowest address of a guarded stack's mapping, or null when it cannot be made.
  void* mapGuarded() const;
  bool isGuarded(const boost::context::stack_context& stack) const;
  std::size_t mappingBytes() const { return sizes_.guardBytes + sizes_.stackBytes; }

  FiberStackSizes sizes_;
  std::size_t guarded_ = 0;
  std::vector<void*> kept_;
};

/// What the fiber library takes as its stack allocator: a handle that keeps the pool alive as long as a fiber lives.
class FiberStackAllocator {
 public:
  explicit FiberStackAllocator(std::shared_ptr<FiberStackPool> pool) : pool_(std::move(pool)) {}
  boost::context::stack_context allocate() { return pool_->allocate(); }
  void deallocate(boost::context::stack_context& stack) noexcept { pool_->deallocate(stack); }

 private:
  std::shared_ptr<FiberStackPool> pool_;
};
}  // namespace zinccleat::runtime
