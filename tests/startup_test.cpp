// The waits of a daemon's start. Guards against a start that ends at an obstacle that passes, one that waits without a
// limit, and one that does not hear SIGTERM while it waits. The clock and the pauses are simulated.
#include "runtime/startup.hpp"

#include <gtest/gtest.h>

#include <cerrno>

namespace zinccleat::runtime {
namespace {
constexpr StartupTimeouts kTimeouts{.settings = 5000ms, .inUse = 10000ms, .disk = 60000ms};

/// A start whose pauses only advance a simulated clock.
struct SimulatedStart {
  TimePoint now{};
  Duration terminatedAfter = Duration::max();  ///< when SIGTERM arrives, from the beginning
  Startup startup{kTimeouts,
                  {[this] { return now; },
                   [this](Duration pause) {
                     now += pause;
                     return waited() < terminatedAfter;
                   }}};
  Duration waited() const { return toDuration(now - TimePoint{}); }
};
Error systemErrorOf(int code) {
  return {ErrorCode::ioError, "a system call failed", code};
}
const Error kLocked{ErrorCode::locked, "another process uses this folder"};
const Error kAddressInUse = systemErrorOf(EADDRINUSE);
const Error kDiskError = systemErrorOf(EIO);
}  // namespace

TEST(Startup, AnObstacleThatPassesIsWaitedFor) {
  for (const auto& obstacle :
       {kAddressInUse, kLocked, kDiskError, systemErrorOf(EADDRNOTAVAIL), systemErrorOf(EMFILE)}) {
    SimulatedStart start;
    int attempts = 0;
    const auto result = start.startup.retry([&]() -> Result<int> {
      if (++attempts < 20)
        return tl::unexpected(obstacle);
      return attempts;
    });
    ASSERT_TRUE(result) << obstacle.message;
    EXPECT_EQ(*result, 20);
    EXPECT_EQ(start.waited(), Startup::kRetryInterval * 19);
    EXPECT_FALSE(start.startup.terminationRequested());
  }
}
TEST(Startup, EveryWaitHasALimit) {
  const std::vector<std::pair<Error, Duration>> limits{
      {kAddressInUse, kTimeouts.inUse}, {kLocked, kTimeouts.inUse}, {kDiskError, kTimeouts.disk}};
  for (const auto& [obstacle, limit] : limits) {
    SimulatedStart start;
    const auto result =
        start.startup.retry([&obstacle = obstacle]() -> Result<void> { return tl::unexpected(obstacle); });
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().message, obstacle.message);
    EXPECT_EQ(start.waited(), limit);
  }
  SimulatedStart start;
  const Error invalid{ErrorCode::invalidArgument, "settings are no JSON"};
  while (start.startup.retryAfter(Obstacle::settings, invalid)) {
  }
  EXPECT_EQ(start.waited(), kTimeouts.settings);
}
// A connection of this machine may have the address as its local one, and keep it for a minute after its close. A start
// that gave up as early as for a previous instance would end again and again.
TEST(Startup, AnAddressThatAConnectionHasIsWaitedForLongerThanTimeWait) {
  const Error taken{ErrorCode::addressTaken, "held by a closed connection", EADDRINUSE};
  SimulatedStart start;
  while (start.startup.retryAfter(taken)) {
  }
  EXPECT_GT(start.waited(), 60000ms);
  EXPECT_LT(start.waited(), 90000ms) << "every wait has a limit";
}
// The addresses of a process are freed by the end of the same previous instance, so the limit is not granted anew.
TEST(Startup, AllResourcesInUseShareOneLimit) {
  SimulatedStart start;
  while (start.waited() < kTimeouts.inUse / 2)
    ASSERT_TRUE(start.startup.retryAfter(kLocked));
  while (start.startup.retryAfter(kAddressInUse)) {
  }
  EXPECT_EQ(start.waited(), kTimeouts.inUse);
}
TEST(Startup, APermanentObstacleEndsTheStartAtOnce) {
  const Error otherFormat{ErrorCode::incompatibleFormat, "another version"};
  const Error invalid{ErrorCode::invalidArgument, "no port in address"};
  for (const auto& obstacle : {otherFormat, invalid, systemErrorOf(0), systemErrorOf(ENOENT), systemErrorOf(ENOTDIR),
                               systemErrorOf(EACCES), systemErrorOf(EPERM)}) {
    SimulatedStart start;
    EXPECT_FALSE(start.startup.retryAfter(obstacle));
    EXPECT_EQ(start.waited(), 0ms);
  }
}
TEST(Startup, ARequestToEndStopsEveryWait) {
  for (const auto& obstacle : {kAddressInUse, kLocked, kDiskError}) {
    SimulatedStart start;
    start.terminatedAfter = 1000ms;
    EXPECT_FALSE(start.startup.retry([&]() -> Result<void> { return tl::unexpected(obstacle); }));
    EXPECT_TRUE(start.startup.terminationRequested());
    EXPECT_EQ(start.waited(), 1000ms);
    EXPECT_FALSE(start.startup.retryAfter(obstacle)) << "no step waits after the request";
  }
}
TEST(Startup, TheLimitForResourcesInUseFollowsTheGracePeriod) {
  SimulatedStart start;
  start.startup.setGrace(20000ms);
  while (start.startup.retryAfter(kAddressInUse)) {
  }
  EXPECT_GT(start.waited(), 20000ms) << "a previous instance may take the whole grace period";
  EXPECT_LT(start.waited(), 25000ms);
}
TEST(Startup, AThreadThatBlocksForEverIsGivenUp) {
  SimulatedStart start;
  std::promise<Result<int>> never;
  start.terminatedAfter = 0ms;
  EXPECT_FALSE(start.startup.await(never.get_future()));
  EXPECT_TRUE(start.startup.terminationRequested());
  std::promise<Result<int>> done;
  done.set_value(7);
  EXPECT_EQ(start.startup.await(done.get_future()).value_or(0), 7);
}
}  // namespace zinccleat::runtime
