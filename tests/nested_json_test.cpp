// Guards against stack overflow by deeply nested JSON: each parser must reject 100,000 nested brackets with a one-line
// error, also on the small stack of a fiber.
#include <gtest/gtest.h>

#include "config/configuration.hpp"
#include "config/control_requests.hpp"
#include "config/settings.hpp"
#include "operations/json_path.hpp"
#include "operations/runbook.hpp"
#include "runtime/event_loop.hpp"

using namespace zinccleat;
using namespace zinccleat::config;
using namespace zinccleat::operations;
using namespace zinccleat::runtime;
namespace {
constexpr std::size_t kDepth = 100'000;

std::string repeated(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < kDepth; ++i)
    out += text;
  return out;
}
struct Body {
  const char* what;
  std::string text;
};
std::vector<Body> nestedBodies() {
  return {{"lists", repeated("[") + repeated("]")},
          {"lists left open", repeated("[")},
          {"objects", repeated("{\"a\":") + "1" + repeated("}")},
          {"objects left open", repeated("{\"a\":")},
          {"lists in a field", "{\"configVersion\":" + repeated("[") + repeated("]") + "}"},
          {"objects in an unknown field", "{\"unknown\":" + repeated("{\"a\":") + "1" + repeated("}") + "}"}};
}
void onFiber(const std::function<void()>& body) {
  auto& loop = EventLoop::get();
  loop.spawn([&] {
    body();
    loop.stop();
  });
  loop.run();
}
// Expects that `read` rejects every nested body with a one-line message that contains `word`. `read` returns the error
// message, or nothing if it accepted the body.
void expectRejected(const std::string& word,
                    const std::function<std::optional<std::string>(const std::string&)>& read) {
  onFiber([&] {
    for (const auto& body : nestedBodies()) {
      const auto errorMessage = read(body.text);
      ASSERT_TRUE(errorMessage) << body.what;
      EXPECT_NE(errorMessage->find(word), std::string::npos) << body.what << ": " << *errorMessage;
      constexpr std::size_t kOneLine = 200;
      EXPECT_LT(errorMessage->size(), kOneLine) << body.what;
      EXPECT_EQ(errorMessage->find('\n'), std::string::npos) << body.what;
    }
  });
}
template <class T>
std::optional<std::string> errorMessageOf(const Result<T>& outcome) {
  if (outcome)
    return std::nullopt;
  return outcome.error().message;
}
}  // namespace

TEST(NestedJson, AConfigurationIsRefused) {
  expectRejected("configuration is no JSON: ",
                 [](const std::string& body) { return errorMessageOf(parseConfiguration(body)); });
}
TEST(NestedJson, SettingsAreRefused) {
  expectRejected("settings are no JSON: ", [](const std::string& body) { return errorMessageOf(parseSettings(body)); });
}
TEST(NestedJson, AHeartbeatIsRefused) {
  expectRejected("heartbeat is no JSON object",
                 [](const std::string& body) { return errorMessageOf(parseRunnerHeartbeat("i1", body)); });
}
TEST(NestedJson, AZoneDrainIsRefused) {
  expectRejected("closure is no JSON object",
                 [](const std::string& body) { return errorMessageOf(parseZoneDrainRequest(body)); });
}
TEST(NestedJson, AnAnswerThatARunbookObservesHasNoSuchField) {
  onFiber([] {
    for (const auto& body : nestedBodies())
      EXPECT_FALSE(fieldOf(body.text, "configVersion")) << body.what;
  });
}
// The runbook parser passes request bodies on without parsing them, and the runbook syntax itself has no nesting.
TEST(NestedJson, ARunbookPassesABodyOn) {
  onFiber([] {
    const auto body = repeated("[") + repeated("]");
    const auto book = parseRunbook("post /v1/Configuration.Replace " + body, {});
    ASSERT_TRUE(book);
    ASSERT_EQ(book->steps.size(), 1);
    EXPECT_EQ(book->steps[0].body, body);
    EXPECT_FALSE(parseRunbook("get /v1/Status\nexpect any " + repeated("["), {}));
  });
}
