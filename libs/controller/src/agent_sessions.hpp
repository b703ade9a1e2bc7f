/// The access machines' agents that are linked to this core machine: who leads is told to each, and the leader feeds
/// those that follow it with committed entries, snapshots and bodies ahead.
#pragma once
#include "core_context.hpp"
#include "transport/access_messages.hpp"
#include "transport/peer_link.hpp"
namespace zinccleat::controller {
class AgentSessions {
 public:
  explicit AgentSessions(CoreContext& core) : core_(core) {}
  void onState(const transport::PeerLinkPtr& link, const std::string& agent, const transport::AgentState& state);
  void onFollow(const transport::PeerLinkPtr& link, const std::string& agent, const transport::FollowLog& message);
  /// To all: who leads, who votes, how far it is committed.
  void tellAll();
  /// For the leader, after each commit.
  void feedAll();
  /// This machine leads no more.
  void stopFeeding();
  /// An agent that says nothing for long has another link by now, or is gone: nothing is kept for it.
  void dropSilent(TimePoint now);
  /// The body of a large write, ahead of its number.
  void sendBody(const transport::LogEntry& entry);

  std::size_t count() const { return sessions_.size(); }
  /// Bytes that agents have not read yet.
  std::size_t waitingBytes() const;
  /// The lowest number that an agent has applied, at most `newest`.
  std::int64_t lowestApplied(std::int64_t newest) const;

 private:
  using Frame = std::shared_ptr<const std::string>;
  struct Session {
    transport::PeerLinkPtr link;
    std::int64_t fed = -1;       // -1: asks for nothing here
    std::int64_t applied = 0;    // by its state messages
    int statesAnswered = 0;      // on this link
    std::size_t votersTold = 0;  // a hash of the voters last told
    std::string held;            // digest of the configuration that it says it holds
  };
  transport::ClusterStatus standing();
  template <class T>
  transport::Envelope fromUs(const T& message) const;
  void feed(Session& session);
  void feedEntriesInFull(Session& session);
  /// What brings a copy from a number to the newest, encoded once for all agents that stand there.
  Frame frameFrom(std::int64_t number, const std::string& held);
  transport::FeedSnapshot snapshotFor(std::int64_t number, const std::string& held) const;
  transport::FeedEntries entriesAfter(std::int64_t number) const;
  /// The node that took a large write has fanned its body out already, to the agents linked to it.
  transport::FeedEntries withoutBodiesAhead(transport::FeedEntries feed) const;

  CoreContext& core_;
  std::map<std::string, Session> sessions_;  // by agent
  std::map<std::pair<std::int64_t, std::string>, Frame> frames_;
  std::int64_t framesOf_ = -1;  // the newest number that they bring a copy to
};
}  // namespace zinccleat::controller
