/// A fleet of real processes on loopback addresses, with a folder of its own that is removed with it.
///
/// Each fleet reserves a network 127.N.0.0/16 for itself, so that several on one machine, of trials and of soak runs,
/// never share an address: it binds a socket to 127.N.255.254, which the kernel grants to one at a time, and its
/// processes inherit that socket, so that the network is not free before the last of them has ended. They end with the
/// process that owns the fleet, also when that is killed (see child_process.hpp). The network's number gives the fleet
/// its internal ports too.
#pragma once
#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <optional>

#include "runtime/common.hpp"
namespace zinccleat::simulation {
/// What all machines of a fleet are told alike.
struct FleetOptions {
  int core = 3;                         ///< controllers
  std::vector<std::string> zones{"z"};  ///< machines of each class stand in them in turn
  std::string timers = "{}";            ///< the settings' member of that name, JSON
};
class LocalFleet {
 public:
  static constexpr unsigned short kControlPort = 8407;
  static constexpr unsigned short kAccessPort = 8405;
  struct Process {
    std::string name;      ///< of its log file too
    std::string role;      ///< the program's subcommand
    std::string settings;  ///< name of its settings file
    pid_t pid = 0;         ///< 0: not running
  };
  /// Reserves addresses and makes the folder; starts nothing. @param core the number of controllers.
  LocalFleet(std::string binary, int core) : LocalFleet(std::move(binary), FleetOptions{.core = core}) {}
  LocalFleet(std::string binary, FleetOptions options);
  /// Kills all processes and removes the folder.
  ~LocalFleet();
  LocalFleet(const LocalFleet&) = delete;
  LocalFleet& operator=(const LocalFleet&) = delete;
  /// Starts the controllers. @return false if one could not be started; `errno` says why.
  bool startCore();
  /// Starts an agent and a proxy beside the controllers, on one more access machine, with the same result.
  bool startAccessMachine();
  /// Sends a signal to a process, which is not waited for. @return false if it is not running.
  bool signal(std::size_t process, int number) const;
  /// The status (see `waitpid`) of a process that has ended by now; none: it runs, or its end was seen before.
  std::optional<int> pollExitStatus(std::size_t process);
  /// Writes a machine's settings file again, as an operator who changes nothing in it.
  void touchSettings(std::size_t process) const;
  /// Ends a process at once (SIGKILL) and waits for its end. @return false if it was not running.
  bool kill(std::size_t process);
  /// Starts a process again that was killed.
  bool restartProcess(std::size_t process);
  /// Address and port of a controller's control interface; indexes past the last begin again at the first.
  std::string control(std::size_t controller) const;
  /// Address and port where the proxy of an access machine serves clients.
  std::string access(int machine = 0) const { return accessIp(machine) + ":" + std::to_string(kAccessPort); }
  /// Address and port where an access machine says whether it is ready.
  std::string readiness(int machine = 0) const;
  /// Access machines that were started.
  int accessMachines() const { return accessMachines_; }
  /// The first of the fleet's internal ports.
  unsigned short internalPort() const;
  /// An address of the fleet's own network.
  std::string ip(int third, int fourth) const;
  /// The controllers' addresses.
  const std::vector<std::string>& core() const { return core_; }
  /// The controllers in the order of `core`, then agent and proxy, as far as they were started.
  const std::vector<Process>& processes() const { return processes_; }
  const std::string& binary() const { return binary_; }
  const std::string& folder() const { return folder_; }

 private:
  struct Machine {
    std::string name, ip, role, zone;
    std::string bindAddresses;  // members of the JSON object
    bool hasDisk = false;       // controllers have one
  };
  void reserveNetwork();
  std::string accessIp(int machine) const { return ip(3, machine + 1); }
  const std::string& zoneOf(std::size_t machine) const { return options_.zones[machine % options_.zones.size()]; }
  std::string zonesJson() const;
  void writeSettings(const Machine& machine) const;
  std::string seedNodes() const;
  bool spawn(Process& process);
  std::string binary_, folder_;
  FleetOptions options_;
  int accessMachines_ = 0;
  int network_ = 0;  // N of 127.N.0.0/16
  boost::asio::io_context reservationIo_;
  boost::asio::ip::tcp::acceptor reservation_{reservationIo_};  // open as long as the network is reserved
  std::vector<std::string> core_;
  std::vector<Process> processes_;
};
}  // namespace zinccleat::simulation
