// Parsing and validation of settings, configurations and control requests.
#include <gtest/gtest.h>

#include "config/configuration.hpp"
#include "config/control_requests.hpp"
#include "config/json.hpp"
#include "config/settings.hpp"

using namespace zinccleat;
using namespace zinccleat::config;
namespace {
const std::string kValidConfiguration = R"({"configVersion":7,"routeTable":[
 {"label":"a","authority":"Ficu.Example","pathPrefix":"/p/","routeType":"stream","expiryMs":10000,"targetLatencyMs":600,"precedence":1,"targetService":"s1","maxAttempts":1,"keyless":false,"sessionAffinity":true,"streamResume":true,"gapTargetMs":300},
 {"label":"b","authority":"ficu.example","pathPrefix":"/p/q/","routeType":"safe","expiryMs":100,"weightedTargets":[{"targetService":"s1","share":90},{"targetService":"s2","share":10}],"maxAttempts":2},
 {"label":"c","authority":"ficu.example","pathPrefix":"/","routeType":"unsafe","expiryMs":100,"targetService":"s2"}],
 "serviceTable":[{"label":"s1","healthPath":"/health","connLimit":370,"engine":{"capacity":64,"kvCapacity":591366}},{"label":"s2","healthPath":"/health","connLimit":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimerMs":3000,"idleTimerMs":15000},
 "subscribers":[{"label":"t1","accessKeys":["k1","k2"],"precedence":1,"ratePerS":38,"burstSize":38},{"label":"t2","accessKeys":["k3"]}]})";

// Returns the valid configuration with one part replaced.
std::string with(const std::string& part, const std::string& replacement) {
  auto text = kValidConfiguration;
  const auto position = text.find(part);
  EXPECT_NE(position, std::string::npos) << part;
  return text.replace(position, part.size(), replacement);
}
struct InvalidText {
  const char* name;
  std::string text;
};
}  // namespace

TEST(Configuration, ParsesEveryField) {
  const auto parsed = parseConfiguration(kValidConfiguration);
  ASSERT_TRUE(parsed) << parsed.error().message;
  const auto& configuration = **parsed;
  EXPECT_EQ(configuration.version, 7);
  EXPECT_EQ(configuration.routes.size(), 3U);
  EXPECT_EQ(configuration.routes[1].totalWeight, 100U);
  EXPECT_TRUE(configuration.routes[0].idempotent());
  EXPECT_FALSE(configuration.routes[2].idempotent());
  EXPECT_EQ(configuration.findSubscriber("k2"), 0);
  EXPECT_EQ(configuration.findSubscriber("k3"), 1);
  EXPECT_EQ(configuration.findSubscriber("no"), -1);
  EXPECT_DOUBLE_EQ(configuration.subscribers[0].ratePerS, 38);
}

TEST(Configuration, FindsTheRouteWithTheLongestPrefix) {
  const auto configuration = parseConfiguration(kValidConfiguration);
  ASSERT_TRUE(configuration);
  struct {
    const char* host;
    const char* path;
    int route;
  } const cases[] = {{"ficu.example", "/p/x", 0},    {"FICU.example", "/p/q/x", 1}, {"ficu.example", "/p/q", 0},
                     {"ficu.example", "/z", 2},      {"other.example", "/p/x", -1}, {"ficu.example:8405", "/p/x", 0},
                     {"ficu.example", "/?a=/p/", 2}, {"ficu.example", "/pq", 2}};
  for (const auto& expected : cases)
    EXPECT_EQ((*configuration)->find(expected.host, expected.path), expected.route) << expected.host << expected.path;
}

TEST(Configuration, RejectsWhatIsInvalid) {
  const InvalidText cases[] = {
      {"cut short", kValidConfiguration.substr(0, kValidConfiguration.size() / 2)},
      {"empty", ""},
      {"no object", "[1]"},
      {"unknown service", with("\"targetService\":\"s1\"", "\"targetService\":\"nope\"")},
      {"unknown weighted service",
       with("{\"targetService\":\"s2\",\"share\":10}", "{\"targetService\":\"zz\",\"share\":10}")},
      {"two routes with one prefix", with("\"/p/q/\"", "\"/p/\"")},
      {"weights sum to 0", with("\"share\":90},{\"targetService\":\"s2\",\"share\":10}",
                                "\"share\":0},{\"targetService\":\"s2\",\"share\":0}")},
      {"no time", with("\"expiryMs\":10000", "\"expiryMs\":0")},
      {"time left out", with("\"expiryMs\":10000,", "")},
      {"access key of two subscribers", with("\"k3\"", "\"k1\"")},
      {"no version", with("\"configVersion\":7,", "")},
      {"version no number", with("\"configVersion\":7", "\"configVersion\":\"x\"")},
      {"routes missing", with("routeTable", "routeTabel")},
      {"unknown type", with("\"routeType\":\"safe\"", "\"routeType\":\"sage\"")},
      {"prefix without its slash", with("\"/p/q/\"", "\"/p/q\"")},
      {"service twice", with("{\"label\":\"s2\",\"healthPath\"", "{\"label\":\"s1\",\"healthPath\"")}};
  for (const auto& [name, text] : cases) {
    const auto parsed = parseConfiguration(text);
    ASSERT_FALSE(parsed) << name;
    EXPECT_EQ(parsed.error().code, ErrorCode::invalidArgument) << name;
    EXPECT_FALSE(parsed.error().message.empty()) << name;
  }
}

// Guards against review/1: the version that took the last tenant's key away was read like one without a list, and every
// request was served.
TEST(Configuration, AnEmptyListOfSubscribersIsAListAndRequiresKeys) {
  const auto withList = [](const std::string& field) {
    return R"({"configVersion":1,"routeTable":[],"serviceTable":[])" + field + "}";
  };
  const struct {
    std::string field;
    bool requiresAccessKeys;
  } cases[] = {{"", false},
               {R"(,"subscribers":[])", true},
               {R"(,"subscribers":null)", true},
               {R"(,"subscribers":[{"label":"t"}])", true},
               {R"(,"subscribers":[{"label":"t","accessKeys":[]}])", true},
               {R"(,"subscribers":[{"label":"t","accessKeys":null}])", true},
               {R"(,"subscribers":[{"label":"t","accessKeys":["k"]}])", true}};
  for (const auto& each : cases) {
    const auto parsed = parseConfiguration(withList(each.field));
    ASSERT_TRUE(parsed) << each.field << ": " << parsed.error().message;
    EXPECT_EQ((*parsed)->requiresAccessKeys, each.requiresAccessKeys) << each.field;
    EXPECT_EQ((*parsed)->findSubscriber("other"), -1) << each.field;
    EXPECT_EQ((*parsed)->findSubscriber(""), -1) << each.field;
  }
  EXPECT_FALSE(parseConfiguration(withList(R"(,"subscribers":{})"))) << "an object is no list";
}
// What absent, null and empty mean for the other optional lists and objects; docs/rules.md has the table.
TEST(Configuration, AbsentAndEmptyListsAndObjectsHaveTheirMeaning) {
  const auto parseWith = [](const std::string& route, const std::string& service, const std::string& limits) {
    return parseConfiguration(
        R"({"configVersion":1,"routeTable":[{"authority":"h","pathPrefix":"/p/","routeType":"safe","expiryMs":9)" +
        route + R"(}],"serviceTable":[{"label":"s")" + service + "}]" + limits + "}");
  };
  const std::string toService = R"(,"targetService":"s")";
  EXPECT_TRUE(parseWith(toService, "", ""));
  EXPECT_TRUE(parseWith(toService + R"(,"weightedTargets":null)", "", "")) << "null is absent: the single target";
  EXPECT_FALSE(parseWith(toService + R"(,"weightedTargets":[])", "", "")) << "no target has a share";
  EXPECT_FALSE(parseWith("", "", "")) << "no target at all";
  EXPECT_FALSE((*parseWith(toService, "", ""))->services[0].engine);
  EXPECT_FALSE((*parseWith(toService, R"(,"engine":null)", ""))->services[0].engine);
  EXPECT_TRUE((*parseWith(toService, R"(,"engine":{})", ""))->services[0].engine);
  EXPECT_FALSE((*parseWith(toService, "", ""))->services[0].scaling);
  EXPECT_FALSE((*parseWith(toService, R"(,"scaling":null)", ""))->services[0].scaling);
  EXPECT_FALSE(parseWith(toService, R"(,"scaling":{})", "")) << "an order of runners needs its bounds";
  for (const std::string limits : {"", R"(,"limits":null)", R"(,"limits":{})"})
    EXPECT_EQ((*parseWith(toService, "", limits))->limits.maxBodyBytes, Limits{}.maxBodyBytes) << limits;
  const auto empty = parseConfiguration(R"({"configVersion":1,"routeTable":[],"serviceTable":[]})");
  ASSERT_TRUE(empty);
  EXPECT_EQ((*empty)->find("h", "/p/"), -1) << "without routes nothing is served";
  EXPECT_FALSE(parseConfiguration(R"({"configVersion":1,"routeTable":null,"serviceTable":[]})"));
  EXPECT_FALSE(parseConfiguration(R"({"configVersion":1,"routeTable":[]})"));
}

TEST(Configuration, NamesTheFirstProblem) {
  struct {
    std::string text;
    const char* message;
  } const cases[] = {{"[1]", "configuration is no JSON object"},
                     {with("\"configVersion\":7,", ""), "configuration: missing field 'configVersion'"},
                     {with("\"share\":90", "\"share\":-1"), "configuration: no share in 'weightedTargets'"},
                     {with("\"k3\"", "\"k1\""), "configuration: key shared by two subscribers: 't2'"},
                     {with("\"/p/q/\"", "\"/p/\""), "configuration: two routes at 'ficu.example/p/'"},
                     {with("\"serviceTable\":[", "\"serviceTable\":[7,"), "no object in 'serviceTable'"}};
  for (const auto& expected : cases) {
    const auto parsed = parseConfiguration(expected.text);
    ASSERT_FALSE(parsed) << expected.message;
    EXPECT_EQ(parsed.error().message, expected.message);
  }
}

TEST(Configuration, ParsesHundredsOfRoutes) {
  std::string routes;
  for (int i = 0; i < 600; ++i)
    routes += std::string(i ? "," : "") + R"({"label":"r","authority":"h.example","pathPrefix":"/x)" +
              std::to_string(i) + R"(/","routeType":"safe","expiryMs":5,"targetService":"s"})";
  const auto configuration =
      parseConfiguration("{\"configVersion\":1,\"routeTable\":[" + routes + "],\"serviceTable\":[{\"label\":\"s\"}]}");
  ASSERT_TRUE(configuration) << configuration.error().message;
  EXPECT_EQ((*configuration)->find("h.example", "/x599/y"), 599);
}

TEST(Settings, IgnoresUnknownFields) {
  const std::string text =
      R"({"nodeName":"n","role":"r","ip":"10.1.0.5","zone":"z","bindAddresses":{"accessPort":"10.1.0.5:1","readinessPort":"10.1.0.5:2"},
    "internalPorts":[7660,7675],"seedNodes":["10.1.0.7:8407"],"initialAttach":true,"dataDir":null,"somethingNew":{"a":[1]},"timers":{"revokeMs":5000,"graceS":8,"retryRatio":0.2}})";
  const auto settings = parseSettings(text);
  ASSERT_TRUE(settings) << settings.error().message;
  EXPECT_EQ(settings->timers.grace, Duration(8000));
  EXPECT_EQ(settings->lastPort, 7675);
  EXPECT_TRUE(settings->dataDir.empty());
}

TEST(Settings, RejectsWhatIsInvalid) {
  const InvalidText cases[] = {
      {"cut short", "{"},
      {"no object", "[]"},
      {"empty", "{}"},
      {"name is no text", R"({"nodeName":1,"ip":"a","zone":"z","internalPorts":[1,2],"seedNodes":[]})"},
      {"one port", R"({"nodeName":"n","ip":"a","zone":"z","internalPorts":[9],"seedNodes":[]})"},
      {"seed is a host name",
       R"({"nodeName":"n","ip":"a","zone":"z","internalPorts":[9,12],"seedNodes":["somewhere:80"]})"},
      {"ports in the wrong order", R"({"nodeName":"n","ip":"a","zone":"z","internalPorts":[9,2],"seedNodes":[]})"}};
  for (const auto& [name, text] : cases) {
    const auto settings = parseSettings(text);
    ASSERT_FALSE(settings) << name;
    EXPECT_FALSE(settings.error().message.empty()) << name;
  }
}

TEST(RunnerHeartbeat, RejectsInvalidFields) {
  const auto heartbeat = parseRunnerHeartbeat(
      "i-1",
      R"({"targetService":"s","address":"10.0.0.1:80","zone":"z","capacity":4,"state":"draining","sequence":9,"more":1})");
  ASSERT_TRUE(heartbeat);
  EXPECT_TRUE(heartbeat->draining);
  EXPECT_EQ(heartbeat->sequence, 9);
  EXPECT_FALSE(parseRunnerHeartbeat("i-1", "{"));
  EXPECT_FALSE(parseRunnerHeartbeat("i-1", "{}"));
  EXPECT_FALSE(parseRunnerHeartbeat("", R"({"targetService":"s","address":"10.0.0.1:80"})"));
  EXPECT_FALSE(parseRunnerHeartbeat("i-1", R"({"targetService":"s","address":"a","sequence":"x"})"));
}

TEST(ZoneDrainRequest, RejectsInvalidFields) {
  EXPECT_TRUE(parseZoneDrainRequest(R"({"place":"za","share":50,"calmBelowPerS":20})"));
  for (const auto* invalid : {"{", "[]", "{}", R"({"place":"za","share":101})", R"({"place":"za","share":-1})",
                              R"({"place":7})", R"({"place":"z","doorsShut":"yes"})"})
    EXPECT_FALSE(parseZoneDrainRequest(invalid)) << invalid;
}

TEST(JsonReader, KeepsTheFirstErrorAndTheDefaults) {
  JsonDocument document(R"({"text":1,"whole":7.0,"fraction":7.5,"null":null})");
  JsonObject root;
  ASSERT_TRUE(document.object(root));
  JsonReader reader;
  int integer = 0;
  int fraction = 3;
  Duration time{5};
  reader.integer(root, "whole", integer);
  reader.milliseconds(root, "null", time);
  EXPECT_TRUE(reader.ok());
  reader.integer(root, "fraction", fraction);
  std::string text = "default";
  reader.text(root, "text", text);
  EXPECT_EQ(integer, 7);
  EXPECT_EQ(fraction, 3);
  EXPECT_EQ(time, Duration(5));
  EXPECT_EQ(text, "default");
  EXPECT_EQ(reader.error(), "no whole number in 'fraction'");
}

TEST(QuoteJson, EscapesQuotesBackslashesAndControlCharacters) {
  EXPECT_EQ(quoteJson("a\"b\\c\n\x1f\xc3\xa4"), "\"a\\\"b\\\\c\\u000a\\u001f\xc3\xa4\"");
}
