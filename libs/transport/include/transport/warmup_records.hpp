/// @file
/// The record about runners in their slow start that lease messages carry from the leader to proxies.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::transport {
/// Requests that a proxy may send to a runner that is warming up, within `kWarmupGrantLifetime` of its own request for
/// the grant.
struct WarmupGrant {
  std::string runner;
  std::int32_t requests = 0;
  /// Lists the fields in wire order.
  template <class Visitor>
  void fields(Visitor& v) {
    v("runner", runner), v("requests", requests);
  }
};
/// How long a `WarmupGrant` holds, counted from when the proxy asked for it.
constexpr Duration kWarmupGrantLifetime{700};
}  // namespace zinccleat::transport
