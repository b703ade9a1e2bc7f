#include "rollout_control.hpp"

namespace zinccleat::rollout_world {
namespace {
using namespace rollout;
using namespace state_machine;

constexpr Duration kLeaderElectionDelay{700};  // time without a leader after a change
constexpr int kControllers = 3;
constexpr double kExposureShare = 0.1;
constexpr double kExposureSlack = 50;
constexpr Duration kDisconnectionDuration{3000};

Duration fractionOf(Duration duration, double part) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * part));
}
}  // namespace

RolloutControl::RolloutControl(const Options& options) : options_(options), rng_(options.seed) {
  addProxies();
  for (int change = 0; change < options.leaderChanges; ++change)
    leaderChangeTimes_.push_back(kStart + fractionOf(options.term, uniform()));
  for (int i = 0; i < kControllers; ++i)
    trackers_.emplace_back(kExposureShare, kExposureSlack);
}
void RolloutControl::addProxies() {
  for (int i = 0; i < options_.proxies; ++i) {
    ControlledProxy proxy;
    proxy.gate = RevisionGate(options_.seed * 1000 + static_cast<std::uint64_t>(i));
    proxy.phase = kTick * (i % (kReportInterval / kTick));
    proxy.entryDelay = Duration(20 + static_cast<int>(uniform() * 150));
    if (uniform() < options_.disconnectedProxies) {
      proxy.disconnectedFrom = kStart + fractionOf(options_.term, uniform());
      proxy.disconnectedUntil = proxy.disconnectedFrom + kDisconnectionDuration;
    }
    proxies_.push_back(std::move(proxy));
  }
}
void RolloutControl::join(const std::string& id, const std::string& revision, std::int64_t capacity) {
  Runner joined{id, kService, id + ":1", "z", capacity, 1, 0};
  joined.software.revision = revision;
  commit(runnerEntry(joined, "join/" + id));
}
void RolloutControl::begin() {
  Rollout order;
  order.service = kService;
  order.revision = kCandidate;
  order.durationMs = options_.term.count();
  commit(rolloutBeginEntry(order, "order"));
}
void RolloutControl::commit(transport::LogEntry entry) {
  entry.index = ++index_;
  entry.term = 1;
  const auto change = state_.apply(entry);
  if (change.rollouts)
    committed_.push_back({now_, state_.state().rollouts});
}
void RolloutControl::step(TimePoint now) {
  now_ = now;
  for (auto& tracker : trackers_)
    tracker.follow(now, state_.state());
  changeLeader(now);
  if (!hasLeader(now))
    return;
  commitPending(now);
  for (const auto& record : trackers_[leader_].decide(now, state_.state(), ejections))
    pending_.push_back({now + Duration(10 + static_cast<int>(uniform() * 60)), record});
}
void RolloutControl::changeLeader(TimePoint now) {
  for (auto& end : leaderChangeTimes_) {
    if (now < end)
      continue;
    end = TimePoint::max();
    pending_.clear();  // records that are not committed are lost with the leader
    leader_ = (leader_ + 1) % kControllers;
    leaderFrom_ = now + kLeaderElectionDelay;
    trackers_[leader_].startTerm();
  }
}
void RolloutControl::commitPending(TimePoint now) {
  while (!pending_.empty() && pending_.front().at <= now) {
    const auto before = rollout().phase();
    commit(rolloutProgressEntry(pending_.front().record, "record/" + std::to_string(index_)));
    pending_.pop_front();
    steps_ += 1;
    if (!isFinal(before) && isFinal(rollout().phase()))
      decidedAfter_ = toDuration(now - kStart);
  }
}
bool RolloutControl::follow(ControlledProxy& proxy, TimePoint now) const {
  bool any = false;
  while (proxy.isReachable(now) && proxy.applied < committed_.size() &&
         committed_[proxy.applied].at + proxy.entryDelay <= now) {
    proxy.gate.setRollouts(committed_[proxy.applied++].rollouts);
    any = true;
  }
  return any;
}
void RolloutControl::report(ControlledProxy& proxy, TimePoint now) {
  if (!proxy.isReachable(now) || !hasLeader(now))
    return;
  for (const auto& report : proxy.gate.takeReports())
    if (auto grant = trackers_[leader_].report(now, std::to_string(&proxy - proxies_.data()), report))
      proxy.gate.addGrants({*grant}, now);
}
}  // namespace zinccleat::rollout_world
