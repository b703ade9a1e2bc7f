// What is valid and what is not, after the protocol's list.
#include <gtest/gtest.h>

#include "config/configuration.hpp"
#include "config/control_requests.hpp"
#include "config/settings.hpp"

using namespace zinccleat;
using namespace zinccleat::config;
namespace {
const std::string kGood = R"({"configVersion":7,"routeTable":[
 {"label":"a","authority":"Ficu.Example","pathPrefix":"/p/","routeType":"stream","expiryMs":10000,"targetLatencyMs":600,"precedence":1,"targetService":"s1","maxAttempts":1,"keyless":false,"sessionAffinity":true,"streamResume":true,"gapTargetMs":300},
 {"label":"b","authority":"ficu.example","pathPrefix":"/p/q/","routeType":"safe","expiryMs":100,"weightedTargets":[{"targetService":"s1","share":90},{"targetService":"s2","share":10}],"maxAttempts":2},
 {"label":"c","authority":"ficu.example","pathPrefix":"/","routeType":"unsafe","expiryMs":100,"targetService":"s2"}],
 "serviceTable":[{"label":"s1","healthPath":"/health","connLimit":370,"engine":{"capacity":64,"kvCapacity":591366}},{"label":"s2","healthPath":"/health","connLimit":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimerMs":3000,"idleTimerMs":15000},
 "subscribers":[{"label":"t1","accessKeys":["k1","k2"],"precedence":1,"ratePerS":38,"burstSize":38},{"label":"t2","accessKeys":["k3"]}]})";
std::string with(const std::string& what, const std::string& by) {
  auto s = kGood;
  const auto at = s.find(what);
  EXPECT_NE(at, std::string::npos) << what;
  return s.replace(at, what.size(), by);
}
}  // namespace

TEST(Configuration, IsReadInFull) {
  auto c = parseConfiguration(kGood);
  ASSERT_TRUE(c) << c.error().message;
  EXPECT_EQ((*c)->version, 7);
  EXPECT_EQ((*c)->routes.size(), 3U);
  EXPECT_EQ((*c)->routes[1].totalWeight, 100U);
  EXPECT_TRUE((*c)->routes[0].idempotent());
  EXPECT_FALSE((*c)->routes[2].idempotent());
  EXPECT_EQ((*c)->findSubscriber("k2"), 0);
  EXPECT_EQ((*c)->findSubscriber("k3"), 1);
  EXPECT_EQ((*c)->findSubscriber("no"), -1);
  EXPECT_DOUBLE_EQ((*c)->subscribers[0].ratePerS, 38);
}
TEST(Configuration, TheLongestPrefixOfTheHostFits) {
  auto c = parseConfiguration(kGood);
  ASSERT_TRUE(c);
  struct {
    const char *host, *path;
    int want;
  } table[] = {{"ficu.example", "/p/x", 0},    {"FICU.example", "/p/q/x", 1}, {"ficu.example", "/p/q", 0},
               {"ficu.example", "/z", 2},      {"other.example", "/p/x", -1}, {"ficu.example:8405", "/p/x", 0},
               {"ficu.example", "/?a=/p/", 2}, {"ficu.example", "/pq", 2}};
  for (auto& t : table)
    EXPECT_EQ((*c)->find(t.host, t.path), t.want) << t.host << t.path;
}
TEST(Configuration, WhatIsInvalidIsDeclinedWithA4xx) {
  const std::pair<const char*, std::string> table[] = {
      {"cut short", kGood.substr(0, kGood.size() / 2)},
      {"empty", ""},
      {"no object", "[1]"},
      {"unknown service", with("\"targetService\":\"s1\"", "\"targetService\":\"nope\"")},
      {"unknown weighted service",
       with("{\"targetService\":\"s2\",\"share\":10}", "{\"targetService\":\"zz\",\"share\":10}")},
      {"two routes at one place", with("\"/p/q/\"", "\"/p/\"")},
      {"shares sum to 0", with("\"share\":90},{\"targetService\":\"s2\",\"share\":10}",
                               "\"share\":0},{\"targetService\":\"s2\",\"share\":0}")},
      {"no time", with("\"expiryMs\":10000", "\"expiryMs\":0")},
      {"time left out", with("\"expiryMs\":10000,", "")},
      {"key shared", with("\"k3\"", "\"k1\"")},
      {"no version", with("\"configVersion\":7,", "")},
      {"version no number", with("\"configVersion\":7", "\"configVersion\":\"x\"")},
      {"routes missing", with("routeTable", "routeTabel")},
      {"unknown type", with("\"routeType\":\"safe\"", "\"routeType\":\"sage\"")},
      {"prefix without its slash", with("\"/p/q/\"", "\"/p/q\"")},
      {"service twice", with("{\"label\":\"s2\",\"healthPath\"", "{\"label\":\"s1\",\"healthPath\"")}};
  for (auto& [name, body] : table) {
    auto c = parseConfiguration(body);
    ASSERT_FALSE(c) << name;
    EXPECT_EQ(c.error().code, ErrorCode::invalidArgument) << name;
    EXPECT_FALSE(c.error().message.empty()) << name;
  }
}
TEST(Configuration, HundredsOfRoutes) {
  std::string routes;
  for (int i = 0; i < 600; ++i)
    routes += std::string(i ? "," : "") + R"({"label":"r","authority":"h.example","pathPrefix":"/x)" +
              std::to_string(i) + R"(/","routeType":"safe","expiryMs":5,"targetService":"s"})";
  auto c =
      parseConfiguration("{\"configVersion\":1,\"routeTable\":[" + routes + "],\"serviceTable\":[{\"label\":\"s\"}]}");
  ASSERT_TRUE(c) << c.error().message;
  EXPECT_EQ((*c)->find("h.example", "/x599/y"), 599);
}
TEST(Settings, UnknownFieldsAreIgnoredAndBrokenOnesNamed) {
  const std::string good =
      R"({"nodeName":"n","role":"r","ip":"10.1.0.5","zone":"z","bindAddresses":{"accessPort":"10.1.0.5:1","readinessPort":"10.1.0.5:2"},
    "internalPorts":[7660,7675],"seedNodes":["10.1.0.7:8407"],"initialAttach":true,"dataDir":null,"somethingNew":{"a":[1]},"timers":{"revokeMs":5000,"graceS":8,"retryRatio":0.2}})";
  auto s = parseSettings(good);
  ASSERT_TRUE(s) << s.error().message;
  EXPECT_EQ(s->timers.grace, Duration(8000));
  EXPECT_EQ(s->lastPort, 7675);
  EXPECT_TRUE(s->dataDir.empty());
  for (const std::string& broken :
       {std::string("{"), std::string("[]"), std::string("{}"),
        std::string(R"({"nodeName":1,"ip":"a","zone":"z","internalPorts":[1,2],"seedNodes":[]})"),
        std::string(R"({"nodeName":"n","ip":"a","zone":"z","internalPorts":[9],"seedNodes":[]})"),
        std::string(R"({"nodeName":"n","ip":"a","zone":"z","internalPorts":[9,12],"seedNodes":["somewhere:80"]})"),
        std::string(R"({"nodeName":"n","ip":"a","zone":"z","internalPorts":[9,2],"seedNodes":[]})")}) {
    auto b = parseSettings(broken);
    ASSERT_FALSE(b) << broken;
    EXPECT_FALSE(b.error().message.empty());
  }
}
TEST(Calls, HeartbeatsAreCheckedWhole) {
  auto b = parseRunnerHeartbeat(
      "i-1",
      R"({"targetService":"s","address":"10.0.0.1:80","zone":"z","capacity":4,"state":"draining","sequence":9,"more":1})");
  ASSERT_TRUE(b);
  EXPECT_TRUE(b->draining);
  EXPECT_EQ(b->sequence, 9);
  EXPECT_FALSE(parseRunnerHeartbeat("i-1", "{"));
  EXPECT_FALSE(parseRunnerHeartbeat("i-1", "{}"));
  EXPECT_FALSE(parseRunnerHeartbeat("", R"({"targetService":"s","address":"10.0.0.1:80"})"));
  EXPECT_FALSE(parseRunnerHeartbeat("i-1", R"({"targetService":"s","address":"a","sequence":"x"})"));
}
