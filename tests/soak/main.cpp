// zinccleat_soak PROGRAM [--seed=N] [--seconds=N] [--core=N] [--access=N] [--runners=N] [--clients=N]
//     [--applications=N] [--kills] [--disks] [--cuts] [--freezes] [--losses] [--starts] [--crowds]
//     [--plant=slow-clock|lost-disks] [--keep]
//
// Performs one soak run, and prints a summary and the violated rules. With --keep, the folder with the logs of the
// processes is kept after a violation. Exit status: 0 without violations, 1 with violations, 2 if the run failed to
// start or to end.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>

#include "control_calls.hpp"
#include "soak_run.hpp"
#include "supervisor.hpp"

namespace zinccleat::soak {
namespace {
constexpr Duration kStallCheckInterval{5};
constexpr Duration kMinStall{10};
constexpr const char* kPlantOption = "--plant=";
constexpr const char* kFolderInMemory = "/dev/shm";
constexpr Duration kReadyTimeout{30000};
constexpr Duration kPollInterval{50};
constexpr Duration kEndTimeout{12000};
constexpr Duration kCalmTime{3000};
constexpr Duration kLogFlushTime{500};
constexpr std::size_t kMaxPrintedViolations = 12;
// Those of a small deployment.
constexpr simulation::ProcessLimits kCoreLimits{.memoryMb = 256, .fdLimit = 4096};
constexpr simulation::ProcessLimits kAccessLimits{.memoryMb = 220, .fdLimit = 4200};

std::string timersJson(const Bounds& bounds) {
  return R"({"graceS":)" + std::to_string(bounds.grace.count() / 1000) + R"(,"drainMs":)" +
         std::to_string(bounds.drain.count()) + R"(,"configApplyMs":)" + std::to_string(bounds.configApply.count()) +
         R"(,"evacuateMs":)" + std::to_string(bounds.evacuate.count()) + R"(,"contactMs":)" +
         std::to_string(bounds.contact.count()) + R"(,"revokedFail":true,"revokeMs":)" +
         std::to_string(bounds.revoke.count()) + "}";
}
bool waitUntil(Duration timeout, const std::function<bool()>& condition) {
  for (const auto end = Clock::now() + timeout; Clock::now() < end; runtime::EventLoop::get().sleepFor(kPollInterval))
    if (condition())
      return true;
  return false;
}
int fail(const std::string& what) {
  std::printf("soak: %s\n", what.c_str());
  return 2;
}
/// Fills the fault table: first the controllers, then the access machines, then one entry for all runners.
void prepareFaults(SoakRun& run) {
  auto& faults = run.faults.emplace(run.plan.library, run.fleet.folder());
  for (std::size_t i = 0; i < run.fleet.core().size(); ++i)
    faults.addMachine("core-" + std::to_string(i + 1), run.fleet.core()[i]);
  for (int access = 0; access < run.plan.access; ++access) {
    const auto address = run.fleet.access(access);
    faults.addMachine("access-" + std::to_string(access + 1), address.substr(0, address.find(':')));
  }
  faults.addMachine("runners", run.fleet.ip(7, 1));
  faults.preload();
}
bool start(SoakRun& run) {
  if (run.plan.disks || run.plan.cuts || run.plan.losses || !run.plan.plantedFault.empty())
    prepareFaults(run);
  if (!run.fleet.startCore())
    return false;
  for (int machine = 0; machine < run.plan.access; ++machine)
    if (!run.fleet.startAccessMachine())
      return false;
  return installFirstConfiguration(run);
}
bool allInService(const SoakRun& run) {
  return std::all_of(run.inService.begin(), run.inService.end(), [](char in) { return in != 0; });
}
/// Adds the violations that the applications observed.
void addApplicationViolations(const SoakRun& run, std::vector<Violation>& violations) {
  for (const auto& name : run.failedFinalReads)
    violations.push_back({"LOST", "at the end no answer for " + name});
  const auto& sides = run.partitionIncrements;
  if (sides.acknowledged < sides.sent)
    violations.push_back({"All", "across a partition " + std::to_string(sides.sent - sides.acknowledged) + " of " +
                                     std::to_string(sides.sent) + " increments are not acknowledged"});
  for (const auto& broken : coordination_history::violationsIn(run.applicationCalls)) {
    const auto colon = broken.find(": ");
    violations.push_back({broken.substr(0, colon), broken.substr(colon + 2)});
  }
}
int report(const SoakRun& run) {
  const auto& observations = run.observations;
  const auto count = [&](int status) {
    return std::count_if(observations.requests.begin(), observations.requests.end(),
                         [status](const ClientRequest& request) {
                           return request.end == RequestEnd::answered && request.status == status;
                         });
  };
  const auto acknowledged =
      std::count_if(observations.changes.begin(), observations.changes.end(),
                    [](const ConfigurationChange& change) { return change.acknowledgedAt.has_value(); });
  const auto served = std::count_if(run.applicationCalls.begin(), run.applicationCalls.end(),
                                    [](const auto& call) { return call.succeeded(); });
  std::int64_t counted = 0;
  for (const auto& [counter, amount] : run.acknowledgedIncrements)
    counted += amount;
  auto violations = findViolations(observations);
  addApplicationViolations(run, violations);
  std::printf(
      "seed %ju: core %d, access %d, processes %zu; requests %zu: 200 %td, 401 %td, 404 %td, 503 %td; changes %zu, "
      "acknowledged "
      "%td; runners left %zu; ends of processes %zu; calls for coordination %zu, 200 %td; counted %jd; broken rules "
      "%zu\n",
      static_cast<std::uintmax_t>(run.plan.seed), run.plan.core, run.plan.access, run.fleet.processes().size(),
      observations.requests.size(), count(200), count(401), count(404), count(503), observations.changes.size(),
      acknowledged, observations.departures.size(), observations.exits.size(), run.applicationCalls.size(), served,
      static_cast<std::intmax_t>(counted), violations.size());
  if (const auto& sides = run.partitionIncrements; sides.sent > 0)
    std::printf("  across partitions: %jd increments, %jd acknowledged, %jd within the aim\n",
                static_cast<std::intmax_t>(sides.sent), static_cast<std::intmax_t>(sides.acknowledged),
                static_cast<std::intmax_t>(sides.inTime));
  std::printf("  ended by a signal before the program ran: %td; longest start %jd ms\n",
              std::count_if(observations.exits.begin(), observations.exits.end(), endedBeforeProgram),
              static_cast<std::intmax_t>(run.longestStart.count()));
  std::map<std::string, int> violationsByRule;
  for (const auto& violation : violations)
    ++violationsByRule[violation.rule];
  for (const auto& [rule, times] : violationsByRule)
    std::printf("  %s broken %d times\n", rule.c_str(), times);
  for (std::size_t i = 0; i < std::min(violations.size(), kMaxPrintedViolations); ++i)
    std::printf("  %s: %s\n", violations[i].rule.c_str(), violations[i].what.c_str());
  std::fflush(stdout);
  return violations.empty() ? 0 : 1;
}
/// Makes every process write its log to its file, and exits without removing the fleet's folder.
[[noreturn]] void keepLogs(const SoakRun& run) {
  for (std::size_t process = 0; process < run.fleet.processes().size(); ++process)
    (void)run.fleet.signal(process, SIGUSR1);
  runtime::EventLoop::get().sleepFor(kLogFlushTime);
  std::printf("  logs: %s\n", run.fleet.folder().c_str());
  std::fflush(stdout);
  std::_Exit(1);
}
/// Records when the run itself stands still, because its machine or its own work is busy.
void recordOwnStalls(SoakRun& run) {
  for (;;) {
    const auto due = Clock::now() + kStallCheckInterval;
    runtime::EventLoop::get().sleepFor(kStallCheckInterval);
    if (const auto now = Clock::now(); now - due > kMinStall)
      run.observations.ownStalls.push_back({due, now});
  }
}
int executeRun(SoakRun& run) {
  auto& loop = runtime::EventLoop::get();
  loop.spawn([&run] { recordOwnStalls(run); });
  if (!start(run))
    return fail("the fleet did not start");
  for (int i = 0; i < run.plan.runners; ++i)
    startRunner(run, "runner-" + std::to_string(i) + "-" + std::to_string(run.plan.seed));
  startReadinessPolling(run);
  if (!waitUntil(kReadyTimeout, [&run] { return allInService(run); }))
    return fail("the access machines did not become ready in time");
  startClients(run);
  startApplications(run);
  startCounterApplications(run);
  run.supervisor = std::make_shared<Supervisor>(run);
  run.supervisor->start();
  startDisturbances(run);
  startFaults(run);
  startLosses(run);
  startCrowds(run);
  loop.sleepFor(std::chrono::seconds(run.plan.seconds));
  run.disturbancesActive = false;
  if (run.faults)
    run.faults->endAll();
  // Most rules bind a machine only once it is connected again. The load goes on for a while after that.
  loop.sleepFor(run.observations.bounds.contact + kCalmTime);
  run.loadActive = false;
  if (!waitUntil(kEndTimeout, [&run] { return run.activeFibers == 0; }))
    return fail("clients or operations on the fleet did not end in time");
  readBackConfiguration(run);
  readBackApplications(run);
  readBackCounters(run);
  if (!waitUntil(kEndTimeout, [&run] { return run.activeFibers == 0; }))
    return fail("the final reads of the applications did not end in time");
  const int status = report(run);
  if (status != 0 && run.plan.keepLogsOnViolation)
    keepLogs(run);
  return status;
}
/// Parses an argument that consists of `name` and a number.
/// @return false if the argument does not begin with `name`; `number` is then unchanged.
template <class Number>
bool parse(const char* argument, const char* name, Number& number) {
  const auto length = std::strlen(name);
  if (std::strncmp(argument, name, length) != 0)
    return false;
  number = static_cast<Number>(std::strtoull(argument + length, nullptr, 10));
  return true;
}
std::optional<SoakPlan> parsePlan(int argc, char** argv) {
  if (argc < 2)
    return std::nullopt;
  SoakPlan plan;
  plan.program = argv[1];
  for (int i = 2; i < argc; ++i) {
    const char* argument = argv[i];
    if (std::strcmp(argument, "--kills") == 0)
      plan.kills = true;
    else if (std::strcmp(argument, "--disks") == 0)
      plan.disks = true;
    else if (std::strcmp(argument, "--cuts") == 0)
      plan.cuts = true;
    else if (std::strcmp(argument, "--freezes") == 0)
      plan.freezes = true;
    else if (std::strcmp(argument, "--losses") == 0)
      plan.losses = true;
    else if (std::strcmp(argument, "--starts") == 0)
      plan.starts = true;
    else if (std::strcmp(argument, "--crowds") == 0)
      plan.crowds = true;
    else if (std::strncmp(argument, kPlantOption, std::strlen(kPlantOption)) == 0)
      plan.plantedFault = argument + std::strlen(kPlantOption);
    else if (std::strcmp(argument, "--keep") == 0)
      plan.keepLogsOnViolation = true;
    else if (!parse(argument, "--seed=", plan.seed) && !parse(argument, "--seconds=", plan.seconds) &&
             !parse(argument, "--core=", plan.core) && !parse(argument, "--access=", plan.access) &&
             !parse(argument, "--runners=", plan.runners) && !parse(argument, "--clients=", plan.clients) &&
             !parse(argument, "--applications=", plan.applications))
      return std::nullopt;
  }
  if (plan.losses && (plan.cuts || plan.disks))
    return std::nullopt;  // a disk that is lost during a partition may take increments with it
  const bool usable = plan.seconds > 0 && plan.core > 0 && plan.access > 0 && plan.runners > 0 && plan.clients > 0;
  plan.library = std::filesystem::absolute(argv[0]).parent_path() / "libzinccleat_soak_faults.so";
  return usable ? std::optional(plan) : std::nullopt;
}
}  // namespace

SoakRun::SoakRun(const SoakPlan& soakPlan)
    : plan(soakPlan),
      random(soakPlan.seed),
      fleet(soakPlan.program, simulation::FleetOptions{.core = soakPlan.core,
                                                       .zones = kZones,
                                                       .timers = timersJson(Bounds{}),
                                                       .coreLimits = kCoreLimits,
                                                       .accessLimits = kAccessLimits,
                                                       .enforcesDescriptorLimits = true}),
      inService(static_cast<std::size_t>(soakPlan.access), 0) {}
void SoakRun::spawn(std::function<void()> body) {
  ++activeFibers;
  runtime::EventLoop::get().spawn([this, body = std::move(body)] {
    body();
    --activeFibers;
  });
}
}  // namespace zinccleat::soak

int main(int argc, char** argv) {
  using namespace zinccleat;
  const auto plan = soak::parsePlan(argc, argv);
  if (!plan) {
    std::fprintf(stderr,
                 "usage: zinccleat_soak PROGRAM [--seed=N] [--seconds=N] [--core=N] [--access=N] "
                 "[--runners=N] [--clients=N] [--applications=N] [--kills] [--disks] [--cuts] [--freezes] [--losses] "
                 "[--starts] [--crowds] "
                 "[--plant=slow-clock|lost-disks] [--keep]\n");
    return 2;
  }
  // Uses a folder in memory if the system has one, so that other users of the disk don't influence the timing of the
  // run.
  if (std::filesystem::is_directory(soak::kFolderInMemory))
    ::setenv("TMPDIR", soak::kFolderInMemory, 0);
  runtime::EventLoop loop;
  int status = 2;
  {
    soak::SoakRun run(*plan);
    loop.spawn([&] {
      status = soak::executeRun(run);
      runtime::EventLoop::get().stop();
    });
    loop.run();
  }
  std::_Exit(status);  // an ordinary exit would wait for fibers that are still blocked
}
