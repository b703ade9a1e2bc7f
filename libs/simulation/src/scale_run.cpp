#include <sys/resource.h>

#include "configuration_cost.hpp"
#include "configuration_load.hpp"
#include "fault_injection.hpp"
#include "fleet.hpp"
#include "hollow_node.hpp"
#include "request_load.hpp"
#include "resource_meter.hpp"
#include "runner_load.hpp"
#include "scale_run_report.hpp"
#include "simulation/plan.hpp"

namespace zinccleat::simulation {
namespace {
constexpr auto kPoll = 50ms;
constexpr auto kFirstConfigurationTimeout = 15s;
constexpr auto kLeasesTimeout = 30s;
constexpr auto kStabilizationTime = 2000ms;  // until all runners have joined and the nodes' views are shuffled
constexpr auto kConvergenceTimeout = 5s;
constexpr std::size_t kAddressesPerSubnet = 250;

std::string hollowNodeId(std::size_t number) {
  return "127.4." + std::to_string(number / kAddressesPerSubnet) + "." +
         std::to_string(number % kAddressesPerSubnet + 1) + "#agent";
}
template <class Condition>
bool waitUntil(Duration within, const Condition& condition) {
  for (const auto end = Clock::now() + within; Clock::now() < end; runtime::EventLoop::get().sleepFor(kPoll))
    if (condition())
      return true;
  return condition();
}

/// One scale run, phase by phase. Its parts are used by fibers that never run again once the loop has stopped.
class ScaleRun {
 public:
  ScaleRun(const ScaleRunPlan& plan, std::string binary)
      : plan_(plan), fleet_(std::move(binary), plan.core), random_(static_cast<std::uint64_t>(plan.seed)) {}
  Result<ScaleRunReport> run();

 private:
  Result<void> startFleet();
  Result<void> startNodes();
  void startMeasurement();
  void startLoad(Duration within);
  void stopLoad();
  bool nodesAreCurrent() const;
  bool copiesAreEqual() const;
  ScaleRunReport measure(double seconds) const;
  void addNodeStatistics(ScaleRunReport& report) const;

  const ScaleRunPlan plan_;
  LocalFleet fleet_;
  std::mt19937_64 random_;
  HollowNodes nodes_;
  ResourceMeter meter_;
  RunnerLoad runners_{fleet_, random_};
  RequestLoad requests_{plan_, nodes_, random_};
  ConfigurationLoad configuration_{plan_, fleet_, nodes_, random_};
  FaultInjection faults_{{fleet_, nodes_, runners_, meter_, random_}};
};

Result<ScaleRunReport> ScaleRun::run() {
  if (auto started = startFleet(); !started)
    return tl::unexpected(started.error());
  runners_.start(plan_.runners);
  if (auto started = startNodes(); !started)
    return tl::unexpected(started.error());
  runtime::EventLoop::get().sleepFor(kStabilizationTime);

  startMeasurement();
  const auto begin = Clock::now();
  const auto length = std::chrono::seconds(plan_.seconds);
  startLoad(length);
  while (Clock::now() < begin + length)
    runtime::EventLoop::get().sleepFor(kPoll);

  auto report = measure(std::chrono::duration<double>(Clock::now() - begin).count());
  stopLoad();
  report.copiesEqual = waitUntil(kConvergenceTimeout, [this] { return nodesAreCurrent(); }) && copiesAreEqual();
  report.inForceMs = configuration_.inForceMs();
  report.takeOverMs = faults_.takeOverMs();
  report.changes = configuration_.changes();
  report.heartbeats = runners_.heartbeats();
  report.departures = runners_.departures();
  addNodeStatistics(report);
  report.configuration = measureConfigurationCost(plan_, configuration_.keyNumbers());
  return report;
}
Result<void> ScaleRun::startFleet() {
  if (!fleet_.startCore())
    return makeError(ErrorCode::ioError, "cannot start " + fleet_.binary());
  if (!configuration_.installFirst(kFirstConfigurationTimeout))
    return makeError(ErrorCode::unavailable, "the core took no configuration in 15 s");
  if (plan_.pair && !fleet_.startPair())
    return makeError(ErrorCode::ioError, "cannot start " + fleet_.binary());
  return {};
}
Result<void> ScaleRun::startNodes() {
  for (std::size_t number = 0; number < static_cast<std::size_t>(plan_.nodes); ++number) {
    nodes_.push_back(
        std::make_unique<HollowNode>(hollowNodeId(number), fleet_.core(), fleet_.internalPort(), random_()));
    nodes_.back()->start();
  }
  if (!waitUntil(kLeasesTimeout, [this] { return nodesAreCurrent(); }))
    return makeError(ErrorCode::unavailable, "not all nodes have a lease after 30 s");
  return {};
}
void ScaleRun::startMeasurement() {
  meter_.begin(fleet_);
  for (auto& node : nodes_)
    node->resetStatistics();
}
void ScaleRun::startLoad(Duration within) {
  requests_.start();
  configuration_.start();
  faults_.start(plan_, within);
}
void ScaleRun::stopLoad() {
  runners_.stop();
  requests_.stop();
  configuration_.stop();
  faults_.stop();
}
bool ScaleRun::nodesAreCurrent() const {
  return std::all_of(nodes_.begin(), nodes_.end(), [this](const auto& node) {
    return node->leased() && node->version() == configuration_.version();
  });
}
bool ScaleRun::copiesAreEqual() const {
  return std::all_of(nodes_.begin(), nodes_.end(),
                     [this](const auto& node) { return node->digest() == nodes_[0]->digest(); });
}
ScaleRunReport ScaleRun::measure(double seconds) const {
  ScaleRunReport report;
  report.plan = plan_;
  report.seconds = seconds;
  report.processes = meter_.processes(fleet_, seconds);
  report.traffic = meter_.traffic(plan_.nodes, seconds);
  return report;
}
void ScaleRun::addNodeStatistics(ScaleRunReport& report) const {
  for (const auto& node : nodes_) {
    const auto& statistics = node->statistics();
    report.granted += statistics.granted;
    report.refused += statistics.refused;
    report.tokenRequestMs.insert(report.tokenRequestMs.end(), statistics.tokenRequestMs.begin(),
                                 statistics.tokenRequestMs.end());
  }
}

// Each hollow node holds connections to several controllers.
void raiseDescriptorLimit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}
int runAndPrint(ScaleRun& scaleRun, bool json) {
  const auto report = scaleRun.run();
  if (!report) {
    std::fprintf(stderr, "zinccleat scale-run: %s\n", report.error().message.c_str());
    return 1;
  }
  if (json)
    printJson(*report, stdout);
  else
    printTable(*report, stdout);
  return report->passed() ? 0 : 1;
}
}  // namespace

int runAtScale(const ScaleRunPlan& plan, const std::string& binary, bool json) {
  raiseDescriptorLimit();
  // The loop outlives everything on it: sockets end on the loop that they were made on.
  static runtime::EventLoop loop;
  ScaleRun scaleRun(plan, binary);
  int exitCode = 1;
  loop.spawn([&] {
    exitCode = runAndPrint(scaleRun, json);
    loop.stop();
  });
  loop.run();
  return exitCode;
}
}  // namespace zinccleat::simulation
