/// What the parts of one core machine share: its settings, its member of the replicated log, the applied copy.
#pragma once
#include "config/configuration.hpp"
#include "config/settings.hpp"
#include "consensus/raft_node.hpp"
#include "state_machine/replicated_state.hpp"
#include "transport/partial_view.hpp"
namespace zinccleat::controller {
constexpr std::size_t kLargeBody = 16384;  // bytes; above this a write's body goes ahead from the node that took it

struct CoreContext {
  explicit CoreContext(config::Settings given);
  config::Settings settings;
  std::unique_ptr<consensus::RaftNode> raft;  // from `Core::start` on
  state_machine::ReplicatedState copy;
  std::shared_ptr<const config::Configuration> configuration;  // of the copy, parsed; none yet: null
  transport::PartialView view;                                 // of the other machines
  std::int64_t seedsDeclined = 0;                              // starts with settings whose seeds name nobody to join

  bool isLeader() const { return raft->role() == consensus::Role::leader; }
  /// Another machine leads, as far as is known here.
  bool knowsOtherLeader() const { return !raft->leader().empty() && raft->leader() != raft->self(); }
};
}  // namespace zinccleat::controller
