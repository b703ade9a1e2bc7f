// A stand-in for the core machine behind the calls of runners and operators.
#pragma once
#include <gtest/gtest.h>

#include "calls.hpp"
#include "operation_ids.hpp"

namespace zinccleat {
using namespace zinccleat::config;
using namespace zinccleat::controller;
using namespace zinccleat::state_machine;
using namespace zinccleat::transport;
inline const std::string kStandInUri = "http://10.0.0.4:8080";

/// A core machine whose surroundings the test sets. Its waits take no time; they are added up.
struct StandInCore : CoreServices {
  Settings its;
  ReplicatedState state;
  bool contact = true, reaches = true, commits = true;
  std::string leader;
  std::int64_t number = 0;
  std::vector<std::string> noted, written;
  Duration waited{0};
  OperationIds ids{"10.0.0.4#7", 1};

  const Settings& settings() const override { return its; }
  const ReplicatedState& copy() const override { return state; }
  bool inContact() const override { return contact; }
  bool awaitContact(Duration within) override {
    if (!contact)
      waited += within;
    return contact;
  }
  bool heartbeatsReachLeader() const override { return reaches; }
  void noteHeartbeat(const std::string& id) override { noted.push_back(id); }
  Result<std::int32_t> write(LogEntry e, Duration within) override {
    written.push_back(e.operationId);
    if (!commits) {
      waited += within;
      return makeError(ErrorCode::unavailable, "no outcome yet");
    }
    const auto id = e.operationId;
    e.index = ++number;
    state.apply(e);
    return *state.outcomeOf(id);
  }
  Result<void> fresh(Duration within) override {
    if (commits)
      return {};
    waited += within;
    return makeError(ErrorCode::unavailable, "no fresh lease");
  }
  std::string operationId() override { return ids.next(); }
  std::string leaderControl() const override { return leader; }
  double requestsPerS() const override { return 0; }
  std::string statusJson() const override { return "{}"; }
  std::string zoneDrainsJson() const override { return "{}"; }
  Result<std::string> hintsFrom(std::string_view, std::string_view) override {
    return makeError(ErrorCode::notFound, "no partner site");
  }

  ApiResponse post(const std::string& target, const std::string& body, const std::string& base = "0") {
    return answerCall(*this, {"POST", target, body, base, ""}, kStandInUri);
  }
  ApiResponse get(const std::string& target) { return answerCall(*this, {"GET", target, "", "", ""}, kStandInUri); }
  ApiResponse beat(const std::string& id, int sequence, const std::string& how = "in_service") {
    return post("/v1/Instances.Heartbeat/" + id,
                R"({"targetService":"s","address":"10.0.1.1:80","zone":"z","capacity":4,)"
                R"("state":")" +
                    how + R"(","sequence":)" + std::to_string(sequence) + "}");
  }
};
}  // namespace zinccleat
