/// @file
/// One soak run: real processes on loopback, clients that keep using open connections, and work on the fleet that
/// comes in series and overlaps. All parts share a `SoakRun` and live on the event loop's thread.
#pragma once
#include <random>

#include "coordination_history.hpp"
#include "faults.hpp"
#include "fleet.hpp"
#include "observations.hpp"
#include "runtime/event_loop.hpp"
namespace zinccleat::soak {
/// What is played. The seed decides everything that is drawn, not the order in which the processes get the processor.
struct SoakPlan {
  std::string program;
  std::uint64_t seed = 1;
  int seconds = 12;  ///< from the start of the load to its end
  int core = 3;
  int access = 3;
  int runners = 6;
  int clients = 24;
  int applications = 8;    ///< that use locks, numbers, cells and watches; half as many add to counters
  bool kills = false;      ///< processes are killed too, beside planned work
  bool disks = false;      ///< disks are slow, stall, fill up or refuse single operations
  bool cuts = false;       ///< packets between machines are lost or late, connections are reset
  std::string planted;     ///< a fault of the service, planted to show that the checks find it; see `startFaults`
  std::string library;     ///< the path of the library that the programs preload for disks and cuts
  bool keepsLogs = false;  ///< where a rule is broken
};

/// What the parts of a run share. It outlives the fibers that refer to it: they end with the process.
struct SoakRun {
  explicit SoakRun(const SoakPlan& soakPlan);
  SoakPlan plan;
  std::mt19937_64 random;
  simulation::LocalFleet fleet;
  std::optional<FaultControl> faults;  ///< none: without disks and cuts
  Observations seen;
  std::vector<char> inService;   ///< whether the platform gives an access machine new connections
  bool loaded = true;            ///< clients send requests
  bool disturbed = true;         ///< work on the fleet goes on
  int busy = 0;                  ///< fibers of clients and of work that have not ended
  std::set<std::string> routes;  ///< optional ones in the newest configuration that was acknowledged
  std::int64_t version = 0;      ///< of that configuration
  std::vector<coordination_history::Call> applicationCalls;
  std::vector<std::string> unansweredAtTheEnd;                 ///< what applications asked for in vain
  std::map<std::string, std::int64_t> sentIncrements;          ///< by counter: the sum of what was sent at least once
  std::map<std::string, std::int64_t> acknowledgedIncrements;  ///< by counter: the sum of what was acknowledged
  std::function<void(std::size_t)> killForFault;               ///< a process, by its place; it is started again

  std::uint64_t draw(std::uint64_t below) { return random() % below; }
  Duration drawDuration(Duration least, Duration most) {
    return least + Duration(static_cast<std::int64_t>(draw(static_cast<std::uint64_t>((most - least).count()) + 1)));
  }
  /// Runs `body` on a fiber that counts as busy until it ends.
  void spawn(std::function<void()> body);
  std::string anyController() { return fleet.control(draw(fleet.core().size())); }
};

/// Parks the calling fiber until a connection is open. @return null: nobody listens there, or does not answer in time.
std::unique_ptr<runtime::Connection> openConnection(const std::string& address);

/// Zones of the runners, as of the machines.
inline const std::vector<std::string> kZones = {"a", "b", "c"};

/// Optional routes that the operators add and drop.
constexpr int kOptionalRoutes = 6;

/// Starts a runner that serves until it leaves in order: it says so, serves on and ends.
void startRunner(SoakRun& run, const std::string& id);
/// Has a runner leave; unknown ids are ignored.
void requestDeparture(SoakRun& run, const std::string& id);
/// Ids of runners in service.
std::vector<std::string> runnersInService(const SoakRun& run);
/// Asks each access machine every second whether it is ready, as the platform does.
void startPlatform(SoakRun& run);
void startClients(SoakRun& run);
void startApplications(SoakRun& run);
/// Asks for every lock, number, cell and watch for up to three seconds each, on fibers that count as busy.
void readBackApplications(SoakRun& run);
/// Adds to replicated counters until the load ends.
void startCounting(SoakRun& run);
/// Asks every controller for every counter for up to five seconds each, on fibers that count as busy.
void readBackCounters(SoakRun& run);
/// Sends the first configuration until it is taken. @return false if nobody took it.
bool installFirstConfiguration(SoakRun& run);
/// One change on top of the newest version that is known here.
void changeConfiguration(SoakRun& run);
/// Evacuates a zone of runners for a while, and takes it back.
void evacuateZone(SoakRun& run);
/// Reads the configuration back for up to three seconds, at any controller.
void readBack(SoakRun& run);
/// Starts ended processes again, and the series of work on the fleet.
void startDisturbances(SoakRun& run);
/// Starts the series of faults of disks and links that the plan has, and what is planted:
/// - `slow-clock`: a controller is cut off while its clock runs slowly, so that leases that it holds last too long;
/// - `lost-disks`: all controllers lose their disks at once, more than is to be borne.
void startFaults(SoakRun& run);
}  // namespace zinccleat::soak
