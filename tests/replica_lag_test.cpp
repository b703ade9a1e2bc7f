// Tests how long a replica has lacked entries that are known to be committed.
#include "agent/replica_lag.hpp"

#include <gtest/gtest.h>

#include "replica_fixtures.hpp"

using namespace zinccleat;
using namespace zinccleat::agent;
using namespace zinccleat::replica_fixtures;

TEST(ReplicaLag, CountsFromTheOldestMissingEntry) {
  ReplicaLag lag;
  EXPECT_EQ(lag.at(kNow), Duration(0));
  lag.recordCommitted(kNow, 5);
  lag.recordCommitted(kNow + 400ms, 9);
  EXPECT_EQ(lag.at(kNow + 1s), 1s);
  lag.recordApplied(4);
  EXPECT_EQ(lag.at(kNow + 1s), 1s)
      << "applying entries does not end the lag while the oldest missing entry is not applied";
  lag.recordApplied(5);
  EXPECT_EQ(lag.at(kNow + 1s), 600ms) << "entry 9 was reported 400 ms later";
  lag.recordApplied(9);
  EXPECT_EQ(lag.at(kNow + 9s), Duration(0));
}
TEST(ReplicaLag, WhatIsAppliedOrKnownAlreadyChangesNothing) {
  ReplicaLag lag;
  lag.recordApplied(7);
  lag.recordCommitted(kNow, 7);
  EXPECT_EQ(lag.at(kNow + 1s), Duration(0));
  lag.recordCommitted(kNow + 1s, 8);
  lag.recordCommitted(kNow + 2s, 8);
  EXPECT_EQ(lag.at(kNow + 3s), 2s) << "a repeated report of the same index";
  lag.recordApplied(3);
  EXPECT_EQ(lag.at(kNow + 3s), 2s);
}
TEST(ReplicaLag, ManyObservationsTakeABoundedPlace) {
  ReplicaLag lag;
  for (int index = 1; index <= 1000; ++index)
    lag.recordCommitted(kNow + Duration(index), index);
  EXPECT_EQ(lag.at(kNow + 2s), 1999ms);
  lag.recordApplied(999);
  EXPECT_GT(lag.at(kNow + 2s), 1s) << "merging observations does not understate the lag";
  lag.recordApplied(1000);
  EXPECT_EQ(lag.at(kNow + 2s), Duration(0));
}
