/// The configuration that operators install: routes, services, subscribers and limits of one fleet.
///
/// A `Configuration` is immutable and shared. `parseConfiguration` validates the whole text: it returns either a valid
/// configuration or an error that names the first problem.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::config {
/// Whether and how a route's requests may be retried.
enum class RouteType {
  safe,    ///< idempotent requests
  unsafe,  ///< requests that a runner must get at most once
  stream,  ///< responses are event streams
};
/// One of the services among which a route's requests are divided.
struct Target {
  int service = 0;           ///< index into `Configuration::services`
  std::uint32_t weight = 1;  ///< the service gets `weight / Route::totalWeight` of the route's requests
};
/// Selects requests by host and path, and defines to which services and with which policy the proxy forwards them.
struct Route {
  std::string label;
  std::string authority;   ///< host in lower case, without a port
  std::string pathPrefix;  ///< begins and ends with a slash
  RouteType type = RouteType::unsafe;
  Duration expiry{0};             ///< time limit for answering a request; always above 0
  Duration latencyTarget{0};      ///< latency target (SLO) of the first byte; 0: none
  Duration gapTarget{0};          ///< parsed and type-checked, but not used
  int precedence = 5;             ///< priority class: 0 is served first
  int maxAttempts = 1;            ///< maximum attempts per request, including the first
  bool keyless = false;           ///< accepts requests without an access key
  bool sessionAffinity = false;   ///< requests that share a prompt prefix go to the same runner
  bool streamResume = false;      ///< an interrupted stream may be continued by another runner
  std::vector<Target> targets;    ///< never empty
  std::uint64_t totalWeight = 0;  ///< sum of the targets' weights; always above 0
  /// Whether a request may be sent again although a runner may have executed it.
  bool idempotent() const { return type == RouteType::safe || (type == RouteType::stream && streamResume); }
};
/// Bounds for the number of runners that the fleet orders from the platform for a service, in each of its zones.
struct Scaling {
  int min = 0;
  int max = 0;
  Duration startup{0};  ///< time from an order until the ordered runners serve requests
  bool operator==(const Scaling&) const = default;
};
/// A kind of runner that routes send requests to.
struct Service {
  std::string label;
  std::string healthPath;          ///< path of the runners' health check
  int connLimit = 0;               ///< parsed and type-checked, but not used
  bool engine = false;             ///< the runners are inference engines; `capacity` to `stride` describe them
  int capacity = 0;                ///< requests that a runner processes concurrently
  std::int64_t kvCapacity = 0;     ///< capacity of a runner's KV cache in tokens
  int stride = 1;                  ///< parsed and type-checked, but not used
  Duration warmup{0};              ///< how long a runner is slow after a start or the loss of its caches
  double warmupRequestsPerS = 0;   ///< maximum requests a second of a runner during `warmup`; 0: no limit
  std::optional<Scaling> scaling;  ///< none: the fleet does not order runners for this service
};
/// A client with a quota and access keys.
struct Subscriber {
  std::string label;
  int precedence = -1;   ///< priority class of the requests; -1: the class of the route applies
  double ratePerS = 0;   ///< quota in requests a second; 0: no quota
  double burstSize = 0;  ///< requests that may exceed `ratePerS` in a burst
};
/// Size limits and timeouts for client connections.
struct Limits {
  std::size_t maxHeaderBytes = 16384;
  std::size_t maxBodyBytes = 4194304;
  Duration headerTimeout{3000};  ///< time limit for receiving a request's header
  Duration idleTimeout{15000};   ///< an idle connection is closed after this time
};
/// A valid configuration.
struct Configuration {
  std::int64_t version = 0;  ///< always above 0
  std::vector<Route> routes;
  std::vector<Service> services;
  /// Whether requests need an access key, except on keyless routes: the configuration has a list of subscribers, which
  /// may be empty. With an empty list no key is valid.
  bool requiresAccessKeys = false;
  std::vector<Subscriber> subscribers;
  std::unordered_map<std::string, int> subscriberByAccessKey;           ///< index into `subscribers`
  std::unordered_map<std::string, std::vector<int>> routesByAuthority;  ///< indexes into `routes`, longest prefix first
  Limits limits;
  /// Finds the route of a request: the longest prefix of the path among the host's routes.
  /// @param host the `Host` header as the client sent it: case-insensitive, with or without a port
  /// @param path the request target, with or without a query
  /// @return index into `routes`, or -1 if none matches
  int find(std::string_view host, std::string_view path) const;
  /// Finds the subscriber that owns an access key.
  /// @return index into `subscribers`, or -1 if the key is unknown
  int findSubscriber(std::string_view key) const;
};
/// Parses and checks a configuration.
/// @return the configuration, or `ErrorCode::invalidArgument` with the first problem
Result<std::shared_ptr<const Configuration>> parseConfiguration(std::string_view text);
}  // namespace zinccleat::config
