/// Applies the fleet's replicated state to the proxy.
#pragma once
#include "proxy/proxy_context.hpp"
#include "proxy_daemon/zone_drains.hpp"
#include "state_machine/replicated_state.hpp"
#include "transport/access_messages.hpp"
namespace zinccleat::proxy_daemon {
/// Guarantees: a change is applied without yielding to other fibers, so no request sees a partly applied change.
/// Requests in flight keep the configuration with which they started.
class StateAdoption {
 public:
  /// @param context must outlive this object.
  StateAdoption(proxy::ProxyContext& context, ZoneToRegion zones) : context_(context), zones_(std::move(zones)) {}
  /// Applies the changed parts of the state.
  /// @param change which parts of the state have changed.
  /// @return whether the proxy's configuration was replaced.
  bool adopt(const state_machine::StateContents& state, state_machine::ReplicatedState::Change change);
  /// Applies the leader's list of ejected runners if its version differs from `ejectionsVersion()`.
  void adoptEjections(const transport::LeaseResponse& response);
  /// Version of the list of ejected runners that was applied last; 0 if no list has been received.
  std::int64_t ejectionsVersion() const { return ejectionsVersion_; }

 private:
  void adoptZoneDrains(const state_machine::StateContents& state);
  bool adoptConfiguration(const state_machine::StateContents& state);

  proxy::ProxyContext& context_;
  ZoneToRegion zones_;
  std::int64_t ejectionsVersion_ = 0;
};
}  // namespace zinccleat::proxy_daemon
