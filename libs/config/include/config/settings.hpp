/// The settings file of one process: which node it is, its addresses, the controllers it starts from, and its timers.
///
/// Read once at the start; a reload takes over only what the process can change while it runs. Unknown fields are
/// ignored. The first field that is missing or wrong makes the whole file an error with a message that names it.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::config {
/// Time limits and bounds that the operators set (`timers`). The JSON keys are the fields' names with the unit behind:
/// `Ms`, or `S` for seconds.
struct Timers {
  Duration contact{3000};       ///< checked only: nothing uses it
  Duration ack{4000};           ///< checked only: nothing uses it
  Duration drain{2000};         ///< so long after its acknowledgement a drain binds every machine in touch
  Duration configApply{2000};   ///< ... and a configuration
  Duration revoke{5000};        ///< by then a node that has lost contact stops using a revoked configuration
  Duration revertSlack{250};    ///< checked only: nothing uses it
  Duration lossSlack{200};      ///< checked only: nothing uses it
  Duration grace{8000};         ///< a process that was asked to stop ends within this
  Duration sync{4000};          ///< checked only: nothing uses it
  Duration addressHold{2000};   ///< checked only: nothing uses it
  Duration quotaWindow{5000};   ///< over this a subscriber's quota is measured
  Duration retryWindow{10000};  ///< over this the retry budget is measured
  Duration history{20000};      ///< a watch may resume from a revision that it was given so long ago
  bool revokedFail = true;      ///< a node without a valid lease refuses requests
  double retryRatio = 0.2;      ///< retries allowed for each first attempt
  double retrySlack = 50;       ///< retries allowed beyond that in a window, over all nodes
  double quotaExcess = 0.1;     ///< part of its quota that a subscriber may exceed it by
  double quotaSlack = 20;       ///< requests that a subscriber may exceed its quota by
  double exposureShare = 0.1;   ///< part of a service's requests that an unproven revision may get during its rollout
  double exposureSlack = 50;    ///< requests that it may get besides
  Duration rollback{5000};      ///< checked only: nothing uses it
  double warmupExcess = 1.5;    ///< factor by which a runner's `warmupPerS` may be exceeded in a second
  double warmupSlack = 5;       ///< requests that it may get in a second besides
  Duration evacuate{5000};      ///< checked only: nothing uses it; drains and evacuations bind sooner
  Duration merge{3000};         ///< checked only: nothing uses it; replicated counters merge sooner
  Duration lease{3000};         ///< in this time a function at the platform does not return to an earlier holder
  Duration reportWindow{0};     ///< the length of a window of usage; 0: usage is not reported
  Duration usageDelay{10000};   ///< a window's report is due so long after its end
  double usageError = 0.05;     ///< checked only: nothing uses it; counts are exact but for what dies with a proxy
};
/// What the platform, on whose machines the fleet runs, takes from it.
struct PlatformApi {
  std::string address;           ///< "IP:port"
  bool usageReporting = false;   ///< the fleet reports its usage there
  bool scaling = false;          ///< the fleet orders runners there
  double functionCallsPerS = 0;  ///< calls for these functions that it takes, of all nodes together
};
/// Another operator's site whose prefix caches may be used from here, and the other way round. Clients' access keys
/// must be known at both sites.
struct PartnerSite {
  std::string name;
  std::string secret;                ///< shared by the two sites: 32 bytes in hex
  std::vector<std::string> control;  ///< "IP:port" of its controllers
  std::vector<std::string> access;   ///< "IP:port" of its proxies
};
/// The settings of one process.
struct Settings {
  std::string path;          ///< of the file that they were read from; empty: of none
  std::string node;          ///< the node's name (`nodeName`)
  std::string role;          ///< as the operators call it; not used
  std::string machineClass;  ///< as the operators call it; not used
  std::string ip;            ///< the machine's address, which identifies a controller in the cluster
  std::string zone;          ///< failure domain
  std::string region;
  std::string dataDir;                       ///< where a controller stores its state
  std::map<std::string, std::string> zones;  ///< zone -> region
  std::string accessAddress;                 ///< "IP:port" for clients (`bindAddresses.accessPort`)
  std::string readinessAddress;              ///< "IP:port" for readiness checks (`bindAddresses.readinessPort`)
  std::string controlAddress;                ///< "IP:port" of the control API (`bindAddresses.controlPort`)
  std::uint16_t firstPort = 0;               ///< first of the ports between our own processes (`internalPorts`)
  std::uint16_t lastPort = 0;                ///< last of them, above the first
  std::vector<std::string> seeds;            ///< "IP:port" of controllers to start from (`seedNodes`)
  bool initialAttach = false;                ///< a new cluster may be founded by the seeds
  bool quorumMember = false;                 ///< read only: membership is decided by the cluster
  Duration heartbeat{1200};                  ///< interval at which runners send heartbeats (`heartbeatMs`)
  int memoryMb = 0;                          ///< memory limit in MiB, 0: none (`limits.memoryMb`)
  int fdLimit = 0;                           ///< limit of open file descriptors, 0: none (`limits.fdLimit`)
  int toleratedMachineFailures = 1;          ///< controllers that may be lost at once (`faultTolerance.machines`)
  std::optional<PartnerSite> partner;        ///< none: no prefix hints in or out
  std::optional<PlatformApi> platform;       ///< none: the fleet has no functions at a platform
  Timers timers;
};
/// Parses the text of a settings file.
/// @return the settings, or `ErrorCode::invalidArgument` with the first problem
Result<Settings> parseSettings(std::string_view text);
/// Reads and parses a settings file.
Result<Settings> loadSettings(const std::string& path);
/// Where the settings file is by default: `$ZINCCLEAT_CONFIG`, or /etc/zinccleat/node.json.
std::string settingsPath();
/// Reads a file in full.
/// @return its bytes, or `ErrorCode::invalidArgument` if it cannot be opened
Result<std::string> readFile(const std::string& path);
}  // namespace zinccleat::config
