/// @file
/// Compares the answers to calls of runners and operators (api/control.yaml) with the stored answers in tests/golden
/// (see the README there). Each call has one file, which lists requests in various situations and their answers.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "control_api.hpp"
#include "controller_node.hpp"
#include "fake_counters.hpp"
#include "golden_files.hpp"
#include "runtime/event_loop.hpp"

using namespace zinccleat;
using namespace zinccleat::config;
using namespace zinccleat::consensus;
using namespace zinccleat::controller;
using namespace zinccleat::runtime;
using namespace zinccleat::state_machine;
using namespace zinccleat::storage;
using namespace zinccleat::transport;
namespace {
/// Test double of `ControllerServices` whose state the test sets. No call waits.
struct FakeController final : ControllerServices {
  Settings configuredSettings;
  ReplicatedState ownReplica;
  bool hasContact = true, reachesLeader = true, commits = true, readsFresh = true;
  std::optional<std::string> leader;
  double requestRate = 0;
  Result<std::string> hints = "seal\nnews";
  std::int64_t writes = 0;
  std::string written;  // one line per write

  FakeController() { configuredSettings.zones = {{"zone-1", "region-1"}}; }
  const Settings& settings() const override { return configuredSettings; }
  const ReplicatedState& replica() const override { return ownReplica; }
  bool inContact() const override { return hasContact; }
  bool awaitContact(Duration /*timeout*/) override { return hasContact; }
  bool heartbeatsReachLeader() const override { return reachesLeader; }
  void recordHeartbeat(const std::string& /*runner*/) override {}
  Result<ReplicatedState::Verdict> write(LogEntry entry, Duration /*timeout*/) override {
    noteWrite(entry);
    return commit(std::move(entry));
  }
  Result<ReplicatedState::Verdict> writeOrder(LogEntry entry, std::int64_t base, Duration /*timeout*/) override {
    noteWrite(entry);
    return commit(asOrder(std::move(entry), base, ownReplica));
  }
  void noteWrite(const LogEntry& entry) {
    if (commits)
      written += "writes " + entry.operationId + ", kind " + std::to_string(entry.kind) + ", base " +
                 std::to_string(entry.base) + "\n";
  }
  Result<ReplicatedState::Verdict> commit(LogEntry entry) {
    if (!commits)
      return makeError(ErrorCode::unavailable, "no outcome yet");
    entry.index = ++writes;
    ownReplica.apply(entry);
    return *ownReplica.outcomeOf(entry.operationId);
  }
  Result<void> awaitReadIndex(Duration /*timeout*/) override {
    if (!readsFresh)
      return makeError(ErrorCode::unavailable, "no fresh lease");
    return {};
  }
  Result<coordination::Outcome> executeCoordinationCommand(const coordination::Command&, Duration) override {
    return makeError(ErrorCode::unavailable, "not here");
  }
  Result<coordination::WatchedEvents> watch(const std::string&, std::int64_t, Duration) override {
    return makeError(ErrorCode::unavailable, "not here");
  }
  bool changesWarmup(const Runner&) const override { return warmupChanges; }
  bool warmupChanges = false;
  controller_testing::FakeCounters counters;
  Result<void> addToCounter(const replicated_counters::Increment& increment, Duration /*timeout*/) override {
    return counters.add(increment);
  }
  Result<std::int64_t> counterTotal(const std::string& counter) const override { return counters.total(counter); }
  std::string replicatedCountersJson() const override { return "{}"; }
  std::string platformJson() const override { return "{}"; }
  std::string shardsJson() const override { return "{}"; }
  std::string nextOperationId() override { return "operator/" + std::to_string(writes); }
  std::optional<std::string> controlAddressIn(const std::string&) const override { return std::nullopt; }
  std::optional<std::string> leaderControlAddress() const override { return leader; }
  double requestsPerS() const override { return requestRate; }
  std::string statusJson() const override { return R"({"status":"of the core"})"; }
  std::string countersJson() const override { return "{}"; }
  std::string zoneDrainsJson() const override { return R"({"closures":"of the core"})"; }
  Result<std::string> exchangeHints(std::string_view /*body*/, std::string_view /*seal*/) override { return hints; }
};

using Situation = std::function<void(FakeController&)>;
void usual(FakeController& /*controller*/) {}
void partitioned(FakeController& controller) {
  controller.hasContact = false;
}
void notHeardByLeader(FakeController& controller) {
  controller.reachesLeader = false;
}
void commitsNothing(FakeController& controller) {
  controller.commits = false;
}
void readsNothing(FakeController& controller) {
  controller.readsFresh = false;
}
void anotherControllerLeads(FakeController& controller) {
  controller.leader = "10.0.0.5:8477";
}
void busyFleet(FakeController& controller) {
  controller.requestRate = 321.5;
}
void withoutPartner(FakeController& controller) {
  controller.hints = makeError(ErrorCode::notFound, "no partner site");
}
void withStranger(FakeController& controller) {
  controller.hints = makeError(ErrorCode::permissionDenied, "hints of a stranger");
}
std::string configuration(int version, const std::string& label = "a") {
  return R"({"configVersion":)" + std::to_string(version) + R"(,"routeTable":[],"serviceTable":[{"label":")" + label +
         R"("}],"limits":{}})";
}
ApiResponse replace(FakeController& controller, const std::string& base, const std::string& body) {
  return answerApiRequest(controller, {"POST", "/v1/Configuration.Replace", body, base, ""}, "");
}
void hasVersion3(FakeController& controller) {
  (void)replace(controller, "0", configuration(3));
}
/// Versions up to 5 were accepted, but the replica remembers only the newest.
void hasForgotten(FakeController& controller) {
  (void)replace(controller, "0", configuration(3));
  (void)replace(controller, "3", configuration(5));
  ReplicatedState restored;
  ASSERT_TRUE(restored.restore(controller.ownReplica.snapshotFor("")));
  controller.ownReplica = restored;
}
constexpr const char* kHeartbeat =
    R"({"targetService":"s","address":"10.0.1.1:80","zone":"z","capacity":4,"state":"in_service","sequence":7})";
void knowsRunner(FakeController& controller) {
  (void)answerApiRequest(controller, {"POST", "/v1/Instances.Heartbeat/i-1", kHeartbeat, "", ""}, "");
}
void runnerHasDetached(FakeController& controller) {
  (void)answerApiRequest(controller, {"POST", "/v1/Instances.Detach/i-1", "", "", ""}, "");
}
constexpr const char* kRollout = R"({"targetService":"a","targetRevision":"v2","durationS":12})";
ApiResponse beginRollout(FakeController& controller, const std::string& body) {
  return answerApiRequest(controller, {"POST", "/v1/Rollouts.Begin", body, "", ""}, "");
}
void rollsOut(FakeController& controller) {
  hasVersion3(controller);
  (void)beginRollout(controller, kRollout);
}
void progressTo(FakeController& controller, RolloutPhase phase) {
  rollsOut(controller);
  auto rollout = *controller.ownReplica.rollout("a");
  rollout.setPhase(phase);
  rollout.percent = 25;
  rollout.elapsedMs = 7000;
  rollout.reason = "because";
  rollout.evidence = {{"r", 1, 2, 3, 4, 5, 6}};
  (void)controller.write(rolloutProgressEntry(rollout, "leader/1"), Duration(0));
}
void shiftsTraffic(FakeController& controller) {
  progressTo(controller, RolloutPhase::shifting);
}
void hasCompleted(FakeController& controller) {
  progressTo(controller, RolloutPhase::completed);
}
void hasReverted(FakeController& controller) {
  progressTo(controller, RolloutPhase::reverted);
}

struct Call {
  const char* situation;
  Situation arrange;
  const char* method;
  std::string body;
  std::string base;
};
struct CallTable {
  const char* name;
  std::string path;
  std::vector<Call> calls;
};
std::ostream& operator<<(std::ostream& out, const CallTable& table) {
  return out << table.name;
}
std::vector<CallTable> tables() {
  return {
      {"heartbeat",
       "/v1/Instances.Heartbeat/i-1",
       {{"joins", usual, "POST", kHeartbeat, ""},
        {"is known", knowsRunner, "POST", kHeartbeat, ""},
        {"has ended", runnerHasDetached, "POST", kHeartbeat, ""},
        {"no JSON", usual, "POST", "beat", ""},
        {"no address", usual, "POST", R"({"targetService":"s"})", ""},
        {"wrong type", usual, "POST", R"({"targetService":"s","address":"a","capacity":"four"})", ""},
        {"cut off", partitioned, "POST", kHeartbeat, ""},
        {"the leader does not hear", notHeardByLeader, "POST", kHeartbeat, ""},
        {"no outcome of the write", commitsNothing, "POST", kHeartbeat, ""},
        {"other method", usual, "GET", "", ""}}},
      {"detach",
       "/v1/Instances.Detach/i-1",
       {{"leaves", knowsRunner, "POST", "", ""},
        {"is unknown", usual, "POST", "", ""},
        {"has left before, cut off",
         [](FakeController& controller) {
           runnerHasDetached(controller);
           partitioned(controller);
         },
         "POST", "", ""},
        {"cut off", partitioned, "POST", "", ""},
        {"no outcome of the write", commitsNothing, "POST", "", ""},
        {"other method", usual, "GET", "", ""}}},
      {"configuration_replace",
       "/v1/Configuration.Replace",
       {{"the first", usual, "POST", configuration(3), ""},
        {"on top of version 3", hasVersion3, "POST", configuration(5), "3"},
        {"the same again", hasVersion3, "POST", configuration(3), "0"},
        {"another one is in place", hasVersion3, "POST", configuration(5), "2"},
        {"not above the current one", hasVersion3, "POST", configuration(3, "b"), "3"},
        {"too old to tell", hasForgotten, "POST", configuration(3, "b"), "0"},
        {"no object", usual, "POST", "[]", "0"},
        {"no version", usual, "POST", R"({"routeTable":[],"serviceTable":[]})", "0"},
        {"base is no number", usual, "POST", configuration(3), "three"},
        {"cut off", partitioned, "POST", configuration(3), "0"},
        {"no outcome of the write", commitsNothing, "POST", configuration(3), "0"},
        {"other method", usual, "GET", "", ""}}},
      {"configuration_retrieve",
       "/v1/Configuration.Retrieve",
       {{"version 3", hasVersion3, "GET", "", ""},
        {"none yet", usual, "GET", "", ""},
        {"cut off", partitioned, "GET", "", ""},
        {"no fresh read", readsNothing, "GET", "", ""},
        {"other method", usual, "POST", "", ""}}},
      {"rollouts_begin",
       "/v1/Rollouts.Begin",
       {{"begins", hasVersion3, "POST", kRollout, ""},
        {"the same again", rollsOut, "POST", kRollout, ""},
        {"the same again, cut off",
         [](FakeController& controller) {
           rollsOut(controller);
           partitioned(controller);
         },
         "POST", kRollout, ""},
        {"the same again after it was reverted", hasReverted, "POST", kRollout, ""},
        {"another revision meanwhile", rollsOut, "POST",
         R"({"targetService":"a","targetRevision":"v3","durationS":12})", ""},
        {"another revision afterwards", hasCompleted, "POST",
         R"({"targetService":"a","targetRevision":"v3","durationS":12.5})", ""},
        {"no such service", hasVersion3, "POST", R"({"targetService":"b","targetRevision":"v2","durationS":12})", ""},
        {"no such service, no fresh read",
         [](FakeController& controller) {
           hasVersion3(controller);
           readsNothing(controller);
         },
         "POST", R"({"targetService":"b","targetRevision":"v2","durationS":12})", ""},
        {"no revision", hasVersion3, "POST", R"({"targetService":"a","durationS":12})", ""},
        {"empty revision", hasVersion3, "POST", R"({"targetService":"a","targetRevision":"","durationS":12})", ""},
        {"no duration", hasVersion3, "POST", R"({"targetService":"a","targetRevision":"v2"})", ""},
        {"duration below a second", hasVersion3, "POST",
         R"({"targetService":"a","targetRevision":"v2","durationS":0.5})", ""},
        {"duration above a day", hasVersion3, "POST",
         R"({"targetService":"a","targetRevision":"v2","durationS":86401})", ""},
        {"cut short", hasVersion3, "POST", R"({"targetService":"a","targetRev)", ""},
        {"cut off",
         [](FakeController& controller) {
           hasVersion3(controller);
           partitioned(controller);
         },
         "POST", kRollout, ""},
        {"no outcome of the write",
         [](FakeController& controller) {
           hasVersion3(controller);
           commitsNothing(controller);
         },
         "POST", kRollout, ""},
        {"other method", usual, "GET", "", ""}}},
      {"rollouts_retrieve",
       "/v1/Rollouts.Retrieve/a",
       {{"in progress", rollsOut, "GET", "", ""},
        {"shifting", shiftsTraffic, "GET", "", ""},
        {"completed", hasCompleted, "GET", "", ""},
        {"reverted", hasReverted, "GET", "", ""},
        {"none", usual, "GET", "", ""},
        {"cut off", partitioned, "GET", "", ""},
        {"no fresh read", readsNothing, "GET", "", ""},
        {"other method", usual, "POST", "", ""}}},
      {"rollouts_revert",
       "/v1/Rollouts.Revert",
       {{"in progress", shiftsTraffic, "POST", R"({"targetService":"a"})", ""},
        {"reverted", hasReverted, "POST", R"({"targetService":"a"})", ""},
        {"completed", hasCompleted, "POST", R"({"targetService":"a"})", ""},
        {"none", usual, "POST", R"({"targetService":"a"})", ""},
        {"no service", usual, "POST", "{}", ""},
        {"no JSON", usual, "POST", "rollout", ""},
        {"cut off", partitioned, "POST", R"({"targetService":"a"})", ""},
        {"no fresh read", readsNothing, "POST", R"({"targetService":"a"})", ""},
        {"other method", usual, "GET", "", ""}}},
      {"closures_set",
       "/v1/Closures.Set",
       {{"closes", usual, "POST", R"({"place":"zone-1","note":"n","share":50})", ""},
        {"another leads", anotherControllerLeads, "POST", R"({"place":"zone-1"})", ""},
        {"no such place", usual, "POST", R"({"place":"zone-9"})", ""},
        {"no percentage", usual, "POST", R"({"place":"zone-1","share":101})", ""},
        {"doors too early", usual, "POST", R"({"place":"zone-1","share":99,"doorsShut":true})", ""},
        {"no JSON", usual, "POST", "closure", ""},
        {"live play", busyFleet, "POST", R"({"place":"zone-1","share":50,"calmBelowPerS":100})", ""},
        {"live play, forced", busyFleet, "POST", R"({"place":"zone-1","share":50,"calmBelowPerS":100,"force":true})",
         ""},
        {"cut off", partitioned, "POST", R"({"place":"zone-1"})", ""},
        {"no outcome of the write", commitsNothing, "POST", R"({"place":"zone-1"})", ""},
        {"no fresh read", readsNothing, "POST", R"({"place":"zone-1"})", ""},
        {"other method", usual, "GET", "", ""}}},
      {"closures_list",
       "/v1/Closures.List",
       {{"leads", usual, "GET", "", ""},
        {"another leads", anotherControllerLeads, "GET", "", ""},
        {"cut off", partitioned, "GET", "", ""},
        {"no fresh read", readsNothing, "GET", "", ""},
        {"other method", usual, "POST", "", ""}}},
      {"hints_exchange",
       "/v1/Hints.Exchange",
       {{"leads", usual, "POST", "news", ""},
        {"another leads", anotherControllerLeads, "POST", "news", ""},
        {"no partner", withoutPartner, "POST", "news", ""},
        {"a stranger", withStranger, "POST", "news", ""},
        {"cut off", partitioned, "POST", "news", ""},
        {"other method", usual, "GET", "", ""}}},
      {"status",
       "/v1/Status?of=all",
       {{"usual", usual, "GET", "", ""},
        {"cut off", partitioned, "GET", "", ""},
        {"other method", usual, "POST", "", ""}}},
      {"unknown", "/v1/Other", {{"usual", usual, "GET", "", ""}}},
  };
}

/// Replaces carriage returns by "\r", so that the stored files contain plain lines.
std::string plainLines(const std::string& text) {
  std::string lines;
  for (const char c : text)
    lines += c == '\r' ? std::string("\\r") : std::string(1, c);
  return lines;
}
std::string transcriptOf(const CallTable& table, const Call& call) {
  FakeController controller;
  call.arrange(controller);
  controller.written.clear();
  const auto answer =
      answerApiRequest(controller, {call.method, table.path, call.body, call.base, "seal"}, "http://10.0.0.4:8477");
  return std::string("== ") + call.situation + "\n" + call.method + " " + table.path + "\n" + call.body + "\n" +
         controller.written + "-> " + std::to_string(static_cast<int>(answer.status)) + "\n" +
         plainLines(answer.headers) + answer.body + "\n";
}

/// A controller that was restarted from its disk. It has processed nothing yet, so its report is always the same. The
/// object is kept until the process exits, because the event loop refers to it.
ControllerNode& recoveredController() {
  constexpr const char* ip = "127.0.5.61";
  static std::vector<std::unique_ptr<ControllerNode>> kept;
  std::string folder = std::filesystem::temp_directory_path() / "zinccleat-golden-XXXXXX";
  Settings settings;
  settings.node = "core-a";
  settings.ip = ip;
  settings.dataDir = ::mkdtemp(folder.data());
  settings.firstPort = 7960, settings.lastPort = 7975;
  settings.seeds = {std::string(ip) + ":8477"};
  settings.toleratedMachineFailures = 0;

  FakeController before;
  hasVersion3(before);
  knowsRunner(before);
  (void)before.write(runnerEntry({"i-2", "t", "10.0.1.2:80", "z", 4, 8, 1}, "runner/i-2"), Duration(0));
  (void)before.write(zoneDrainEntry({"zone-1", "a \"note\"", 50, false}, false, "closure/1"), Duration(0));
  (void)before.write(zoneDrainEntry({"zone-2", "b", 100, true}, false, "closure/2"), Duration(0));
  DiskRecord record;
  record.seq = 1;
  record.term = 12;
  record.self = std::string(ip) + "#77";
  record.full = true;
  record.snapshotIndex = before.writes;
  record.snapshotTerm = 11;
  record.snapshotConfig = record.self;
  record.state = before.ownReplica.snapshot();
  std::ofstream(std::filesystem::path(settings.dataDir) / recordName(1), std::ios::binary) << encodeRecord(record);

  kept.push_back(std::make_unique<ControllerNode>(settings));
  runtime::Startup startup;
  const auto started = kept.back()->start(startup);
  EXPECT_TRUE(started) << started.error().message;
  return *kept.back();
}
/// Returns the JSON text with the value of the named number set to 0, because other tests of this process may have
/// changed the counter.
std::string withoutCount(std::string json, const std::string& field) {
  const auto name = "\"" + field + "\":";
  const auto at = json.find(name);
  EXPECT_NE(at, std::string::npos) << field;
  if (at == std::string::npos)
    return json;
  const auto from = at + name.size();
  const auto to = json.find_first_not_of("0123456789", from);
  EXPECT_GT(to, from) << field << " is no number";
  return json.replace(from, to - from, "0");
}
class GoldenCalls : public testing::TestWithParam<CallTable> {};
}  // namespace

TEST_P(GoldenCalls, AreAnsweredAsStored) {
  std::string all;
  for (const auto& call : GetParam().calls)
    all += (all.empty() ? "" : "\n") + transcriptOf(GetParam(), call);
  golden::expectStored(std::string("calls_") + GetParam().name + ".txt", all);
}
INSTANTIATE_TEST_SUITE_P(All, GoldenCalls, testing::ValuesIn(tables()),
                         [](const auto& info) { return std::string(info.param.name); });

// This test belongs to the suite `ControllerNode`, whose tests run one at a time, because it listens on loopback.
TEST(ControllerNode, ReportsAsInTheGoldenFiles) {
  EventLoop::get().spawn([] {
    const auto& controller = recoveredController();
    const auto status = withoutCount(withoutCount(controller.statusJson(), "framesDeclined"), "framesOfOtherFormats");
    golden::expectStored("core_status.json", status);
    golden::expectStored("core_closures.json", controller.zoneDrainsJson());
    EventLoop::get().stop();
  });
  EventLoop::get().run();
}
