/// The two printed forms of a scale run's report, byte for byte as other tools read them, and its verdict.
#include "scale_run_report.hpp"

#include <gtest/gtest.h>

#include <memory>

using namespace zinccleat::simulation;

namespace {
// Values as of a run in which a leader was killed.
ScaleRunReport exampleReport() {
  ScaleRunReport report;
  report.plan.nodes = 8;
  report.plan.runners = 6;
  report.plan.requestsPerS = 60;
  report.plan.changesPerMinute = 60;
  report.plan.restarts = 2;
  report.plan.coreKills = 1;
  report.seconds = 4.04;
  report.processes = {{"core-1", "leads", 0.01234, 12.34}, {"core-2", "follows", 0.5, 8}, {"agent", "", 0, 7.25}};
  report.traffic = {{"state", 12.34, 0}, {"lease", 0, 250.06}, {"drawn", 0, 0}};
  report.inForceMs = {1.25, 2.5, 13000, 4.75};
  report.tokenRequestMs = {0.5, 1.125, 2};
  report.takeOverMs = {812.4, 1234.6};
  report.granted = 1234;
  report.refused = 1;
  report.changes = {4, 0};
  report.heartbeats = {30, 1};
  report.departures = {2, 0};
  report.configuration = {2345, 321, 1.234, 0.5, 0.25};
  report.copiesEqual = true;
  return report;
}
// Nothing was measured, and the copies differ.
ScaleRunReport emptyReport() {
  auto report = exampleReport();
  report.plan.coreKills = 0;
  report.processes.clear();
  report.inForceMs.clear();
  report.tokenRequestMs.clear();
  report.takeOverMs.clear();
  report.refused = 10;
  report.departures = {};
  report.copiesEqual = false;
  return report;
}
using Print = void (*)(const ScaleRunReport&, std::FILE*);
std::string printed(Print print, const ScaleRunReport& report) {
  char* text = nullptr;
  std::size_t size = 0;
  std::FILE* out = ::open_memstream(&text, &size);
  print(report, out);
  std::fclose(out);
  const std::unique_ptr<char, decltype(&std::free)> owned(text, &std::free);
  return {text, size};
}

constexpr const char* kExampleJson =
    R"({"core":3,"nodes":8,"runners":6,"tenants":80,"routes":10,"requestsPerS":60.0,"changesPerMinute":60.0,"restarts":2,"seconds":4.0,"fine":true,"bytesPerNodePerS":{"out":12.3,"in":250.1,"kinds":{"state":{"out":12.3,"in":0.0},"lease":{"out":0.0,"in":250.1},"drawn":{"out":0.0,"in":0.0}}},"processes":[{"name":"core-1","role":"leads","cores":0.0123,"peakMb":12.3},{"name":"core-2","role":"follows","cores":0.5000,"peakMb":8.0},{"name":"agent","role":"","cores":0.0000,"peakMb":7.2}],"inForceMs":{"median":4.8,"p99":13000.0,"worst":13000.0},"drawMs":{"median":1.12,"p99":2.00},"granted":1234,"refused":1,"changes":4,"changesLost":0,"beats":30,"beatsLost":1,"runnersLeft":2,"runnersLeftWithoutAck":0,"takeOverMs":{"count":2,"median":1235,"worst":1235},"configuration":{"bytes":2345,"differenceBytes":321,"parseMs":1.23,"differMs":0.50,"applyMs":0.25}}
)";
constexpr const char* kEmptyJson =
    R"({"core":3,"nodes":8,"runners":6,"tenants":80,"routes":10,"requestsPerS":60.0,"changesPerMinute":60.0,"restarts":2,"seconds":4.0,"fine":false,"bytesPerNodePerS":{"out":12.3,"in":250.1,"kinds":{"state":{"out":12.3,"in":0.0},"lease":{"out":0.0,"in":250.1},"drawn":{"out":0.0,"in":0.0}}},"processes":[],"inForceMs":{"median":0.0,"p99":0.0,"worst":0.0},"drawMs":{"median":0.00,"p99":0.00},"granted":1234,"refused":10,"changes":4,"changesLost":0,"beats":30,"beatsLost":1,"runnersLeft":0,"runnersLeftWithoutAck":0,"takeOverMs":{"count":0,"median":0,"worst":0},"configuration":{"bytes":2345,"differenceBytes":321,"parseMs":1.23,"differMs":0.50,"applyMs":0.25}}
)";
constexpr const char* kExampleTable =
    R"(measured on loopback for 4.0 s: 3 core, 8 hollow nodes, 6 runners, 80 tenants, 10 routes

process     role      cores  peak MB
core-1      leads    0.0123     12.3
core-2      follows  0.5000      8.0
agent                0.0000      7.2

bytes a second and node   out        in
state           12.3       0.0
lease            0.0     250.1
all             12.3     250.1

changes: 4 acknowledged, 0 not; in force everywhere: median 4.8 ms, 99th 13000.0 ms, worst 13000.0 ms
requests: 1234 with a token, 1 refused below the limit; a draw takes 1.12 ms, 99th 2.00 ms
runners that left in order: 2 acknowledged, 0 not
leader killed: draws answered again after 812 ms
leader killed: draws answered again after 1235 ms
configuration: 2345 bytes whole, 321 for one key changed; read in 1.23 ms, difference made in 0.50 ms, applied in 0.25 ms
runners' beats: 30 acknowledged, 1 not
copies at the end: all alike
)";
constexpr const char* kEmptyTable =
    R"(measured on loopback for 4.0 s: 3 core, 8 hollow nodes, 6 runners, 80 tenants, 10 routes

process     role      cores  peak MB

bytes a second and node   out        in
state           12.3       0.0
lease            0.0     250.1
all             12.3     250.1

changes: 4 acknowledged, 0 not; in force everywhere: median 0.0 ms, 99th 0.0 ms, worst 0.0 ms
requests: 1234 with a token, 10 refused below the limit; a draw takes 0.00 ms, 99th 0.00 ms
configuration: 2345 bytes whole, 321 for one key changed; read in 1.23 ms, difference made in 0.50 ms, applied in 0.25 ms
runners' beats: 30 acknowledged, 1 not
copies at the end: NOT alike
)";
}  // namespace

TEST(ScaleRunReport, PrintsJsonOnOneLine) {
  EXPECT_EQ(printed(printJson, exampleReport()), kExampleJson);
}
TEST(ScaleRunReport, PrintsJsonWithoutValues) {
  EXPECT_EQ(printed(printJson, emptyReport()), kEmptyJson);
}
TEST(ScaleRunReport, PrintsTable) {
  EXPECT_EQ(printed(printTable, exampleReport()), kExampleTable);
}
TEST(ScaleRunReport, PrintsTableWithoutLinesForWhatDidNotHappen) {
  EXPECT_EQ(printed(printTable, emptyReport()), kEmptyTable);
}
TEST(ScaleRunReport, PassesOnlyWithEqualCopiesAndAllChangesAcknowledged) {
  auto report = exampleReport();
  EXPECT_TRUE(report.passed());
  report.copiesEqual = false;
  EXPECT_FALSE(report.passed());
  report.copiesEqual = true;
  report.changes.unacknowledged = 1;
  EXPECT_FALSE(report.passed());
}
TEST(ScaleRunReport, ToleratesRefusalsAndLostDeparturesOnlyIfALeaderWasKilled) {
  auto report = exampleReport();
  report.plan.coreKills = 0;
  report.granted = 999;
  report.refused = 1;
  EXPECT_TRUE(report.passed()) << "one refusal in a thousand requests";
  report.refused = 2;
  EXPECT_FALSE(report.passed());
  report.refused = 0;
  report.departures.unacknowledged = 1;
  EXPECT_FALSE(report.passed());
  report.refused = 2;
  report.plan.coreKills = 1;
  EXPECT_TRUE(report.passed());
}
