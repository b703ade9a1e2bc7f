/// @file
/// The leader's and followers' sessions with the agents of access machines. Every controller tells the agents linked
/// to it who leads, and feeds those of its own zone that follow its log with committed entries and snapshots; the
/// leader feeds those of all zones. What is committed is the same on every member, so an agent may change from one to
/// another at any index. Leases come from the leader alone, with the index that an agent must have applied before it
/// uses one: a controller that lags can delay its agents, never make them serve what is old.
///
/// A session is soft state: an agent that loses its link opens another one and says where it stands. All sessions are
/// changed here only, on the event-loop thread.
#pragma once
#include "controller_context.hpp"
#include "transport/access_messages.hpp"
#include "transport/peer_link.hpp"
namespace zinccleat::controller {
/// The sessions of all agents linked to this controller; see the file's comment.
class AgentSessions {
 public:
  /// @param context must outlive this.
  explicit AgentSessions(ControllerContext& context) : context_(context) {}
  /// Answers with the cluster's status. A new link replaces the agent's earlier one.
  void onAgentState(const transport::PeerLinkPtr& link, const std::string& agent, const transport::AgentState& state);
  /// The agent wants every entry after those that it has applied, or all of them anew, or no more of them. Every
  /// controller answers with the status of the cluster; one that neither leads nor stands in the agent's zone sends no
  /// entries.
  void onFollowLog(const transport::PeerLinkPtr& link, const std::string& agent, const transport::FollowLog& request);
  /// Sends all agents who leads, who votes and how far the log is committed.
  void broadcastStatus();
  /// Sends each agent that follows this controller what it lacks. After each commit.
  void feedAll();
  /// This controller no longer leads: agents of other zones ask the new leader.
  void stopFeedingOtherZones();
  /// Ends the sessions of agents that have said nothing for long: they have another link by now, or have ended.
  void closeSilentSessions(TimePoint now);
  /// Sends all agents the body of a large write, ahead of its entry.
  void sendBodyAhead(const transport::LogEntry& entry);

  /// Agents with a session.
  std::size_t count() const { return sessions_.size(); }
  /// Bytes sent that agents have not read yet.
  std::size_t backlogBytes() const;
  /// The lowest index that a linked agent has applied, at most `newest`.
  std::int64_t lowestApplied(std::int64_t newest) const;

 private:
  using Frame = std::shared_ptr<const std::string>;
  struct Session {
    transport::PeerLinkPtr link;
    std::optional<std::int64_t> sentIndex;  ///< newest entry sent; none: the agent does not follow this controller
    std::int64_t lastApplied = 0;           ///< by its state messages
    int statesAnswered = 0;                 ///< on this link
    std::size_t sentMembersHash = 0;        ///< of the voters and zones last sent on this link
    bool inOwnZone = false;                 ///< fed by this controller whether or not it leads
    std::string cachedDigest;               ///< of the configuration that the agent has
  };
  /// A snapshot, encoded once for all agents that need one until it is too old.
  struct SnapshotFrame {
    std::int64_t index = 0;
    std::string digest;  ///< of its configuration
    Frame frame;
  };
  transport::ClusterStatus clusterStatus();
  template <class Message>
  transport::Envelope pack(const Message& message) const;
  void feed(Session& session);
  /// The answer to a refetch: nothing is left out because it was sent ahead.
  void feedWithBodies(Session& session);
  /// Whether entries alone do not bring an agent from `index` to the newest one.
  bool needsSnapshot(std::int64_t index) const;
  /// A snapshot for an agent that has the configuration with this digest; the entries behind it are still there.
  const SnapshotFrame& snapshotFrame(std::int64_t index, const std::string& cachedDigest);
  /// The entries behind `index`, encoded once for all agents that stand there.
  Frame entriesFrame(std::int64_t index);
  transport::FeedSnapshot snapshotFor(std::int64_t index, const std::string& cachedDigest) const;
  transport::FeedEntries entriesAfter(std::int64_t index) const;
  /// Leaves out large bodies that the controller which took the write has sent to its agents already.
  transport::FeedEntries withoutBodiesAhead(transport::FeedEntries feed) const;

  ControllerContext& context_;
  std::map<std::string, Session> sessions_;         // by agent
  std::map<std::int64_t, Frame> entriesFrames_;     // by the index behind which they begin
  std::int64_t framesCommitIndex_ = -1;             // the index to which the cached entries lead
  std::map<std::string, SnapshotFrame> snapshots_;  // by the digest that the agent has cached; empty: complete
};
}  // namespace zinccleat::controller
