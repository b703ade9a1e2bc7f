#include "agent_sessions.hpp"

#include <cstddef>

#include "runtime/log_ring.hpp"

namespace zinccleat::controller {
namespace {
// Backlog of one agent, in bytes, above which no further entries are sent to it for now.
constexpr std::size_t kMaxBacklogBytes = std::size_t{64} * 1024;
// Number of controllers that an agent connects to. With more voters than this, an agent would miss bodies that another
// controller sends ahead.
constexpr std::size_t kLinksPerAgent = 3;
// A cached snapshot is reused together with the entries after it while there are at most this many of them, or half as
// many as there are runners if that is more. After that a new snapshot is made.
constexpr std::int64_t kMinEntriesBehindSnapshot = 256;
// Snapshots are cached per configuration digest that agents have; this covers the last few configuration versions.
constexpr std::size_t kMaxCachedSnapshots = 8;
constexpr auto kSessionTimeout = 6s;
// One in this many answers to an agent's state messages includes voters, zones and view even if they are unchanged.
constexpr int kFullStatusInterval = 8;

/// Removes the body of usage reports: their size grows with the number of tenants, and only controllers need them.
transport::LogEntry forDataPlane(const transport::LogEntry& entry) {
  if (entry.op() != transport::OperationKind::usageReport)
    return entry;
  auto stripped = entry;
  stripped.body.clear();
  return stripped;
}
/// Hash of the voters, addresses and zones in a status message.
std::size_t membersHashOf(const transport::ClusterStatus& status) {
  std::size_t hash = 0;
  for (const auto& voter : status.voters)
    hash = hash64(voter, hash);
  for (const auto& member : status.extension.members)
    hash = hash64(member.zone, hash64(member.address, hash));
  return hash;
}
}  // namespace

transport::ClusterStatus AgentSessions::clusterStatus() {
  const auto& raft = *context_.raft;
  transport::ClusterStatus status;
  status.term = raft.term();
  status.leader = raft.leader();
  status.voters = raft.voters();
  status.commitIndex = raft.commitIndex();
  status.view = context_.view.sample();
  status.extension.members = context_.zones.membersUp(Clock::now());
  return status;
}
template <class Message>
transport::Envelope AgentSessions::pack(const Message& message) const {
  return transport::pack(message, context_.raft->self());
}
void AgentSessions::onAgentState(const transport::PeerLinkPtr& link, const std::string& agent,
                                 const transport::AgentState& state) {
  auto& session = sessions_[agent];
  if (session.link != link) {
    if (session.link)
      session.link->close();
    session = Session{};
    session.link = link;
  }
  context_.view.add(consensus::addressOf(agent) + "/access");
  context_.view.merge(state.view);
  session.lastApplied = state.lastApplied;
  auto status = clusterStatus();
  // Voters, zones and view are left out if this connection has carried the same values already.
  const auto membersHash = membersHashOf(status);
  const bool membersKnown = std::exchange(session.sentMembersHash, membersHash) == membersHash;
  if (membersKnown && session.statesAnswered % kFullStatusInterval != 0) {
    status.voters.clear();
    status.view.clear();
    status.extension.members.clear();
  }
  ++session.statesAnswered;
  link->send(pack(status));
}
void AgentSessions::onFollowLog(const transport::PeerLinkPtr& link, const std::string& agent,
                                const transport::FollowLog& request) {
  if (request.extension.unsubscribe) {
    if (const auto subscribed = sessions_.find(agent); subscribed != sessions_.end())
      subscribed->second.sentIndex.reset();
    return;
  }
  auto& session = sessions_[agent];
  // A refetch is ignored while an earlier answer is still queued: a slow reader would otherwise be sent the same
  // entries repeatedly.
  if (request.refetch && session.link == link && session.sentIndex && link->backlog() > 0)
    return;
  const auto from = std::max<std::int64_t>(0, request.lastApplied);
  session.link = link;
  link->setPeerZone(request.extension.zone);
  session.inOwnZone = !request.extension.zone.empty() && request.extension.zone == context_.zones.ownZone();
  session.cachedDigest = request.cachedDigest;
  if (!context_.isLeader() && !session.inOwnZone) {
    session.sentIndex.reset();
    return link->send(pack(clusterStatus()));
  }
  session.sentIndex = from;
  // An agent that discards its applied state needs a snapshot at least as new as that state.
  if (request.refetch && from == 0)
    snapshots_.clear();
  // An agent that starts from index 0 gets a snapshot instead of entries.
  if (request.refetch && from > 0 && from + 1 >= context_.raft->firstIndex())
    return feedWithBodies(session);
  feed(session);
  link->send(pack(clusterStatus()));
}
transport::FeedEntries AgentSessions::entriesAfter(std::int64_t index) const {
  const auto& raft = *context_.raft;
  transport::FeedEntries feed;
  feed.term = raft.term();
  feed.newestIndex = raft.commitIndex();
  for (auto next = index + 1; next <= raft.commitIndex(); ++next)
    feed.entries.push_back(forDataPlane(*raft.entryAt(next)));
  return feed;
}
transport::FeedSnapshot AgentSessions::snapshotFor(std::int64_t index, const std::string& cachedDigest) const {
  transport::FeedSnapshot feed;
  feed.term = context_.raft->term();
  feed.lastIncludedIndex = context_.replica.state().index;
  // A configuration that the agent has cached is not sent again, unless the agent starts from index 0.
  feed.state = context_.replica.snapshotFor(index == 0 ? std::string{} : cachedDigest);
  return feed;
}
void AgentSessions::feedWithBodies(Session& session) {
  const auto feed = entriesAfter(*session.sentIndex);
  session.sentIndex = feed.newestIndex;
  session.link->sendBulk(transport::encodeFrame(pack(feed)));
}
transport::FeedEntries AgentSessions::withoutBodiesAhead(transport::FeedEntries feed) const {
  const auto& raft = *context_.raft;
  if (raft.voters().size() > kLinksPerAgent)
    return feed;
  for (auto& entry : feed.entries) {
    const bool acceptedHere = entry.operationId.starts_with(raft.self() + "/");
    if (acceptedHere || entry.digest.empty() || entry.body.size() <= kLargeBodyBytes)
      continue;
    entry.body.clear();
    entry.omitted = true;
  }
  return feed;
}
bool AgentSessions::needsSnapshot(std::int64_t index) const {
  return index == 0 || index + 1 < context_.raft->firstIndex();
}
const AgentSessions::SnapshotFrame& AgentSessions::snapshotFrame(std::int64_t index, const std::string& cachedDigest) {
  // An agent that starts from index 0 gets a complete snapshot.
  const auto digest = index == 0 ? std::string{} : cachedDigest;
  if (!snapshots_.contains(digest) && snapshots_.size() >= kMaxCachedSnapshots)
    snapshots_.clear();
  auto& cached = snapshots_[digest];
  const auto runners = static_cast<std::int64_t>(context_.replica.state().runners.size());
  const auto maxEntriesBehind = std::max(kMinEntriesBehindSnapshot, runners / 2);
  const bool usable = cached.frame && !needsSnapshot(cached.index) && cached.index > index &&
                      context_.raft->commitIndex() - cached.index <= maxEntriesBehind;
  if (usable)
    return cached;
  const auto snapshot = snapshotFor(index, cachedDigest);
  cached.index = snapshot.lastIncludedIndex;
  cached.digest = context_.replica.state().digest;
  cached.frame = std::make_shared<const std::string>(transport::encodeFrame(pack(snapshot)));
  return cached;
}
AgentSessions::Frame AgentSessions::entriesFrame(std::int64_t index) {
  if (std::exchange(framesCommitIndex_, context_.raft->commitIndex()) != context_.raft->commitIndex())
    entriesFrames_.clear();
  auto& frame = entriesFrames_[index];
  if (!frame)
    frame = std::make_shared<const std::string>(transport::encodeFrame(pack(withoutBodiesAhead(entriesAfter(index)))));
  return frame;
}
void AgentSessions::feed(Session& session) {
  const auto newest = context_.raft->commitIndex();
  const bool lacksEntries = session.sentIndex && *session.sentIndex < newest;
  if (!lacksEntries || !session.link->open() || session.link->backlog() > kMaxBacklogBytes)
    return;
  if (needsSnapshot(*session.sentIndex)) {
    const auto& snapshot = snapshotFrame(*session.sentIndex, session.cachedDigest);
    session.link->sendBulk(snapshot.frame);
    session.sentIndex = snapshot.index;
    session.cachedDigest = snapshot.digest;
  }
  if (*session.sentIndex >= newest)
    return;
  session.link->sendBulk(entriesFrame(*session.sentIndex));
  session.sentIndex = newest;
  session.cachedDigest = context_.replica.state().digest;
}
void AgentSessions::feedAll() {
  for (auto& [agent, session] : sessions_)
    feed(session);
  entriesFrames_.clear();
}
void AgentSessions::stopFeedingOtherZones() {
  for (auto& [agent, session] : sessions_)
    if (!session.inOwnZone)
      session.sentIndex.reset();
}
void AgentSessions::broadcastStatus() {
  std::erase_if(sessions_, [](const auto& session) { return !session.second.link->open(); });
  const auto status = pack(clusterStatus());
  for (auto& [agent, session] : sessions_)
    session.link->send(status);
}
void AgentSessions::closeSilentSessions(TimePoint now) {
  std::erase_if(sessions_, [now](const auto& entry) {
    const auto& [agent, session] = entry;
    const bool open = session.link->open();
    if (open && now - session.link->lastReceivedAt() < kSessionTimeout)
      return false;
    if (open)
      log::debug("agent_session_timed_out", {{"peer", agent}, {"index", session.lastApplied}});
    session.link->close();
    return true;
  });
}
void AgentSessions::sendBodyAhead(const transport::LogEntry& entry) {
  // With more voters than connections per agent, most agents are not connected to this controller. Entries then carry
  // their bodies for all agents.
  if (context_.raft->voters().size() > kLinksPerAgent)
    return;
  const auto frame =
      std::make_shared<const std::string>(transport::encodeFrame(pack(transport::BodyAhead{entry.digest, entry.body})));
  for (auto& [agent, session] : sessions_)
    if (session.link->open())
      session.link->sendBulk(frame);
}
std::size_t AgentSessions::backlogBytes() const {
  std::size_t bytes = 0;
  for (const auto& [agent, session] : sessions_)
    bytes += session.link->backlog();
  return bytes;
}
std::int64_t AgentSessions::lowestApplied(std::int64_t newest) const {
  auto lowest = newest;
  for (const auto& [agent, session] : sessions_)
    if (session.link->open())
      lowest = std::min(lowest, session.lastApplied);
  return lowest;
}
}  // namespace zinccleat::controller
