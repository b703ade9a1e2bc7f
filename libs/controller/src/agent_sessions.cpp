#include "agent_sessions.hpp"

#include <cstddef>

namespace zinccleat::controller {
namespace {
constexpr std::size_t kMostBacklog =
    std::size_t{64} * 1024;               // bytes that wait for one agent before the rest is sent later
constexpr std::size_t kLinksOfAgent = 3;  // with more voters an agent is not linked to each, and misses bodies
constexpr auto kSilentAfter = 6s;
constexpr int kFullAnswerEvery = 8;  // state messages: voters and view go with each so many-th, changed or not

std::size_t hashOf(const std::vector<std::string>& names) {
  std::size_t hash = 0;
  for (auto& name : names)
    hash = hash64(name, hash);
  return hash;
}
}  // namespace

transport::ClusterStatus AgentSessions::standing() {
  const auto& raft = *core_.raft;
  transport::ClusterStatus standing;
  standing.term = raft.term();
  standing.leader = raft.leader();
  standing.voters = raft.voters();
  standing.commitIndex = raft.commitIndex();
  standing.view = core_.view.sample();
  return standing;
}
template <class T>
transport::Envelope AgentSessions::fromUs(const T& message) const {
  return transport::pack(message, core_.raft->self());
}
void AgentSessions::onState(const transport::PeerLinkPtr& link, const std::string& agent,
                            const transport::AgentState& state) {
  auto& session = sessions_[agent];
  if (session.link != link) {
    if (session.link)
      session.link->close();
    session = Session{};
    session.link = link;
  }
  core_.view.add(consensus::addressOf(agent) + "/access");
  core_.view.merge(state.view);
  session.applied = state.lastApplied;
  auto answer = standing();
  // Changes only: what the far end was told on this link already is left out.
  const auto voters = hashOf(answer.voters);
  const bool sameVoters = std::exchange(session.votersTold, voters) == voters;
  if (sameVoters && session.statesAnswered % kFullAnswerEvery) {
    answer.voters.clear();
    answer.view.clear();
  }
  ++session.statesAnswered;
  link->send(fromUs(answer));
}
void AgentSessions::onFollow(const transport::PeerLinkPtr& link, const std::string& agent,
                             const transport::FollowLog& message) {
  auto& session = sessions_[agent];
  // Why not while something is under way: it would be sent again and again to one that reads slowly.
  if (message.refetch && session.link == link && session.fed >= 0 && link->backlog() > 0)
    return;
  session.link = link;
  session.fed = std::max<std::int64_t>(0, message.lastApplied);
  session.held = message.cachedDigest;
  if (!core_.isLeader())
    return link->send(fromUs(standing()));
  // One that holds nothing, or nothing that it trusts, takes a snapshot instead.
  if (message.refetch && session.fed > 0 && session.fed + 1 >= core_.raft->firstIndex())
    return feedEntriesInFull(session);
  feed(session);
  link->send(fromUs(standing()));
}
transport::FeedEntries AgentSessions::entriesAfter(std::int64_t number) const {
  const auto& raft = *core_.raft;
  transport::FeedEntries feed;
  feed.term = raft.term();
  feed.newestIndex = raft.commitIndex();
  for (auto n = number + 1; n <= raft.commitIndex(); ++n)
    feed.entries.push_back(*raft.entryAt(n));
  return feed;
}
transport::FeedSnapshot AgentSessions::snapshotFor(std::int64_t number, const std::string& held) const {
  transport::FeedSnapshot feed;
  feed.term = core_.raft->term();
  feed.lastIncludedIndex = core_.copy.state().index;
  // What the receiver holds already is not sent again: only the difference from it.
  feed.state = core_.copy.snapshotFor(number == 0 ? std::string{} : held);
  return feed;
}
// A refetch is answered in full: what was left out before is not left out again.
void AgentSessions::feedEntriesInFull(Session& session) {
  const auto feed = entriesAfter(session.fed);
  session.fed = feed.newestIndex;
  session.link->sendBulk(transport::encodeFrame(fromUs(feed)));
}
transport::FeedEntries AgentSessions::withoutBodiesAhead(transport::FeedEntries feed) const {
  const auto& raft = *core_.raft;
  if (raft.voters().size() > kLinksOfAgent)
    return feed;
  for (auto& entry : feed.entries) {
    const bool ours = entry.operationId.rfind(raft.self() + "/", 0) == 0;
    if (ours || entry.digest.empty() || entry.body.size() <= kLargeBody)
      continue;
    entry.body.clear();
    entry.omitted = true;
  }
  return feed;
}
AgentSessions::Frame AgentSessions::frameFrom(std::int64_t number, const std::string& held) {
  const auto& raft = *core_.raft;
  if (std::exchange(framesOf_, raft.commitIndex()) != raft.commitIndex())
    frames_.clear();
  const bool whole = number == 0 || number + 1 < raft.firstIndex();
  auto& frame = whole ? frames_[{-1, held}] : frames_[{number, {}}];
  if (frame)
    return frame;
  const auto envelope = whole ? fromUs(snapshotFor(number, held)) : fromUs(withoutBodiesAhead(entriesAfter(number)));
  return frame = std::make_shared<const std::string>(transport::encodeFrame(envelope));
}
void AgentSessions::feed(Session& session) {
  const auto newest = core_.raft->commitIndex();
  const bool wants = session.fed >= 0 && session.fed < newest;
  if (!wants || !session.link->open() || session.link->backlog() > kMostBacklog)
    return;
  session.link->sendBulk(frameFrom(session.fed, session.held));
  session.fed = newest;
  session.held = core_.copy.state().digest;
}
void AgentSessions::feedAll() {
  for (auto& [agent, session] : sessions_)
    feed(session);
  frames_.clear();
}
void AgentSessions::stopFeeding() {
  for (auto& [agent, session] : sessions_)
    session.fed = -1;
}
void AgentSessions::tellAll() {
  std::erase_if(sessions_, [](auto& session) { return !session.second.link->open(); });
  const auto news = fromUs(standing());
  for (auto& [agent, session] : sessions_)
    session.link->send(news);
}
void AgentSessions::dropSilent(TimePoint now) {
  std::erase_if(sessions_, [now](auto& session) {
    auto& link = session.second.link;
    if (link->open() && now - link->lastReceivedAt() < kSilentAfter)
      return false;
    link->close();
    return true;
  });
}
void AgentSessions::sendBody(const transport::LogEntry& entry) {
  const auto frame = std::make_shared<const std::string>(
      transport::encodeFrame(fromUs(transport::BodyAhead{entry.digest, entry.body})));
  for (auto& [agent, session] : sessions_)
    if (session.link->open())
      session.link->sendBulk(frame);
}
std::size_t AgentSessions::waitingBytes() const {
  std::size_t bytes = 0;
  for (auto& [agent, session] : sessions_)
    bytes += session.link->backlog();
  return bytes;
}
std::int64_t AgentSessions::lowestApplied(std::int64_t newest) const {
  auto lowest = newest;
  for (auto& [agent, session] : sessions_)
    if (session.link->open())
      lowest = std::min(lowest, session.applied);
  return lowest;
}
}  // namespace zinccleat::controller
