#include "config/settings.hpp"

#include <array>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "config/json.hpp"
#include "runtime/event_loop.hpp"

namespace zinccleat::config {
namespace {
constexpr std::int64_t kMaxPort = 65535;
constexpr int kMaxToleratedFailures = 100;
constexpr std::size_t kSecretHexDigits = 64;

void readIdentity(JsonReader& reader, const JsonObject& root, Settings& settings) {
  reader.text(root, "nodeName", settings.node, Presence::required);
  reader.text(root, "role", settings.role);
  reader.text(root, "machineClass", settings.machineClass);
  reader.text(root, "ip", settings.ip, Presence::required);
  reader.text(root, "zone", settings.zone, Presence::required);
  reader.text(root, "region", settings.region);
  reader.text(root, "dataDir", settings.dataDir);
  reader.boolean(root, "initialAttach", settings.initialAttach);
  reader.boolean(root, "quorumMember", settings.quorumMember);
  reader.milliseconds(root, "heartbeatMs", settings.heartbeat);
}
// Skips zones whose region is not a string.
void readZones(JsonReader& reader, const JsonObject& root, Settings& settings) {
  JsonObject zones;
  if (!reader.object(root, "zones", zones))
    return;
  for (const auto field : zones) {
    std::string_view region;
    if (!field.value.get(region))
      settings.zones[std::string(field.key)] = std::string(region);
  }
}
void readBindAddresses(JsonReader& reader, const JsonObject& root, Settings& settings) {
  JsonObject addresses;
  if (!reader.object(root, "bindAddresses", addresses))
    return;
  reader.text(addresses, "accessPort", settings.accessAddress);
  reader.text(addresses, "readinessPort", settings.readinessAddress);
  reader.text(addresses, "controlPort", settings.controlAddress);
}
void readInternalPorts(JsonReader& reader, const JsonObject& root, Settings& settings) {
  constexpr std::string_view kKey = "internalPorts";
  JsonArray array;
  if (!reader.array(root, kKey, array, Presence::required))
    return;
  std::array<std::int64_t, 2> ports{};
  std::size_t count = 0;
  for (const auto element : array) {
    if (count < ports.size() && element.get(ports[count]))
      reader.fail("no ports in", kKey);
    else
      ++count;
  }
  const auto [first, last] = ports;
  if (count < ports.size() || first <= 0 || last > kMaxPort || last <= first)
    reader.fail("no range of ports in", kKey);
  settings.firstPort = static_cast<std::uint16_t>(first);
  settings.lastPort = static_cast<std::uint16_t>(last);
}
void readSeeds(JsonReader& reader, const JsonObject& root, Settings& settings) {
  JsonArray seeds;
  if (!reader.array(root, "seedNodes", seeds, Presence::required))
    return;
  for (const auto element : seeds) {
    std::string_view address;
    if (element.get(address))
      reader.fail("no text in", "seedNodes");
    else if (!runtime::parseEndpoint(address))
      reader.fail("no IP number and port in seedNodes:", address);
    else
      settings.seeds.emplace_back(address);
  }
}
void readLimits(JsonReader& reader, const JsonObject& root, Settings& settings) {
  JsonObject limits;
  if (!reader.object(root, "limits", limits))
    return;
  reader.integer(limits, "memoryMb", settings.memoryMb);
  reader.integer(limits, "fdLimit", settings.fdLimit);
}
void readFaultTolerance(JsonReader& reader, const JsonObject& root, Settings& settings) {
  JsonObject tolerance;
  if (!reader.object(root, "faultTolerance", tolerance))
    return;
  auto& machines = settings.toleratedMachineFailures;
  reader.integer(tolerance, "machines", machines);
  if (machines < 0 || machines > kMaxToleratedFailures)
    reader.fail("no count of machines in", "faultTolerance");
}
std::vector<std::string> readPartnerAddresses(JsonReader& reader, const JsonObject& partner, std::string_view key) {
  std::vector<std::string> addresses;
  JsonArray array;
  if (!reader.array(partner, key, array, Presence::required))
    return addresses;
  for (const auto element : array) {
    std::string_view address;
    if (element.get(address) || !runtime::parseEndpoint(address))
      reader.fail("no IP numbers and ports in", key);
    else
      addresses.emplace_back(address);
  }
  return addresses;
}
bool isSecret(std::string_view text) {
  return text.size() == kSecretHexDigits && text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}
void readPartnerSite(JsonReader& reader, const JsonObject& root, Settings& settings) {
  JsonObject object;
  if (!reader.object(root, "partnerSite", object))
    return;
  PartnerSite partner;
  reader.text(object, "name", partner.name, Presence::required);
  reader.text(object, "secret", partner.secret, Presence::required);
  partner.control = readPartnerAddresses(reader, object, "control");
  partner.access = readPartnerAddresses(reader, object, "access");
  if (!isSecret(partner.secret))
    reader.fail("no 32 bytes in hex in", "secret");
  settings.partner = std::move(partner);
}
void readTimers(JsonReader& reader, const JsonObject& root, Timers& timers) {
  JsonObject object;
  if (!reader.object(root, "timers", object))
    return;
  reader.milliseconds(object, "contactMs", timers.contact);
  reader.milliseconds(object, "ackMs", timers.ack);
  reader.milliseconds(object, "drainMs", timers.drain);
  reader.milliseconds(object, "configApplyMs", timers.configApply);
  reader.milliseconds(object, "revokeMs", timers.revoke);
  reader.milliseconds(object, "revertSlackMs", timers.revertSlack);
  reader.milliseconds(object, "lossSlackMs", timers.lossSlack);
  reader.seconds(object, "graceS", timers.grace);
  reader.seconds(object, "syncS", timers.sync);
  reader.seconds(object, "addressHoldS", timers.addressHold);
  reader.seconds(object, "quotaWindowS", timers.quotaWindow);
  reader.seconds(object, "retryWindowS", timers.retryWindow);
  reader.seconds(object, "historyS", timers.history);
  reader.boolean(object, "revokedFail", timers.revokedFail);
  reader.number(object, "retryRatio", timers.retryRatio);
  reader.number(object, "retrySlack", timers.retrySlack);
  reader.number(object, "quotaExcess", timers.quotaExcess);
  reader.number(object, "quotaSlack", timers.quotaSlack);
  reader.number(object, "exposureShare", timers.exposureShare);
  reader.number(object, "exposureSlack", timers.exposureSlack);
  reader.number(object, "warmupExcess", timers.warmupExcess);
  reader.number(object, "warmupSlack", timers.warmupSlack);
  reader.milliseconds(object, "evacuateMs", timers.evacuate);
  reader.milliseconds(object, "mergeMs", timers.merge);
  reader.milliseconds(object, "rollbackMs", timers.rollback);
  reader.milliseconds(object, "leaseMs", timers.lease);
  reader.seconds(object, "reportWindowS", timers.reportWindow);
  reader.seconds(object, "usageDelayS", timers.usageDelay);
  reader.number(object, "usageError", timers.usageError);
}
// Ignores unknown functions. If a known function is listed, the address must be valid, because calls need it.
void readPlatformApi(JsonReader& reader, const JsonObject& root, Settings& settings) {
  JsonObject object;
  if (!reader.object(root, "platformApi", object))
    return;
  PlatformApi platform;
  reader.text(object, "address", platform.address);
  reader.number(object, "functionPerS", platform.functionCallsPerS);
  JsonArray functions;
  if (reader.array(object, "functions", functions)) {
    for (const auto element : functions) {
      std::string_view function;
      if (element.get(function)) {
        reader.fail("no text in", "functions");
        continue;
      }
      platform.usageReporting |= function == "usage_reporting";
      platform.scaling |= function == "scaling";
    }
  }
  const bool hasFunction = platform.usageReporting || platform.scaling;
  if (hasFunction && !runtime::parseEndpoint(platform.address))
    reader.fail("no IP number and port in platformApi:", platform.address);
  if (hasFunction)
    settings.platform = std::move(platform);
}
}  // namespace

Result<std::string> readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return makeError(ErrorCode::invalidArgument, "cannot read '" + path + "'");
  std::ostringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

std::string settingsPath() {
  constexpr const char* kDefaultPath = "/etc/zinccleat/node.json";
  const char* path = std::getenv("ZINCCLEAT_CONFIG");
  return path && *path ? path : kDefaultPath;
}

Result<Settings> parseSettings(std::string_view text) {
  JsonDocument document(text);
  const auto root = document.parseObject("settings are");
  if (!root)
    return tl::unexpected(root.error());
  JsonReader reader;
  Settings settings;
  // The reader reports only the first error, so the order of these calls determines which one.
  readIdentity(reader, *root, settings);
  readZones(reader, *root, settings);
  readBindAddresses(reader, *root, settings);
  readInternalPorts(reader, *root, settings);
  readSeeds(reader, *root, settings);
  readLimits(reader, *root, settings);
  readFaultTolerance(reader, *root, settings);
  readPartnerSite(reader, *root, settings);
  readTimers(reader, *root, settings.timers);
  readPlatformApi(reader, *root, settings);
  if (!reader.ok())
    return makeError(ErrorCode::invalidArgument, "settings: " + reader.error());
  return settings;
}

Result<Settings> loadSettings(const std::string& path) {
  const auto text = readFile(path);
  if (!text)
    return tl::unexpected(text.error());
  auto settings = parseSettings(*text);
  if (settings)
    settings->path = path;
  return settings;
}
}  // namespace zinccleat::config
