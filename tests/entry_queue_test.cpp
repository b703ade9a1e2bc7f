// Tests of the queue that puts received log entries in order.
#include "consensus/entry_queue.hpp"

#include <gtest/gtest.h>

using namespace zinccleat;
using namespace zinccleat::consensus;
using namespace zinccleat::transport;
namespace {
LogEntry entryAt(std::int64_t index, const std::string& body = "b") {
  LogEntry entry;
  entry.index = index;
  entry.body = body;
  return entry;
}
}  // namespace

TEST(EntryQueue, ReturnsEntriesInOrder) {
  EntryQueue queue;
  queue.offer(entryAt(3));
  queue.offer(entryAt(2));
  EXPECT_FALSE(queue.next());
  EXPECT_TRUE(queue.hasGap());

  queue.offer(entryAt(1));
  for (int i = 1; i <= 3; ++i)
    EXPECT_EQ(queue.next()->index, i);
  EXPECT_FALSE(queue.hasGap());

  queue.offer(entryAt(2));
  EXPECT_FALSE(queue.next()) << "an applied entry is not returned again";
  EXPECT_FALSE(queue.hasGap());
}
TEST(EntryQueue, LargeEntryWaitsForItsBody) {
  EntryQueue queue;
  auto entry = entryAt(1, "");
  entry.omitted = true;
  entry.digest = "d1";
  queue.offer(entry);
  EXPECT_FALSE(queue.next());
  EXPECT_TRUE(queue.hasGap()) << "requested again if the body never arrives";

  queue.addBody("d1", "the body");
  EXPECT_EQ(queue.next()->body, "the body");

  entry.index = 2;
  entry.digest = "d2";
  queue.offer(entry);
  EXPECT_FALSE(queue.next());
  queue.offer(entryAt(2, "complete"));  // the entry is fetched again with its body
  EXPECT_EQ(queue.next()->body, "complete");
}
TEST(EntryQueue, RestartSkipsWhatTheSnapshotIncludes) {
  EntryQueue queue;
  queue.offer(entryAt(5));
  queue.offer(entryAt(6));

  queue.resumeAfter(5);

  EXPECT_EQ(queue.next()->index, 6);
}
