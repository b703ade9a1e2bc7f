/// @file
/// State shared by the components of one controller. All of it belongs to the event-loop thread.
#pragma once
#include "config/configuration.hpp"
#include "config/settings.hpp"
#include "consensus/raft_node.hpp"
#include "member_zones.hpp"
#include "state_machine/replicated_state.hpp"
#include "transport/accepted_links.hpp"
#include "transport/partial_view.hpp"
namespace zinccleat::controller {
/// Size in bytes above which the body of a write is sent ahead of its log entry, by the controller that accepted the
/// write.
constexpr std::size_t kLargeBodyBytes = 16384;

/// Shared state. Each data member has a single writer, named in its comment; all other components only read it.
struct ControllerContext {
  /// @param initialSettings the settings as read at startup.
  explicit ControllerContext(config::Settings initialSettings);
  config::Settings settings;                  ///< written by `ControllerNode`
  std::unique_ptr<consensus::RaftNode> raft;  ///< set once, by `ControllerNode::start`
  state_machine::ReplicatedState replica;     ///< written by `RaftDriver`
  /// Parsed configuration of the replica; null: none yet; written by `RaftDriver`.
  std::shared_ptr<const config::Configuration> configuration;
  MemberZones zones;  ///< zones of the controllers that are up; written by `RunnerLiveness`
  /// Partial view of the other machines; written by each component that receives messages.
  transport::PartialView view;
  /// The links accepted from controllers and agents, at all ports; written by `PeerLinks`.
  mutable transport::AcceptedLinks acceptedLinks;
  /// Number of starts whose settings named no other controller to join; written at startup.
  std::int64_t seedsDeclined = 0;

  /// Whether this controller is the leader. A leader does not necessarily hold a lease yet.
  bool isLeader() const { return raft->role() == consensus::Role::leader; }
  /// Whether this controller knows of another controller that is the leader.
  bool knowsOtherLeader() const { return !raft->leader().empty() && raft->leader() != raft->self(); }
};
/// Returns the name under which the controller at this address appears in the partial views of all machines.
std::string viewNameOfController(const std::string& address);
}  // namespace zinccleat::controller
