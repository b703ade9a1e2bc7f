/// Hands the fleet's state, as the replica has it, to the proxy.
#pragma once
#include "proxy/proxy_context.hpp"
#include "proxy_daemon/zone_drains.hpp"
#include "state_machine/replicated_state.hpp"
#include "transport/access_messages.hpp"
namespace zinccleat::proxy_daemon {
/// Guarantees: adoption happens without yielding, so no request sees half of a change; requests in flight keep the
/// configuration with which they began.
class StateAdoption {
 public:
  /// @param context must outlive this object.
  StateAdoption(proxy::ProxyContext& context, ZoneToRegion zones) : context_(context), zones_(std::move(zones)) {}
  /// Takes over what has changed.
  /// @return whether the proxy has another configuration now.
  bool adopt(const state_machine::StateContents& state, state_machine::ReplicatedState::Change change);
  /// Takes over the leader's list of ejected runners, if the response has another version of it.
  void adoptEjections(const transport::LeaseResponse& response);
  /// The version of that list; 0: none has come.
  std::int64_t ejectionsVersion() const { return ejectionsVersion_; }

 private:
  void adoptZoneDrains(const state_machine::StateContents& state);
  bool adoptConfiguration(const state_machine::StateContents& state);

  proxy::ProxyContext& context_;
  ZoneToRegion zones_;
  std::int64_t ejectionsVersion_ = 0;
};
}  // namespace zinccleat::proxy_daemon
