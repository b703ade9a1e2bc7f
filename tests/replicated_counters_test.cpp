/// @file
/// Unit tests of the replicated counters, without a network: the state (merging, duplicates, folding) and the decisions
/// of one replica (copies, catching up, transfers, discarding ids).
#include <gtest/gtest.h>

#include <random>

#include "config/counter_requests.hpp"
#include "fake_controller.hpp"
#include "replicated_counters/counter_replica.hpp"
#include "transport/avro.hpp"

using namespace zinccleat;
using namespace zinccleat::replicated_counters;
namespace {
constexpr OriginId kA = 11;
constexpr OriginId kB = 22;
const TimePoint kStart = TimePoint{} + std::chrono::hours(1);

Increment incrementOf(const std::string& id, std::int64_t amount, const std::string& counter = "t") {
  return {counter, id, amount};
}
IncrementBatch rangeOf(OriginId origin, std::int64_t first, std::vector<Increment> increments) {
  return {{}, {}, {{origin, first, std::move(increments)}}};
}
template <class T>
std::vector<T> actionsOf(CounterReplica& replica) {
  std::vector<T> found;
  for (auto& action : replica.takeActions())
    if (auto* wanted = std::get_if<T>(&action))
      found.push_back(std::move(*wanted));
  return found;
}
bool acknowledges(CounterReplica& replica, std::int64_t callId) {
  const auto acknowledged = actionsOf<Acknowledge>(replica);
  return std::any_of(acknowledged.begin(), acknowledged.end(),
                     [callId](const Acknowledge& each) { return each.callId == callId; });
}
CounterReplica replicaOf(OriginId origin, int copies, const std::set<std::string>& peers) {
  CounterReplica replica({origin, "z1", copies}, kStart);
  replica.setPeers(peers);
  return replica;
}
ProgressReport reportOf(const std::string& zone, std::vector<OriginProgress> progress) {
  return {zone, std::move(progress)};
}
}  // namespace

// --- CounterState ---

TEST(CounterState, AnIdCountsOnceHoweverOftenItComes) {
  CounterState state;
  state.append(kA, incrementOf("x", 4));
  state.merge(rangeOf(kB, 1, {incrementOf("x", 4), incrementOf("y", 2)}));
  state.merge(rangeOf(kB, 1, {incrementOf("x", 4), incrementOf("y", 2)}));
  EXPECT_EQ(state.total("t"), 6);
  EXPECT_EQ(state.total("another"), 0);
}
TEST(CounterState, WhatWouldLeaveAGapIsNotMerged) {
  CounterState state;
  EXPECT_TRUE(state.merge(rangeOf(kA, 2, {incrementOf("x", 1)})).empty());
  EXPECT_TRUE(state.merge(rangeOf(kA, 0, {incrementOf("x", 1)})).empty());
  EXPECT_TRUE(state.merge(rangeOf(kA, -5, {incrementOf("x", 1)})).empty());
  EXPECT_EQ(state.total("t"), 0);
  EXPECT_EQ(state.merge(rangeOf(kA, 1, {incrementOf("x", 1), incrementOf("y", 1)})).ranges.size(), 1U);
  const auto overlapping = state.merge(rangeOf(kA, 2, {incrementOf("y", 1), incrementOf("z", 1)}));
  ASSERT_EQ(overlapping.ranges.size(), 1U);
  EXPECT_EQ(overlapping.ranges[0].firstSequence, 3) << "only new increments are persisted";
  EXPECT_EQ(state.total("t"), 3);
}
TEST(CounterState, ReplicasThatMergedTheSameInAnyOrderAnswerTheSame) {
  std::mt19937_64 random(7);
  for (int round = 0; round < 200; ++round) {
    CounterState source;
    for (int i = 0; i < 40; ++i)
      // Some ids occur several times, some of these with a different amount or counter.
      source.append(static_cast<OriginId>(1 + random() % 4),
                    incrementOf("id" + std::to_string(random() % 25), static_cast<std::int64_t>(random() % 5) - 2,
                                random() % 6 == 0 ? "u" : "t"));
    CounterState other;
    while (other.progress() != source.progress()) {
      const auto origin = static_cast<OriginId>(1 + random() % 4);
      other.merge(source.batchAfter({{origin, other.sequenceOf(origin)}}, 1 + random() % 100));
    }
    EXPECT_EQ(other.total("t"), source.total("t"));
    EXPECT_EQ(other.total("u"), source.total("u"));
  }
}
TEST(CounterState, FoldingChangesNoTotalAndASnapshotKeepsIt) {
  CounterState state;
  state.merge(rangeOf(kA, 1, {incrementOf("x", 4), incrementOf("y", 5)}));
  state.merge(rangeOf(kB, 1, {incrementOf("y", 5), incrementOf("z", 6)}));
  state.fold(kA, 1);
  state.fold(kB, 1);  // the repetition of "y", which is not counted
  EXPECT_EQ(state.total("t"), 15);
  EXPECT_FALSE(state.find("x")) << "the id of a folded increment is no longer kept";
  EXPECT_EQ(state.retainedIncrements(), 2U);
  CounterState restored;
  restored.merge(avro::decode<IncrementBatch>(avro::encode(state.snapshot())).value());
  EXPECT_EQ(restored.total("t"), 15);
  EXPECT_EQ(restored.progress(), state.progress());
}
TEST(CounterState, AnIdThatIsFoldedHereAndRepeatedThereCountsOnceInASnapshot) {
  CounterState state;
  state.merge(rangeOf(kA, 1, {incrementOf("y", 5)}));
  state.merge(rangeOf(kB, 1, {incrementOf("y", 5), incrementOf("z", 6)}));
  state.fold(kA, 1);
  EXPECT_EQ(state.total("t"), 11);
  CounterState newcomer;
  newcomer.merge(state.snapshot());
  EXPECT_EQ(newcomer.total("t"), 11);
  newcomer.fold(kB, 2);
  EXPECT_EQ(newcomer.total("t"), 11);
  EXPECT_EQ(newcomer.retainedIncrements(), 0U);
}
TEST(CounterState, AReplicaThatLagsTakesFoldedOriginsInPlaceOfWhatItHas) {
  CounterState state;
  state.merge(rangeOf(kA, 1, {incrementOf("x", 4), incrementOf("y", 5), incrementOf("z", 6)}));
  CounterState lagging;
  lagging.merge(rangeOf(kA, 1, {incrementOf("x", 4)}));
  state.fold(kA, 2);
  lagging.merge(state.batchAfter(lagging.progress(), 1000));
  EXPECT_EQ(lagging.total("t"), 15);
  EXPECT_EQ(lagging.progress(), state.progress());
}
TEST(CounterState, TotalsStayWithinTheirType) {
  CounterState state;
  for (int i = 0; i < 2000; ++i)
    state.append(kA, incrementOf("up" + std::to_string(i), config::kMaxIncrementAmount));
  EXPECT_EQ(state.total("t"), std::numeric_limits<std::int64_t>::max());
  for (int i = 0; i < 2000; ++i)
    state.append(kA, incrementOf("down" + std::to_string(i), -config::kMaxIncrementAmount));
  EXPECT_EQ(state.total("t"), 0) << "clamping the total does not change the sum";
}

// --- CounterReplica ---

TEST(CounterReplica, AnIncrementIsAcknowledgedOnceItIsOnEnoughDisks) {
  auto replica = replicaOf(kA, 2, {"b", "c", "d"});
  for (const auto* peer : {"b", "c", "d"})
    replica.receive(kStart, peer, reportOf("z2", {}));
  ASSERT_TRUE(replica.add(kStart, 1, incrementOf("x", 4)));
  EXPECT_FALSE(acknowledges(replica, 1));
  replica.persisted(kStart);
  replica.receive(kStart, "b", reportOf("z2", {{kA, 1}}));
  EXPECT_FALSE(acknowledges(replica, 1)) << "the increment is on two of three required disks";
  replica.receive(kStart, "d", reportOf("z2", {{kA, 1}}));
  EXPECT_TRUE(acknowledges(replica, 1));
}
TEST(CounterReplica, CopiesElsewhereDoNotReplaceItsOwnDisk) {
  auto replica = replicaOf(kA, 1, {"b"});
  ASSERT_TRUE(replica.add(kStart, 1, incrementOf("x", 4)));
  replica.receive(kStart, "b", reportOf("z2", {{kA, 1}}));
  EXPECT_FALSE(acknowledges(replica, 1));
  replica.persisted(kStart);
  EXPECT_TRUE(acknowledges(replica, 1));
}
TEST(CounterReplica, OneDiskMoreElsewhereReplacesItsOwn) {
  auto replica = replicaOf(kA, 1, {"b", "c", "d"});
  ASSERT_TRUE(replica.add(kStart, 1, incrementOf("x", 4)));
  replica.receive(kStart, "b", reportOf("z2", {{kA, 1}}));
  EXPECT_FALSE(acknowledges(replica, 1)) << "one copy is not enough without the local disk";
  replica.receive(kStart, "c", reportOf("z2", {{kA, 1}}));
  EXPECT_TRUE(acknowledges(replica, 1));
}
TEST(CounterReplica, ADiskThatIsSlowIsAskedLastAndProbedNowAndThen) {
  auto replica = replicaOf(kA, 1, {"b", "c"});
  const auto receiveReports = [&replica](TimePoint now) {
    for (const auto* peer : {"b", "c"})
      replica.receive(now, peer, reportOf("z2", {}));
  };
  receiveReports(kStart);
  ASSERT_TRUE(replica.add(kStart, 1, incrementOf("x1", 1)));
  auto pushed = actionsOf<SendTransfer>(replica);
  ASSERT_EQ(pushed.size(), 1U);
  const auto first = pushed[0].to;
  receiveReports(kStart + 100ms);  // neither peer reports the increment
  ASSERT_TRUE(replica.add(kStart + 100ms, 2, incrementOf("x2", 1)));
  pushed = actionsOf<SendTransfer>(replica);
  ASSERT_EQ(pushed.size(), 2U) << "the local disk is slow too, so one additional peer is asked";
  EXPECT_NE(pushed[0].to, first);
  EXPECT_EQ(pushed[0].message.batch.ranges.at(0).increments.size(), 2U)
      << "the transfer continues the peer's progress without a gap";
}
TEST(CounterReplica, ATransferDuringAWriteIsReportedAfterTheNextOne) {
  auto replica = replicaOf(kB, 1, {"a"});
  replica.receive(kStart, "a", IncrementTransfer{true, rangeOf(kA, 1, {incrementOf("x", 4)})});
  replica.receive(kStart, "a", IncrementTransfer{true, rangeOf(kA, 2, {incrementOf("y", 4)})});
  replica.persisted(kStart);
  EXPECT_TRUE(actionsOf<SendReport>(replica).empty()) << "the second transfer is not durable yet";
  replica.persisted(kStart);
  const auto reports = actionsOf<SendReport>(replica);
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].message.progress, (std::vector<OriginProgress>{{kA, 2}}));
}
TEST(CounterReplica, APeerWhoseDiskWasLostIsNoCopyAnyMore) {
  auto replica = replicaOf(kA, 1, {"b", "c"});
  replica.receive(kStart, "b", reportOf("z2", {{kA, 1}, {kB, 3}}));
  replica.receive(kStart, "b", reportOf("z2", {}));
  ASSERT_TRUE(replica.add(kStart, 1, incrementOf("x", 4)));
  replica.persisted(kStart);
  EXPECT_FALSE(acknowledges(replica, 1));
}
TEST(CounterReplica, ItPushesToOtherZonesFirstAndToAllIfThoseAreSilent) {
  auto replica = replicaOf(kA, 1, {"b", "c"});
  replica.receive(kStart, "b", reportOf("z1", {}));
  replica.receive(kStart, "c", reportOf("z2", {}));
  ASSERT_TRUE(replica.add(kStart, 1, incrementOf("x", 4)));
  auto pushed = actionsOf<SendTransfer>(replica);
  ASSERT_EQ(pushed.size(), 1U);
  EXPECT_EQ(pushed[0].to, "c");
  EXPECT_TRUE(pushed[0].message.urgent);
  replica.tick(kStart + 200ms);
  pushed = actionsOf<SendTransfer>(replica);
  ASSERT_EQ(pushed.size(), 2U);
  replica.tick(kStart + 250ms);
  EXPECT_TRUE(actionsOf<SendTransfer>(replica).empty()) << "the increment is pushed only once";
}
TEST(CounterReplica, AnUrgentTransferIsReportedOnceItIsOnTheDisk) {
  auto replica = replicaOf(kB, 1, {"a"});
  replica.receive(kStart, "a", IncrementTransfer{true, rangeOf(kA, 1, {incrementOf("x", 4)})});
  EXPECT_TRUE(actionsOf<SendReport>(replica).empty());
  replica.persisted(kStart);
  const auto reports = actionsOf<SendReport>(replica);
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].to, "a");
  EXPECT_EQ(reports[0].message.progress, (std::vector<OriginProgress>{{kA, 1}}));
  // A repeated transfer leaves nothing to write, but its sender still waits for a report.
  replica.receive(kStart, "a", IncrementTransfer{true, rangeOf(kA, 1, {incrementOf("x", 4)})});
  EXPECT_EQ(actionsOf<SendReport>(replica).size(), 1U);
}
TEST(CounterReplica, ARepeatedIdWaitsForTheCopiesOfTheFirst) {
  auto replica = replicaOf(kB, 1, {"a", "c"});
  replica.receive(kStart, "a", IncrementTransfer{true, rangeOf(kA, 1, {incrementOf("x", 4)})});
  ASSERT_TRUE(replica.add(kStart, 9, incrementOf("x", 4)));
  replica.persisted(kStart);
  EXPECT_FALSE(acknowledges(replica, 9)) << "no other disk is known to store the increment";
  replica.receive(kStart, "a", reportOf("z2", {{kA, 1}}));
  EXPECT_TRUE(acknowledges(replica, 9));
  EXPECT_EQ(replica.state().total("t"), 4);
}
TEST(CounterReplica, WhatAPeerHasMoreIsRequestedOnceInParts) {
  auto replica = replicaOf(kB, 1, {"a", "c"});
  replica.receive(kStart, "a", reportOf("z2", {{kA, 2}}));
  auto requests = actionsOf<SendRequest>(replica);
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].message.after, (std::vector<OriginProgress>{{kA, 0}}));
  replica.receive(kStart, "c", reportOf("z2", {{kA, 2}}));
  EXPECT_TRUE(actionsOf<SendRequest>(replica).empty()) << "the increments are already requested from another peer";
  replica.receive(kStart, "a", IncrementTransfer{false, rangeOf(kA, 1, {incrementOf("x", 4)})});
  requests = actionsOf<SendRequest>(replica);
  ASSERT_EQ(requests.size(), 1U) << "the rest is requested";
  EXPECT_EQ(requests[0].message.after, (std::vector<OriginProgress>{{kA, 1}}));
  replica.receive(kStart + 1s, "c", reportOf("z2", {{kA, 2}}));
  EXPECT_EQ(actionsOf<SendRequest>(replica).size(), 1U) << "the first peer did not answer in time";
}
TEST(CounterReplica, AfterAStartItReadsOnlyOnceItHasCaughtUpWithAMajority) {
  auto replica = replicaOf(kB, 2, {"a", "c", "d", "e"});
  replica.receive(kStart, "a", reportOf("z2", {{kA, 1}}));
  EXPECT_FALSE(replica.mayRead());
  replica.receive(kStart, "c", reportOf("z2", {}));
  EXPECT_FALSE(replica.mayRead()) << "a majority has reported, but one peer has an increment that is missing here";
  replica.receive(kStart, "a", IncrementTransfer{false, rangeOf(kA, 1, {incrementOf("x", 4)})});
  EXPECT_TRUE(replica.mayRead());
}
TEST(CounterReplica, WithAnEmptyDiskAndNobodyToHearItNeverReads) {
  auto replica = replicaOf(kB, 2, {"a", "c"});
  replica.tick(kStart + std::chrono::minutes(5));
  EXPECT_FALSE(replica.mayRead());
  replica.receive(kStart + std::chrono::minutes(5), "a", reportOf("z2", {}));
  EXPECT_TRUE(replica.mayRead());
}
TEST(CounterReplica, WithRecordsItReadsAfterAWhileOnACutOffSide) {
  auto replica = replicaOf(kB, 2, {"a", "c"});
  replica.recover(rangeOf(kA, 1, {incrementOf("x", 4)}));
  replica.tick(kStart + CounterReplica::kCatchUpGrace - 1ms);
  EXPECT_FALSE(replica.mayRead());
  replica.tick(kStart + CounterReplica::kCatchUpGrace);
  EXPECT_TRUE(replica.mayRead());
  EXPECT_EQ(replica.state().total("t"), 4);
}
TEST(CounterReplica, ACancelledCallIsNotAcknowledgedAndItsIncrementCounts) {
  auto replica = replicaOf(kA, 1, {"b"});
  ASSERT_TRUE(replica.add(kStart, 1, incrementOf("x", 4)));
  replica.cancel(1);
  replica.persisted(kStart);
  replica.receive(kStart, "b", reportOf("z2", {{kA, 1}}));
  EXPECT_FALSE(acknowledges(replica, 1));
  EXPECT_EQ(replica.state().total("t"), 4);
}
TEST(CounterReplica, BeyondItsLimitNewIdsAreRefusedAndKnownOnesAreNot) {
  auto replica = replicaOf(kA, 0, {});
  IncrementBatch many = rangeOf(kB, 1, {});
  for (std::size_t i = 0; i < CounterReplica::kMaxRetainedIncrements; ++i)
    many.ranges[0].increments.push_back(incrementOf("n" + std::to_string(i), 1));
  replica.recover(many);
  const auto refused = replica.add(kStart, 1, incrementOf("x", 4));
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().code, ErrorCode::limitReached);
  EXPECT_TRUE(replica.add(kStart, 2, incrementOf("n7", 1)));
  EXPECT_EQ(replica.state().total("t"), static_cast<std::int64_t>(CounterReplica::kMaxRetainedIncrements));
}
TEST(CounterReplica, OldIdsAreForgottenOnceAllPeersHaveThemAndNotWhileOneIsSilent) {
  auto replica = replicaOf(kA, 0, {"b", "c"});
  auto now = kStart;
  const auto tickFor = [&](Duration duration, const std::vector<std::string>& respondingPeers) {
    for (const auto until = now + duration; now < until; now += 30s) {
      for (const auto& peer : respondingPeers)
        replica.receive(now, peer, reportOf("z2", {{kA, 1}}));
      replica.tick(now);
      if (!actionsOf<PersistBatch>(replica).empty())
        replica.persisted(now);
    }
  };
  ASSERT_TRUE(replica.add(now, 1, incrementOf("x", 4)));
  ASSERT_EQ(actionsOf<PersistBatch>(replica).size(), 1U);
  replica.persisted(now);
  tickFor(CounterReplica::kIdRetention * 2, {"b"});
  EXPECT_TRUE(replica.state().find("x")) << "peer c may have an increment with the same id";
  tickFor(5min, {"b", "c"});
  EXPECT_FALSE(replica.state().find("x"));
  EXPECT_EQ(replica.state().total("t"), 4);
  EXPECT_EQ(replica.state().retainedIncrements(), 0U);
}
// Guards against a replaced machine blocking the folding of ids. One of three machines is replaced a minute after the
// start, and an increment that it had reported is lost with it. Five increments a second follow for 12 hours.
TEST(CounterReplica, AReplacedMachineDoesNotStopTheFolding) {
  constexpr int kIncrementsPerStep = 150;
  constexpr OriginId kReplaced = 33;
  auto replica = replicaOf(kA, 2, {"b", "c"});
  replica.receive(kStart, "c", reportOf("z3", {{kReplaced, 1}}));
  std::size_t maxRetained = 0;
  int refused = 0;
  for (auto now = kStart + 1s; now < kStart + 12h; now += 30s) {
    const bool isReplaced = now > kStart + 1min;
    const std::set<std::string> peers{"b", isReplaced ? "d" : "c"};
    replica.setPeers(peers, peers);
    for (int i = 0; i < kIncrementsPerStep; ++i)
      refused += replica.add(now, i, incrementOf(std::to_string(now.time_since_epoch().count() + i), 1)) ? 0 : 1;
    while (!actionsOf<PersistBatch>(replica).empty())
      replica.persisted(now);
    for (const auto& peer : peers)
      replica.receive(now, peer, reportOf("z2", replica.state().progress()));
    replica.tick(now);
    while (!actionsOf<PersistBatch>(replica).empty())
      replica.persisted(now);
    for (int i = 0; i < kIncrementsPerStep; ++i)
      replica.cancel(i);
    maxRetained = std::max(maxRetained, replica.state().retainedIncrements());
  }
  EXPECT_EQ(refused, 0);
  const auto incrementsPerRetention = static_cast<std::size_t>(CounterReplica::kIdRetention / 30s) * kIncrementsPerStep;
  EXPECT_LE(maxRetained, 4 * incrementsPerRetention)
      << "ids are kept for at most twice their retention time, and longer only until the replaced machine times out";
}
TEST(CounterReplica, AMemberThatIsSilentIsAwaitedForADay) {
  auto replica = replicaOf(kA, 2, {"b", "c"});
  ASSERT_TRUE(replica.add(kStart, 1, incrementOf("x", 1)));
  while (!actionsOf<PersistBatch>(replica).empty())
    replica.persisted(kStart);
  for (auto now = kStart; now < kStart + 20h; now += 30s) {
    replica.setPeers({"b", "c"}, {"b", "c"});
    replica.receive(now, "b", reportOf("z2", replica.state().progress()));
    replica.tick(now);
    while (!actionsOf<PersistBatch>(replica).empty())
      replica.persisted(now);
  }
  EXPECT_EQ(replica.state().retainedIncrements(), 1U);
}
TEST(CounterReplica, AnIdIsKeptForItsTime) {
  auto replica = replicaOf(kA, 0, {"b"});
  ASSERT_TRUE(replica.add(kStart, 1, incrementOf("x", 4)));
  replica.persisted(kStart);
  for (auto now = kStart; now < kStart + CounterReplica::kIdRetention; now += 30s) {
    replica.receive(now, "b", reportOf("z2", {{kA, 1}}));
    replica.tick(now);
  }
  EXPECT_TRUE(replica.state().find("x"));
}
TEST(CounterReplica, ARecordThatFollowsManyIsASnapshot) {
  auto replica = replicaOf(kA, 0, {});
  int full = 0;
  for (int i = 0; i < 1000; ++i) {
    ASSERT_TRUE(replica.add(kStart, i, incrementOf("x" + std::to_string(i), 1)));
    for (auto writes = actionsOf<PersistBatch>(replica); !writes.empty(); writes = actionsOf<PersistBatch>(replica)) {
      full += writes[0].full ? 1 : 0;
      replica.persisted(kStart);
    }
  }
  EXPECT_GE(full, 1);
  EXPECT_LE(full, 4);
}

// --- counter requests of the API ---

TEST(CounterCalls, AnIncrementIsAddedAndReadBack) {
  controller_testing::FakeController controller;
  controller.hasContact = false;
  const std::string body = R"({"instanceId":"5c0e7a21d94b36f8","actor":4})";
  EXPECT_EQ(controller.post("/v1/Tallies.Modify/t3", body).status, controller::HttpStatus::ok);
  EXPECT_EQ(controller.post("/v1/Tallies.Modify/t3", body).status, controller::HttpStatus::ok);
  EXPECT_EQ(controller.get("/v1/Tallies.Retrieve/t3").body, R"({"total":4})");
  EXPECT_EQ(controller.get("/v1/Tallies.Retrieve/t4").body, R"({"total":0})");
}
TEST(CounterCalls, WhatIsNotAcknowledgedInTimeIsNotAnswered) {
  controller_testing::FakeController controller;
  controller.counters.lacksCopies = true;
  const auto answer = controller.post("/v1/Tallies.Modify/t3", R"({"instanceId":"a","actor":4})");
  EXPECT_TRUE(answer.closeWithoutResponse);
  EXPECT_LE(controller.waited, 900ms) << "the caller gives up after one second";
}
TEST(CounterCalls, AReplicaThatIsCatchingUpSendsReadersElsewhere) {
  controller_testing::FakeController controller;
  controller.counters.isCatchingUp = true;
  EXPECT_EQ(controller.get("/v1/Tallies.Retrieve/t3").status, controller::HttpStatus::service_unavailable);
}
TEST(CounterCalls, BadInputIsRefusedInOneLineAndChangesNothing) {
  controller_testing::FakeController controller;
  for (const auto* body :
       {"", "7", "{}", R"({"instanceId":"a"})", R"({"actor":4})", R"({"instanceId":"","actor":4})",
        R"({"instanceId":7,"actor":4})", R"({"instanceId":"a","actor":"4"})", R"({"instanceId":"a","actor":4.5})",
        R"({"instanceId":"a","actor":9007199254740992})", R"({"instanceId":"a","actor":-9007199254740992})",
        R"({"instanceId":"a","actor":92233720368547758080})"}) {
    const auto answer = controller.post("/v1/Tallies.Modify/t3", body);
    EXPECT_EQ(answer.status, controller::HttpStatus::bad_request) << body;
    EXPECT_EQ(answer.body.find('\n'), std::string::npos) << body;
  }
  const std::string longId(config::kMaxInstanceIdBytes + 1, 'i');
  EXPECT_EQ(controller.post("/v1/Tallies.Modify/t3", R"({"instanceId":")" + longId + R"(","actor":4})").status,
            controller::HttpStatus::bad_request);
  EXPECT_EQ(controller.post("/v1/Tallies.Modify/" + std::string(300, 'n'), R"({"instanceId":"a","actor":4})").status,
            controller::HttpStatus::bad_request);
  EXPECT_EQ(controller.post("/v1/Tallies.Modify/", R"({"instanceId":"a","actor":4})").status,
            controller::HttpStatus::bad_request);
  EXPECT_EQ(controller.counters.state.retainedIncrements(), 0U);
}
