#include "fleet.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "child_process.hpp"

namespace zinccleat::simulation {
namespace {
constexpr int kFirstNetwork = 16;
constexpr int kNetworks = 224;
// Each network has `kInternalPorts` ports of its own. All are below the kernel's ephemeral port range, which begins at
// 32768 by default.
constexpr int kFirstInternalPort = 20'000;
constexpr int kInternalPorts = 16;
static_assert(kFirstInternalPort + kNetworks * kInternalPorts < 32'768);
constexpr unsigned short kReadinessPort = 8406;
constexpr std::size_t kMaxSeeds = 3;
// Offsets from the first internal port, as in the programs.
constexpr int kAgentPortOffset = 1;
constexpr int kCoordinationPortOffset = 2;
constexpr int kCounterPortOffset = 3;
}  // namespace

LocalFleet::LocalFleet(std::string binary, FleetOptions options)
    : binary_(std::move(binary)), options_(std::move(options)) {
  std::string pattern = std::filesystem::temp_directory_path() / "zinccleat-fleet-XXXXXX";
  folder_ = ::mkdtemp(pattern.data());
  reserveNetwork();
  for (int i = 0; i < options_.core; ++i)
    core_.push_back(ip(2, i + 1));
}
void LocalFleet::reserveNetwork() {
  using boost::asio::ip::tcp;
  for (int attempt = 0; attempt < kNetworks; ++attempt) {
    network_ = kFirstNetwork + (::getpid() + attempt) % kNetworks;
    boost::system::error_code ec;
    reservation_.open(tcp::v4(), ec);
    // SO_REUSEADDR is not set, so that the kernel lets only one socket at a time bind the address. The child processes
    // inherit the socket (see spawn), so that the network stays reserved until the fleet's last process has ended.
    reservation_.bind({boost::asio::ip::make_address_v4(ip(255, 254)), kControlPort}, ec);
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
  std::filesystem::remove_all(folder_, ec);
}
std::string LocalFleet::control(std::size_t controller) const {
  return core_[controller % core_.size()] + ":" + std::to_string(kControlPort);
}
std::string LocalFleet::seedNodes() const {
  std::string seeds;
  for (std::size_t i = 0; i < std::min(kMaxSeeds, core_.size()); ++i)
    seeds += (i ? ",\"" : "\"") + control(i) + "\"";
  return seeds;
}
std::string LocalFleet::zonesJson() const {
  std::string json = "{";
  for (const auto& zone : options_.zones)
    json += (json.size() > 1 ? ",\"" : "\"") + zone + "\":\"r\"";
  return json + "}";
}
void LocalFleet::writeSettings(const Machine& machine) const {
  const auto path = folder_ + "/" + machine.name;
  if (machine.hasDisk)
    std::filesystem::create_directories(path);
  std::ofstream(path + ".json") << "{\"nodeName\":\"" << machine.name << "\",\"role\":\"" << machine.role
                                << "\",\"ip\":\"" << machine.ip << "\",\"zone\":\"" << machine.zone
                                << "\",\"region\":\"r\",\"zones\":" << zonesJson() << ","
                                << "\"bindAddresses\":{" << machine.bindAddresses << "},\"internalPorts\":["
                                << internalPort() << "," << internalPort() + kInternalPorts - 1 << "],\"seedNodes\":["
                                << seedNodes()
                                << "],\"initialAttach\":true,\"quorumMember\":" << (machine.hasDisk ? "true" : "false")
                                << ",\"dataDir\":" << (machine.hasDisk ? "\"" + path + "\"" : "null")
                                << ",\"heartbeatMs\":1200,\"limits\":{\"memoryMb\":" << machine.limits.memoryMb
                                << ",\"fdLimit\":" << machine.limits.fdLimit << "},"
                                << "\"faultTolerance\":{\"machines\":" << (core_.size() - 1) / 2
                                << "},\"timers\":" << options_.timers << "}";
}
bool LocalFleet::spawn(Process& process, bool blocksSignals) {
  const auto settings = "--settings=" + folder_ + "/" + process.settings + ".json";
  const auto log = folder_ + "/" + process.name + ".log";
  const ChildOptions options{options_.enforcesDescriptorLimits ? process.limits.fdLimit : 0, blocksSignals};
  const pid_t pid = startChild({binary_, process.role, settings}, log, reservation_.native_handle(), options);
  if (pid < 0)
    return false;
  process.pid = pid;
  return true;
}
bool LocalFleet::startCore() {
  for (std::size_t i = 0; i < core_.size(); ++i) {
    const auto name = "core-" + std::to_string(i + 1);
    writeSettings(
        {name, core_[i], "controller", zoneOf(i), "\"controlPort\":\"" + control(i) + "\"", true, options_.coreLimits});
    Process process{name, "controller", name, 0, options_.coreLimits};
    if (!spawn(process))
      return false;
    processes_.push_back(std::move(process));
  }
  return true;
}
std::string LocalFleet::readiness(int machine) const {
  return accessIp(machine) + ":" + std::to_string(kReadinessPort);
}
bool LocalFleet::startAccessMachine() {
  const int machine = accessMachines_++;
  const auto number = std::to_string(machine + 1);
  const auto name = "access-" + number;
  const auto addresses = "\"accessPort\":\"" + access(machine) + "\",\"readinessPort\":\"" + readiness(machine) + "\"";
  writeSettings({name, accessIp(machine), "proxy", zoneOf(static_cast<std::size_t>(machine)), addresses, false,
                 options_.accessLimits});
  for (const std::string role : {"agent", "proxy"}) {
    Process process{machine == 0 ? role : role + "-" + number, role, name, 0, options_.accessLimits};
    if (!spawn(process))
      return false;
    processes_.push_back(std::move(process));
  }
  return true;
}
bool LocalFleet::signal(std::size_t process, int number) const {
  const auto pid = processes_[process].pid;
  return pid > 0 && ::kill(pid, number) == 0;
}
std::optional<int> LocalFleet::pollExitStatus(std::size_t process) {
  auto& pid = processes_[process].pid;
  int status = 0;
  if (pid <= 0 || ::waitpid(pid, &status, WNOHANG) != pid)
    return std::nullopt;
  pid = 0;
  return status;
}
void LocalFleet::touchSettings(std::size_t process) const {
  const auto path = folder_ + "/" + processes_[process].settings + ".json";
  std::filesystem::last_write_time(path, std::filesystem::file_time_type::clock::now());
}
void LocalFleet::loseDisk(std::size_t controller) const {
  const auto path = folder_ + "/" + processes_[controller].name;
  std::filesystem::remove_all(path);
  std::filesystem::create_directories(path);
  std::ostringstream settings;
  settings << std::ifstream(path + ".json").rdbuf();
  auto text = std::move(settings).str();
  const std::string firstStart = "\"initialAttach\":true";
  if (const auto found = text.find(firstStart); found != std::string::npos)
    text.replace(found, firstStart.size(), "\"initialAttach\":false");
  std::ofstream(path + ".json") << text;
}
bool LocalFleet::kill(std::size_t process) {
  auto& pid = processes_[process].pid;
  if (pid <= 0)
    return false;
  ::kill(pid, SIGKILL);
  ::waitpid(pid, nullptr, 0);
  pid = 0;
  return true;
}
bool LocalFleet::restartProcess(std::size_t process, bool blocksSignals) {
  return processes_[process].pid == 0 && spawn(processes_[process], blocksSignals);
}
std::vector<std::string> LocalFleet::listeningAddresses(std::size_t process) const {
  const auto internal = [this](const std::string& ip, int offset) {
    return ip + ":" + std::to_string(internalPort() + offset);
  };
  if (process < core_.size())
    return {control(process), internal(core_[process], 0), internal(core_[process], kCoordinationPortOffset),
            internal(core_[process], kCounterPortOffset)};
  const auto machine = static_cast<int>((process - core_.size()) / 2);
  if (processes_[process].role == "agent")
    return {internal(accessIp(machine), kAgentPortOffset)};
  return {access(machine), readiness(machine)};
}
}  // namespace zinccleat::simulation
