// The applied copy, the receiver's queue, and frames: conformance tables after docs/design.md.
#include <gtest/gtest.h>

#include "consensus/queue.hpp"
#include "state_machine/replicated_state.hpp"
#include "transport/access_messages.hpp"
#include "transport/avro.hpp"
#include "transport/partial_view.hpp"
#include "transport/peer_link.hpp"

using namespace zinccleat;
using namespace zinccleat::consensus;
using namespace zinccleat::state_machine;
using namespace zinccleat::transport;
namespace {
struct Log {
  ReplicatedState copy;
  std::int64_t n = 0;
  ReplicatedState::Change put(LogEntry e) {
    e.index = ++n;
    return copy.apply(e);
  }
  int replace(std::int64_t base, std::int64_t version, const std::string& body, const std::string& op) {
    auto e = configurationEntry(base, version, body, op);
    const auto id = e.operationId;
    put(e);
    return copy.outcomeOf(id).value_or(-1);
  }
};
Runner runner(const std::string& id, const std::string& addr, RunnerState st, std::int64_t seq) {
  return Runner{id, "s", addr, "z", 4, seq, static_cast<std::int32_t>(st)};
}
LogEntry numbered(std::int64_t n, const std::string& blob = "b") {
  LogEntry e;
  e.index = n;
  e.body = blob;
  return e;
}
}  // namespace

TEST(ReplicatedState, OfTwoChangesOnOneStampOneWins) {
  Log l;
  EXPECT_EQ(l.replace(0, 2, "A", "x"), 200);
  EXPECT_EQ(l.replace(2, 5, "B", "y"), 200);
  EXPECT_EQ(l.replace(2, 6, "C", "z"), 412);
  EXPECT_EQ(l.copy.state().configuration, "B");
}
TEST(ReplicatedState, TheExactSameOneSentAgainIsAcknowledgedAgain) {
  Log l;
  EXPECT_EQ(l.replace(0, 2, "A", "x"), 200);
  EXPECT_EQ(l.replace(0, 2, "A", "y"), 200);
  EXPECT_EQ(l.replace(2, 4, "B", "z"), 200);
  EXPECT_EQ(l.replace(0, 2, "A", "w"), 200) << "taken before, though another is in place now";
  EXPECT_EQ(l.copy.state().version, 4) << "and nothing goes back";
  EXPECT_EQ(l.replace(0, 2, "A2", "v"), 412);
}
TEST(ReplicatedState, AStampNotAboveTheCurrentIsDeclined) {
  Log l;
  EXPECT_EQ(l.replace(0, 4, "A", "x"), 200);
  EXPECT_EQ(l.replace(4, 4, "B", "y"), 400);
  EXPECT_EQ(l.replace(4, 3, "B", "z"), 400);
}
TEST(ReplicatedState, RunnersJoinDrainAndLeave) {
  Log l;
  l.put(runnerEntry(runner("i1", "a:1", RunnerState::inService, 1), "1"));
  ASSERT_TRUE(l.copy.runner("i1"));
  l.put(runnerEntry(runner("i1", "a:1", RunnerState::draining, 5), "2"));
  EXPECT_EQ(l.copy.runner("i1")->at(), RunnerState::draining);
  l.put(runnerEntry(runner("i1", "a:1", RunnerState::inService, 4), "3"));
  EXPECT_EQ(l.copy.runner("i1")->at(), RunnerState::draining) << "a late beat changes nothing";
  l.put(runnerEntry(runner("i1", "a:1", RunnerState::inService, 9), "4"));
  EXPECT_EQ(l.copy.runner("i1")->at(), RunnerState::draining) << "who leaves does not come back in the same life";
  l.put(runnerEntry(runner("i1", "a:1", RunnerState::gone, 9), "5"));
  EXPECT_FALSE(l.copy.runner("i1"));
  l.put(runnerEntry(runner("i1", "a:1", RunnerState::inService, 10), "6"));
  EXPECT_FALSE(l.copy.runner("i1")) << "it has left for good";
}
TEST(ReplicatedState, AMissedRunnerMayBeatAgainANewLifeTakesTheAddress) {
  Log l;
  l.put(runnerEntry(runner("i1", "a:1", RunnerState::inService, 1), "1"));
  auto missed = runner("i1", "a:1", RunnerState::gone, 0);
  l.put(runnerEntry(missed, "2"));
  EXPECT_FALSE(l.copy.runner("i1"));
  l.put(runnerEntry(runner("i1", "a:1", RunnerState::inService, 7), "3"));
  EXPECT_TRUE(l.copy.runner("i1"));
  l.put(runnerEntry(runner("i2", "a:1", RunnerState::inService, 1), "4"));
  EXPECT_FALSE(l.copy.runner("i1"));
  EXPECT_TRUE(l.copy.runner("i2"));
}
TEST(ReplicatedState, AWriteThatCameTwiceIsOneWrite) {
  Log l;
  EXPECT_EQ(l.replace(0, 2, "A", "x"), 200);
  l.put(runnerEntry(runner("i1", "a:1", RunnerState::gone, 0), "missed"));
  l.put(runnerEntry(runner("i1", "a:1", RunnerState::inService, 3), "join"));
  l.put(runnerEntry(runner("i1", "a:1", RunnerState::gone, 0), "missed"));
  EXPECT_TRUE(l.copy.runner("i1")) << "the late copy of an older write undoes nothing";
  EXPECT_EQ(l.replace(0, 2, "A", "x"), 200);
  EXPECT_EQ(l.copy.state().index, 5) << "but its number is taken";
}
TEST(ReplicatedState, ASnapshotHoldsEverything) {
  Log l;
  l.replace(0, 2, "A", "x");
  l.put(runnerEntry(runner("i1", "a:1", RunnerState::draining, 1), "1"));
  ReplicatedState other;
  ASSERT_TRUE(other.restore(l.copy.snapshot()));
  EXPECT_EQ(other.snapshot(), l.copy.snapshot());
  EXPECT_EQ(other.state().index, 2);
  EXPECT_FALSE(other.restore("no snapshot at all \xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"));
}
TEST(EntryQueue, TakesTheHeadInStrictOrderOnly) {
  EntryQueue q;
  q.offer(numbered(3));
  q.offer(numbered(2));
  EXPECT_FALSE(q.next());
  EXPECT_TRUE(q.gap());
  q.offer(numbered(1));
  for (int i = 1; i <= 3; ++i)
    EXPECT_EQ(q.next()->index, i);
  EXPECT_FALSE(q.gap());
  q.offer(numbered(2));
  EXPECT_FALSE(q.next()) << "what was applied is not applied again";
  EXPECT_FALSE(q.gap());
}
TEST(EntryQueue, ALargeWriteWaitsForItsBody) {
  EntryQueue q;
  auto e = numbered(1, "");
  e.omitted = true;
  e.digest = "d1";
  q.offer(e);
  EXPECT_FALSE(q.next());
  EXPECT_TRUE(q.gap()) << "asked for again if the body never comes";
  q.body("d1", "the body");
  EXPECT_EQ(q.next()->body, "the body");
  e.index = 2;
  e.digest = "d2";
  q.offer(e);
  EXPECT_FALSE(q.next());
  q.offer(numbered(2, "whole"));  // the refetch
  EXPECT_EQ(q.next()->body, "whole");
}
TEST(EntryQueue, ASnapshotSkipsWhatItHolds) {
  EntryQueue q;
  q.offer(numbered(5));
  q.offer(numbered(6));
  q.restart(5);
  EXPECT_EQ(q.next()->index, 6);
}
TEST(Frames, GoAndComeBack) {
  FeedEntries feed;
  feed.newestIndex = -7;
  feed.entries = {numbered(1, std::string(100000, 'z')), numbered(2)};
  LeaseResponse lease;
  lease.grants = {{"t", 1.5, 2.5}};
  auto buf = encodeFrame(pack(feed, "x")) + encodeFrame(pack(lease)) + std::string(2, char(0));
  auto out = decodeFrames(buf);
  ASSERT_TRUE(out);
  ASSERT_EQ(out->size(), 2U);
  EXPECT_EQ((*out)[0].sender, "x");
  EXPECT_TRUE((*out)[1].sender.empty());
  const auto feedBack = unpack<FeedEntries>((*out)[0]);
  ASSERT_TRUE(feedBack);
  EXPECT_EQ(feedBack->newestIndex, -7);
  EXPECT_EQ(feedBack->entries[0].body.size(), 100000U);
  const auto leaseBack = unpack<LeaseResponse>((*out)[1]);
  ASSERT_TRUE(leaseBack);
  EXPECT_DOUBLE_EQ(leaseBack->grants[0].burst, 2.5);
  EXPECT_FALSE(unpack<LeaseRequest>((*out)[1])) << "a message of another type";
  EXPECT_EQ(buf.size(), 2U) << "a frame not whole yet stays";
}
TEST(Frames, WhatIsNotOursIsDeclined) {
  auto other = encodeFrame(pack(AgentState{}, "x"));
  other[4] = 9;
  EXPECT_FALSE(decodeFrames(other)) << "another format version";
  std::string huge = "\xff\xff\xff\xff\x01";
  EXPECT_FALSE(decodeFrames(huge));
  auto broken = encodeFrame(pack(AgentState{}, "x"));
  for (std::size_t i = 5; i < broken.size(); ++i)
    broken[i] = static_cast<char>(0xff);
  EXPECT_FALSE(decodeFrames(broken));
  auto unknownType = encodeFrame(pack(AgentState{}, "x"));
  unknownType[5] = static_cast<char>(99);
  EXPECT_FALSE(decodeFrames(unknownType));
  EXPECT_FALSE(unpack<AgentState>(Envelope{MessageType::agentState, "x", "\xff"}));
  auto noHead = encodeFrame(pack(AgentState{}, "x"));
  noHead[6] = static_cast<char>(200);
  EXPECT_FALSE(decodeFrames(noHead)) << "a sender longer than the frame";
  std::string http = "GET / HTTP/1.1\r\n\r\n";
  EXPECT_FALSE(decodeFrames(http));
}
TEST(PartialView, StaysSmallAndSpreads) {
  std::vector<PartialView> v;
  v.reserve(40);
  for (int i = 0; i < 40; ++i)
    v.emplace_back("n" + std::to_string(i), 8, 77 + i);
  for (int i = 0; i < 40; ++i)
    v[i].add("n" + std::to_string((i + 1) % 40));
  std::mt19937 rng(5);
  for (int round = 0; round < 60; ++round)
    for (auto& x : v) {
      const auto all = x.all();
      ASSERT_LE(all.size(), 8U);
      auto& y = v[std::stoul(all[rng() % all.size()].substr(1))];
      const auto mine = x.sample();
      const auto theirs = y.sample();
      y.merge(mine);
      x.merge(theirs);
    }
  std::set<std::string> known;
  for (auto& x : v)
    for (auto& n : x.all())
      known.insert(n);
  EXPECT_GT(known.size(), 30U);
}
