#include "runner_liveness.hpp"

#include "runtime/log_ring.hpp"

namespace zinccleat::controller {
namespace {
// A follower without heartbeats to forward still reports its zone at this interval, which is less than half of
// `MemberZones::kLifetime`.
constexpr auto kAnnouncementInterval = 1s;

/// Builds the log entry that removes a runner whose heartbeats have stopped. Sequence 0 marks that the runner did not
/// detach itself, so it may return.
transport::LogEntry expiryOf(const state_machine::Runner& runner) {
  auto expired = runner;
  expired.state = static_cast<std::int32_t>(state_machine::RunnerState::detached);
  expired.sequence = 0;
  return state_machine::runnerEntry(expired, "missed/" + runner.id + "/" + std::to_string(runner.sequence));
}
}  // namespace

RunnerLiveness::RunnerLiveness(ControllerContext& context, PeerLinks& peers)
    : context_(context), peers_(peers), monitor_(context.settings.heartbeat) {}
void RunnerLiveness::recordHeartbeat(const std::string& runner, TimePoint now) {
  forwarder_.record(runner, now);
  monitor_.recordHeartbeat(runner, now);
}
void RunnerLiveness::onLeaderChanged(TimePoint now) {
  forwarder_.onLeaderChanged();
  announcedAt_ = {};
  forwardHeartbeats(now);
}
void RunnerLiveness::forwardHeartbeats(TimePoint now) {
  // The leader's own monitor has recorded each heartbeat on arrival.
  if (context_.isLeader())
    return forwarder_.clear();
  if (!context_.knowsOtherLeader())
    return;
  const auto batch = forwarder_.nextBatch(now);
  if (!batch && now - announcedAt_ < kAnnouncementInterval)
    return;
  announcedAt_ = now;
  transport::HeartbeatBatch message;
  message.extension.zone = context_.zones.ownZone();
  if (!batch)
    return peers_.send(context_.raft->leader(), message);
  message.number = batch->number;
  for (const auto& heartbeat : batch->heartbeats)
    message.runners.push_back({heartbeat.runner, toDuration(now - heartbeat.receivedAt).count()});
  peers_.send(context_.raft->leader(), message);
}
bool RunnerLiveness::onHeartbeatBatch(const transport::PeerLinkPtr& link, const consensus::MemberId& from,
                                      const transport::HeartbeatBatch& batch, TimePoint now) {
  const bool isNew = context_.zones.record(consensus::addressOf(from), batch.extension.zone, now);
  link->setPeerZone(batch.extension.zone);
  if (context_.raft->hasLease(now))
    acceptHeartbeatBatch(link, batch, now);
  return isNew && context_.isLeader();
}
void RunnerLiveness::acceptHeartbeatBatch(const transport::PeerLinkPtr& link, const transport::HeartbeatBatch& batch,
                                          TimePoint now) {
  for (const auto& runner : batch.runners)
    monitor_.recordHeartbeat(runner.id, now - Duration(runner.ageMs));
  transport::HeartbeatBatchResponse response;
  response.number = batch.number;
  response.extension.members = context_.zones.membersUp(now);
  link->send(transport::pack(response, context_.raft->self()));
}
void RunnerLiveness::onHeartbeatBatchResponse(const consensus::MemberId& from,
                                              const transport::HeartbeatBatchResponse& response, TimePoint now) {
  if (from != context_.raft->leader())
    return;
  forwarder_.onAcknowledged(response.number);
  for (const auto& member : response.extension.members)
    context_.zones.record(member.address, member.zone, now);
}
bool RunnerLiveness::submitExpired(TimePoint now) {
  const auto expired = monitor_.findExpired(now, context_.raft->hasLease(now), context_.replica.state().runners);
  for (const auto& runner : expired) {
    log::debug("runner_expired", {{"runner", runner.id}, {"zone", runner.zone}, {"reason", "no heartbeats"}});
    context_.raft->submit(now, expiryOf(runner));
  }
  return !expired.empty();
}
}  // namespace zinccleat::controller
