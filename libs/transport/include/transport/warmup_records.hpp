/// @file
/// The record in lease messages by which the leader limits requests from proxies to runners that are warming up.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::transport {
/// The number of requests that a proxy may send to a runner that is warming up, within `kWarmupGrantLifetime` after the
/// proxy's request for the grant.
struct WarmupGrant {
  std::string runner;
  std::int32_t requests = 0;
  /// Lists the fields in wire order.
  template <class Visitor>
  void fields(Visitor& v) {
    v("runner", runner), v("requests", requests);
  }
};
/// How long a `WarmupGrant` is valid, from the time at which the proxy requested the grant.
constexpr Duration kWarmupGrantLifetime{700};
}  // namespace zinccleat::transport
