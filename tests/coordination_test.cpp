/// @file
/// The calls of applications for coordination, as the users' page on locks has them.
#include <gtest/gtest.h>

#include "fake_controller.hpp"

using namespace zinccleat;
using namespace zinccleat::controller;
using namespace zinccleat::controller_testing;

// LOST: at the end of a day locks are asked for again, for some seconds, at every controller; each must be answered.
TEST(Coordination, ALockThatNobodyHoldsIsGranted) {
  FakeController controller;
  const auto answer = controller.post("/v1/Locks.Begin/l9", R"({"holder":"a3.7","holdMs":3000})");
  EXPECT_EQ(answer.status, HttpStatus::ok) << answer.body;
  EXPECT_NE(answer.body.find("fenceNumber"), std::string::npos) << answer.body;
}
