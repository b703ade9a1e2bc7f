/// @file
/// The state that the components of one controller share. Everything here belongs to the event-loop thread.
#pragma once
#include "config/configuration.hpp"
#include "config/settings.hpp"
#include "consensus/raft_node.hpp"
#include "member_zones.hpp"
#include "state_machine/replicated_state.hpp"
#include "transport/partial_view.hpp"
namespace zinccleat::controller {
/// Bytes. The body of a larger write is sent ahead of its log entry by the controller that took the write.
constexpr std::size_t kLargeBodyBytes = 16384;

/// Each member has one writer, named beside it; all other components only read.
struct ControllerContext {
  /// @param initialSettings the settings as they were read at the start.
  explicit ControllerContext(config::Settings initialSettings);
  config::Settings settings;                                   ///< written by `ControllerNode`
  std::unique_ptr<consensus::RaftNode> raft;                   ///< set once, by `ControllerNode::start`
  state_machine::ReplicatedState replica;                      ///< written by `RaftDriver`
  std::shared_ptr<const config::Configuration> configuration;  ///< the replica's, parsed; null: none. By `RaftDriver`
  MemberZones zones;               ///< of the controllers that are up; written by `RunnerLiveness`
  transport::PartialView view;     ///< of the other machines; written by whoever receives a message
  std::int64_t seedsDeclined = 0;  ///< starts that found nobody to join in the settings; written at startup

  /// Whether this controller leads; it may hold no lease yet.
  bool isLeader() const { return raft->role() == consensus::Role::leader; }
  /// Whether another controller leads, as far as is known here.
  bool knowsOtherLeader() const { return !raft->leader().empty() && raft->leader() != raft->self(); }
};
/// The name under which a controller at this address stands in the partial views of all machines.
std::string viewNameOfController(const std::string& address);
}  // namespace zinccleat::controller
