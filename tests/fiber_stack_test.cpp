// A fiber that overflows its stack must kill the process immediately. Without guard areas, an overflow of a 64 KB stack
// corrupted the heap and was noticed only much later, as a "double free" abort.
#include <gtest/gtest.h>

#include <csignal>

#include "fiber_stacks.hpp"
#include "runtime/event_loop.hpp"

using namespace zinccleat;
using namespace zinccleat::runtime;
namespace {
constexpr FiberStackSizes kSizes;

// Uses at least the given number of stack bytes by recursion, and writes to each page.
[[gnu::noinline]] std::size_t useStack(std::size_t bytes) {
  constexpr std::size_t kFrame = 1024;
  volatile char frame[kFrame];
  frame[0] = static_cast<char>(bytes);
  const auto below = bytes > kFrame ? useStack(bytes - kFrame) : 0;
  return below + static_cast<std::size_t>(frame[0] == static_cast<char>(bytes));
}
// Uses a separate event loop, because a death test runs in a child process that shares the file descriptors of the
// parent's loop.
void useStackOnFiber(std::size_t bytes) {
  EventLoop loop;
  loop.spawn([&loop, bytes] {
    (void)useStack(bytes);
    loop.stop();
  });
  loop.run();
  ::_exit(0);
}
char* lowestUsable(const boost::context::stack_context& stack) {
  return static_cast<char*>(stack.sp) - kSizes.stackBytes;
}
void writeTo(volatile char* place) {
  *place = 1;
}
}  // namespace

TEST(FiberStackDeathTest, AFiberBeyondItsStackEndsTheProcessAtOnce) {
  EXPECT_EXIT(useStackOnFiber(kSizes.stackBytes + kSizes.guardBytes / 2), testing::KilledBySignal(SIGSEGV), "");
}
TEST(FiberStackDeathTest, AFiberWithinItsStackEndsWell) {
  constexpr std::size_t kLibraryAndLoopBytes = std::size_t{8} * 1024;
  EXPECT_EXIT(useStackOnFiber(kSizes.stackBytes - kLibraryAndLoopBytes), testing::ExitedWithCode(0), "");
}
TEST(FiberStackDeathTest, TheGuardAreaLiesBelowTheLowestByteAlsoOfAReusedStack) {
  FiberStackPool pool;
  for (int use = 0; use < 2; ++use) {
    auto stack = pool.allocate();
    char* lowest = lowestUsable(stack);
    writeTo(lowest);
    writeTo(static_cast<char*>(stack.sp) - 1);
    EXPECT_EXIT(writeTo(lowest - 1), testing::KilledBySignal(SIGSEGV), "");
    EXPECT_EXIT(writeTo(lowest - kSizes.guardBytes), testing::KilledBySignal(SIGSEGV), "");
    pool.deallocate(stack);
  }
}
TEST(FiberStack, FreeStacksAreUsedAgainAndNoMoreAreKeptThanAllowed) {
  FiberStackSizes sizes;
  constexpr std::size_t kStacks = 5;
  sizes.maxCached = 2;
  FiberStackPool pool(sizes);
  std::vector<boost::context::stack_context> stacks;
  stacks.reserve(kStacks);
  for (std::size_t i = 0; i < kStacks; ++i)
    stacks.push_back(pool.allocate());
  EXPECT_EQ(pool.guarded(), kStacks);
  for (auto& stack : stacks)
    pool.deallocate(stack);
  EXPECT_EQ(pool.cached(), 2);
  EXPECT_EQ(pool.guarded(), 2);
  auto again = pool.allocate();
  EXPECT_EQ(again.sp, stacks[1].sp) << "the most recently freed stack is reused first";
  EXPECT_EQ(pool.cached(), 1);
  pool.deallocate(again);
}
// The kernel limits the number of memory mappings of a process. Beyond the limit, a fiber without a guard area is
// better than refusing a connection.
TEST(FiberStack, BeyondTheMostGuardedOnesStacksComeFromTheHeap) {
  FiberStackSizes sizes;
  sizes.maxGuarded = 1;
  FiberStackPool pool(sizes);
  auto guarded = pool.allocate();
  auto plain = pool.allocate();
  EXPECT_EQ(pool.guarded(), 1);
  EXPECT_EQ(guarded.size, sizes.stackBytes + sizes.guardBytes);
  EXPECT_EQ(plain.size, sizes.stackBytes);
  writeTo(lowestUsable(plain));
  writeTo(static_cast<char*>(plain.sp) - 1);
  pool.deallocate(plain);
  EXPECT_EQ(pool.cached(), 0);
  pool.deallocate(guarded);
  EXPECT_EQ(pool.cached(), 1);
}
// The two mappings of each guarded stack and the other mappings of a process must fit the kernel's default limit.
TEST(FiberStack, TheMostGuardedStacksFitTheKernelsBound) {
  constexpr std::size_t kDefaultMaxMapCount = 65530;
  constexpr std::size_t kMappingsForOtherUses = 8192;
  EXPECT_LE(2 * kSizes.maxGuarded, kDefaultMaxMapCount - kMappingsForOtherUses);
}
