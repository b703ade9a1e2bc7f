#include <cstdio>

#include "config/settings.hpp"
#include "fiber_run.hpp"
#include "operations/commands.hpp"
#include "operations/runbook.hpp"
#include "runtime/event_loop.hpp"

namespace zinccleat::operations {
namespace {
constexpr const char* kAddressesParameter = "core";

int usageError(const std::string& problem) {
  std::fprintf(stderr, "zinccleat runbook: %s\n", problem.c_str());
  return 2;
}
void printLine(const std::string& line) {
  std::printf("%s\n", line.c_str());
  std::fflush(stdout);
}

Result<ParameterValues> parseAssignments(const std::vector<std::string>& assignments) {
  ParameterValues values;
  for (const auto& assignment : assignments) {
    const auto equals = assignment.find('=');
    if (equals == std::string::npos || equals == 0)
      return makeError(ErrorCode::invalidArgument, "'" + assignment + "' is no name=value");
    values[assignment.substr(0, equals)] = assignment.substr(equals + 1);
  }
  return values;
}
// Splits a list at commas and omits empty elements.
std::vector<std::string> splitAddresses(std::string_view list) {
  std::vector<std::string> addresses;
  while (!list.empty()) {
    const auto comma = std::min(list.find(','), list.size());
    if (comma > 0)
      addresses.emplace_back(list.substr(0, comma));
    list.remove_prefix(std::min(list.size(), comma + 1));
  }
  return addresses;
}

RunbookEnvironment environmentOf(const std::vector<std::string>& addresses) {
  RunbookEnvironment environment;
  environment.callAny = [&addresses](const Call& call) { return operations::callAny(addresses, call, kCallTimeout); };
  environment.callAll = [&addresses](const Call& call) {
    std::vector<Result<CallResponse>> responses;
    responses.reserve(addresses.size());
    for (const auto& address : addresses)
      responses.push_back(callOne(address, call, kCallTimeout));
    return responses;
  };
  environment.sleepFor = [](Duration duration) { runtime::EventLoop::get().sleepFor(duration); };
  environment.print = printLine;
  environment.now = [] { return Clock::now(); };
  return environment;
}
}  // namespace

int runbookCommand(const std::string& file, const std::vector<std::string>& assignments, bool dryRun) {
  const auto text = config::readFile(file);
  if (!text)
    return usageError(text.error().message);
  auto values = parseAssignments(assignments);
  if (!values)
    return usageError(values.error().message);
  const auto runbook = parseRunbook(*text, *values);
  if (!runbook)
    return usageError(file + ": " + runbook.error().message);
  const auto addresses = splitAddresses((*values)[kAddressesParameter]);
  if (addresses.empty() && !dryRun)
    return usageError("--set core=ADDRESS:PORT,... is required (the nodes that serve the control API)");
  return runOnEventLoop([&] { return runRunbook(*runbook, environmentOf(addresses), dryRun); });
}
}  // namespace zinccleat::operations
