/// @file
/// Sessions of a controller with the agents on access machines. Every controller tells the agents connected to it who
/// the leader is, and sends committed entries and snapshots to those agents of its own zone that follow its log. The
/// leader sends them to the agents of all zones. Committed entries are identical on every member, so an agent may
/// switch to another controller at any index. Only the leader grants leases, and each lease carries the index that the
/// agent must have applied before it may use the lease. A lagging controller can therefore delay its agents but cannot
/// make them serve stale state.
///
/// Sessions are not persisted: an agent that loses its connection opens another one and reports its position. All
/// sessions are changed only here, on the event-loop thread.
#pragma once
#include "controller_context.hpp"
#include "transport/access_messages.hpp"
#include "transport/peer_link.hpp"
namespace zinccleat::controller {
/// The sessions of all agents connected to this controller; see the file comment.
class AgentSessions {
 public:
  /// @param context must outlive this object.
  explicit AgentSessions(ControllerContext& context) : context_(context) {}
  /// Answers with the cluster status. A new connection replaces the agent's previous one.
  void onAgentState(const transport::PeerLinkPtr& link, const std::string& agent, const transport::AgentState& state);
  /// Handles a request to follow the log from an index, to fetch everything again, or to unsubscribe. Every controller
  /// answers with the cluster status. A controller that neither leads nor is in the agent's zone sends no entries.
  void onFollowLog(const transport::PeerLinkPtr& link, const std::string& agent, const transport::FollowLog& request);
  /// Sends the leader, the voters and the commit index to all agents.
  void broadcastStatus();
  /// Sends each subscribed agent the entries that it is missing. Called after each commit.
  void feedAll();
  /// Called when this controller loses the leadership. Stops sending entries to agents of other zones, which switch to
  /// the new leader.
  void stopFeedingOtherZones();
  /// Closes the sessions of agents that have sent nothing within the session timeout: such an agent has reconnected
  /// elsewhere or has stopped.
  void closeSilentSessions(TimePoint now);
  /// Sends the body of a large write to all agents before the log entry itself.
  void sendBodyAhead(const transport::LogEntry& entry);

  /// Number of agents with a session.
  std::size_t count() const { return sessions_.size(); }
  /// Bytes queued for agents that have not read them yet.
  std::size_t backlogBytes() const;
  /// The lowest index that any connected agent has applied, at most `newest`.
  std::int64_t lowestApplied(std::int64_t newest) const;

 private:
  using Frame = std::shared_ptr<const std::string>;
  struct Session {
    transport::PeerLinkPtr link;
    std::optional<std::int64_t> sentIndex;  ///< index of the newest entry sent; none: the agent is not subscribed here
    std::int64_t lastApplied = 0;           ///< index reported in the agent's state messages
    int statesAnswered = 0;                 ///< number of state messages answered on this connection
    std::size_t sentMembersHash = 0;        ///< hash of the voters and zones last sent on this connection
    /// The agent is in this controller's zone and is served whether or not this controller leads.
    bool inOwnZone = false;
    std::string cachedDigest;  ///< digest of the configuration that the agent has cached
  };
  /// A snapshot, encoded once and reused for all agents that need one until it is too old.
  struct SnapshotFrame {
    std::int64_t index = 0;
    std::string digest;  ///< digest of the configuration in the snapshot
    Frame frame;
  };
  transport::ClusterStatus clusterStatus();
  template <class Message>
  transport::Envelope pack(const Message& message) const;
  void feed(Session& session);
  /// Answers a refetch request: sends all entries with their bodies, including bodies that were sent ahead before.
  void feedWithBodies(Session& session);
  /// Whether an agent at `index` needs a snapshot because the entries after `index` are no longer all available.
  bool needsSnapshot(std::int64_t index) const;
  /// Returns an encoded snapshot for an agent that has cached the configuration with this digest. All log entries after
  /// the snapshot's index are still available.
  const SnapshotFrame& snapshotFrame(std::int64_t index, const std::string& cachedDigest);
  /// Returns the entries after `index`, encoded once for all agents at the same position.
  Frame entriesFrame(std::int64_t index);
  transport::FeedSnapshot snapshotFor(std::int64_t index, const std::string& cachedDigest) const;
  transport::FeedEntries entriesAfter(std::int64_t index) const;
  /// Removes large bodies that the controller which accepted the write has already sent to its agents.
  transport::FeedEntries withoutBodiesAhead(transport::FeedEntries feed) const;

  ControllerContext& context_;
  std::map<std::string, Session> sessions_;      // keyed by agent id
  std::map<std::int64_t, Frame> entriesFrames_;  // encoded entries, keyed by the index of the last entry before them
  std::int64_t framesCommitIndex_ = -1;          // commit index up to which the cached frames reach
  // Keyed by the digest that the agent has cached; an empty digest stands for a complete snapshot.
  std::map<std::string, SnapshotFrame> snapshots_;
};
}  // namespace zinccleat::controller
