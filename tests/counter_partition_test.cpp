/// @file
/// When a replica of the counters acknowledges with fewer copies. Guards against the fault of review/3: silence was
/// taken for a network partition, so an increment was acknowledged on one disk while the peers were merely killed, and
/// was lost with that disk. Each test puts the peers, or the replica itself, into one condition that looks like
/// silence.
#include <gtest/gtest.h>

#include "simulated_peers.hpp"

using namespace zinccleat;
using namespace zinccleat::replicated_counters;
using transport::ConnectionOutcome;
namespace {
constexpr OriginId kOrigin = 11;
const TimePoint kStart = TimePoint{} + std::chrono::hours(1);
constexpr Duration kInTouch{5000};  // longer than `CounterReplica::kStartGrace`
constexpr Duration kLong{20'000};   // much longer than any timeout of the replica
/// Within this time after its begin, a partition is detected.
constexpr Duration kDetectionBound{1300};

/// A replica whose peers have all been heard.
class CounterPartition : public testing::Test {
 protected:
  void startWith(int copies, const std::set<std::string>& peers) {
    replica_.emplace(CounterReplica::Options{kOrigin, "z1", copies}, kStart);
    replica_->setPeers(peers);
    peers_.emplace(*replica_, kStart);
    peerNames_ = peers;
    setAll(PeerCondition::running);
  }
  void startInTouch(int copies, const std::set<std::string>& peers) {
    startWith(copies, peers);
    peers_->runFor(kInTouch);
  }
  void setAll(PeerCondition condition) {
    for (const auto& peer : peerNames_)
      peers_->set(peer, condition);
  }
  void expectWaits(const char* why) {
    peers_->add(++lastCall_);
    peers_->runFor(kLong);
    EXPECT_FALSE(peers_->acknowledged(lastCall_)) << why;
  }
  /// Expects that a partition is detected in time, and that increments are acknowledged at once from then on.
  void expectDetected() {
    peers_->runFor(kDetectionBound);
    expectAcknowledgedAtOnce();
    for (int i = 0; i < 100; ++i) {
      peers_->runFor(SimulatedPeers::kTickInterval);
      expectAcknowledgedAtOnce();
    }
  }
  void expectAcknowledgedAtOnce() {
    peers_->add(++lastCall_);
    EXPECT_TRUE(peers_->acknowledged(lastCall_)) << "every copy that is possible is made";
  }
  SimulatedPeers& peers() { return *peers_; }
  CounterReplica& replica() { return *replica_; }
  std::int64_t lastCall() const { return lastCall_; }

 private:
  std::optional<CounterReplica> replica_;
  std::optional<SimulatedPeers> peers_;
  std::set<std::string> peerNames_;
  std::int64_t lastCall_ = 0;
};
}  // namespace

TEST_F(CounterPartition, PeersThatHaveEndedAreWaitedFor) {
  startInTouch(1, {"b", "c"});
  setAll(PeerCondition::ended);
  expectWaits("the only copy is on one disk, and no partition excuses its loss");
  peers().set("b", PeerCondition::running);
  peers().setDurable("b", {{kOrigin, 1}});
  peers().runFor(1s);
  EXPECT_TRUE(peers().acknowledged(lastCall())) << "a peer is back and has the increment on its disk";
}
TEST_F(CounterPartition, PeersThatStandStillAreWaitedFor) {
  startInTouch(1, {"b", "c"});
  setAll(PeerCondition::standsStill);
  expectWaits("the machines of the peers accept connections");
}
TEST_F(CounterPartition, PeersThatEndOneAfterTheOtherAreWaitedFor) {
  startInTouch(1, {"b", "c"});
  peers().set("b", PeerCondition::ended);
  peers().runFor(kLong);
  peers().set("c", PeerCondition::ended);
  expectWaits("both processes have ended");
}
TEST_F(CounterPartition, CutOffItAcknowledgesAloneInTime) {
  startInTouch(1, {"b", "c"});
  setAll(PeerCondition::cutOff);
  expectDetected();
}
TEST_F(CounterPartition, OnASideWithFewerDisksAsManyAsThereAreSuffice) {
  startInTouch(2, {"b", "c", "d", "e"});
  for (const auto* peer : {"c", "d", "e"})
    peers().set(peer, PeerCondition::cutOff);
  peers().runFor(kDetectionBound);
  peers().add(1);
  peers().runFor(100ms);
  EXPECT_FALSE(peers().acknowledged(1)) << "peer b is reachable, so its copy is required";
  replica().receive(peers().now(), "b", ProgressReport{"z1", {{kOrigin, 1}}});
  EXPECT_TRUE(peers().acknowledged(1));
}
TEST_F(CounterPartition, ACopyAcrossThePartitionDoesNotReplaceTheOwnDisk) {
  startInTouch(2, {"b", "c", "d", "e"});
  peers().stallDisk(true);
  peers().add(1);
  replica().receive(peers().now(), "b", ProgressReport{"z2", {{kOrigin, 1}}});
  setAll(PeerCondition::cutOff);
  peers().runFor(kLong);
  EXPECT_FALSE(peers().acknowledged(1)) << "the only copy is on the other side of the partition";
  peers().stallDisk(false);
  EXPECT_TRUE(peers().acknowledged(1));
}
TEST_F(CounterPartition, APeerThatEndsWhileTheOtherIsCutOffIsWaitedFor) {
  startInTouch(1, {"b", "c"});
  peers().set("b", PeerCondition::cutOff);
  peers().runFor(kLong);
  peers().set("c", PeerCondition::ended);
  expectWaits("peer c is not cut off");
  peers().set("c", PeerCondition::cutOff);
  // The machine of c has refused a connection at most one interval ago.
  peers().runFor(PartitionDetector::kAnsweredAttemptInterval);
  expectDetected();
}
TEST_F(CounterPartition, APeerThatIsCutOffWhileTheOtherHasEndedDoesNotReplaceIt) {
  startInTouch(1, {"b", "c"});
  peers().set("b", PeerCondition::ended);
  peers().runFor(kLong);
  peers().set("c", PeerCondition::cutOff);
  expectWaits("peer b is not cut off");
}
TEST_F(CounterPartition, EachMissingCopyTakesEvidence) {
  startInTouch(2, {"b", "c", "d", "e", "f"});
  for (const auto* peer : {"b", "c", "d"})
    peers().set(peer, PeerCondition::cutOff);
  peers().set("e", PeerCondition::ended);
  peers().setDurable("f", {{kOrigin, 1}});
  expectWaits("three peers are cut off, one has ended and one has a copy: the ended one can make the second copy");
  peers().set("e", PeerCondition::running);
  peers().setDurable("e", {{kOrigin, 1}});
  peers().runFor(1s);
  EXPECT_TRUE(peers().acknowledged(lastCall()));
}
TEST_F(CounterPartition, ALinkThatLosesPacketsIsNoPartition) {
  startInTouch(1, {"b", "c"});
  setAll(PeerCondition::standsStill);
  for (int i = 0; i < 40; ++i) {
    for (const auto* peer : {"b", "c"})
      peers().loseAttempts(peer, PartitionDetector::kMinUnansweredAttempts - 1);
    peers().add(100 + i);
    peers().runFor(2s);
    EXPECT_FALSE(peers().acknowledged(100 + i)) << "one attempt in each series is answered";
  }
}
TEST_F(CounterPartition, EvidenceEndsWithThePartition) {
  startInTouch(1, {"b", "c"});
  setAll(PeerCondition::cutOff);
  peers().runFor(kLong);
  setAll(PeerCondition::ended);
  peers().runFor(2 * PartitionDetector::kAttemptInterval);
  peers().add(1);
  EXPECT_FALSE(peers().acknowledged(1)) << "the partition is over and the peers have ended";
}
TEST_F(CounterPartition, AMessageVoidsTheEvidence) {
  startInTouch(1, {"b", "c"});
  setAll(PeerCondition::cutOff);
  peers().runFor(kLong);
  replica().receive(peers().now(), "b", ProgressReport{"z2", {}});
  for (const auto& status : replica().peers(peers().now())) {
    EXPECT_EQ(status.cutOff, status.address == "c");
    EXPECT_EQ(status.unansweredAttempts == 0, status.address == "b");
  }
}
// The add lies in the socket while the replica's process stands still, and is handled before the first tick.
TEST_F(CounterPartition, APauseOfItsOwnIsNoPartition) {
  startInTouch(1, {"b", "c"});
  setAll(PeerCondition::ended);
  peers().pauseFor(2s, [&] { peers().add(1); });
  EXPECT_FALSE(peers().acknowledged(1)) << "nothing was looked at meanwhile";
  peers().runFor(kLong);
  EXPECT_FALSE(peers().acknowledged(1));
}
TEST_F(CounterPartition, APauseOfItsOwnVoidsTheEvidence) {
  startInTouch(1, {"b", "c"});
  setAll(PeerCondition::cutOff);
  peers().runFor(kLong);
  for (int i = 0; i < 20; ++i) {
    setAll(PeerCondition::ended);
    const auto pause = PartitionDetector::kMaxPause + 10ms * (1 + i);
    peers().pauseFor(pause, [&] { peers().add(100 + i); });
    peers().runFor(2s);
    EXPECT_FALSE(peers().acknowledged(100 + i)) << "the partition ended during a pause of " << pause.count() << " ms";
    setAll(PeerCondition::cutOff);
    peers().runFor(kLong);
  }
}
TEST_F(CounterPartition, AttemptsThatEndDuringAPauseDoNotCount) {
  startInTouch(1, {"b", "c"});
  setAll(PeerCondition::standsStill);
  for (int i = 0; i < 20; ++i) {
    for (const auto* peer : {"b", "c"})
      peers().loseAttempts(peer, PartitionDetector::kMinUnansweredAttempts);
    // The attempts are all under way, and end together after the pause.
    peers().runFor(CounterReplica::kAttemptAfterSilence + 400ms);
    peers().pauseFor(1s, [&] { peers().add(100 + i); });
    EXPECT_FALSE(peers().acknowledged(100 + i));
    setAll(PeerCondition::running);
    peers().runFor(1s);
    setAll(PeerCondition::standsStill);
  }
}
TEST_F(CounterPartition, AfterItsStartPeersThatAreDownAreWaitedFor) {
  startWith(1, {"b", "c"});
  setAll(PeerCondition::ended);
  expectWaits("nothing was heard yet, and the machines of the peers refuse connections");
}
TEST_F(CounterPartition, AloneItAcknowledgesByItsOwnDiskButNotSoonAfterItsStart) {
  startWith(2, {"b", "c", "d", "e"});
  setAll(PeerCondition::cutOff);
  peers().add(1);
  peers().runFor(CounterReplica::kStartGrace - SimulatedPeers::kTickInterval);
  EXPECT_FALSE(peers().acknowledged(1)) << "the peers may not have sent a message yet";
  peers().runFor(SimulatedPeers::kTickInterval);
  EXPECT_TRUE(peers().acknowledged(1));
}
TEST_F(CounterPartition, AMemberThatWasJustAddedIsWaitedForUntilItsOwnAttemptsEnd) {
  startInTouch(1, {"b", "c"});
  setAll(PeerCondition::cutOff);
  peers().runFor(kLong);
  peers().set("d", PeerCondition::ended);
  replica().setPeers({"b", "c", "d"});
  expectWaits("nobody was dialled at the address of d yet, then its machine refuses connections");
}
TEST_F(CounterPartition, UnknownMembersAreNotTakenForCutOffOnes) {
  startInTouch(2, {"b"});
  setAll(PeerCondition::cutOff);
  expectWaits("a fleet that tolerates the loss of two machines has more members than the one that is known");
}
TEST_F(CounterPartition, AttemptsAreMadeOnlyWhileTooFewPeersAreHeard) {
  startInTouch(1, {"b", "c"});
  EXPECT_EQ(peers().attempts(), 0);
  peers().set("b", PeerCondition::ended);
  peers().runFor(kLong);
  EXPECT_EQ(peers().attempts(), 0) << "peer c can make the copy";
  peers().set("c", PeerCondition::standsStill);
  peers().runFor(60s);
  EXPECT_LE(peers().attempts(), 2 * 60) << "the attempts that a process leaves in its accept queue are few";
}

TEST(PartitionDetector, AnAttemptThatEndedLateVoidsTheEvidence) {
  PartitionDetector detector;
  TimePoint shownAt;
  for (int i = 0; i < PartitionDetector::kMinUnansweredAttempts; ++i) {
    EXPECT_FALSE(detector.isCutOff(shownAt)) << "too few attempts";
    shownAt = kStart + 50ms * i + 320ms;
    detector.recordAttempt({kStart + 50ms * i, shownAt, ConnectionOutcome::unanswered});
  }
  EXPECT_TRUE(detector.isCutOff(shownAt));
  EXPECT_FALSE(detector.isCutOff(shownAt + PartitionDetector::kEvidenceLifetime)) << "it is not renewed";
  const auto renewedAt = shownAt + PartitionDetector::kEvidenceLifetime - 1ms;
  detector.recordAttempt({renewedAt - 300ms, renewedAt, ConnectionOutcome::unanswered});
  EXPECT_TRUE(detector.isCutOff(renewedAt));
  const auto late = PartitionDetector::kAttemptTimeout + PartitionDetector::kMaxPause + 1ms;
  detector.recordAttempt({renewedAt - late, renewedAt, ConnectionOutcome::unanswered});
  EXPECT_FALSE(detector.isCutOff(renewedAt)) << "this process stood still, and so may have missed an answer";
}
TEST(PartitionDetector, EvidenceThatHasExpiredIsNotContinued) {
  PartitionDetector detector;
  for (int i = 0; i < 20; ++i)
    detector.recordAttempt({kStart + 50ms * i, kStart + 50ms * i + 300ms, ConnectionOutcome::unanswered});
  // Attempts are resumed a minute later, and a single packet is lost.
  const auto resumedAt = kStart + 1min;
  detector.recordAttempt({resumedAt, resumedAt + 300ms, ConnectionOutcome::unanswered});
  EXPECT_FALSE(detector.isCutOff(resumedAt + 300ms));
}
TEST(PartitionDetector, AFailureOnThisMachineShowsNothing) {
  PartitionDetector detector;
  for (int i = 0; i < 20; ++i)
    detector.recordAttempt({kStart + 100ms * i, kStart + 100ms * i, ConnectionOutcome::failed});
  EXPECT_FALSE(detector.isCutOff(kStart + 2s));
}
TEST(PartitionDetector, AttemptsThatBeganBeforeAnAnswerDoNotCount) {
  PartitionDetector detector;
  detector.recordAttempt({kStart + 500ms, kStart + 501ms, ConnectionOutcome::accepted});
  for (int i = 0; i < 5; ++i)
    detector.recordAttempt({kStart + 210ms + 50ms * i, kStart + 510ms + 50ms * i, ConnectionOutcome::unanswered});
  EXPECT_FALSE(detector.isCutOff(kStart + 720ms));
  EXPECT_EQ(detector.unansweredAttempts(), 0);
}
