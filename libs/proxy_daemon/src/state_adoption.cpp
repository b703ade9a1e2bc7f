#include "proxy_daemon/state_adoption.hpp"

#include "runtime/log_ring.hpp"

namespace zinccleat::proxy_daemon {
bool StateAdoption::adopt(const state_machine::StateContents& state, state_machine::ReplicatedState::Change change) {
  if (change.runners)
    context_.runners.followRunners(state.runners, Clock::now());
  if (change.zoneDrains)
    adoptZoneDrains(state);
  if (change.rollouts)
    context_.revisions.setRollouts(state.rollouts);
  return change.configuration && !state.configuration.empty() && adoptConfiguration(state);
}
void StateAdoption::adoptEjections(const transport::LeaseResponse& response) {
  if (response.outliersVersion == 0 || response.outliersVersion == ejectionsVersion_)
    return;
  ejectionsVersion_ = response.outliersVersion;
  context_.runners.setEjected(response.outliers);
}
void StateAdoption::adoptZoneDrains(const state_machine::StateContents& state) {
  auto levels = drainLevels(zones_, state.zoneDrains);
  const auto ownLevel = levels.find(context_.zone);
  context_.zoneDraining = ownLevel != levels.end() && ownLevel->second.migrateStreams;
  addEvacuations(levels, zones_, state.evacuatedZones);
  context_.runners.setZoneDrains(std::move(levels));
  context_.runners.setEvacuations(state.evacuatedZones, Clock::now());
}
bool StateAdoption::adoptConfiguration(const state_machine::StateContents& state) {
  const auto configuration = config::parseConfiguration(state.configuration);
  if (!configuration) {
    log::error("configuration_unreadable", {{"version", state.version}, {"reason", configuration.error().message}});
    return false;
  }
  context_.configuration = *configuration;
  context_.runners.setServices((*configuration)->services);
  return true;
}
}  // namespace zinccleat::proxy_daemon
