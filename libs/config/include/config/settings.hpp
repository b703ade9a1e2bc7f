// The settings file a process is told its place by.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::config {
struct Timers {
  Duration contact{3000}, ack{4000}, drain{2000}, configApply{2000}, revoke{5000}, revertSlack{250}, lossSlack{200};
  Duration grace{8000}, sync{4000}, addressHold{2000}, quotaWindow{5000}, retryWindow{10000};
  bool revokedFail = true;
  double retryRatio = 0.2, retrySlack = 50, quotaExcess = 0.1, quotaSlack = 20;
};
// A site of somebody else's that may hold what is asked for here; the operators of both agree on a secret.
struct PartnerSite {
  std::string name, secret;                  // secret: 32 bytes in hex
  std::vector<std::string> control, access;  // addresses of its nodes; clients' keys of both sites must be known there
};
struct Settings {
  std::string node, role, machineClass, ip, zone, region, dataDir;
  std::map<std::string, std::string> zones;
  std::string accessAddress, readinessAddress, controlAddress;
  unsigned short firstPort = 0, lastPort = 0;
  std::vector<std::string> seeds;
  bool initialAttach = false, quorumMember = false;
  Duration heartbeat{1200};
  int memoryMb = 0, fdLimit = 0;
  int toleratedMachineFailures = 1;    // `faultTolerance.machines`: members of the core that may be lost at once
  std::optional<PartnerSite> partner;  // none: no hints, in or out
  Timers timers;
};
Result<Settings> parseSettings(std::string_view text);
Result<Settings> loadSettings(const std::string& path);
std::string settingsPath();
Result<std::string> readFile(const std::string& path);
}  // namespace zinccleat::config
