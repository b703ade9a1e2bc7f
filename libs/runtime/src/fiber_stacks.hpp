/// Stacks for fibers. An inaccessible guard area lies below each stack, so that a stack overflow kills the process
/// immediately (SIGSEGV) instead of overwriting other memory.
#pragma once
#include <boost/context/stack_context.hpp>
#include <cstddef>
#include <memory>
#include <vector>

namespace zinccleat::runtime {
/// The size of the stacks in a pool, and limits on their number.
struct FiberStackSizes {
  std::size_t stackBytes = std::size_t{64} * 1024;
  std::size_t guardBytes = std::size_t{16} * 1024;
  /// Maximum number of unused stacks cached for reuse. Reuse saves the three system calls for mapping and unmapping.
  std::size_t maxCached = 2048;
  /// Maximum number of guarded stacks. Each takes two memory mappings, whose number the kernel limits
  /// (vm.max_map_count, 65530 by default). Beyond this number, fibers get heap-allocated stacks without a guard area.
  std::size_t maxGuarded = 24'000;
};

/// Allocates stacks and keeps freed ones for reuse in LIFO order. Not thread-safe.
class FiberStackPool {
 public:
  explicit FiberStackPool(FiberStackSizes sizes = {});
  ~FiberStackPool();
  FiberStackPool(const FiberStackPool&) = delete;
  FiberStackPool& operator=(const FiberStackPool&) = delete;
  /// Returns a stack. Throws std::bad_alloc if no memory is available.
  boost::context::stack_context allocate();
  void deallocate(boost::context::stack_context& stack) noexcept;
  /// Number of guarded stacks, both in use and cached for reuse.
  std::size_t guarded() const { return guarded_; }
  std::size_t cached() const { return cached_.size(); }

 private:
  /// Maps a guarded stack. Returns the lowest address of the mapping, or null on failure.
  void* mapGuarded() const;
  bool isGuarded(const boost::context::stack_context& stack) const;
  std::size_t mappingBytes() const { return sizes_.guardBytes + sizes_.stackBytes; }

  FiberStackSizes sizes_;
  std::size_t guarded_ = 0;
  std::vector<void*> cached_;
};

/// A stack allocator for Boost.Fiber. Shares ownership of the pool, so that the pool outlives all fibers that use it.
class FiberStackAllocator {
 public:
  explicit FiberStackAllocator(std::shared_ptr<FiberStackPool> pool) : pool_(std::move(pool)) {}
  boost::context::stack_context allocate() { return pool_->allocate(); }
  void deallocate(boost::context::stack_context& stack) noexcept { pool_->deallocate(stack); }

 private:
  std::shared_ptr<FiberStackPool> pool_;
};
}  // namespace zinccleat::runtime
