#include "fleet.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "child_process.hpp"

namespace zinccleat::simulation {
namespace {
constexpr int kFirstNetwork = 16;
constexpr int kNetworks = 224;
// Internal ports: so many for each network, all below those that the kernel gives out itself (from 32768 by default).
constexpr int kFirstInternalPort = 20'000;
constexpr int kInternalPorts = 16;
static_assert(kFirstInternalPort + kNetworks * kInternalPorts < 32'768);
}  // namespace

LocalFleet::LocalFleet(std::string binary, int core) : binary_(std::move(binary)) {
  std::string t = std::filesystem::temp_directory_path() / "zinccleat-fleet-XXXXXX";
  dir_ = ::mkdtemp(t.data());
  reserveNetwork();
  for (int i = 0; i < core; ++i)
    core_.push_back(ip(2, i + 1));
}
void LocalFleet::reserveNetwork() {
  using boost::asio::ip::tcp;
  for (int tried = 0; tried < kNetworks; ++tried) {
    network_ = kFirstNetwork + (::getpid() + tried) % kNetworks;
    boost::system::error_code ec;
    reservation_.open(tcp::v4(), ec);
    // Without address reuse: the kernel gives the address to one socket at a time. The children inherit the socket
    // (see spawn), so the network is free again when the last process of the fleet has ended, not when the first has.
    reservation_.bind({boost::asio::ip::make_address_v4(ip(255, 254)), kControl}, ec);
    if (!ec)
      return;
    reservation_.close(ec);
  }
  checkInvariant(false, "no free loopback network");
}
std::string LocalFleet::ip(int third, int fourth) const {
  return "127." + std::to_string(network_) + "." + std::to_string(third) + "." + std::to_string(fourth);
}
unsigned short LocalFleet::internalPort() const {
  return static_cast<unsigned short>(kFirstInternalPort + (network_ - kFirstNetwork) * kInternalPorts);
}
LocalFleet::~LocalFleet() {
  for (std::size_t i = 0; i < processes_.size(); ++i)
    kill(i);
  std::error_code ec;
  std::filesystem::remove_all(dir_, ec);
}
std::string LocalFleet::control(std::size_t i) const {
  return core_[i % core_.size()] + ":" + std::to_string(kControl);
}
void LocalFleet::settings(const std::string& name, const std::string& ip, const std::string& role,
                          const std::string& addresses, bool disk) {
  std::string seeds;
  for (std::size_t i = 0; i < std::min<std::size_t>(3, core_.size()); ++i)
    seeds += (i ? ",\"" : "\"") + control(i) + "\"";
  if (disk)
    std::filesystem::create_directories(dir_ + "/" + name);
  std::ofstream(dir_ + "/" + name + ".json")
      << "{\"nodeName\":\"" << name << "\",\"role\":\"" << role << "\",\"ip\":\"" << ip
      << "\",\"zone\":\"z\",\"region\":\"r\",\"zones\":{\"z\":\"r\"},"
      << "\"bindAddresses\":{" << addresses << "},\"internalPorts\":[" << internalPort() << ","
      << internalPort() + kInternalPorts - 1 << "],\"seedNodes\":[" << seeds
      << "],\"initialAttach\":true,\"quorumMember\":" << (disk ? "true" : "false")
      << ",\"dataDir\":" << (disk ? "\"" + dir_ + "/" + name + "\"" : "null")
      << ",\"heartbeatMs\":1200,\"limits\":{\"memoryMb\":256,\"fdLimit\":8192},"
      << "\"faultTolerance\":{\"machines\":" << (core_.size() - 1) / 2 << "},\"timers\":{}}";
}
bool LocalFleet::spawn(Process& p) {
  const auto path = "--settings=" + dir_ + "/" + p.settings + ".json";
  const auto log = dir_ + "/" + p.name + ".log";
  const pid_t pid = startChild({binary_, p.role, path}, log, reservation_.native_handle());
  if (pid < 0)
    return false;
  p.pid = pid;
  return true;
}
bool LocalFleet::startCore() {
  for (std::size_t i = 0; i < core_.size(); ++i) {
    Process p{"core-" + std::to_string(i + 1), "controller", "core-" + std::to_string(i + 1)};
    settings(p.name, core_[i], p.role, "\"controlPort\":\"" + control(i) + "\"", true);
    if (!spawn(p))
      return false;
    processes_.push_back(std::move(p));
  }
  return true;
}
bool LocalFleet::startPair() {
  settings("access-1", ip(3, 1), "proxy",
           "\"accessPort\":\"" + access() + "\",\"readinessPort\":\"" + ip(3, 1) + ":8406\"", false);
  for (const char* role : {"agent", "proxy"}) {
    Process p{role, role, "access-1"};
    if (!spawn(p))
      return false;
    processes_.push_back(std::move(p));
  }
  return true;
}
bool LocalFleet::kill(std::size_t i) {
  auto& p = processes_[i];
  if (p.pid <= 0)
    return false;
  ::kill(p.pid, SIGKILL);
  ::waitpid(p.pid, nullptr, 0);
  p.pid = 0;
  return true;
}
bool LocalFleet::startAgain(std::size_t i) {
  return processes_[i].pid == 0 && spawn(processes_[i]);
}
}  // namespace zinccleat::simulation
