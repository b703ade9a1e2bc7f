// Parses the configuration that operators install, with one function per section.
#include <algorithm>
#include <set>

#include "config/configuration.hpp"
#include "config/json.hpp"
#include "lower_case.hpp"

namespace zinccleat::config {
namespace {
constexpr std::int64_t kMaxTargetWeight = 1'000'000'000;
constexpr const char* kDefaultHealthPath = "/health";

void readLimits(JsonReader& reader, const JsonObject& root, Limits& limits) {
  JsonObject object;
  if (!reader.object(root, "limits", object))
    return;
  reader.integer(object, "maxHeaderBytes", limits.maxHeaderBytes);
  reader.integer(object, "maxBodyBytes", limits.maxBodyBytes);
  reader.milliseconds(object, "headerTimerMs", limits.headerTimeout);
  reader.milliseconds(object, "idleTimerMs", limits.idleTimeout);
}
Scaling readScaling(JsonReader& reader, const JsonObject& object) {
  Scaling scaling;
  reader.integer(object, "min", scaling.min, Presence::required);
  reader.integer(object, "max", scaling.max, Presence::required);
  reader.seconds(object, "bootS", scaling.startup);
  if (scaling.min < 0 || scaling.min > scaling.max)
    reader.fail("no range from min to max in", "scaling");
  return scaling;
}
Service readService(JsonReader& reader, const JsonObject& object) {
  Service service;
  reader.text(object, "label", service.label, Presence::required);
  service.healthPath = kDefaultHealthPath;
  reader.text(object, "healthPath", service.healthPath);
  reader.integer(object, "connLimit", service.connLimit);
  reader.seconds(object, "warmupS", service.warmup);
  reader.number(object, "warmupPerS", service.warmupRequestsPerS);
  JsonObject engine;
  if (reader.object(object, "engine", engine)) {
    service.engine = true;
    reader.integer(engine, "capacity", service.capacity);
    reader.integer(engine, "kvCapacity", service.kvCapacity);
    reader.integer(engine, "stride", service.stride);
  }
  JsonObject scaling;
  if (reader.object(object, "scaling", scaling))
    service.scaling = readScaling(reader, scaling);
  return service;
}
RouteType readRouteType(JsonReader& reader, const JsonObject& object) {
  std::string name;
  reader.text(object, "routeType", name, Presence::required);
  if (name == "safe")
    return RouteType::safe;
  if (name == "unsafe")
    return RouteType::unsafe;
  if (name == "stream")
    return RouteType::stream;
  reader.fail("unknown routeType", name);
  return RouteType::unsafe;
}
// Reads the fields that select the requests of a route: host and path prefix.
void readRouteMatch(JsonReader& reader, const JsonObject& object, Route& route) {
  reader.text(object, "label", route.label);
  reader.text(object, "authority", route.authority, Presence::required);
  route.authority = lowerCase(route.authority);
  reader.text(object, "pathPrefix", route.pathPrefix, Presence::required);
  if (!route.pathPrefix.starts_with('/') || !route.pathPrefix.ends_with('/'))
    reader.fail("no prefix between slashes in", "pathPrefix");
}
// Reads the fields that define how the requests of a route are served.
void readRoutePolicy(JsonReader& reader, const JsonObject& object, Route& route) {
  route.type = readRouteType(reader, object);
  reader.milliseconds(object, "expiryMs", route.expiry);
  // `expiryMs` must be present and above 0, because a request without a timeout could stay open indefinitely.
  if (route.expiry <= Duration{0})
    reader.fail("no time in", "expiryMs");
  reader.milliseconds(object, "targetLatencyMs", route.latencyTarget);
  reader.milliseconds(object, "gapTargetMs", route.gapTarget);
  reader.integer(object, "precedence", route.precedence);
  reader.integer(object, "maxAttempts", route.maxAttempts);
  route.maxAttempts = std::max(1, route.maxAttempts);
  reader.boolean(object, "keyless", route.keyless);
  reader.boolean(object, "sessionAffinity", route.sessionAffinity);
  reader.boolean(object, "streamResume", route.streamResume);
}

// Reads services, routes and subscribers, and resolves the references of routes to services.
class ConfigurationParser {
 public:
  Result<std::shared_ptr<const Configuration>> parse(const JsonObject& root);

 private:
  // Calls visit(object) for each element of a table. Stops and returns false at an element that is not an object.
  template <class Visit>
  bool forEachObject(const JsonObject& root, std::string_view table, Presence presence, Visit visit);
  bool readServices(const JsonObject& root);
  bool readRoutes(const JsonObject& root);
  bool readSubscribers(const JsonObject& root);
  Route readRoute(const JsonObject& object);
  void readWeightedTargets(const JsonArray& list, Route& route);
  void readSingleTarget(const JsonObject& object, Route& route);
  void addTarget(const std::string& service, std::int64_t weight, Route& route);
  void readAccessKeys(const JsonObject& object, const std::string& label, int subscriber);
  void sortByPrefixLength();

  JsonReader reader_;
  std::string_view malformedTable_;  // the table in which an element is not an object
  std::map<std::string, int> serviceByLabel_;
  std::shared_ptr<Configuration> configuration_ = std::make_shared<Configuration>();
};

Result<std::shared_ptr<const Configuration>> ConfigurationParser::parse(const JsonObject& root) {
  reader_.integer(root, "configVersion", configuration_->version, Presence::required);
  if (configuration_->version <= 0)
    reader_.fail("no version above 0 in", "configVersion");
  readLimits(reader_, root, configuration_->limits);
  if (!readServices(root) || !readRoutes(root) || !readSubscribers(root))
    return makeError(ErrorCode::invalidArgument, "no object in '" + std::string(malformedTable_) + "'");
  if (!reader_.ok())
    return makeError(ErrorCode::invalidArgument, "configuration: " + reader_.error());
  sortByPrefixLength();
  return configuration_;
}

template <class Visit>
bool ConfigurationParser::forEachObject(const JsonObject& root, std::string_view table, Presence presence,
                                        Visit visit) {
  JsonArray elements;
  if (!reader_.array(root, table, elements, presence))
    return true;
  for (const auto element : elements) {
    JsonObject object;
    if (element.get(object)) {
      malformedTable_ = table;
      return false;
    }
    visit(object);
  }
  return true;
}

bool ConfigurationParser::readServices(const JsonObject& root) {
  return forEachObject(root, "serviceTable", Presence::required, [this](const JsonObject& object) {
    auto& services = configuration_->services;
    auto service = readService(reader_, object);
    if (!serviceByLabel_.emplace(service.label, static_cast<int>(services.size())).second)
      reader_.fail("service twice", service.label);
    services.push_back(std::move(service));
  });
}

bool ConfigurationParser::readRoutes(const JsonObject& root) {
  std::set<std::pair<std::string, std::string>> seen;  // authority and prefix
  return forEachObject(root, "routeTable", Presence::required, [&](const JsonObject& object) {
    auto& routes = configuration_->routes;
    auto route = readRoute(object);
    if (!seen.emplace(route.authority, route.pathPrefix).second)
      reader_.fail("two routes at", route.authority + route.pathPrefix);
    configuration_->routesByAuthority[route.authority].push_back(static_cast<int>(routes.size()));
    routes.push_back(std::move(route));
  });
}
Route ConfigurationParser::readRoute(const JsonObject& object) {
  Route route;
  readRouteMatch(reader_, object, route);
  readRoutePolicy(reader_, object, route);
  JsonArray weighted;
  if (reader_.array(object, "weightedTargets", weighted))
    readWeightedTargets(weighted, route);
  else
    readSingleTarget(object, route);
  if (route.totalWeight == 0)
    reader_.fail("shares sum to 0 on", route.label);
  return route;
}
void ConfigurationParser::readWeightedTargets(const JsonArray& list, Route& route) {
  for (const auto element : list) {
    JsonObject target;
    if (element.get(target)) {
      reader_.fail("no object in", "weightedTargets");
      continue;
    }
    std::string service;
    std::int64_t weight = 0;
    reader_.text(target, "targetService", service, Presence::required);
    reader_.integer(target, "share", weight, Presence::required);
    addTarget(service, weight, route);
  }
}
void ConfigurationParser::readSingleTarget(const JsonObject& object, Route& route) {
  std::string service;
  reader_.text(object, "targetService", service, Presence::required);
  if (reader_.ok())
    addTarget(service, 1, route);
}
void ConfigurationParser::addTarget(const std::string& service, std::int64_t weight, Route& route) {
  const auto found = serviceByLabel_.find(service);
  if (found == serviceByLabel_.end())
    return reader_.fail("unknown service", service);
  if (weight < 0 || weight > kMaxTargetWeight)
    return reader_.fail("no share in", "weightedTargets");
  route.targets.push_back({found->second, static_cast<std::uint32_t>(weight)});
  route.totalWeight += static_cast<std::uint64_t>(weight);
}

bool ConfigurationParser::readSubscribers(const JsonObject& root) {
  // `null` counts as an empty list and not as absent: without a list every request would be served.
  configuration_->requiresAccessKeys = JsonReader::contains(root, "subscribers");
  return forEachObject(root, "subscribers", Presence::optional, [this](const JsonObject& object) {
    auto& subscribers = configuration_->subscribers;
    Subscriber subscriber;
    reader_.text(object, "label", subscriber.label, Presence::required);
    reader_.integer(object, "precedence", subscriber.precedence);
    reader_.number(object, "ratePerS", subscriber.ratePerS);
    reader_.number(object, "burstSize", subscriber.burstSize);
    readAccessKeys(object, subscriber.label, static_cast<int>(subscribers.size()));
    subscribers.push_back(std::move(subscriber));
  });
}
void ConfigurationParser::readAccessKeys(const JsonObject& object, const std::string& label, int subscriber) {
  JsonArray keys;
  if (!reader_.array(object, "accessKeys", keys))
    return;
  for (const auto element : keys) {
    std::string_view key;
    if (element.get(key)) {
      reader_.fail("no text in", "accessKeys");
      continue;
    }
    const auto entry = configuration_->subscriberByAccessKey.emplace(std::string(key), subscriber).first;
    if (entry->second != subscriber)
      reader_.fail("key shared by two subscribers:", label);
  }
}

void ConfigurationParser::sortByPrefixLength() {
  const auto prefixLength = [this](int route) {
    return configuration_->routes[static_cast<std::size_t>(route)].pathPrefix.size();
  };
  for (auto& [authority, routes] : configuration_->routesByAuthority)
    std::sort(routes.begin(), routes.end(), [&](int a, int b) { return prefixLength(a) > prefixLength(b); });
}
}  // namespace

Result<std::shared_ptr<const Configuration>> parseConfiguration(std::string_view text) {
  JsonDocument document(text);
  const auto root = document.parseObject("configuration is");
  if (!root)
    return tl::unexpected(root.error());
  return ConfigurationParser().parse(*root);
}
}  // namespace zinccleat::config
