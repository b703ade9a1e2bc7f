#include "config/settings.hpp"

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "config/json.hpp"
#include "runtime/event_loop.hpp"

namespace zinccleat::config {
Result<std::string> readFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    return makeError(ErrorCode::invalidArgument, "cannot read '" + path + "'");
  std::ostringstream ss;
  ss << in.rdbuf();
  return ss.str();
}
std::string settingsPath() {
  const char* p = std::getenv("ZINCCLEAT_CONFIG");
  return p && *p ? p : "/etc/zinccleat/node.json";
}
Result<Settings> parseSettings(std::string_view text) {
  simdjson::dom::parser parser;
  simdjson::padded_string padded(text);
  JsonElement doc;
  if (auto e = parser.parse(padded).get(doc))
    return makeError(ErrorCode::invalidArgument, std::string("settings are no JSON: ") + simdjson::error_message(e));
  JsonObject o;
  if (doc.get(o))
    return makeError(ErrorCode::invalidArgument, "settings are no JSON object");
  JsonReader r;
  Settings s;
  r.text(o, "nodeName", s.node, true);
  r.text(o, "role", s.role);
  r.text(o, "machineClass", s.machineClass);
  r.text(o, "ip", s.ip, true);
  r.text(o, "zone", s.zone, true);
  r.text(o, "region", s.region);
  r.text(o, "dataDir", s.dataDir);
  r.boolean(o, "initialAttach", s.initialAttach);
  r.boolean(o, "quorumMember", s.quorumMember);
  r.milliseconds(o, "heartbeatMs", s.heartbeat);
  JsonObject sub;
  JsonArray arr;
  if (r.object(o, "zones", sub))
    for (auto f : sub) {
      std::string_view v;
      if (!f.value.get(v))
        s.zones[std::string(f.key)] = std::string(v);
    }
  if (r.object(o, "bindAddresses", sub)) {
    r.text(sub, "accessPort", s.accessAddress);
    r.text(sub, "readinessPort", s.readinessAddress);
    r.text(sub, "controlPort", s.controlAddress);
  }
  if (r.array(o, "internalPorts", arr, true)) {
    std::int64_t p[2] = {0, 0};
    std::size_t i = 0;
    for (auto e : arr)
      if (i < 2 && e.get(p[i]))
        r.fail("no ports in", "internalPorts");
      else
        ++i;
    if (i < 2 || p[0] <= 0 || p[1] > 65535 || p[1] < p[0] + 1)
      r.fail("no range of ports in", "internalPorts");
    s.firstPort = static_cast<unsigned short>(p[0]);
    s.lastPort = static_cast<unsigned short>(p[1]);
  }
  if (r.array(o, "seedNodes", arr, true))
    for (auto e : arr) {
      std::string_view v;
      if (e.get(v))
        r.fail("no text in", "seedNodes");
      else if (!runtime::parseEndpoint(v))
        r.fail("no IP number and port in seedNodes:", v);
      else
        s.seeds.emplace_back(v);
    }
  if (r.object(o, "limits", sub)) {
    r.integer(sub, "memoryMb", s.memoryMb);
    r.integer(sub, "fdLimit", s.fdLimit);
  }
  if (r.object(o, "faultTolerance", sub)) {
    r.integer(sub, "machines", s.toleratedMachineFailures);
    if (s.toleratedMachineFailures < 0 || s.toleratedMachineFailures > 100)
      r.fail("no count of machines in", "faultTolerance");
  }
  if (r.object(o, "partnerSite", sub)) {
    PartnerSite p;
    r.text(sub, "name", p.name, true);
    r.text(sub, "secret", p.secret, true);
    auto addresses = [&](const char* k, std::vector<std::string>& to) {
      JsonArray list;
      if (!r.array(sub, k, list, true))
        return;
      for (auto e : list) {
        std::string_view v;
        if (e.get(v) || !runtime::parseEndpoint(v))
          r.fail("no IP numbers and ports in", k);
        else
          to.emplace_back(v);
      }
    };
    addresses("control", p.control);
    addresses("access", p.access);
    if (p.secret.size() != 64 || p.secret.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
      r.fail("no 32 bytes in hex in", "secret");
    s.partner = std::move(p);
  }
  if (r.object(o, "timers", sub)) {
    auto& t = s.timers;
    r.milliseconds(sub, "contactMs", t.contact);
    r.milliseconds(sub, "ackMs", t.ack);
    r.milliseconds(sub, "drainMs", t.drain);
    r.milliseconds(sub, "configApplyMs", t.configApply);
    r.milliseconds(sub, "revokeMs", t.revoke);
    r.milliseconds(sub, "revertSlackMs", t.revertSlack);
    r.milliseconds(sub, "lossSlackMs", t.lossSlack);
    r.milliseconds(sub, "graceS", t.grace, 1000);
    r.milliseconds(sub, "syncS", t.sync, 1000);
    r.milliseconds(sub, "addressHoldS", t.addressHold, 1000);
    r.milliseconds(sub, "quotaWindowS", t.quotaWindow, 1000);
    r.milliseconds(sub, "retryWindowS", t.retryWindow, 1000);
    r.boolean(sub, "revokedFail", t.revokedFail);
    r.number(sub, "retryRatio", t.retryRatio);
    r.number(sub, "retrySlack", t.retrySlack);
    r.number(sub, "quotaExcess", t.quotaExcess);
    r.number(sub, "quotaSlack", t.quotaSlack);
  }
  if (!r.error.empty())
    return makeError(ErrorCode::invalidArgument, "settings: " + r.error);
  return s;
}
Result<Settings> loadSettings(const std::string& path) {
  auto text = readFile(path);
  if (!text)
    return tl::unexpected(text.error());
  return parseSettings(*text);
}
}  // namespace zinccleat::config
