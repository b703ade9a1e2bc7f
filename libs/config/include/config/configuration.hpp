// The operator's configuration: read in full, checked in full, or refused.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::config {
enum class RouteType { safe, unsafe, stream };
struct Target {
  int service = 0;  // index into Configuration::services
  std::uint32_t weight = 1;
};
struct Route {
  std::string label, authority, pathPrefix;
  RouteType type = RouteType::unsafe;
  Duration expiry{0}, latencyTarget{0}, gapTarget{0};
  int precedence = 5, maxAttempts = 1;
  bool keyless = false, sessionAffinity = false, streamResume = false;
  std::vector<Target> targets;
  std::uint64_t totalWeight = 0;
  bool idempotent() const { return type == RouteType::safe || (type == RouteType::stream && streamResume); }
};
struct Service {
  std::string label, healthPath;
  int connLimit = 0;
  bool engine = false;
  int capacity = 0;
  std::int64_t kvCapacity = 0;
  int stride = 1;
};
struct Subscriber {
  std::string label;
  int precedence = -1;
  double ratePerS = 0, burstSize = 0;
};
struct Limits {
  std::size_t maxHeaderBytes = 16384, maxBodyBytes = 4194304;
  Duration headerTimeout{3000}, idleTimeout{15000};
};
struct Configuration {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Subscriber> subscribers;
  std::unordered_map<std::string, int> keys;                 // key -> subscriber
  std::unordered_map<std::string, std::vector<int>> byHost;  // longest prefix first
  Limits limits;
  int find(std::string_view host, std::string_view path) const;  // -1: none fits
  int findSubscriber(std::string_view key) const;                // -1: unknown
};
Result<std::shared_ptr<const Configuration>> parseConfiguration(std::string_view text);
}  // namespace zinccleat::config
