/// @file
/// Test double of a controller for tests of the control API; the test sets its state.
#pragma once
#include <gtest/gtest.h>

#include "control_api.hpp"
#include "coordination/leaseholder.hpp"
#include "fake_counters.hpp"
#include "operation_ids.hpp"

namespace zinccleat::controller_testing {
using namespace zinccleat::config;
using namespace zinccleat::controller;
using namespace zinccleat::state_machine;
using namespace zinccleat::transport;
inline const std::string kUri = "http://10.0.0.4:8080";

/// Test double of `ControllerServices`. Waits return at once; their durations are added up in `waited`.
struct FakeController : ControllerServices {
  Settings configuredSettings;
  ReplicatedState ownReplica;
  bool hasContact = true, reachesLeader = true, commits = true;
  std::optional<std::string> leader;
  std::map<std::string, std::string> controlAddresses;  ///< keyed by zone
  std::int64_t lastIndex = 0;
  std::vector<std::string> heartbeats, written;
  Duration waited{0};
  OperationIds ids{"10.0.0.4#7", 1};

  const Settings& settings() const override { return configuredSettings; }
  const ReplicatedState& replica() const override { return ownReplica; }
  bool inContact() const override { return hasContact; }
  bool awaitContact(Duration timeout) override {
    if (!hasContact)
      waited += timeout;
    return hasContact;
  }
  bool heartbeatsReachLeader() const override { return reachesLeader; }
  void recordHeartbeat(const std::string& runner) override { heartbeats.push_back(runner); }
  /// Called once, before the next write is applied: what other controllers write meanwhile.
  std::function<void()> beforeWrite;
  Result<ReplicatedState::Verdict> write(LogEntry entry, Duration timeout) override {
    if (const auto writeOthers = std::exchange(beforeWrite, {}))
      writeOthers();
    written.push_back(entry.operationId);
    if (!commits) {
      waited += timeout;
      return makeError(ErrorCode::unavailable, "no outcome yet");
    }
    entry.index = ++lastIndex;
    ownReplica.apply(entry);
    return *ownReplica.outcomeOf(entry.operationId);
  }
  Result<ReplicatedState::Verdict> writeOrder(LogEntry entry, std::int64_t base, Duration timeout) override {
    return write(asOrder(std::move(entry), base, ownReplica), timeout);
  }
  Result<void> awaitReadIndex(Duration timeout) override {
    if (commits)
      return {};
    waited += timeout;
    return makeError(ErrorCode::unavailable, "no fresh lease");
  }
  /// The only shard. This controller is its leaseholder, and its log commits at once.
  coordination::ShardState shard;
  bool outcomeGetsLost = false;  ///< commands are executed, but their outcome never becomes known
  Result<coordination::Outcome> executeCoordinationCommand(const coordination::Command& command,
                                                           Duration timeout) override {
    if (!hasContact) {
      waited += timeout;
      return makeError(ErrorCode::unavailable, "no leaseholder");
    }
    coordination::Leaseholder leaseholder(shard, [] { return true; });
    leaseholder.startTerm(TimePoint{});
    leaseholder.call(1, command);
    auto now = TimePoint{} + shardTime;
    while (auto entry = leaseholder.nextBatch(now, nextOperationId())) {
      entry->index = ++lastIndex;
      leaseholder.onApplied(*entry, shard.apply(*entry));
      shardTime = Duration(0);
      now = TimePoint{};
    }
    const auto results = leaseholder.takeResults();
    if (outcomeGetsLost || results.size() != 1)
      return makeError(ErrorCode::outcomeUnknown, "no outcome");
    return results.front().outcome;
  }
  Duration shardTime{0};  ///< time that passes before the next command
  Result<coordination::WatchedEvents> watch(const std::string& group, std::int64_t after, Duration wait) override {
    if (!hasContact)
      return makeError(ErrorCode::unavailable, "no leaseholder");
    auto found = shard.eventsAfter(group, after, 1000);
    if (after == 0)
      found = {false, {}, shard.revisionOf(group)};
    if (found.events.empty())
      waited += wait;
    return found;
  }
  bool changesWarmup(const Runner&) const override { return warmupChanges; }
  bool warmupChanges = false;
  FakeCounters counters;
  Result<void> addToCounter(const replicated_counters::Increment& increment, Duration timeout) override {
    auto added = counters.add(increment);
    if (!added)
      waited += timeout;
    return added;
  }
  Result<std::int64_t> counterTotal(const std::string& counter) const override { return counters.total(counter); }
  std::string replicatedCountersJson() const override { return "{}"; }
  std::string platformJson() const override { return "{}"; }
  std::string shardsJson() const override { return "{}"; }
  std::string nextOperationId() override { return ids.next(); }
  std::optional<std::string> controlAddressIn(const std::string& zone) const override {
    const auto found = controlAddresses.find(zone);
    return found == controlAddresses.end() ? std::nullopt : std::optional(found->second);
  }
  std::optional<std::string> leaderControlAddress() const override { return leader; }
  double requestsPerS() const override { return 0; }
  std::string statusJson() const override { return "{}"; }
  std::string countersJson() const override { return "{}"; }
  std::string zoneDrainsJson() const override { return "{}"; }
  Result<std::string> exchangeHints(std::string_view, std::string_view) override {
    return makeError(ErrorCode::notFound, "no partner site");
  }

  ApiResponse post(const std::string& target, const std::string& body, const std::string& base = "0") {
    return answerApiRequest(*this, {"POST", target, body, base, ""}, kUri);
  }
  /// A call whose caller has left, or leaves after some of the controller's looks at it.
  ApiResponse postAndLeave(const std::string& target, const std::string& body, int looksBeforeLeaving = 0) {
    ApiRequest request{"POST", target, body, "0", ""};
    request.callerHasLeft = [looksBeforeLeaving](Duration) mutable { return looksBeforeLeaving-- <= 0; };
    return answerApiRequest(*this, request, kUri);
  }
  ApiResponse get(const std::string& target) { return answerApiRequest(*this, {"GET", target, "", "", ""}, kUri); }
  ApiResponse heartbeat(const std::string& id, int sequence, const std::string& state = "in_service") {
    return post("/v1/Instances.Heartbeat/" + id,
                R"({"targetService":"s","address":"10.0.1.1:80","zone":"z","capacity":4,)"
                R"("state":")" +
                    state + R"(","sequence":)" + std::to_string(sequence) + "}");
  }
};
}  // namespace zinccleat::controller_testing
