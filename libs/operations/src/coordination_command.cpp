#include <cstdio>

#include "config/quote_json.hpp"
#include "fiber_run.hpp"
#include "operations/call.hpp"
#include "operations/commands.hpp"
#include "operations/json_path.hpp"
#include "runtime/event_loop.hpp"

namespace zinccleat::operations {
namespace {
constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr Duration kWatchRetryInterval{500};
constexpr int kWatchWaitMs = 10'000;
constexpr Duration kWatchTimeout{12'000};
constexpr int kMaxUnansweredWatches = 10;  // consecutive polls without status 200 or 4xx before a watch fails

using Arguments = std::vector<std::string>;

int usageError(const std::string& problem) {
  std::fprintf(stderr, "zinccleat: %s\n", problem.c_str());
  return kExitUsage;
}
/// Prints the body of a response with status 200 to stdout; prints any other status or the error to stderr.
int report(const Result<CallResponse>& response) {
  if (response && response->status == kOk) {
    std::printf("%s\n", response->body.c_str());
    return kExitOk;
  }
  const auto reason =
      response ? "status " + std::to_string(response->status) + ": " + response->body : response.error().message;
  std::fprintf(stderr, "zinccleat: %s\n", reason.c_str());
  return kExitFailure;
}
std::string textField(std::string_view name, const std::string& text) {
  return config::quoteJson(name) + ":" + config::quoteJson(text);
}
std::string numberField(std::string_view name, const std::string& digits) {
  return config::quoteJson(name) + ":" + digits;
}

// --- Builders of each command's request. `given` holds the arguments in the order of the command's usage text. ---

Call beginLock(const Arguments& given) {
  return {"POST",
          "/v1/Locks.Begin/" + given[0],
          "{" + textField("holder", given[1]) + "," + numberField("holdMs", given[2]) + "}",
          {}};
}
Call renewLock(const Arguments& given) {
  return {"POST",
          "/v1/Locks.Heartbeat/" + given[0],
          "{" + textField("holder", given[1]) + "," + numberField("fenceNumber", given[2]) + "," +
              numberField("holdMs", given[3]) + "}",
          {}};
}
Call releaseLock(const Arguments& given) {
  return {"POST",
          "/v1/Locks.Release/" + given[0],
          "{" + textField("holder", given[1]) + "," + numberField("fenceNumber", given[2]) + "}",
          {}};
}
Call nextNumber(const Arguments& given) {
  return {"POST", "/v1/numbers/" + given[0], "{}", {}};
}
Call getCell(const Arguments& given) {
  return {"GET", "/v1/Cells.Retrieve/" + given[0], "", {}};
}
Call putCell(const Arguments& given) {
  const auto appliesTo = given[2] == "any" ? std::string() : "," + numberField("appliesTo", given[2]);
  return {"POST", "/v1/Cells.Replace/" + given[0], "{" + textField("value", given[1]) + appliesTo + "}", {}};
}
Call addToTally(const Arguments& given) {
  return {"POST",
          "/v1/Tallies.Modify/" + given[0],
          "{" + textField("instanceId", given[1]) + "," + numberField("actor", given[2]) + "}",
          {}};
}
Call getTally(const Arguments& given) {
  return {"GET", "/v1/Tallies.Retrieve/" + given[0], "", {}};
}
Call beginEvacuation(const Arguments& given) {
  return {"POST", "/v1/Evacuation.Begin/" + given[0], "", {}};
}
Call releaseEvacuation(const Arguments& given) {
  return {"POST", "/v1/Evacuation.Release/" + given[0], "", {}};
}
struct Command {
  std::string_view subject;
  std::string_view verb;  ///< empty if the subject has no verbs
  std::string_view usage;
  std::size_t argumentCount;
  Call (*makeCall)(const Arguments& given);
};
constexpr Command kCommands[] = {
    {"lock", "begin", "lock begin NAME HOLDER HOLD_MS ADDRESS:PORT...", 3, beginLock},
    {"lock", "renew", "lock renew NAME HOLDER FENCE HOLD_MS ADDRESS:PORT...", 4, renewLock},
    {"lock", "release", "lock release NAME HOLDER FENCE ADDRESS:PORT...", 3, releaseLock},
    {"number", "", "number NAME ADDRESS:PORT...", 1, nextNumber},
    {"cells", "get", "cells get NAME ADDRESS:PORT...", 1, getCell},
    {"cells", "put", "cells put NAME VALUE REVISION|any ADDRESS:PORT...", 3, putCell},
    {"tally", "add", "tally add NAME INSTANCE_ID AMOUNT ADDRESS:PORT...", 3, addToTally},
    {"tally", "get", "tally get NAME ADDRESS:PORT...", 1, getTally},
    {"evacuation", "begin", "evacuation begin ZONE ADDRESS:PORT...", 1, beginEvacuation},
    {"evacuation", "release", "evacuation release ZONE ADDRESS:PORT...", 1, releaseEvacuation},
};
std::string joinUsages(std::string_view subject) {
  std::string usages;
  for (const auto& command : kCommands)
    if (command.subject == subject)
      usages += (usages.empty() ? "" : ", or ") + std::string(command.usage);
  return usages;
}
/// The arguments from index `first` to the end.
Arguments argumentsFrom(const Arguments& arguments, std::size_t first) {
  return {arguments.begin() + static_cast<std::ptrdiff_t>(first), arguments.end()};
}
void printShardHeader() {
  std::printf("%-22s %5s %-10s %6s %7s %8s %6s %6s %8s  %s\n", "node", "shard", "role", "epoch", "leased", "applied",
              "locks", "cells", "watches", "leaseholder");
}
void printShards(const std::string& json) {
  const auto node = fieldOf(json, "node").value_or("?");
  const auto count = std::atoi(fieldOf(json, "shards#").value_or("0").c_str());
  for (int shard = 0; shard < count; ++shard) {
    const auto field = [&](const char* name) {
      return fieldOf(json, "shards[shard=" + std::to_string(shard) + "]." + name).value_or("?");
    };
    std::printf("%-22s %5s %-10s %6s %7s %8s %6s %6s %8s  %s\n", node.c_str(), field("shard").c_str(),
                field("role").c_str(), field("epoch").c_str(), field("leased").c_str(), field("applied").c_str(),
                field("locks").c_str(), field("cells").c_str(), field("watches").c_str(), field("leaseholder").c_str());
  }
}
void printPeerHeader() {
  std::printf("%-22s %-14s %8s %9s  %-18s %-14s %9s %10s %9s %8s\n", "node", "zone", "caughtUp", "ids", "peer", "zone",
              "reachable", "silentMs", "theyLack", "weLack");
}
void printPeers(const std::string& json) {
  const auto own = [&](const char* name) { return fieldOf(json, name).value_or("?"); };
  const auto count = std::atoi(fieldOf(json, "peers#").value_or("0").c_str());
  for (int i = 0; i < count; ++i) {
    const auto peer = [&](const char* name) {
      return fieldOf(json, "peers[peer=" + std::to_string(i) + "]." + name).value_or("?");
    };
    std::printf("%-22s %-14s %8s %9s  %-18s %-14s %9s %10s %9s %8s\n", own("node").c_str(), own("zone").c_str(),
                own("caughtUp").c_str(), own("keptIds").c_str(), peer("address").c_str(), peer("zone").c_str(),
                peer("reachable").c_str(), peer("silentForMs").c_str(), peer("theyLack").c_str(),
                peer("weLack").c_str());
  }
}
void printFunctionHeader() {
  std::printf("%-8s %6s %16s %12s %10s  %-18s %-14s %8s %8s %8s %8s  %s\n", "holder", "fence", "reportedThrough",
              "unconfirmed", "incomplete", "service", "zone", "present", "demand", "wanted", "ordered", "reason");
}
void printFunctions(const std::string& json) {
  const auto own = [&](const char* name) { return fieldOf(json, name).value_or("-"); };
  const auto count = std::max(1, std::atoi(fieldOf(json, "scaling#").value_or("0").c_str()));
  for (int i = 0; i < count; ++i) {
    const auto order = [&](const char* name) {
      return fieldOf(json, "scaling[row=" + std::to_string(i) + "]." + name).value_or("-");
    };
    std::printf("%-8s %6s %16s %12s %10s  %-18s %-14s %8s %8s %8s %8s  %s\n", own("holder").c_str(),
                own("fence").c_str(), own("reportedThrough").c_str(), own("unconfirmedReports").c_str(),
                own("incompleteWindows").c_str(), order("service").c_str(), order("zone").c_str(),
                order("present").c_str(), order("demand").c_str(), order("wanted").c_str(), order("ordered").c_str(),
                order("reason").c_str());
  }
}
/// Sends a GET request to each node and prints the responses, as rows of a table or as the JSON received.
/// @return 1 if no node responded with status 200.
int printFromEach(const Arguments& addresses, const std::string& path, bool asJson, void (*printHeader)(),
                  void (*printRows)(const std::string& json)) {
  return runOnEventLoop([&] {
    int status = kExitFailure;
    if (!asJson)
      printHeader();
    for (const auto& address : addresses) {
      const auto response = callOne(address, {"GET", path, "", {}}, kCallTimeout);
      const bool answered = response && response->status == kOk;
      if (answered && !asJson)
        printRows(response->body);
      else
        (void)report(response);
      if (answered)
        status = kExitOk;
    }
    return status;
  });
}
}  // namespace

int coordinationCommand(const std::string& subject, const Arguments& arguments) {
  for (const auto& command : kCommands) {
    const std::size_t verbs = command.verb.empty() ? 0 : 1;
    const bool matchesCommand =
        command.subject == subject && (verbs == 0 || (!arguments.empty() && arguments[0] == command.verb));
    if (!matchesCommand)
      continue;
    if (arguments.size() <= verbs + command.argumentCount)
      return usageError("wants " + std::string(command.usage));
    const auto call = command.makeCall(argumentsFrom(arguments, verbs));
    const auto addresses = argumentsFrom(arguments, verbs + command.argumentCount);
    return runOnEventLoop([&] { return report(callAny(addresses, call, kCallTimeout)); });
  }
  return usageError("wants " + joinUsages(subject));
}
int watchCommand(const Arguments& arguments) {
  constexpr std::size_t kGroupAndRevision = 2;
  if (arguments.size() <= kGroupAndRevision)
    return usageError("wants watch GROUP REVISION ADDRESS:PORT...");
  const auto addresses = argumentsFrom(arguments, kGroupAndRevision);
  return runOnEventLoop([&] {
    auto revision = arguments[1];
    for (int unansweredCount = 0; unansweredCount < kMaxUnansweredWatches; ++unansweredCount) {
      const auto path = "/v1/watch/" + arguments[0] + "?after=" + revision + "&waitMs=" + std::to_string(kWatchWaitMs);
      const auto response = callAny(addresses, {"GET", path, "", {}}, kWatchTimeout);
      if (response && (response->status == kGone || response->status / 100 == 4))
        return report(response);
      if (response && response->status == kOk) {
        unansweredCount = -1;
        const auto reached = fieldOf(response->body, "revision").value_or(revision);
        if (std::exchange(revision, reached) != reached)
          (void)report(response);
        std::fflush(stdout);
      }
      if (revision == "0" || !response || response->status != kOk)
        runtime::EventLoop::get().sleepFor(kWatchRetryInterval);
    }
    return usageError("no controller has answered for a while");
  });
}
int shardsCommand(const Arguments& addresses, bool asJson) {
  if (addresses.empty())
    return usageError("shards: say which nodes: ADDRESS:PORT...");
  return printFromEach(addresses, "/v1/Shards", asJson, printShardHeader, printShards);
}
int functionsCommand(const Arguments& addresses, bool asJson) {
  if (addresses.empty())
    return usageError("functions: say which nodes: ADDRESS:PORT...");
  return printFromEach(addresses, "/v1/Functions.List", asJson, printFunctionHeader, printFunctions);
}
int tallyCommand(const Arguments& arguments, bool asJson) {
  if (arguments.empty() || arguments[0] != "sides")
    return coordinationCommand("tally", arguments);
  const auto addresses = argumentsFrom(arguments, 1);
  if (addresses.empty())
    return usageError("tally sides: say which nodes: ADDRESS:PORT...");
  return printFromEach(addresses, "/v1/Tallies.List", asJson, printPeerHeader, printPeers);
}
}  // namespace zinccleat::operations
