/// @file
/// Tests of the record of which controllers are up and in which zones they are.
#include "member_zones.hpp"

#include <gtest/gtest.h>

using namespace zinccleat;
using namespace zinccleat::controller;
using transport::MemberZone;

namespace {
const TimePoint kNow = TimePoint{} + 1h;
}

TEST(MemberZones, KnowsItselfAndWhomItHeard) {
  MemberZones zones("10.0.0.1", "a");
  EXPECT_EQ(zones.membersUp(kNow), (std::vector<MemberZone>{{"10.0.0.1", "a"}}));
  zones.record("10.0.0.2", "b", kNow);
  EXPECT_EQ(zones.membersUp(kNow), (std::vector<MemberZone>{{"10.0.0.1", "a"}, {"10.0.0.2", "b"}}));
  EXPECT_EQ(zones.addressIn("a", kNow), "10.0.0.1");
  EXPECT_EQ(zones.addressIn("b", kNow), "10.0.0.2");
  EXPECT_EQ(zones.addressIn("c", kNow), std::nullopt);
}
TEST(MemberZones, ForgetsWhoFellSilent) {
  MemberZones zones("10.0.0.1", "a");
  zones.record("10.0.0.2", "b", kNow);
  EXPECT_TRUE(zones.addressIn("b", kNow + MemberZones::kLifetime));
  EXPECT_FALSE(zones.addressIn("b", kNow + MemberZones::kLifetime + 1ms));
  EXPECT_EQ(zones.membersUp(kNow + MemberZones::kLifetime + 1ms).size(), 1U);
}
// A controller of an earlier version reports no zone. A report cannot change the zone of this controller itself.
TEST(MemberZones, IgnoresWhatCannotBeRight) {
  MemberZones zones("10.0.0.1", "a");
  zones.record("10.0.0.2", "", kNow);
  zones.record("10.0.0.1", "b", kNow);
  EXPECT_EQ(zones.membersUp(kNow), (std::vector<MemberZone>{{"10.0.0.1", "a"}}));
}
