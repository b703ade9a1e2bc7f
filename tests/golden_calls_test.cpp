// The answers to the calls of runners and operators (api/control.yaml), as they are stored in tests/golden (see the
// README there). One file a call; in each, what is asked in which situation, and the answer.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "calls.hpp"
#include "core.hpp"
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
/// A core machine whose surroundings the test sets. Nothing waits.
struct FixedCore final : CoreServices {
  Settings its;
  ReplicatedState state;
  bool contact = true, reaches = true, commits = true, readsFresh = true;
  std::string leader;
  double rate = 0;
  Result<std::string> hints = "seal\nnews";
  std::int64_t writes = 0;
  std::string written;  // a line for each

  FixedCore() { its.zones = {{"zone-1", "region-1"}}; }
  const Settings& settings() const override { return its; }
  const ReplicatedState& copy() const override { return state; }
  bool inContact() const override { return contact; }
  bool awaitContact(Duration /*within*/) override { return contact; }
  bool heartbeatsReachLeader() const override { return reaches; }
  void noteHeartbeat(const std::string& /*runnerId*/) override {}
  Result<std::int32_t> write(LogEntry entry, Duration /*within*/) override {
    if (!commits)
      return makeError(ErrorCode::unavailable, "no outcome yet");
    const auto id = entry.operationId;
    written += "writes " + id + ", kind " + std::to_string(entry.kind) + ", base " + std::to_string(entry.base) + "\n";
    entry.index = ++writes;
    state.apply(entry);
    return *state.outcomeOf(id);
  }
  Result<void> fresh(Duration /*within*/) override {
    if (!readsFresh)
      return makeError(ErrorCode::unavailable, "no fresh lease");
    return {};
  }
  std::string operationId() override { return "operator/" + std::to_string(writes); }
  std::string leaderControl() const override { return leader; }
  double requestsPerS() const override { return rate; }
  std::string statusJson() const override { return R"({"status":"of the core"})"; }
  std::string zoneDrainsJson() const override { return R"({"closures":"of the core"})"; }
  Result<std::string> hintsFrom(std::string_view /*body*/, std::string_view /*seal*/) override { return hints; }
};

using Situation = std::function<void(FixedCore&)>;
void usual(FixedCore& /*core*/) {}
void cutOff(FixedCore& core) {
  core.contact = false;
}
void unheardByLeader(FixedCore& core) {
  core.reaches = false;
}
void commitsNothing(FixedCore& core) {
  core.commits = false;
}
void readsNothing(FixedCore& core) {
  core.readsFresh = false;
}
void anotherLeads(FixedCore& core) {
  core.leader = "10.0.0.5:8477";
}
void busy(FixedCore& core) {
  core.rate = 321.5;
}
void withoutPartner(FixedCore& core) {
  core.hints = makeError(ErrorCode::notFound, "no partner site");
}
void withStranger(FixedCore& core) {
  core.hints = makeError(ErrorCode::permissionDenied, "hints of a stranger");
}
std::string configuration(int version, const std::string& label = "a") {
  return R"({"configVersion":)" + std::to_string(version) + R"(,"routeTable":[],"serviceTable":[{"label":")" + label +
         R"("}],"limits":{}})";
}
ApiResponse replace(FixedCore& core, const std::string& base, const std::string& body) {
  return answerCall(core, {"POST", "/v1/Configuration.Replace", body, base, ""}, "");
}
void holdsVersion3(FixedCore& core) {
  (void)replace(core, "0", configuration(3));
}
/// Versions up to 5 were taken; only the newest is still known.
void hasForgotten(FixedCore& core) {
  (void)replace(core, "0", configuration(3));
  (void)replace(core, "3", configuration(5));
  ReplicatedState away;
  ASSERT_TRUE(away.restore(core.state.snapshotFor("")));
  core.state = away;
}
constexpr const char* kBeat =
    R"({"targetService":"s","address":"10.0.1.1:80","zone":"z","capacity":4,"state":"in_service","sequence":7})";
void holdsRunner(FixedCore& core) {
  (void)answerCall(core, {"POST", "/v1/Instances.Heartbeat/i-1", kBeat, "", ""}, "");
}
void runnerHasEnded(FixedCore& core) {
  (void)answerCall(core, {"POST", "/v1/Instances.Detach/i-1", "", "", ""}, "");
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
       {{"joins", usual, "POST", kBeat, ""},
        {"is known", holdsRunner, "POST", kBeat, ""},
        {"has ended", runnerHasEnded, "POST", kBeat, ""},
        {"no JSON", usual, "POST", "beat", ""},
        {"no address", usual, "POST", R"({"targetService":"s"})", ""},
        {"wrong type", usual, "POST", R"({"targetService":"s","address":"a","capacity":"four"})", ""},
        {"cut off", cutOff, "POST", kBeat, ""},
        {"the leader does not hear", unheardByLeader, "POST", kBeat, ""},
        {"no outcome of the write", commitsNothing, "POST", kBeat, ""},
        {"other method", usual, "GET", "", ""}}},
      {"detach",
       "/v1/Instances.Detach/i-1",
       {{"leaves", holdsRunner, "POST", "", ""},
        {"is unknown", usual, "POST", "", ""},
        {"has left before, cut off",
         [](FixedCore& core) {
           runnerHasEnded(core);
           cutOff(core);
         },
         "POST", "", ""},
        {"cut off", cutOff, "POST", "", ""},
        {"no outcome of the write", commitsNothing, "POST", "", ""},
        {"other method", usual, "GET", "", ""}}},
      {"configuration_replace",
       "/v1/Configuration.Replace",
       {{"the first", usual, "POST", configuration(3), ""},
        {"on top of version 3", holdsVersion3, "POST", configuration(5), "3"},
        {"the same again", holdsVersion3, "POST", configuration(3), "0"},
        {"another one is in place", holdsVersion3, "POST", configuration(5), "2"},
        {"not above the current one", holdsVersion3, "POST", configuration(3, "b"), "3"},
        {"too old to tell", hasForgotten, "POST", configuration(3, "b"), "0"},
        {"no object", usual, "POST", "[]", "0"},
        {"no version", usual, "POST", R"({"routeTable":[],"serviceTable":[]})", "0"},
        {"base is no number", usual, "POST", configuration(3), "three"},
        {"cut off", cutOff, "POST", configuration(3), "0"},
        {"no outcome of the write", commitsNothing, "POST", configuration(3), "0"},
        {"other method", usual, "GET", "", ""}}},
      {"configuration_retrieve",
       "/v1/Configuration.Retrieve",
       {{"version 3", holdsVersion3, "GET", "", ""},
        {"none yet", usual, "GET", "", ""},
        {"cut off", cutOff, "GET", "", ""},
        {"no fresh read", readsNothing, "GET", "", ""},
        {"other method", usual, "POST", "", ""}}},
      {"closures_set",
       "/v1/Closures.Set",
       {{"closes", usual, "POST", R"({"place":"zone-1","note":"n","share":50})", ""},
        {"another leads", anotherLeads, "POST", R"({"place":"zone-1"})", ""},
        {"no such place", usual, "POST", R"({"place":"zone-9"})", ""},
        {"no percentage", usual, "POST", R"({"place":"zone-1","share":101})", ""},
        {"doors too early", usual, "POST", R"({"place":"zone-1","share":99,"doorsShut":true})", ""},
        {"no JSON", usual, "POST", "closure", ""},
        {"live play", busy, "POST", R"({"place":"zone-1","share":50,"calmBelowPerS":100})", ""},
        {"live play, forced", busy, "POST", R"({"place":"zone-1","share":50,"calmBelowPerS":100,"force":true})", ""},
        {"cut off", cutOff, "POST", R"({"place":"zone-1"})", ""},
        {"no outcome of the write", commitsNothing, "POST", R"({"place":"zone-1"})", ""},
        {"no fresh read", readsNothing, "POST", R"({"place":"zone-1"})", ""},
        {"other method", usual, "GET", "", ""}}},
      {"closures_list",
       "/v1/Closures.List",
       {{"leads", usual, "GET", "", ""},
        {"another leads", anotherLeads, "GET", "", ""},
        {"cut off", cutOff, "GET", "", ""},
        {"no fresh read", readsNothing, "GET", "", ""},
        {"other method", usual, "POST", "", ""}}},
      {"hints_exchange",
       "/v1/Hints.Exchange",
       {{"leads", usual, "POST", "news", ""},
        {"another leads", anotherLeads, "POST", "news", ""},
        {"no partner", withoutPartner, "POST", "news", ""},
        {"a stranger", withStranger, "POST", "news", ""},
        {"cut off", cutOff, "POST", "news", ""},
        {"other method", usual, "GET", "", ""}}},
      {"status",
       "/v1/Status?of=all",
       {{"usual", usual, "GET", "", ""}, {"cut off", cutOff, "GET", "", ""}, {"other method", usual, "POST", "", ""}}},
      {"unknown", "/v1/Other", {{"usual", usual, "GET", "", ""}}},
  };
}

/// Carriage returns are spelled, so that the file holds plain lines.
std::string plainLines(const std::string& text) {
  std::string lines;
  for (const char c : text)
    lines += c == '\r' ? std::string("\\r") : std::string(1, c);
  return lines;
}
std::string described(const CallTable& table, const Call& call) {
  FixedCore core;
  call.arrange(core);
  core.written.clear();
  const auto answer = answerCall(core, {call.method, table.path, call.body, call.base, "seal"}, "http://10.0.0.4:8477");
  return std::string("== ") + call.situation + "\n" + call.method + " " + table.path + "\n" + call.body + "\n" +
         core.written + "-> " + std::to_string(answer.status) + "\n" + plainLines(answer.heads) + answer.body + "\n";
}

/// A core machine that has just come back with its disk: nothing has happened yet, so its report is always the same.
/// Kept to the end: the loop still refers to it.
Core& recoveredCore() {
  constexpr const char* ip = "127.0.5.61";
  static std::vector<std::unique_ptr<Core>> kept;
  std::string folder = std::filesystem::temp_directory_path() / "zinccleat-golden-XXXXXX";
  Settings settings;
  settings.node = "core-a";
  settings.ip = ip;
  settings.dataDir = ::mkdtemp(folder.data());
  settings.firstPort = 7960;
  settings.seeds = {std::string(ip) + ":8477"};
  settings.toleratedMachineFailures = 0;

  FixedCore before;
  holdsVersion3(before);
  holdsRunner(before);
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
  record.state = before.state.snapshot();
  std::ofstream(std::filesystem::path(settings.dataDir) / recordName(1), std::ios::binary) << encodeRecord(record);

  kept.push_back(std::make_unique<Core>(settings));
  const auto started = kept.back()->start();
  EXPECT_TRUE(started) << started.error().message;
  return *kept.back();
}
/// The text with the value of a number of this name set to 0: other tests of this process may have counted.
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
    all += (all.empty() ? "" : "\n") + described(GetParam(), call);
  golden::expectStored(std::string("calls_") + GetParam().name + ".txt", all);
}
INSTANTIATE_TEST_SUITE_P(All, GoldenCalls, testing::ValuesIn(tables()),
                         [](const auto& info) { return std::string(info.param.name); });

// In the suite `Core`, whose tests run one at a time: it listens on loopback.
TEST(Core, ReportsAsInTheGoldenFiles) {
  EventLoop::get().spawn([] {
    const auto& core = recoveredCore();
    const auto status = withoutCount(withoutCount(core.statusJson(), "framesDeclined"), "framesOfOtherFormats");
    golden::expectStored("core_status.json", status);
    golden::expectStored("core_closures.json", core.zoneDrainsJson());
    EventLoop::get().stop();
  });
  EventLoop::get().run();
}
