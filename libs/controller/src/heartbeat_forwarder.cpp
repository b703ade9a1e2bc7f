#include "heartbeat_forwarder.hpp"

namespace zinccleat::controller {
namespace {
// Three batch intervals. A runner that then switches to another controller has missed one or two heartbeats.
constexpr auto kAcknowledgementTimeout = 1500ms;
constexpr auto kHeartbeatLifetime = 30s;  // an older heartbeat is of no use to the leader
constexpr std::size_t kMaxBatchesInFlight = 32;
}  // namespace

void HeartbeatForwarder::record(const std::string& runner, TimePoint now) {
  unacknowledged_[runner] = now;
}
std::optional<HeartbeatForwarder::Batch> HeartbeatForwarder::nextBatch(TimePoint now) {
  std::erase_if(unacknowledged_, [now](const auto& heartbeat) { return now - heartbeat.second > kHeartbeatLifetime; });
  if (unacknowledged_.empty())
    return std::nullopt;
  Batch batch;
  batch.number = ++lastBatch_;
  for (const auto& [runner, receivedAt] : unacknowledged_)
    batch.heartbeats.push_back({runner, receivedAt});
  batchesInFlight_[batch.number] = now;
  if (batchesInFlight_.size() > kMaxBatchesInFlight)
    batchesInFlight_.erase(batchesInFlight_.begin());
  return batch;
}
void HeartbeatForwarder::onAcknowledged(std::int64_t batch) {
  const auto it = batchesInFlight_.find(batch);
  if (it == batchesInFlight_.end())
    return;
  const auto sentAt = it->second;
  std::erase_if(unacknowledged_, [sentAt](const auto& heartbeat) { return heartbeat.second <= sentAt; });
  batchesInFlight_.erase(batchesInFlight_.begin(), std::next(it));
}
void HeartbeatForwarder::onLeaderChanged() {
  batchesInFlight_.clear();
}
void HeartbeatForwarder::clear() {
  unacknowledged_.clear();
  batchesInFlight_.clear();
}
bool HeartbeatForwarder::leaderAcknowledges(TimePoint now) const {
  return batchesInFlight_.empty() || now - batchesInFlight_.begin()->second <= kAcknowledgementTimeout;
}
}  // namespace zinccleat::controller
