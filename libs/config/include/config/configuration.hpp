/// The operators' configuration: routes, services, subscribers and limits of one fleet.
///
/// A configuration is immutable and shared. It is parsed and checked as a whole: either all of it is valid, or
/// `parseConfiguration` returns an error that names the first problem.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::config {
/// What a route's requests allow a retry to do.
enum class RouteType {
  safe,    ///< idempotent requests
  unsafe,  ///< requests that a runner must get at most once
  stream,  ///< answers that are event streams
};
/// One of a route's services.
struct Target {
  int service = 0;           ///< index into `Configuration::services`
  std::uint32_t weight = 1;  ///< its part of the route's requests, in `Route::totalWeight`
};
/// Which requests go to which services, and how.
struct Route {
  std::string label;
  std::string authority;   ///< host in lower case, without a port
  std::string pathPrefix;  ///< begins and ends with a slash
  RouteType type = RouteType::unsafe;
  Duration expiry{0};             ///< a request is answered within this; always above 0
  Duration latencyTarget{0};      ///< latency target (SLO) of the first byte; 0: none
  Duration gapTarget{0};          ///< checked only: nothing uses it
  int precedence = 5;             ///< priority class: 0 is served first
  int maxAttempts = 1;            ///< attempts of a request, the first included
  bool keyless = false;           ///< serves clients without an access key
  bool sessionAffinity = false;   ///< requests that share a prompt prefix go to the same runner
  bool streamResume = false;      ///< another runner may take over a stream that broke off
  std::vector<Target> targets;    ///< never empty
  std::uint64_t totalWeight = 0;  ///< sum of the targets' weights; always above 0
  /// Whether a request may be sent again although a runner may have executed it.
  bool idempotent() const { return type == RouteType::safe || (type == RouteType::stream && streamResume); }
};
/// How many runners of a service the platform may be asked for, in each zone where it runs.
struct Scaling {
  int min = 0;
  int max = 0;
  Duration startup{0};  ///< from an order until its runners serve
  bool operator==(const Scaling&) const = default;
};
/// A kind of runner that routes send requests to.
struct Service {
  std::string label;
  std::string healthPath;          ///< path of the runners' health check
  int connLimit = 0;               ///< checked only: nothing uses it
  bool engine = false;             ///< its runners are inference engines, described by what follows
  int capacity = 0;                ///< requests that a runner works on at once
  std::int64_t kvCapacity = 0;     ///< tokens that a runner's KV cache takes
  int stride = 1;                  ///< checked only: nothing uses it
  Duration warmup{0};              ///< how long a runner is slow after a start or the loss of its caches
  double warmupRequestsPerS = 0;   ///< requests a second that it bears meanwhile; 0: no bound
  std::optional<Scaling> scaling;  ///< none: the number of its runners is not ours to order
};
/// A client with a quota and access keys.
struct Subscriber {
  std::string label;
  int precedence = -1;   ///< priority class of its requests; -1: that of the route
  double ratePerS = 0;   ///< quota in requests a second; 0: no quota
  double burstSize = 0;  ///< requests that it may send at once beyond the rate
};
/// Bounds for what clients send.
struct Limits {
  std::size_t maxHeaderBytes = 16384;
  std::size_t maxBodyBytes = 4194304;
  Duration headerTimeout{3000};  ///< a request's header arrives within this
  Duration idleTimeout{15000};   ///< a connection without a request is closed after this
};
/// A valid configuration.
struct Configuration {
  std::int64_t version = 0;  ///< always above 0
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Subscriber> subscribers;
  std::unordered_map<std::string, int> subscriberByAccessKey;           ///< index into `subscribers`
  std::unordered_map<std::string, std::vector<int>> routesByAuthority;  ///< indexes into `routes`, longest prefix first
  Limits limits;
  /// Finds the route of a request: the longest prefix of the path among the host's routes.
  /// @param host as the client sent it: in any case, with or without a port
  /// @param path with or without a query
  /// @return index into `routes`, or -1 if none matches
  int find(std::string_view host, std::string_view path) const;
  /// @return index into `subscribers` of the one that has this access key, or -1
  int findSubscriber(std::string_view key) const;
};
/// Parses and checks a configuration.
/// @return the configuration, or `ErrorCode::invalidArgument` with the first problem
Result<std::shared_ptr<const Configuration>> parseConfiguration(std::string_view text);
}  // namespace zinccleat::config
