#include "rollout_world.hpp"

namespace zinccleat::rollout_world {
namespace {
using namespace rollout;
using namespace state_machine;
using namespace transport;

constexpr int kRoutes = 3;
constexpr double kSecondsPerMs = 0.001;

struct SimulatedRunner {
  std::string id;
  std::string revision;
  bool faulty = false;
  TimePoint crashesAt = TimePoint::max();
  double load = 0;  // number of recent requests, with exponential decay
};

class World {
 public:
  explicit World(const Plan& plan)
      : plan_(plan),
        rng_(plan.seed),
        control_({plan.seed, plan.proxies, plan.term, plan.leaderChanges, plan.disconnectedProxies}) {
    addRunners();
    control_.begin();
  }
  Outcome run() {
    for (auto now = kStart; now < kStart + plan_.term; now += kTick)
      step(now);
    outcome_.phase = control_.rollout().phase();
    outcome_.reason = control_.rollout().reason;
    outcome_.decidedAfter = control_.decidedAfter();
    outcome_.steps = control_.steps();
    return outcome_;
  }

 private:
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(rng_); }
  static Duration fractionOf(Duration duration, double part) {
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * part));
  }
  void addRunners() {
    for (int i = 0; i < 2 * plan_.runners; ++i) {
      SimulatedRunner runner;
      runner.revision = i < plan_.runners ? kBaseline : kCandidate;
      runner.id = runner.revision + "-" + std::to_string(i);
      runner.faulty = uniform() < plan_.faultyRunners;
      if (uniform() < plan_.crashedRunners)
        runner.crashesAt = kStart + fractionOf(plan_.term, crashTimeFraction_);
      control_.join(runner.id, runner.revision, 16);
      runners_.push_back(std::move(runner));
    }
  }
  void step(TimePoint now) {
    control_.step(now);
    for (auto& proxy : control_.proxies()) {
      (void)control_.follow(proxy, now);
      sendRequests(proxy, now);
      if (proxy.reportsAt(now))
        control_.report(proxy, now);
    }
  }
  void sendRequests(ControlledProxy& proxy, TimePoint now) {
    const double expected = plan_.requestsPerS * static_cast<double>(kTick.count()) * kSecondsPerMs;
    const int count = std::poisson_distribution<int>(expected)(rng_);
    for (int i = 0; i < count; ++i)
      sendRequest(proxy, now);
  }
  // Sends one request with at most one retry.
  void sendRequest(ControlledProxy& proxy, TimePoint now) {
    outcome_.requests += 1;
    proxy.gate.recordRequest(kService);
    const auto route = static_cast<int>(rng_() % kRoutes);
    const auto affinity = rng_();
    for (const bool isRetry : {false, true}) {
      auto filter = proxy.gate.choose(kService, affinity, isRetry, now);
      auto* runner = chooseRunner(filter, affinity, now);
      if (!runner) {
        const auto fallback = proxy.gate.fallback(kService, filter);
        runner = fallback ? chooseRunner(*fallback, affinity, now) : nullptr;
      }
      if (!runner || attempt(proxy, *runner, route, now))
        return;
    }
  }
  // Models `RunnerPool`: a prefix has one preferred runner, and matches no runner if the preferred one is not within
  // the filter's `runnerShare`.
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
  // Returns true if the client has received its answer.
  bool attempt(ControlledProxy& proxy, SimulatedRunner& runner, int route, TimePoint now) {
    const bool isCandidate = runner.revision == kCandidate;
    ObservedAttempt seen;
    seen.route = "route-" + std::to_string(route);
    seen.runner = runner.id;
    seen.revision = runner.revision;
    seen.answered = now < runner.crashesAt;
    seen.failed = seen.answered && uniform() < failureRate(runner, route, now);
    seen.slowStart = seen.answered && uniform() < (isCandidate && plan_.version == Version::slow ? 0.9 : 0.02);
    if (isCandidate)
      countCandidate(seen.isGood(), now);
    proxy.gate.recordAttempt(kService, seen);
    return seen.answered && !seen.failed;
  }
  void countCandidate(bool good, TimePoint now) {
    outcome_.candidateRequests += 1;
    outcome_.candidateBad += good ? 0 : 1;
    if (control_.rollout().phase() == RolloutPhase::reverted && now > kStart + control_.decidedAfter() + 1s)
      outcome_.afterReversal += 1;
  }
  double failureRate(SimulatedRunner& runner, int route, TimePoint now) {
    constexpr double kLoadDecay = 0.9;
    runner.load = runner.load * kLoadDecay + 1;
    const double usual = runner.faulty ? 0.4 : plan_.baselineFailures;
    if (runner.revision != kCandidate)
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

  const Plan plan_;
  std::mt19937_64 rng_;
  const double crashTimeFraction_ = 0.2 + 0.6 * static_cast<double>(plan_.seed % 97) / 97;
  RolloutControl control_;
  std::vector<SimulatedRunner> runners_;
  Outcome outcome_;
};
}  // namespace

Outcome simulate(const Plan& plan) {
  return World(plan).run();
}
}  // namespace zinccleat::rollout_world
