/// A fleet of real processes on loopback addresses. Its settings, data and logs are kept in a temporary folder, which
/// the fleet's destructor removes.
///
/// Each fleet reserves a network 127.N.0.0/16, so that concurrent fleets of trials and soak runs on one machine never
/// share an address. To reserve the network, the fleet binds a socket to 127.N.255.254, which the kernel permits to
/// only one socket at a time. The fleet's processes inherit the socket, so that the network stays reserved until the
/// last process has ended. The processes are killed when the process that owns the fleet ends, even if the owner is
/// killed (see child_process.hpp). The fleet's internal ports are derived from N as well.
#pragma once
#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <optional>

#include "runtime/common.hpp"
namespace zinccleat::simulation {
/// Limits of a process, which the fleet writes into its settings.
struct ProcessLimits {
  int memoryMb = 256;
  int fdLimit = 8192;
};
/// Settings that all machines of a fleet share.
struct FleetOptions {
  int core = 3;                         ///< number of controllers
  std::vector<std::string> zones{"z"};  ///< controllers and access machines are each assigned to the zones in turn
  std::string timers = "{}";            ///< JSON value of the settings field `timers`
  ProcessLimits coreLimits{};
  ProcessLimits accessLimits{};
  bool enforcesDescriptorLimits = false;  ///< whether processes are started with `fdLimit` as their limit
};
class LocalFleet {
 public:
  static constexpr unsigned short kControlPort = 8407;
  static constexpr unsigned short kAccessPort = 8405;
  struct Process {
    std::string name;      ///< also the name of the log file, without extension
    std::string role;      ///< the program's subcommand
    std::string settings;  ///< name of the settings file, without extension
    pid_t pid = 0;         ///< 0: not running
    ProcessLimits limits{};
  };
  /// Reserves a network and creates the folder, without starting any process. @param core the number of controllers.
  LocalFleet(std::string binary, int core) : LocalFleet(std::move(binary), FleetOptions{.core = core}) {}
  LocalFleet(std::string binary, FleetOptions options);
  /// Kills all processes and removes the folder.
  ~LocalFleet();
  LocalFleet(const LocalFleet&) = delete;
  LocalFleet& operator=(const LocalFleet&) = delete;
  /// Starts the controllers. @return false if a process could not be started; `errno` holds the error.
  bool startCore();
  /// Starts an agent and a proxy on one more access machine.
  /// @return false if a process could not be started; `errno` holds the error.
  bool startAccessMachine();
  /// Sends a signal to a process without waiting for its effect. @return false if the process is not running.
  bool signal(std::size_t process, int number) const;
  /// Reaps a process that has ended by itself.
  /// @return the status as of `waitpid`; `std::nullopt` if the process is still running or was already reaped.
  std::optional<int> pollExitStatus(std::size_t process);
  /// Sets the modification time of a process's settings file to now without changing the content.
  void touchSettings(std::size_t process) const;
  /// Kills a process with SIGKILL and waits until it has ended. @return false if the process was not running.
  bool kill(std::size_t process);
  /// Starts a process again that is not running.
  /// @param blocksSignals whether the lifecycle signals are blocked until the program unblocks them.
  /// @return false if the process is running or cannot be started.
  bool restartProcess(std::size_t process, bool blocksSignals = false);
  /// Path of the settings file of a process.
  std::string settingsPath(std::size_t process) const { return folder_ + "/" + processes_[process].settings + ".json"; }
  /// Path of the data folder of a controller.
  std::string dataFolder(std::size_t controller) const { return folder_ + "/" + processes_[controller].name; }
  /// The addresses ("IP:port") on which a process listens.
  std::vector<std::string> listeningAddresses(std::size_t process) const;
  /// Empties the disk of a controller that is not running. As on a real machine that comes back so, `initialAttach` is
  /// false from then on.
  void loseDisk(std::size_t controller) const;
  /// Address and port of a controller's control API. @param controller index in `core`, taken modulo its size.
  std::string control(std::size_t controller) const;
  /// Address and port where the proxy of an access machine serves clients.
  std::string access(int machine = 0) const { return accessIp(machine) + ":" + std::to_string(kAccessPort); }
  /// Address and port of an access machine's readiness endpoint.
  std::string readiness(int machine = 0) const;
  /// Number of access machines for which `startAccessMachine` was called.
  int accessMachines() const { return accessMachines_; }
  /// The first of the fleet's internal ports.
  unsigned short internalPort() const;
  /// The address 127.N.third.fourth in the fleet's network.
  std::string ip(int third, int fourth) const;
  /// The controllers' addresses.
  const std::vector<std::string>& core() const { return core_; }
  /// The processes that were started: the controllers in the order of `core`, then an agent and a proxy for each access
  /// machine.
  const std::vector<Process>& processes() const { return processes_; }
  const std::string& binary() const { return binary_; }
  const std::string& folder() const { return folder_; }

 private:
  struct Machine {
    std::string name, ip, role, zone;
    std::string bindAddresses;  // fields of the JSON object `bindAddresses`, without braces
    bool hasDisk = false;       // true for controllers, which store data in the folder
    ProcessLimits limits{};
  };
  void reserveNetwork();
  std::string accessIp(int machine) const { return ip(3, machine + 1); }
  const std::string& zoneOf(std::size_t machine) const { return options_.zones[machine % options_.zones.size()]; }
  std::string zonesJson() const;
  void writeSettings(const Machine& machine) const;
  std::string seedNodes() const;
  bool spawn(Process& process, bool blocksSignals = false);
  std::string binary_, folder_;
  FleetOptions options_;
  int accessMachines_ = 0;
  int network_ = 0;  // N of 127.N.0.0/16
  boost::asio::io_context reservationIo_;
  boost::asio::ip::tcp::acceptor reservation_{reservationIo_};  // bound to 127.N.255.254 to reserve the network
  std::vector<std::string> core_;
  std::vector<Process> processes_;
};
}  // namespace zinccleat::simulation
