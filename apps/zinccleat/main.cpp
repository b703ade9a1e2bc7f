/// Main program of zinccleat: one binary for all daemons and operators' commands, selected by a subcommand.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <array>
#include <cstdio>

#include "agent/agent.hpp"
#include "config/run_daemon.hpp"
#include "controller/controller.hpp"
#include "operations/commands.hpp"
#include "proxy_daemon/proxy_daemon.hpp"
#include "runtime/lifecycle.hpp"
#include "runtime/log_ring.hpp"
#include "runtime/process_end.hpp"
#include "simulation/trial.hpp"

ABSL_FLAG(std::string, settings, "", "path of the settings file; default: $ZINCCLEAT_CONFIG");
ABSL_FLAG(std::vector<std::string>, set, {}, "runbook: name=value,...; + separates the elements of a list value");
ABSL_FLAG(bool, dry, false, "runbook: print the steps without sending requests");
ABSL_FLAG(bool, json, false, "status, rollout, shards, functions, tally sides: print JSON");
ABSL_FLAG(int, seconds, 9, "trial: how long clients send requests, 3 to 600");
ABSL_FLAG(bool, verbose, false, "write log notes immediately, not only when an error occurs");

namespace {
using namespace zinccleat;

constexpr const char* kVersion = "0.3 (frames 2)";
constexpr const char* kUsage =
    "zinccleat SUBCOMMAND [--settings FILE] [--verbose]\n"
    "  proxy          the proxy on access machines\n"
    "  agent          the agent beside each proxy\n"
    "  controller     the controller on core machines\n"
    "  check KIND FILE  checks a file; KIND is settings, configuration, rollout or runbook\n"
    "  status ADDRESS:PORT... [--json]  shows the status that controllers report\n"
    "  rollout begin SERVICE REVISION SECONDS ADDRESS:PORT...  moves a service to another revision of its runners\n"
    "  rollout status|watch|revert SERVICE ADDRESS:PORT... [--json]  shows, follows or reverts a rollout\n"
    "  lock begin|renew|release NAME HOLDER [FENCE] [HOLD_MS] ADDRESS:PORT...  acquires, renews or releases a lock\n"
    "  number NAME ADDRESS:PORT...  allocates the next number of a name\n"
    "  cells get NAME, cells put NAME VALUE REVISION|any ADDRESS:PORT...  reads or writes a cell\n"
    "  watch GROUP REVISION ADDRESS:PORT...  prints the changes of a group of cells as they occur\n"
    "  tally add NAME INSTANCE_ID AMOUNT, tally get NAME ADDRESS:PORT...  adds to or reads a replicated counter\n"
    "  tally sides ADDRESS:PORT... [--json]  shows which peers each node reaches and which increments are missing\n"
    "  evacuation begin|release ZONE ADDRESS:PORT...  stops or resumes sending requests to a zone's runners\n"
    "  shards ADDRESS:PORT... [--json]  shows the shards of the coordination service as each node sees them\n"
    "  functions ADDRESS:PORT... [--json]  shows usage reports and orders for runners at the platform\n"
    "  runbook FILE --set name=value,... [--dry]  runs a runbook; + separates addresses in a list\n"
    "  trial [--seconds N]  runs a small fleet on loopback in which the leader is killed and a runner stops\n"
    "  --help, --version\n"
    "exit status: 0 success, 1 failure, 2 invalid command line or input file";
constexpr int kUsageError = 2;
constexpr int kMinTrialSeconds = 3;
constexpr int kMaxTrialSeconds = 600;
constexpr const char* kThisProgram = "/proc/self/exe";

// The positional arguments after the subcommand.
using Arguments = std::vector<std::string>;

int usageError(const std::string& subcommand, const std::string& problem) {
  std::fprintf(stderr, "zinccleat %s: %s\n", subcommand.c_str(), problem.c_str());
  return kUsageError;
}

// --- Flags and the subcommands that accept them. A flag given to another subcommand is an error, because the flag
// would have no effect there. ---
struct FlagUse {
  std::string_view flag;
  std::string_view subcommands;  // separated by spaces
};
constexpr std::array<FlagUse, 6> kFlagUses{{{"settings", "proxy agent controller"},
                                            {"verbose", "proxy agent controller"},
                                            {"set", "runbook"},
                                            {"dry", "runbook"},
                                            {"json", "status rollout shards functions tally"},
                                            {"seconds", "trial"}}};

// The name of the flag in an argument "--name" or "--name=value"; std::nullopt if the argument is not a flag.
std::optional<std::string_view> flagName(std::string_view argument) {
  constexpr std::string_view kDashes = "--";
  if (!argument.starts_with(kDashes) || argument.size() == kDashes.size())
    return std::nullopt;
  argument.remove_prefix(kDashes.size());
  return argument.substr(0, argument.find('='));
}
const FlagUse* findFlag(std::string_view name) {
  constexpr std::string_view kNegation = "no";  // Abseil accepts --nodry for --dry=false
  const auto negated = name.starts_with(kNegation) ? name.substr(kNegation.size()) : std::string_view{};
  for (const auto& use : kFlagUses)
    if (use.flag == name || use.flag == negated)
      return &use;
  return nullptr;
}
// Whether a subcommand accepts a flag.
bool knows(std::string_view subcommand, const FlagUse& use) {
  const auto list = " " + std::string(use.subcommands) + " ";
  return list.find(" " + std::string(subcommand) + " ") != std::string::npos;
}
// The error message for a flag that the subcommand does not accept; empty if the flag is accepted.
std::string flagError(std::string_view subcommand, std::string_view name) {
  const auto* const use = findFlag(name);
  if (!use)
    return "no subcommand knows the flag '--" + std::string(name) + "'";
  if (!knows(subcommand, *use))
    return "the flag '--" + std::string(name) + "' is for: " + std::string(use->subcommands);
  return {};
}
// The error message for the first flag that is not accepted; empty if there is none. The first argument that does not
// begin with '-' is taken as the subcommand.
std::string firstFlagError(const std::vector<std::string_view>& arguments) {
  const auto subcommand = std::find_if(arguments.begin(), arguments.end(), [](std::string_view argument) {
    return !argument.empty() && argument.front() != '-';
  });
  const auto chosen = subcommand == arguments.end() ? std::string_view{} : *subcommand;
  for (const auto argument : arguments)
    if (const auto name = flagName(argument))
      if (auto problem = flagError(chosen, *name); !problem.empty())
        return problem;
  return {};
}

// --- The subcommands. Each returns the process's exit status.
int check(const Arguments& arguments) {
  if (arguments.size() != 2)
    return usageError("check", "wants KIND FILE");
  return operations::checkCommand(arguments[0], arguments[1]);
}
int status(const Arguments& arguments) {
  return operations::statusCommand(arguments, absl::GetFlag(FLAGS_json));
}
int rollout(const Arguments& arguments) {
  constexpr std::size_t kVerbAndService = 2;
  constexpr std::size_t kBeginArguments = 4;
  const bool isBegin = !arguments.empty() && arguments.front() == "begin";
  const auto needed = isBegin ? kBeginArguments : kVerbAndService;
  if (arguments.size() < needed)
    return usageError("rollout", "wants begin SERVICE REVISION SECONDS, or status, watch or revert SERVICE");
  operations::RolloutCommand command;
  command.verb = arguments[0];
  command.service = arguments[1];
  if (isBegin) {
    command.revision = arguments[2];
    command.seconds = arguments[3];
  }
  command.addresses.assign(arguments.begin() + static_cast<std::ptrdiff_t>(needed), arguments.end());
  command.asJson = absl::GetFlag(FLAGS_json);
  return operations::rolloutCommand(command);
}
int lock(const Arguments& arguments) {
  return operations::coordinationCommand("lock", arguments);
}
int number(const Arguments& arguments) {
  return operations::coordinationCommand("number", arguments);
}
int cells(const Arguments& arguments) {
  return operations::coordinationCommand("cells", arguments);
}
int tally(const Arguments& arguments) {
  return operations::tallyCommand(arguments, absl::GetFlag(FLAGS_json));
}
int evacuation(const Arguments& arguments) {
  return operations::coordinationCommand("evacuation", arguments);
}
int shards(const Arguments& arguments) {
  return operations::shardsCommand(arguments, absl::GetFlag(FLAGS_json));
}
int functions(const Arguments& arguments) {
  return operations::functionsCommand(arguments, absl::GetFlag(FLAGS_json));
}
// Path of a runbook file. A name without '.' and '/' refers to runbooks/NAME.run, a runbook shipped with the program.
std::string runbookPath(const std::string& file) {
  return file.find_first_of("./") == std::string::npos ? "runbooks/" + file + ".run" : file;
}
int runbook(const Arguments& arguments) {
  if (arguments.size() != 1)
    return usageError("runbook", "wants one FILE");
  auto assignments = absl::GetFlag(FLAGS_set);
  for (auto& assignment : assignments)
    std::replace(assignment.begin(), assignment.end(), '+', ',');
  return operations::runbookCommand(runbookPath(arguments[0]), assignments, absl::GetFlag(FLAGS_dry));
}
int trial(const Arguments& /*arguments*/) {
  const int seconds = absl::GetFlag(FLAGS_seconds);
  if (seconds < kMinTrialSeconds || seconds > kMaxTrialSeconds)
    return usageError("trial", "--seconds is 3 to 600");
  return simulation::trial(kThisProgram, seconds);
}
[[noreturn]] void runDaemon(std::string_view program, config::RunDaemon run) {
  log::setVerbose(absl::GetFlag(FLAGS_verbose));
  const auto path = absl::GetFlag(FLAGS_settings);
  config::runDaemonProcess(program, path.empty() ? config::settingsPath() : path, run);
}
int proxyDaemon(const Arguments& /*arguments*/) {
  runDaemon("proxy", proxy_daemon::runProxy);
}
int agentDaemon(const Arguments& /*arguments*/) {
  runDaemon("agent", agent::runAgent);
}
int controllerDaemon(const Arguments& /*arguments*/) {
  runDaemon("controller", controller::runController);
}

struct Subcommand {
  std::string_view name;
  int (*run)(const Arguments& arguments);
};
constexpr std::array<Subcommand, 16> kSubcommands{{{"proxy", proxyDaemon},
                                                   {"agent", agentDaemon},
                                                   {"controller", controllerDaemon},
                                                   {"check", check},
                                                   {"status", status},
                                                   {"rollout", rollout},
                                                   {"lock", lock},
                                                   {"number", number},
                                                   {"cells", cells},
                                                   {"watch", operations::watchCommand},
                                                   {"shards", shards},
                                                   {"functions", functions},
                                                   {"tally", tally},
                                                   {"evacuation", evacuation},
                                                   {"runbook", runbook},
                                                   {"trial", trial}}};

int runSubcommand(const std::string& name, const Arguments& arguments) {
  const auto found = std::find_if(kSubcommands.begin(), kSubcommands.end(),
                                  [&](const Subcommand& candidate) { return candidate.name == name; });
  if (found != kSubcommands.end())
    return found->run(arguments);
  std::fprintf(stderr, "zinccleat: unknown subcommand '%s'\n%s\n", name.c_str(), kUsage);
  return kUsageError;
}

// The output of --help, -h or --version, whichever comes first in the arguments; empty if none of them is given.
std::string helpText(const std::vector<std::string_view>& arguments) {
  for (const auto argument : arguments) {
    if (argument == "--help" || argument == "-h")
      return kUsage;
    if (argument == "--version")
      return std::string("zinccleat ") + kVersion;
  }
  return {};
}

bool isDaemon(std::string_view name) {
  return name == "proxy" || name == "agent" || name == "controller";
}
// Called by the dynamic linker before the constructors of all libraries, some of which run for milliseconds: a
// lifecycle signal of a daemon stays pending from here on until `Startup` or the event loop handles it. Before that, it
// ends the process.
void blockSignalsOfDaemon(int argc, char** argv, char** /*environment*/) {
  if (argc > 1 && isDaemon(argv[1]))
    runtime::blockLifecycleSignals();
}
[[gnu::section(".preinit_array"), gnu::used]] void (*const kBeforeConstructors)(int, char**,
                                                                                char**) = blockSignalsOfDaemon;
}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string_view> given(argv + std::min(argc, 1), argv + argc);
  if (const auto text = helpText(given); !text.empty()) {
    std::printf("%s\n", text.c_str());
    return 0;
  }
  if (const auto problem = firstFlagError(given); !problem.empty()) {
    std::fprintf(stderr, "zinccleat: %s\n", problem.c_str());
    return kUsageError;
  }
  absl::SetProgramUsageMessage(kUsage);
  const auto positional = absl::ParseCommandLine(argc, argv);  // the program's name, the subcommand, its arguments
  const std::string subcommand = positional.size() > 1 ? positional[1] : "";
  const auto first = positional.begin() + std::min<std::ptrdiff_t>(2, std::ssize(positional));
  // An exit that destroys static objects would block, because the fiber library waits for suspended fibers.
  runtime::exitWithoutCleanup(runSubcommand(subcommand, Arguments(first, positional.end())));
}
