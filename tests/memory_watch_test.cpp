// Guards against an end for want of memory that nobody can tell from other ends: it leaves no line of its own, so a
// line must have told before that memory came near its limit.
#include "runtime/memory_watch.hpp"

#include <gtest/gtest.h>

namespace zinccleat::runtime {
TEST(MemoryWatch, TellsOnceEachTimeThatMemoryComesNearItsLimit) {
  MemoryWatch watch(1000);
  EXPECT_FALSE(watch.hasComeNearLimit(500));
  EXPECT_TRUE(watch.hasComeNearLimit(850));
  EXPECT_FALSE(watch.hasComeNearLimit(950));
  EXPECT_FALSE(watch.hasComeNearLimit(750)) << "not well below the limit";
  EXPECT_FALSE(watch.hasComeNearLimit(850));
  EXPECT_FALSE(watch.hasComeNearLimit(300));
  EXPECT_TRUE(watch.hasComeNearLimit(850));
}
TEST(MemoryWatch, SaysNothingWithoutALimit) {
  EXPECT_FALSE(MemoryWatch(0).hasComeNearLimit(std::size_t{1} << 40));
}
}  // namespace zinccleat::runtime
