/// The settings file of one process: node identity, addresses, seed controllers and timers.
///
/// A process reads the file at its start. A reload applies only the settings that the process can change while it runs.
/// Unknown fields are ignored. A missing or invalid field makes the whole file invalid; the error message names the
/// first such field.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::config {
/// Time limits and other bounds that operators set (`timers`). The JSON key of a duration is the member's name with the
/// suffix `Ms` or, for seconds, `S`.
struct Timers {
  Duration contact{3000};       ///< parsed and type-checked, but not used
  Duration ack{4000};           ///< parsed and type-checked, but not used
  Duration drain{2000};         ///< every connected machine applies a drain within this time of its acknowledgement
  Duration configApply{2000};   ///< the same limit as `drain`, for applying an acknowledged configuration
  Duration revoke{5000};        ///< a node without contact stops using a revoked configuration within this time
  Duration revertSlack{250};    ///< parsed and type-checked, but not used
  Duration lossSlack{200};      ///< parsed and type-checked, but not used
  Duration grace{8000};         ///< a process exits within this time of a request to stop
  Duration sync{4000};          ///< parsed and type-checked, but not used
  Duration addressHold{2000};   ///< parsed and type-checked, but not used
  Duration quotaWindow{5000};   ///< window over which a subscriber's quota is measured
  Duration retryWindow{10000};  ///< window over which the retry budget is measured
  Duration history{20000};      ///< maximum age of a revision from which a watch can resume
  bool revokedFail = true;      ///< a node without a valid lease refuses requests
  double retryRatio = 0.2;      ///< retries allowed for each first attempt
  double retrySlack = 50;       ///< retries allowed in addition to `retryRatio` per window, over all nodes
  double quotaExcess = 0.1;     ///< fraction by which a subscriber may exceed its quota
  double quotaSlack = 20;       ///< requests by which a subscriber may exceed its quota in addition
  double exposureShare = 0.1;   ///< maximum fraction of a service's requests sent to an unproven revision in a rollout
  double exposureSlack = 50;    ///< requests that an unproven revision may get in addition to `exposureShare`
  Duration rollback{5000};      ///< parsed and type-checked, but not used
  double warmupExcess = 1.5;    ///< factor by which a runner's `warmupPerS` may be exceeded in a second
  double warmupSlack = 5;       ///< requests per second that a runner may get in addition to `warmupExcess`
  Duration evacuate{5000};      ///< parsed, but not used; drains and evacuations take effect sooner
  Duration merge{3000};         ///< parsed, but not used; replicated counters converge sooner
  Duration lease{3000};         ///< time during which a platform function does not return to a previous holder
  Duration reportWindow{0};     ///< length of a usage-report window; 0: usage is not reported
  Duration usageDelay{10000};   ///< time from the end of a window until the window's usage report is due
  double usageError = 0.05;     ///< parsed, but not used; counts are exact except for those lost in a proxy crash
};
/// The API of the platform on whose machines the fleet runs: its address and the functions that the fleet may call.
struct PlatformApi {
  std::string address;           ///< "IP:port"
  bool usageReporting = false;   ///< the fleet reports usage to the platform
  bool scaling = false;          ///< the fleet orders runners from the platform
  double functionCallsPerS = 0;  ///< maximum rate of calls that the platform accepts, over all nodes
};
/// A site of another operator. The two sites may use each other's prefix caches. The access keys of clients must be
/// known at both sites.
struct PartnerSite {
  std::string name;
  std::string secret;                ///< shared by the two sites: 32 bytes in hex
  std::vector<std::string> control;  ///< "IP:port" of its controllers
  std::vector<std::string> access;   ///< "IP:port" of its proxies
};
/// The settings of one process.
struct Settings {
  std::string path;          ///< path of the file that the settings were read from; empty: not read from a file
  std::string node;          ///< the node's name (`nodeName`)
  std::string role;          ///< role name chosen by the operators; not used
  std::string machineClass;  ///< machine class chosen by the operators; not used
  std::string ip;            ///< the machine's address, which identifies a controller in the cluster
  std::string zone;          ///< failure domain
  std::string region;
  std::string dataDir;                       ///< where a controller stores its state
  std::map<std::string, std::string> zones;  ///< zone -> region
  std::string accessAddress;                 ///< "IP:port" for clients (`bindAddresses.accessPort`)
  std::string readinessAddress;              ///< "IP:port" for readiness checks (`bindAddresses.readinessPort`)
  std::string controlAddress;                ///< "IP:port" of the control API (`bindAddresses.controlPort`)
  std::uint16_t firstPort = 0;               ///< first port for connections within the fleet (`internalPorts`)
  std::uint16_t lastPort = 0;                ///< last such port, above `firstPort`
  std::vector<std::string> seeds;            ///< "IP:port" of the controllers to contact at the start (`seedNodes`)
  bool initialAttach = false;                ///< the seeds may bootstrap a new cluster
  bool quorumMember = false;                 ///< parsed, but not used: the cluster decides on its membership
  Duration heartbeat{1200};                  ///< interval at which runners send heartbeats (`heartbeatMs`)
  int memoryMb = 0;                          ///< memory limit in MiB, 0: none (`limits.memoryMb`)
  int fdLimit = 0;                           ///< limit of open file descriptors, 0: none (`limits.fdLimit`)
  int toleratedMachineFailures = 1;     ///< simultaneous controller failures to tolerate (`faultTolerance.machines`)
  std::optional<PartnerSite> partner;   ///< none: prefix hints are neither sent nor received
  std::optional<PlatformApi> platform;  ///< none: the fleet calls no platform functions
  Timers timers;
};
/// Parses the text of a settings file.
/// @return the settings, or `ErrorCode::invalidArgument` with the first problem
Result<Settings> parseSettings(std::string_view text);
/// Reads and parses a settings file.
Result<Settings> loadSettings(const std::string& path);
/// The default path of the settings file: `$ZINCCLEAT_CONFIG` if set and not empty, else /etc/zinccleat/node.json.
std::string settingsPath();
/// Reads a whole file.
/// @return its bytes, or `ErrorCode::invalidArgument` if it cannot be opened
Result<std::string> readFile(const std::string& path);
}  // namespace zinccleat::config
