#include "config/configuration.hpp"

#include <set>

#include "config/json.hpp"

namespace zinccleat::config {
namespace {
std::string lower(std::string_view s) {
  std::string out(s);
  for (auto& c : out)
    if (c >= 'A' && c <= 'Z')
      c = static_cast<char>(c - 'A' + 'a');
  return out;
}
void readLimits(JsonReader& r, const JsonObject& o, Limits& l) {
  r.integer(o, "maxHeaderBytes", l.maxHeaderBytes);
  r.integer(o, "maxBodyBytes", l.maxBodyBytes);
  r.milliseconds(o, "headerTimerMs", l.headerTimeout);
  r.milliseconds(o, "idleTimerMs", l.idleTimeout);
}
void readService(JsonReader& r, const JsonObject& o, Service& s) {
  r.text(o, "label", s.label, true);
  s.healthPath = "/health";
  r.text(o, "healthPath", s.healthPath);
  r.integer(o, "connLimit", s.connLimit);
  JsonObject eng;
  if (r.object(o, "engine", eng)) {
    s.engine = true;
    r.integer(eng, "capacity", s.capacity);
    r.integer(eng, "kvCapacity", s.kvCapacity);
    r.integer(eng, "stride", s.stride);
  }
}
void readRoute(JsonReader& r, const JsonObject& o, const std::map<std::string, int>& services, Route& m) {
  r.text(o, "label", m.label);
  r.text(o, "authority", m.authority, true);
  m.authority = lower(m.authority);
  r.text(o, "pathPrefix", m.pathPrefix, true);
  if (m.pathPrefix.empty() || m.pathPrefix.front() != '/' || m.pathPrefix.back() != '/')
    r.fail("no prefix between slashes in", "pathPrefix");
  std::string type;
  r.text(o, "routeType", type, true);
  if (type == "safe")
    m.type = RouteType::safe;
  else if (type == "unsafe")
    m.type = RouteType::unsafe;
  else if (type == "stream")
    m.type = RouteType::stream;
  else
    r.fail("unknown routeType", type);
  r.milliseconds(o, "expiryMs", m.expiry);
  // Why a missing one counts as 0: a route without a time-out would be held for ever.
  if (m.expiry <= Duration{0})
    r.fail("no time in", "expiryMs");
  r.milliseconds(o, "targetLatencyMs", m.latencyTarget);
  r.milliseconds(o, "gapTargetMs", m.gapTarget);
  r.integer(o, "precedence", m.precedence);
  r.integer(o, "maxAttempts", m.maxAttempts);
  if (m.maxAttempts < 1)
    m.maxAttempts = 1;
  r.boolean(o, "keyless", m.keyless);
  r.boolean(o, "sessionAffinity", m.sessionAffinity);
  r.boolean(o, "streamResume", m.streamResume);
  auto add = [&](const std::string& name, std::int64_t share) {
    const auto it = services.find(name);
    if (it == services.end())
      return r.fail("unknown service", name);
    if (share < 0 || share > 1'000'000'000)
      return r.fail("no share in", "weightedTargets");
    m.targets.push_back({it->second, static_cast<std::uint32_t>(share)});
    m.totalWeight += static_cast<std::uint64_t>(share);
  };
  JsonArray list;
  if (r.array(o, "weightedTargets", list)) {
    for (auto e : list) {
      JsonObject t;
      if (e.get(t)) {
        r.fail("no object in", "weightedTargets");
        continue;
      }
      std::string name;
      std::int64_t share = 0;
      r.text(t, "targetService", name, true);
      r.integer(t, "share", share, true);
      add(name, share);
    }
  } else {
    std::string name;
    r.text(o, "targetService", name, true);
    if (r.error.empty())
      add(name, 1);
  }
  if (m.totalWeight == 0)
    r.fail("shares sum to 0 on", m.label);
}
}  // namespace

int Configuration::find(std::string_view host, std::string_view path) const {
  if (const auto c = host.rfind(':'); c != host.npos)
    host = host.substr(0, c);
  const auto it = byHost.find(lower(host));
  if (it == byHost.end())
    return -1;
  if (const auto q = path.find('?'); q != path.npos)
    path = path.substr(0, q);
  for (int i : it->second)
    if (path.substr(0, routes[i].pathPrefix.size()) == routes[i].pathPrefix)
      return i;
  return -1;
}
int Configuration::findSubscriber(std::string_view key) const {
  const auto it = keys.find(std::string(key));
  return it == keys.end() ? -1 : it->second;
}

Result<std::shared_ptr<const Configuration>> parseConfiguration(std::string_view text) {
  simdjson::dom::parser parser;
  simdjson::padded_string padded(text);
  JsonElement doc;
  if (auto e = parser.parse(padded).get(doc))
    return makeError(ErrorCode::invalidArgument,
                     std::string("configuration is no JSON: ") + simdjson::error_message(e));
  JsonObject o;
  if (doc.get(o))
    return makeError(ErrorCode::invalidArgument, "configuration is no JSON object");
  JsonReader r;
  auto cfg = std::make_shared<Configuration>();
  r.integer(o, "configVersion", cfg->version, true);
  if (cfg->version <= 0)
    r.fail("no version above 0 in", "configVersion");
  JsonObject sub;
  JsonArray arr;
  if (r.object(o, "limits", sub))
    readLimits(r, sub, cfg->limits);
  std::map<std::string, int> services;
  if (r.array(o, "serviceTable", arr, true))
    for (auto e : arr) {
      if (e.get(sub))
        return makeError(ErrorCode::invalidArgument, "no object in 'serviceTable'");
      Service s;
      readService(r, sub, s);
      if (!services.emplace(s.label, static_cast<int>(cfg->services.size())).second)
        r.fail("service twice", s.label);
      cfg->services.push_back(std::move(s));
    }
  std::set<std::pair<std::string, std::string>> places;
  if (r.array(o, "routeTable", arr, true))
    for (auto e : arr) {
      if (e.get(sub))
        return makeError(ErrorCode::invalidArgument, "no object in 'routeTable'");
      Route m;
      readRoute(r, sub, services, m);
      if (!places.emplace(m.authority, m.pathPrefix).second)
        r.fail("two routes at", m.authority + m.pathPrefix);
      cfg->byHost[m.authority].push_back(static_cast<int>(cfg->routes.size()));
      cfg->routes.push_back(std::move(m));
    }
  if (r.array(o, "subscribers", arr))
    for (auto e : arr) {
      if (e.get(sub))
        return makeError(ErrorCode::invalidArgument, "no object in 'subscribers'");
      Subscriber s;
      r.text(sub, "label", s.label, true);
      r.integer(sub, "precedence", s.precedence);
      r.number(sub, "ratePerS", s.ratePerS);
      r.number(sub, "burstSize", s.burstSize);
      const int me = static_cast<int>(cfg->subscribers.size());
      JsonArray ks;
      if (r.array(sub, "accessKeys", ks))
        for (auto k : ks) {
          std::string_view v;
          if (k.get(v))
            r.fail("no text in", "accessKeys");
          else if (const auto [it, fresh] = cfg->keys.emplace(std::string(v), me); !fresh && it->second != me)
            r.fail("key shared by two subscribers:", s.label);
        }
      cfg->subscribers.push_back(std::move(s));
    }
  if (!r.error.empty())
    return makeError(ErrorCode::invalidArgument, "configuration: " + r.error);
  for (auto& [host, list] : cfg->byHost)
    std::sort(list.begin(), list.end(),
              [&](int a, int b) { return cfg->routes[a].pathPrefix.size() > cfg->routes[b].pathPrefix.size(); });
  return cfg;
}
}  // namespace zinccleat::config
