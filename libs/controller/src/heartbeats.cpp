#include "heartbeats.hpp"

#include <set>

namespace zinccleat::controller {
namespace {
constexpr auto kUnansweredMost = 1500ms;  // three batches; a runner that then goes on has missed one or two beats
constexpr auto kUselessAfter = 30s;       // an older beat tells the leader nothing
constexpr std::size_t kBatchesRemembered = 32;
constexpr auto kOwnSilence = 2500ms;  // a gap between two looks: this process itself stood still
}  // namespace

void HeartbeatForwarder::heard(const std::string& id, TimePoint now) {
  waiting_[id] = now;
}
std::optional<HeartbeatForwarder::Batch> HeartbeatForwarder::nextBatch(TimePoint now) {
  std::erase_if(waiting_, [&](auto& runner) { return now - runner.second > kUselessAfter; });
  if (waiting_.empty())
    return std::nullopt;
  Batch batch;
  batch.number = ++batches_;
  for (auto& [id, at] : waiting_)
    batch.runners.push_back({id, at});
  unanswered_[batch.number] = now;
  if (unanswered_.size() > kBatchesRemembered)
    unanswered_.erase(unanswered_.begin());
  return batch;
}
void HeartbeatForwarder::acknowledged(std::int64_t batch) {
  const auto it = unanswered_.find(batch);
  if (it == unanswered_.end())
    return;
  const auto sentAt = it->second;
  std::erase_if(waiting_, [&](auto& runner) { return runner.second <= sentAt; });
  unanswered_.erase(unanswered_.begin(), std::next(it));
}
void HeartbeatForwarder::leaderChanged() {
  unanswered_.clear();
}
std::vector<HeardRunner> HeartbeatForwarder::takeAll() {
  std::vector<HeardRunner> all;
  for (auto& [id, at] : waiting_)
    all.push_back({id, at});
  waiting_.clear();
  unanswered_.clear();
  return all;
}
bool HeartbeatForwarder::leaderAnswers(TimePoint now) const {
  return unanswered_.empty() || now - unanswered_.begin()->second <= kUnansweredMost;
}

void RunnerMonitor::heard(const std::string& id, TimePoint at) {
  auto& newest = heard_[id];
  newest = std::max(newest, at);
}
std::vector<state_machine::Runner> RunnerMonitor::missed(TimePoint now, bool holdsLease,
                                                         const std::vector<state_machine::Runner>& runners) {
  const bool stoodStill = now - std::exchange(lastLook_, now) > kOwnSilence;
  if (!holdsLease) {
    watchingSince_.reset();
    return {};
  }
  if (!watchingSince_ || stoodStill)
    watchingSince_ = now;
  std::set<std::string> present;
  std::vector<state_machine::Runner> out;
  for (auto& runner : runners) {
    present.insert(runner.id);
    const auto last = heard_.try_emplace(runner.id, now).first->second;
    if (now - *watchingSince_ >= patience_ && now - last > patience_)
      out.push_back(runner);
  }
  std::erase_if(heard_, [&](auto& h) { return !present.contains(h.first) && now - h.second > kUselessAfter; });
  return out;
}
}  // namespace zinccleat::controller
