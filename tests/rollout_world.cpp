#include "rollout_world.hpp"

namespace zinccleat::rollout_world {
namespace {
using namespace rollout;
using namespace state_machine;
using namespace transport;

constexpr Duration kTick{50};
constexpr Duration kReportInterval{400};
constexpr Duration kTakeover{700};  // without a leader
constexpr int kControllers = 3;
constexpr int kRoutes = 3;
constexpr double kPerMs = 0.001;
constexpr double kCanaryShare = 0.1;
const TimePoint kStart = TimePoint{} + 1h;

struct SimulatedRunner {
  std::string id;
  std::string revision;
  bool ailing = false;
  TimePoint crashesAt = TimePoint::max();
  double load = 0;  // requests lately, decayed
};
struct SimulatedProxy {
  RevisionGate gate;
  Duration phase{0};       // of its reports
  Duration entryDelay{0};  // until an entry has come here
  TimePoint silentFrom = TimePoint::max();
  TimePoint silentUntil = TimePoint::max();
  std::size_t applied = 0;
  bool hears(TimePoint now) const { return now < silentFrom || now >= silentUntil; }
};
struct CommittedEntry {
  TimePoint at;
  std::vector<Rollout> rollouts;  // after it
};

class World {
 public:
  explicit World(const Plan& plan) : plan_(plan), rng_(plan.seed) {
    addRunners();
    addProxies();
    for (int change = 0; change < plan.leaderChanges; ++change)
      leaderEnds_.push_back(kStart + fractionOf(plan.term, uniform()));
    for (int i = 0; i < kControllers; ++i)
      trackers_.emplace_back(kCanaryShare);
    commit(rolloutBeginEntry(order(), "order"));
  }
  Outcome run() {
    for (auto now = kStart; now < kStart + plan_.term; now += kTick)
      step(now);
    const auto* rollout = state_.rollout("s");
    outcome_.phase = rollout->phase();
    outcome_.reason = rollout->reason;
    return outcome_;
  }

 private:
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(rng_); }
  static Duration fractionOf(Duration duration, double part) {
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * part));
  }
  Rollout order() const {
    Rollout rollout;
    rollout.service = "s";
    rollout.revision = "v2";
    rollout.durationMs = plan_.term.count();
    return rollout;
  }
  void addRunners() {
    for (int i = 0; i < 2 * plan_.runners; ++i) {
      SimulatedRunner runner;
      runner.revision = i < plan_.runners ? "v1" : "v2";
      runner.id = runner.revision + "-" + std::to_string(i);
      runner.ailing = uniform() < plan_.ailingRunners;
      if (uniform() < plan_.crashedRunners)
        runner.crashesAt = kStart + fractionOf(plan_.term, crashPart_);
      Runner joined{runner.id, "s", runner.id + ":1", "z", 16, 1, 0};
      joined.software.revision = runner.revision;
      commit(runnerEntry(joined, "join/" + runner.id));
      runners_.push_back(std::move(runner));
    }
  }
  void addProxies() {
    for (int i = 0; i < plan_.proxies; ++i) {
      SimulatedProxy proxy;
      proxy.gate = RevisionGate(plan_.seed * 1000 + static_cast<std::uint64_t>(i));
      proxy.phase = kTick * (i % (kReportInterval / kTick));
      proxy.entryDelay = Duration(20 + static_cast<int>(uniform() * 150));
      if (uniform() < plan_.silentProxies) {
        proxy.silentFrom = kStart + fractionOf(plan_.term, uniform());
        proxy.silentUntil = proxy.silentFrom + 3s;
      }
      proxies_.push_back(std::move(proxy));
    }
  }
  void commit(LogEntry entry) {
    entry.index = ++index_;
    entry.term = 1;
    const auto change = state_.apply(entry);
    if (change.rollouts)
      committed_.push_back({now_, state_.state().rollouts});
  }
  void step(TimePoint now) {
    now_ = now;
    for (auto& tracker : trackers_)
      tracker.follow(now, state_.state());
    changeLeader(now);
    for (auto& proxy : proxies_) {
      applyEntries(proxy, now);
      sendRequests(proxy, now);
      if ((now - kStart) % kReportInterval == proxy.phase)
        report(proxy, now);
    }
    if (now < leaderFrom_)
      return;
    commitPending(now);
    for (const auto& record : trackers_[leader_].decide(now, state_.state()))
      pending_.push_back({now + Duration(10 + static_cast<int>(uniform() * 60)), record});
  }
  void changeLeader(TimePoint now) {
    for (auto& end : leaderEnds_) {
      if (now < end)
        continue;
      end = TimePoint::max();
      pending_.clear();  // what was not committed is lost with its leader
      leader_ = (leader_ + 1) % kControllers;
      leaderFrom_ = now + kTakeover;
      trackers_[leader_].startTerm();
    }
  }
  void commitPending(TimePoint now) {
    while (!pending_.empty() && pending_.front().at <= now) {
      const auto before = state_.rollout("s")->phase();
      commit(rolloutProgressEntry(pending_.front().record, "record/" + std::to_string(index_)));
      pending_.pop_front();
      outcome_.steps += 1;
      if (!isFinal(before) && isFinal(state_.rollout("s")->phase()))
        outcome_.decidedAfter = toDuration(now - kStart);
    }
  }
  void applyEntries(SimulatedProxy& proxy, TimePoint now) const {
    while (proxy.hears(now) && proxy.applied < committed_.size() &&
           committed_[proxy.applied].at + proxy.entryDelay <= now)
      proxy.gate.setRollouts(committed_[proxy.applied++].rollouts);
  }
  void report(SimulatedProxy& proxy, TimePoint now) {
    if (!proxy.hears(now) || now < leaderFrom_)
      return;
    for (const auto& report : proxy.gate.takeReports())
      if (auto grant = trackers_[leader_].report(now, std::to_string(&proxy - proxies_.data()), report))
        proxy.gate.addGrants({*grant}, now);
  }
  void sendRequests(SimulatedProxy& proxy, TimePoint now) {
    const double expected = plan_.requestsPerS * static_cast<double>(kTick.count()) * kPerMs;
    const int count = std::poisson_distribution<int>(expected)(rng_);
    for (int i = 0; i < count; ++i)
      sendRequest(proxy, now);
  }
  // One request with at most one retry.
  void sendRequest(SimulatedProxy& proxy, TimePoint now) {
    outcome_.requests += 1;
    proxy.gate.recordRequest("s");
    const auto route = static_cast<int>(rng_() % kRoutes);
    const auto affinity = rng_();
    for (const bool isRetry : {false, true}) {
      auto filter = proxy.gate.choose("s", affinity, isRetry, now);
      auto* runner = chooseRunner(filter, affinity, now);
      if (!runner) {
        const auto fallback = proxy.gate.fallback("s", filter);
        runner = fallback ? chooseRunner(*fallback, affinity, now) : nullptr;
      }
      if (!runner || attempt(proxy, *runner, route, now))
        return;
    }
  }
  // As `RunnerPool` does: a prefix has one preferred runner, and fits none if that is not within the share.
  SimulatedRunner* chooseRunner(const RevisionFilter& filter, std::uint64_t affinity, TimePoint now) {
    const auto runnerCount = static_cast<std::size_t>(plan_.runners);
    const auto limit = std::max<std::size_t>(3, static_cast<std::size_t>(plan_.runners * filter.runnerShare));
    if (filter.runnerShare < 1 && affinity % runnerCount >= limit)
      return nullptr;
    std::vector<SimulatedRunner*> fitting;
    for (std::size_t i = 0; i < runners_.size(); ++i) {
      const bool withinShare = filter.runnerShare >= 1 || i < runnerCount + limit;
      const bool expired = now - 4s > runners_[i].crashesAt;
      if (filter.matches(runners_[i].revision) && withinShare && !expired)
        fitting.push_back(&runners_[i]);
    }
    return fitting.empty() ? nullptr : fitting[rng_() % fitting.size()];
  }
  // True: the client has its answer.
  bool attempt(SimulatedProxy& proxy, SimulatedRunner& runner, int route, TimePoint now) {
    const bool isCandidate = runner.revision == "v2";
    ObservedAttempt seen;
    seen.route = "route-" + std::to_string(route);
    seen.runner = runner.id;
    seen.revision = runner.revision;
    seen.answered = now < runner.crashesAt;
    seen.failed = seen.answered && uniform() < failureRate(runner, route, now);
    seen.slow = seen.answered && uniform() < (isCandidate && plan_.version == Version::slow ? 0.9 : 0.02);
    if (isCandidate)
      countCandidate(seen.isGood(), now);
    proxy.gate.recordAttempt("s", seen);
    return seen.answered && !seen.failed;
  }
  void countCandidate(bool good, TimePoint now) {
    outcome_.candidateRequests += 1;
    outcome_.candidateBad += good ? 0 : 1;
    if (state_.rollout("s")->phase() == RolloutPhase::reverted && now > kStart + outcome_.decidedAfter + 1s)
      outcome_.afterReversal += 1;
  }
  double failureRate(SimulatedRunner& runner, int route, TimePoint now) {
    constexpr double kLoadDecay = 0.9;
    runner.load = runner.load * kLoadDecay + 1;
    const double usual = runner.ailing ? 0.4 : plan_.baselineFailures;
    if (runner.revision != "v2")
      return usual;
    switch (plan_.version) {
      case Version::bad:
        return 0.5;
      case Version::late:
        return now >= kStart + plan_.term / 5 ? 0.5 : usual;
      case Version::faint:
        return std::max(usual, 0.125);
      case Version::oneRoute:
        return route == 1 ? 0.5 : usual;
      case Version::underLoad:
        return runner.load > 5 ? 0.5 : usual;
      case Version::good:
      case Version::slow:
        break;
    }
    return usual;
  }

  struct PendingRecord {
    TimePoint at;
    Rollout record;
  };
  const Plan plan_;
  std::mt19937_64 rng_;
  const double crashPart_ = 0.2 + 0.6 * static_cast<double>(plan_.seed % 97) / 97;
  TimePoint now_ = kStart;
  ReplicatedState state_;
  std::int64_t index_ = 0;
  std::vector<CommittedEntry> committed_;
  std::vector<SimulatedRunner> runners_;
  std::vector<SimulatedProxy> proxies_;
  std::vector<RolloutTracker> trackers_;
  std::size_t leader_ = 0;
  TimePoint leaderFrom_ = kStart;
  std::vector<TimePoint> leaderEnds_;
  std::deque<PendingRecord> pending_;
  Outcome outcome_;
};
}  // namespace

Outcome play(const Plan& plan) {
  return World(plan).run();
}
}  // namespace zinccleat::rollout_world
