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

class RolloutSimulation {
 public:
  explicit RolloutSimulation(const SimulationOptions& options)
      : options_(options),
        rng_(options.seed),
        control_({options.seed, options.proxies, options.term, options.leaderChanges, options.disconnectedProxies}) {
    addRunners();
    control_.begin();
  }
  SimulationResult run() {
    for (auto now = kStart; now < kStart + options_.term; now += kTick)
      step(now);
    result_.phase = control_.rollout().phase();
    result_.reason = control_.rollout().reason;
    result_.decidedAfter = control_.decidedAfter();
    result_.steps = control_.steps();
    return result_;
  }

 private:
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(rng_); }
  static Duration fractionOf(Duration duration, double part) {
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * part));
  }
  void addRunners() {
    for (int i = 0; i < 2 * options_.runners; ++i) {
      SimulatedRunner runner;
      runner.revision = i < options_.runners ? kBaseline : kCandidate;
      runner.id = runner.revision + "-" + std::to_string(i);
      runner.faulty = uniform() < options_.faultyRunners;
      if (uniform() < options_.crashedRunners)
        runner.crashesAt = kStart + fractionOf(options_.term, crashTimeFraction_);
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
    const double expected = options_.requestsPerS * static_cast<double>(kTick.count()) * kSecondsPerMs;
    const int count = std::poisson_distribution<int>(expected)(rng_);
    for (int i = 0; i < count; ++i)
      sendRequest(proxy, now);
  }
  // Sends one request with at most one retry.
  void sendRequest(ControlledProxy& proxy, TimePoint now) {
    result_.requests += 1;
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
    const auto runnerCount = static_cast<std::size_t>(options_.runners);
    const auto limit = std::max<std::size_t>(3, static_cast<std::size_t>(options_.runners * filter.runnerShare));
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
    seen.slowStart = seen.answered && uniform() < (isCandidate && options_.version == Version::slow ? 0.9 : 0.02);
    if (isCandidate)
      countCandidate(seen.isGood(), now);
    proxy.gate.recordAttempt(kService, seen);
    return seen.answered && !seen.failed;
  }
  void countCandidate(bool good, TimePoint now) {
    result_.candidateRequests += 1;
    result_.candidateBad += good ? 0 : 1;
    if (control_.rollout().phase() == RolloutPhase::reverted && now > kStart + control_.decidedAfter() + 1s)
      result_.afterReversal += 1;
  }
  double failureRate(SimulatedRunner& runner, int route, TimePoint now) {
    constexpr double kLoadDecay = 0.9;
    runner.load = runner.load * kLoadDecay + 1;
    const double normalRate = runner.faulty ? 0.4 : options_.baselineFailures;
    if (runner.revision != kCandidate)
      return normalRate;
    switch (options_.version) {
      case Version::bad:
        return 0.5;
      case Version::late:
        return now >= kStart + options_.term / 5 ? 0.5 : normalRate;
      case Version::faint:
        return std::max(normalRate, 0.125);
      case Version::oneRoute:
        return route == 1 ? 0.5 : normalRate;
      case Version::underLoad:
        return runner.load > 5 ? 0.5 : normalRate;
      case Version::good:
      case Version::slow:
        break;
    }
    return normalRate;
  }

  const SimulationOptions options_;
  std::mt19937_64 rng_;
  const double crashTimeFraction_ = 0.2 + 0.6 * static_cast<double>(options_.seed % 97) / 97;
  RolloutControl control_;
  std::vector<SimulatedRunner> runners_;
  SimulationResult result_;
};
}  // namespace

SimulationResult simulate(const SimulationOptions& options) {
  return RolloutSimulation(options).run();
}
}  // namespace zinccleat::rollout_world
