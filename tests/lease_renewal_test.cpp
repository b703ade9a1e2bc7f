// Tests until when a proxy may serve, and how responses are matched to requests.
#include "proxy_daemon/lease_renewal.hpp"

#include <gtest/gtest.h>

using namespace zinccleat;
using namespace zinccleat::proxy_daemon;
using transport::LeaseResponse;

namespace {
const TimePoint kNow = TimePoint{} + 1h;
constexpr Duration kLease{4500};
constexpr Duration kMaxLag{1300};

LeaseResponse grant(std::int64_t requestId, std::int64_t commitIndex = 0) {
  LeaseResponse response;
  response.requestId = requestId;
  response.granted = true;
  response.commitIndex = commitIndex;
  return response;
}
}  // namespace

TEST(PendingRequests, IdsAscendAndResponsesCountOnce) {
  PendingRequests pending(100);
  EXPECT_EQ(pending.start(kNow), 101);
  EXPECT_EQ(pending.start(kNow + 5ms), 102);
  EXPECT_EQ(pending.newestId(), 102);
  EXPECT_EQ(pending.startedAt(102), kNow + 5ms);
  EXPECT_TRUE(pending.finish(101));
  EXPECT_FALSE(pending.finish(101));
  EXPECT_FALSE(pending.startedAt(101));
  EXPECT_FALSE(pending.finish(7)) << "an id of an earlier process";
}
TEST(PendingRequests, ForgetsTheOldest) {
  PendingRequests pending(0);
  for (std::size_t i = 0; i <= PendingRequests::kCapacity; ++i)
    pending.start(kNow);
  EXPECT_FALSE(pending.startedAt(1));
  EXPECT_TRUE(pending.startedAt(2));
  EXPECT_TRUE(pending.startedAt(17));
}
TEST(PendingRequests, RandomIdsStayShortOnTheWire) {
  for (int i = 0; i < 100; ++i) {
    const auto id = randomRequestId();
    EXPECT_GE(id, 0);
    EXPECT_LT(id, std::int64_t{1} << 40);
  }
}

TEST(LeaseRenewal, DurationLeavesAMarginBeforeRevocation) {
  config::Timers timers;
  timers.revoke = 5000ms;
  EXPECT_EQ(LeaseRenewal::leaseDuration(timers), 4500ms);
  timers.revoke = 400ms;
  EXPECT_EQ(LeaseRenewal::leaseDuration(timers), 360ms) << "never longer than the revocation time";
  timers.revokedFail = false;
  EXPECT_EQ(LeaseRenewal::leaseDuration(timers), 60s);
}
TEST(LeaseRenewal, NothingIsUsableBeforeTheFirstGrant) {
  LeaseRenewal lease(kLease, kMaxLag, 0);
  lease.start(kNow);
  EXPECT_FALSE(lease.usableUntil(1000));
}
TEST(LeaseRenewal, LastsFromItsRequestNotFromTheResponse) {
  LeaseRenewal lease(kLease, kMaxLag, 0);
  const auto first = lease.start(kNow);
  lease.start(kNow + 400ms);
  const auto granted = lease.accept(grant(first));
  ASSERT_TRUE(granted);
  EXPECT_EQ(granted->requestedAt, kNow);
  EXPECT_FALSE(granted->isNewestRequest);
  EXPECT_EQ(lease.usableUntil(0), kNow + kLease);
}
TEST(LeaseRenewal, UsableOnlyOnceTheReplicaHasCaughtUp) {
  LeaseRenewal lease(kLease, kMaxLag, 0);
  lease.accept(grant(lease.start(kNow), 12));
  EXPECT_FALSE(lease.usableUntil(11));
  EXPECT_EQ(lease.usableUntil(12), kNow + kLease);
}
TEST(LeaseRenewal, ALaterGrantExtendsAndRaisesTheIndex) {
  LeaseRenewal lease(kLease, kMaxLag, 0);
  const auto first = lease.start(kNow);
  const auto second = lease.start(kNow + 400ms);
  EXPECT_TRUE(lease.accept(grant(second, 20))->isNewestRequest);
  EXPECT_TRUE(lease.accept(grant(first, 30))) << "a delayed response to an older request does not change the lease";
  EXPECT_FALSE(lease.usableUntil(19));
  EXPECT_EQ(lease.usableUntil(20), kNow + 400ms + kLease);
}
TEST(LeaseRenewal, AnOlderCommitIndexDoesNotLowerTheRequiredOne) {
  LeaseRenewal lease(kLease, kMaxLag, 0);
  lease.accept(grant(lease.start(kNow), 20));
  lease.accept(grant(lease.start(kNow + 400ms), 10));
  EXPECT_FALSE(lease.usableUntil(19));
  EXPECT_EQ(lease.usableUntil(20), kNow + 400ms + kLease);
}
TEST(LeaseRenewal, RefusalsRepeatsAndStrangersGrantNothing) {
  LeaseRenewal lease(kLease, kMaxLag, 0);
  const auto request = lease.start(kNow);
  auto refusal = grant(request);
  refusal.granted = false;
  EXPECT_FALSE(lease.accept(refusal));
  EXPECT_FALSE(lease.accept(grant(request + 1)));
  EXPECT_FALSE(lease.usableUntil(0));

  EXPECT_TRUE(lease.accept(grant(request))) << "a refusal leaves the request pending";
  EXPECT_FALSE(lease.accept(grant(request)));
}

TEST(LeaseRenewal, TheLagLeavesRoomBeforeADrainOrAConfigurationBinds) {
  config::Timers timers;
  timers.drain = 2000ms;
  timers.configApply = 2500ms;
  EXPECT_EQ(LeaseRenewal::maxLag(timers), kMaxLag);
  EXPECT_LT(LeaseRenewal::kInterval + LeaseRenewal::maxLag(timers), timers.drain);
  timers.configApply = 1000ms;
  EXPECT_EQ(LeaseRenewal::maxLag(timers), 500ms) << "the minimum: a lower limit would stop service at each slow entry";
}
// Regression (DRAIN, CONFIG): a proxy served until the end of a lease of 3.5 s, although the responses to its lease
// requests had shown for over 2 s that its replica lacked an entry.
TEST(LeaseRenewal, AReplicaThatIsKnownToLagEndsServiceBeforeTheLeaseDoes) {
  LeaseRenewal lease(kLease, kMaxLag, 0);
  lease.accept(grant(lease.start(kNow), 7));
  EXPECT_EQ(lease.usableUntil(7), kNow + kLease);
  EXPECT_EQ(lease.freshUntil(7), TimePoint::max());
  for (int renewal = 1; renewal <= 4; ++renewal)
    lease.accept(grant(lease.start(kNow + renewal * LeaseRenewal::kInterval), 7 + renewal));
  const auto firstMissing = kNow + LeaseRenewal::kInterval;
  EXPECT_EQ(lease.freshUntil(7), firstMissing + kMaxLag) << "entries reported later do not extend the time";
  EXPECT_EQ(lease.freshUntil(8), firstMissing + LeaseRenewal::kInterval + kMaxLag);
  EXPECT_EQ(lease.freshUntil(11), TimePoint::max());
}
// A proxy loses its connections immediately after a key was revoked. For each tested speed of the proxy's clock, and
// however long the proxy's process is paused between reading the clock and checking the lease, the proxy must not serve
// a request that is sent later than `Timers::revoke` after the revocation was acknowledged.
TEST(LeaseRenewal, NoRequestSentAfterARevocationsBoundIsServed) {
  config::Timers timers;
  timers.revoke = 5000ms;
  const auto lease = LeaseRenewal::leaseDuration(timers);
  for (const double clockSpeed : {0.9, 0.97, 1.0, 1.1})
    for (const auto renewedBefore : {0ms, 1ms, 399ms}) {
      LeaseRenewal renewal(lease, kMaxLag, 0);
      // In true time, the revocation is acknowledged at 0, after the leader has answered this lease request.
      const auto localTime = [clockSpeed](Duration trueTime) {
        return kNow + Duration(static_cast<std::int64_t>(static_cast<double>(trueTime.count()) * clockSpeed));
      };
      const auto requestId = renewal.start(localTime(-renewedBefore));
      ASSERT_TRUE(renewal.accept(grant(requestId)));
      const auto servesUntil = *renewal.usableUntil(0);
      // The proxy reads a request, and the clock for its check, no earlier than the request was sent.
      EXPECT_GE(localTime(timers.revoke + 1ms), servesUntil) << "clock at " << clockSpeed;
      EXPECT_LT(localTime(timers.revoke * 8 / 10 - renewedBefore), servesUntil)
          << "the proxy serves for most of the revocation time";
    }
}
