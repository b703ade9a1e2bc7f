#include <cstdio>

#include "config/control_requests.hpp"
#include "fiber_run.hpp"
#include "operations/call.hpp"
#include "operations/commands.hpp"
#include "operations/json_path.hpp"
#include "runtime/event_loop.hpp"

namespace zinccleat::operations {
namespace {
constexpr int kOk = 200;
constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr Duration kWatchInterval{500};
constexpr int kMaxUnansweredPolls = 60;  // consecutive polls without status 200 or 4xx before a watch fails

int usageError(const std::string& problem) {
  std::fprintf(stderr, "zinccleat rollout: %s\n", problem.c_str());
  return kExitUsage;
}
// Prints the error, or the status and error message of the response, to stderr.
int failure(const Result<CallResponse>& response) {
  const auto reason = response ? "status " + std::to_string(response->status) + ": " +
                                     fieldOf(response->body, "error").value_or(response->body)
                               : response.error().message;
  std::fprintf(stderr, "zinccleat rollout: %s\n", reason.c_str());
  return kExitFailure;
}
int report(const Result<CallResponse>& response) {
  if (!response || response->status != kOk)
    return failure(response);
  std::printf("acknowledged by %s\n", response->address.c_str());
  return kExitOk;
}
Result<CallResponse> retrieve(const RolloutCommand& command) {
  return callAny(command.addresses, {"GET", "/v1/Rollouts.Retrieve/" + command.service, "", {}}, kCallTimeout);
}
std::string field(const std::string& json, std::string_view path) {
  return fieldOf(json, path).value_or("?");
}
void printTable(const std::string& json) {
  std::printf("%-20s %-14s %-11s %-10s %7s %9s %9s  %s\n", "service", "revision", "state", "phase", "percent",
              "elapsed", "term", "reason");
  std::printf("%-20s %-14s %-11s %-10s %7s %7sms %7sms  %s\n", field(json, "targetService").c_str(),
              field(json, "targetRevision").c_str(), field(json, "state").c_str(), field(json, "phase").c_str(),
              field(json, "percent").c_str(), field(json, "elapsedMs").c_str(), field(json, "durationMs").c_str(),
              field(json, "reason").c_str());
  std::printf("evidence: %s\n", field(json, "evidence").c_str());
  std::fflush(stdout);
}
void print(const std::string& json, bool asJson) {
  if (!asJson)
    return printTable(json);
  std::printf("%s\n", json.c_str());
  std::fflush(stdout);
}
int begin(const RolloutCommand& command) {
  const auto body = "{\"targetService\":" + config::quoteJson(command.service) +
                    ",\"targetRevision\":" + config::quoteJson(command.revision) + ",\"durationS\":" + command.seconds +
                    "}";
  if (const auto valid = config::parseRolloutRequest(body); !valid)
    return usageError(valid.error().message);
  return report(callAny(command.addresses, {"POST", "/v1/Rollouts.Begin", body, {}}, kCallTimeout));
}
int revert(const RolloutCommand& command) {
  const auto body = "{\"targetService\":" + config::quoteJson(command.service) + "}";
  return report(callAny(command.addresses, {"POST", "/v1/Rollouts.Revert", body, {}}, kCallTimeout));
}
int status(const RolloutCommand& command) {
  const auto response = retrieve(command);
  if (!response || response->status != kOk)
    return failure(response);
  print(response->body, command.asJson);
  return kExitOk;
}
int watch(const RolloutCommand& command) {
  std::string printed;
  for (int unansweredCount = 0; unansweredCount < kMaxUnansweredPolls; ++unansweredCount) {
    const auto response = retrieve(command);
    if (response && response->status == kOk) {
      unansweredCount = 0;
      const auto step = field(response->body, "phase") + field(response->body, "percent");
      if (std::exchange(printed, step) != step)
        print(response->body, command.asJson);
      const auto state = field(response->body, "state");
      if (state != "in_progress")
        return state == "completed" ? kExitOk : kExitFailure;
    } else if (response && response->status / 100 == 4) {
      return failure(response);
    }
    runtime::EventLoop::get().sleepFor(kWatchInterval);
  }
  return usageError("no controller has answered for a while");
}
}  // namespace

int rolloutCommand(const RolloutCommand& command) {
  if (command.addresses.empty())
    return usageError("say which nodes: ADDRESS:PORT...");
  struct Verb {
    std::string_view name;
    int (*run)(const RolloutCommand& command);
  };
  constexpr Verb kVerbs[] = {{"begin", begin}, {"status", status}, {"watch", watch}, {"revert", revert}};
  for (const auto& verb : kVerbs)
    if (verb.name == command.verb)
      return runOnEventLoop([&] { return verb.run(command); });
  return usageError("unknown verb '" + command.verb + "'");
}
}  // namespace zinccleat::operations
