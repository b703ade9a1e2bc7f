// Real processes of the system on loopback addresses, with a folder of their own that goes when they do.
//
// Each fleet reserves a network 127.N.0.0/16 for itself, so that several on one machine, of trials and of scale runs,
// never share an address: it binds a socket to 127.N.255.254, which the kernel grants to one at a time, and its
// processes inherit that socket, so that the network is not free before the last of them has ended. They end with the
// process that holds the fleet, also when that is killed (see child_process.hpp). The network's number gives the fleet
// its internal ports too, since an agent and its proxy meet on 127.0.0.1 whatever their own addresses are.
#pragma once
#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "runtime/common.hpp"
namespace zinccleat::simulation {
class LocalFleet {
 public:
  static constexpr unsigned short kControl = 8407, kAccess = 8405;
  struct Process {
    std::string name, role, settings;
    pid_t pid = 0;
  };
  LocalFleet(std::string binary, int core);
  ~LocalFleet();
  LocalFleet(const LocalFleet&) = delete;
  bool startCore();
  // Starts an agent and a proxy beside the core.
  bool startPair();
  // Ends a process at once (SIGKILL) and waits until it is gone. False: it was not running.
  bool kill(std::size_t i);
  bool startAgain(std::size_t i);
  // Address and port of the control interface of core machine i, counted round.
  std::string control(std::size_t i) const;
  // Address and port where the proxy serves clients.
  std::string access() const { return ip(3, 1) + ":" + std::to_string(kAccess); }
  // The first of the fleet's internal ports. They are its own, as agent and proxy meet on 127.0.0.1.
  unsigned short internalPort() const;
  // An address of the fleet's own network.
  std::string ip(int third, int fourth) const;
  const std::vector<std::string>& core() const { return core_; }
  const std::vector<Process>& processes() const { return processes_; }
  const std::string& binary() const { return binary_; }
  const std::string& folder() const { return dir_; }

 private:
  void reserveNetwork();
  void settings(const std::string& name, const std::string& ip, const std::string& role, const std::string& addresses,
                bool disk);
  bool spawn(Process& p);
  std::string binary_, dir_;
  int network_ = 0;  // N of 127.N.0.0/16
  boost::asio::io_context reservationIo_;
  boost::asio::ip::tcp::acceptor reservation_{reservationIo_};  // held as long as the network is ours
  std::vector<std::string> core_;
  std::vector<Process> processes_;
};
}  // namespace zinccleat::simulation
