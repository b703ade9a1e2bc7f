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
void readLimits(json::Reader& r, const json::Obj& o, Limits& l) {
  r.whole(o, "maxHeaderBytes", l.maxHeaderBytes);
  r.whole(o, "maxBodyBytes", l.maxBodyBytes);
  r.ms(o, "headerTimerMs", l.headerTimer);
  r.ms(o, "idleTimerMs", l.idleTimer);
}
void readService(json::Reader& r, const json::Obj& o, Service& s) {
  r.text(o, "label", s.label, true);
  s.healthPath = "/health";
  r.text(o, "healthPath", s.healthPath);
  r.whole(o, "connLimit", s.connLimit);
  json::Obj eng;
  if (r.object(o, "engine", eng)) {
    s.engine = true;
    r.whole(eng, "capacity", s.capacity);
    r.whole(eng, "kvCapacity", s.kvCapacity);
    r.whole(eng, "stride", s.stride);
  }
}
void readRoute(json::Reader& r, const json::Obj& o, const std::map<std::string, int>& services, Route& m) {
  r.text(o, "label", m.label);
  r.text(o, "authority", m.authority, true);
  m.authority = lower(m.authority);
  r.text(o, "pathPrefix", m.pathPrefix, true);
  if (m.pathPrefix.empty() || m.pathPrefix.front() != '/' || m.pathPrefix.back() != '/')
    r.blame("no prefix between slashes in", "pathPrefix");
  std::string type;
  r.text(o, "routeType", type, true);
  if (type == "safe")
    m.type = RouteType::safe;
  else if (type == "unsafe")
    m.type = RouteType::unsafe;
  else if (type == "stream")
    m.type = RouteType::stream;
  else
    r.blame("unknown routeType", type);
  r.ms(o, "expiryMs", m.expiry);
  // Why a missing one counts as 0: a route without a time-out would be held for ever.
  if (m.expiry <= Duration{0})
    r.blame("no time in", "expiryMs");
  r.ms(o, "targetLatencyMs", m.latencyTarget);
  r.ms(o, "gapTargetMs", m.gapTarget);
  r.whole(o, "precedence", m.precedence);
  r.whole(o, "maxAttempts", m.maxAttempts);
  if (m.maxAttempts < 1)
    m.maxAttempts = 1;
  r.flag(o, "keyless", m.keyless);
  r.flag(o, "sessionAffinity", m.affinity);
  r.flag(o, "streamResume", m.resume);
  auto add = [&](const std::string& name, std::int64_t share) {
    const auto it = services.find(name);
    if (it == services.end())
      return r.blame("unknown service", name);
    if (share < 0 || share > 1'000'000'000)
      return r.blame("no share in", "weightedTargets");
    m.targets.push_back({it->second, static_cast<std::uint32_t>(share)});
    m.shareSum += static_cast<std::uint64_t>(share);
  };
  json::Arr list;
  if (r.array(o, "weightedTargets", list)) {
    for (auto e : list) {
      json::Obj t;
      if (e.get(t)) {
        r.blame("no object in", "weightedTargets");
        continue;
      }
      std::string name;
      std::int64_t share = 0;
      r.text(t, "targetService", name, true);
      r.whole(t, "share", share, true);
      add(name, share);
    }
  } else {
    std::string name;
    r.text(o, "targetService", name, true);
    if (r.wrong.empty())
      add(name, 1);
  }
  if (m.shareSum == 0)
    r.blame("shares sum to 0 on", m.label);
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
int Configuration::subscriberOf(std::string_view key) const {
  const auto it = keys.find(std::string(key));
  return it == keys.end() ? -1 : it->second;
}

Result<std::shared_ptr<const Configuration>> parseConfiguration(std::string_view text) {
  simdjson::dom::parser parser;
  simdjson::padded_string padded(text);
  json::Elem doc;
  if (auto e = parser.parse(padded).get(doc))
    return makeError(ErrorCode::invalidArgument,
                     std::string("configuration is no JSON: ") + simdjson::error_message(e));
  json::Obj o;
  if (doc.get(o))
    return makeError(ErrorCode::invalidArgument, "configuration is no JSON object");
  json::Reader r;
  auto cfg = std::make_shared<Configuration>();
  r.whole(o, "configVersion", cfg->version, true);
  if (cfg->version <= 0)
    r.blame("no version above 0 in", "configVersion");
  json::Obj sub;
  json::Arr arr;
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
        r.blame("service twice", s.label);
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
        r.blame("two routes at", m.authority + m.pathPrefix);
      cfg->byHost[m.authority].push_back(static_cast<int>(cfg->routes.size()));
      cfg->routes.push_back(std::move(m));
    }
  if (r.array(o, "subscribers", arr))
    for (auto e : arr) {
      if (e.get(sub))
        return makeError(ErrorCode::invalidArgument, "no object in 'subscribers'");
      Subscriber s;
      r.text(sub, "label", s.label, true);
      r.whole(sub, "precedence", s.precedence);
      r.num(sub, "ratePerS", s.ratePerS);
      r.num(sub, "burstSize", s.burstSize);
      const int me = static_cast<int>(cfg->subscribers.size());
      json::Arr ks;
      if (r.array(sub, "accessKeys", ks))
        for (auto k : ks) {
          std::string_view v;
          if (k.get(v))
            r.blame("no text in", "accessKeys");
          else if (const auto [it, fresh] = cfg->keys.emplace(std::string(v), me); !fresh && it->second != me)
            r.blame("key shared by two subscribers:", s.label);
        }
      cfg->subscribers.push_back(std::move(s));
    }
  if (!r.wrong.empty())
    return makeError(ErrorCode::invalidArgument, "configuration: " + r.wrong);
  for (auto& [host, list] : cfg->byHost)
    std::sort(list.begin(), list.end(),
              [&](int a, int b) { return cfg->routes[a].pathPrefix.size() > cfg->routes[b].pathPrefix.size(); });
  return cfg;
}
}  // namespace zinccleat::config
