/// @file
/// One soak run: real processes on loopback, clients that reuse open connections, and overlapping series of operations
/// on the fleet (restarts, configuration changes, evacuations, faults). All parts of the run share a `SoakRun` and run
/// on the event loop's thread.
#pragma once
#include <memory>
#include <random>

#include "coordination_history.hpp"
#include "faults.hpp"
#include "fleet.hpp"
#include "observations.hpp"
#include "runtime/event_loop.hpp"
namespace zinccleat::soak {
/// Parameters of a run. The seed determines all random choices of the run, but not how the operating system schedules
/// the processes, so that two runs with one seed can differ.
struct SoakPlan {
  std::string program;
  std::uint64_t seed = 1;
  int seconds =
      12;  ///< from the start of the load to the end of the disturbances; the load then runs on for `Bounds::contact`
  int core = 3;
  int access = 3;
  int runners = 6;
  int clients = 24;
  int applications = 8;  ///< applications that use locks, numbers, cells and watches; half as many more use counters
  bool kills = false;    ///< whether processes are also killed with SIGKILL
  bool disks = false;    ///< whether disks are slow, stall, are full or fail single operations
  bool cuts = false;     ///< whether packets are lost or delayed and connections are reset
  bool freezes = false;  ///< whether processes stand still for a time (SIGSTOP, SIGCONT)
  bool starts = false;   ///< whether starts meet obstacles and signals; see `StartObstacles`
  bool crowds = false;   ///< whether crowds of clients that do not behave come and go; see `startCrowds`
  bool losses = false;   ///< whether the disk of the only controller that answers is lost; see `startLosses`
  std::string plantedFault;          ///< a fault beyond what the fleet tolerates, injected to show that the checks find
                                     ///< violations; see `startFaults`
  std::string library;               ///< path of the library that the processes preload to inject faults
  bool keepLogsOnViolation = false;  ///< whether the folder with the logs is kept after a violation
};

/// The increments that were sent to machines on both sides of a partition after its onset.
struct PartitionIncrements {
  std::int64_t sent = 0;
  std::int64_t acknowledged = 0;  ///< within `kIncrementTimeout`
  std::int64_t inTime = 0;        ///< within `kIncrementTargetLatency`
};
class Supervisor;

/// State shared by the parts of a run. Must outlive the fibers that refer to it, which run until the process exits.
struct SoakRun {
  explicit SoakRun(const SoakPlan& soakPlan);
  SoakPlan plan;
  std::mt19937_64 random;
  simulation::LocalFleet fleet;
  std::optional<FaultControl> faults;  ///< empty if the plan has no faults of disks, links or clocks
  Observations observations;
  std::vector<char> inService;     ///< by access machine: whether the platform sends it new connections
  bool loadActive = true;          ///< whether clients send requests
  bool disturbancesActive = true;  ///< whether operations on the fleet and faults continue
  int activeFibers = 0;            ///< number of fibers started by `spawn` that have not ended
  std::set<std::string> routes;    ///< optional routes of the newest acknowledged configuration
  std::set<std::string> keys;      ///< access keys of the newest acknowledged configuration
  bool takesKeysAway = true;       ///< whether the next change of the keys takes one away or adds one
  std::int64_t version = 0;        ///< version of the newest acknowledged configuration
  std::vector<coordination_history::Call> applicationCalls;
  std::vector<std::string> failedFinalReads;                   ///< names that no controller answered for at the end
  std::map<std::string, std::int64_t> sentIncrements;          ///< by counter: sum of all increments that were sent
  std::map<std::string, std::int64_t> acknowledgedIncrements;  ///< by counter: sum of the acknowledged increments
  PartitionIncrements partitionIncrements;
  std::shared_ptr<Supervisor> supervisor;  ///< set once the processes run
  Duration longestStart{0};                ///< from the decision to start a process until its program is executed
  bool diskIsBeingLost = false;            ///< whether the controllers are reserved for the series of `startLosses`

  std::uint64_t draw(std::uint64_t below) { return random() % below; }
  Duration drawDuration(Duration least, Duration most) {
    return least + Duration(static_cast<std::int64_t>(draw(static_cast<std::uint64_t>((most - least).count()) + 1)));
  }
  /// Runs `body` on a new fiber, which counts in `activeFibers` until `body` returns.
  void spawn(std::function<void()> body);
  std::string randomControllerAddress() { return fleet.control(draw(fleet.core().size())); }
};

/// Opens a connection and blocks the calling fiber meanwhile. @return null if the connection was refused or timed out.
std::unique_ptr<runtime::Connection> openConnection(const std::string& address);

/// Zones of the machines and of the runners.
inline const std::vector<std::string> kZones = {"a", "b", "c"};

/// Number of optional routes that the operators add and remove.
constexpr int kOptionalRouteCount = 6;
/// The access keys that the operators add and take away, to the last one.
inline const std::vector<std::string> kAccessKeys = {"key-1", "key-2", "key-3"};
/// A key that no configuration has.
inline const std::string kUnknownKey = "key-of-nobody";

/// Starts a runner. After `requestDeparture`, the runner announces that it leaves, keeps serving for a while and stops.
void startRunner(SoakRun& run, const std::string& id);
/// Makes a runner leave the fleet; unknown ids are ignored.
void requestDeparture(SoakRun& run, const std::string& id);
/// Returns the ids of the runners that are not leaving.
std::vector<std::string> runnersInService(const SoakRun& run);
/// Polls the readiness of each access machine every second, as the platform's load balancer does.
void startReadinessPolling(SoakRun& run);
void startClients(SoakRun& run);
void startApplications(SoakRun& run);
/// Requests every lock, number, cell and watch until a controller answers, for up to three seconds each, on fibers that
/// count in `SoakRun::activeFibers`.
void readBackApplications(SoakRun& run);
/// Starts applications that increment replicated counters until the load ends.
void startCounterApplications(SoakRun& run);
/// After this time without an answer, a caller of a counter gives up.
constexpr Duration kIncrementTimeout{1000};
/// The callers' aim for the answer to an increment.
constexpr Duration kIncrementTargetLatency{80};
/// Sends one increment to one controller, once. @return whether it was acknowledged.
bool sendIncrementOnce(SoakRun& run, const std::string& address, const std::string& instanceId);
/// Reads every counter from every controller for up to five seconds each, on fibers that count in
/// `SoakRun::activeFibers`.
void readBackCounters(SoakRun& run);
/// Sends the first configuration until it is acknowledged. @return false if no controller acknowledged it.
bool installFirstConfiguration(SoakRun& run);
/// Sends one change that is based on the newest acknowledged configuration.
void changeConfiguration(SoakRun& run);
/// Takes an access key away, or adds one: all are taken away one after the other, and then added again.
void changeAccessKeys(SoakRun& run);
/// Evacuates and releases a zone of runners in quick turns, then evacuates the zone and releases it after a random
/// time. A zone that is evacuated when the disturbances end remains so until the load ends.
void evacuateInTurns(SoakRun& run, const std::string& zone);
/// Reads the configuration version from any controller, with retries for up to three seconds.
void readBackConfiguration(SoakRun& run);
/// Starts the series of operations on the fleet.
void startDisturbances(SoakRun& run);
/// Starts the series of disk and network faults that the plan enables, and the fault of `SoakPlan::plantedFault`:
/// - `slow-clock`: a controller is partitioned while its clock runs slowly, so that its leases last too long;
/// - `lost-disks`: all controllers lose their disks at once, which is more than the fleet tolerates.
void startFaults(SoakRun& run);
/// Starts the series of crowds (tests/crowds) at any port of any machine, if the plan enables it.
void startCrowds(SoakRun& run);
/// Starts the series that loses the disk of the only controller that answers, if the plan enables it.
void startLosses(SoakRun& run);
}  // namespace zinccleat::soak
