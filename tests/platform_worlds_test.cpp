// Seeded simulations ("worlds") of the platform functions. Proxies count requests, controllers become leader in turn,
// and a fake platform rejects lower fences, loses answers and executes calls late. Usage recorder, usage collector,
// fleet clock, usage reports and call schedule are the real code. The log is simulated: it commits with a delay, and
// entries of a deposed leader possibly not at all. Machines are paused, isolated and restarted, and their clocks are
// changed.
//
// The environment variables ZINCCLEAT_FROM and ZINCCLEAT_WORLDS set the first seed and the number of seeds.
#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "platform/call_schedule.hpp"
#include "platform/fleet_clock.hpp"
#include "platform/usage_collector.hpp"
#include "platform/usage_recorder.hpp"

namespace zinccleat::platform {
namespace {
constexpr Duration kStep{50};
constexpr Duration kWindow{5000};
constexpr Duration kDelay{10000};
constexpr Duration kLease{3000};
constexpr Duration kServingLease{4500};
constexpr double kUsageError = 0.05;
constexpr int kProxies = 60;
constexpr int kControllers = 3;
constexpr int kTenants = 6;
constexpr std::int64_t kFirstWindow = 353445120;
constexpr TimePoint kStart{500s};
constexpr auto kWarmup = 16s;       // time from the start of the machines to their first requests
constexpr auto kFaultPeriod = 60s;  // there are no faults after this period
constexpr auto kRunLength = 100s;

/// Deliberate bugs in the code under test, which the checks must detect.
enum class PlantedFault : std::uint8_t {
  none,
  sendsUncommittedReport,  ///< a leader sends its counts before they are committed
  reusesFence,             ///< all holders use the same fence
  callsBeforeLeaseEnds,    ///< a returning holder does not wait for the end of the lease
  trustsOneClock,          ///< the fleet clock uses the clock of a single machine
  ignoresSilentProxies     ///< reports do not wait for any proxy
};

FleetTime trueTime(TimePoint now) {
  return FleetTime(kWindow * kFirstWindow + toDuration(now - kStart));
}

constexpr int kOk = 200;
constexpr int kConflict = 409;

/// A subject as seen by the platform: its fences and the order in which holders made calls.
class Subject {
 public:
  /// Accepts or rejects a call. @return false if the subject has seen a higher fence.
  bool admit(int holder, std::int64_t fence, TimePoint now, std::vector<std::string>& violations) {
    const auto [known, isNew] = holderOf_.try_emplace(fence, holder);
    if (!isNew && known->second != holder)
      violations.push_back("two holders with fence " + std::to_string(fence));
    if (fence < highest_)
      return false;
    highest_ = fence;
    if (holderTurns_.empty() || holderTurns_.back().first != holder)
      holderTurns_.emplace_back(holder, now);
    holderTurns_.back().second = now;
    const auto last = holderTurns_.size() - 1;
    if (holderTurns_.size() >= 3 && holderTurns_[last - 2].first == holder &&
        now - holderTurns_[last - 2].second < kLease)
      violations.emplace_back("a holder returned before its lease time had passed");
    return true;
  }

 private:
  std::map<std::int64_t, int> holderOf_;
  std::int64_t highest_ = 0;
  // Holders in the order of their turns, with the time of their last call.
  std::vector<std::pair<int, TimePoint>> holderTurns_;
};

/// The platform: records accepted reports and violated rules.
class FakePlatform {
 public:
  struct Accepted {
    std::int64_t window = 0;
    std::map<std::string, std::int64_t> counts;
    TimePoint at{};
  };
  /// @return the HTTP status.
  int execute(int holder, std::int64_t fence, const state_machine::UsageReport& report, TimePoint now) {
    if (!usage_.admit(holder, fence, now, violations))
      return kConflict;
    Accepted accepted{report.window, {}, now};
    for (const auto& count : report.counts)
      accepted.counts[count.tenant] = count.requests;
    const auto [earlier, first] = reports.try_emplace(report.window, accepted);
    if (!first && earlier->second.counts != accepted.counts)
      violations.push_back("two counts for window " + std::to_string(report.window));
    return kOk;
  }
  int executeOrder(int holder, std::int64_t fence, TimePoint now) {
    return orders_.admit(holder, fence, now, violations) ? kOk : kConflict;
  }
  std::map<std::int64_t, Accepted> reports;
  std::vector<std::string> violations;

 private:
  Subject usage_;
  Subject orders_;
};

class World {
 public:
  World(std::uint64_t seed, PlantedFault planted) : rng_(seed), planted_(planted) {
    for (int i = 0; i < kProxies; ++i)
      proxies_.push_back({UsageRecorder(kWindow, 1 + static_cast<std::int64_t>(rng_() >> 2)), drawStep(), {}, {}});
    for (int i = 0; i < kControllers; ++i)
      controllers_.push_back({UsageCollector({kWindow, kDelay, kServingLease}),
                              {},
                              CallSchedule(50, planted == PlantedFault::callsBeforeLeaseEnds ? Duration(0) : kLease)});
    elect(0, kStart);
  }
  void play() {
    for (auto now = kStart; now < kStart + kRunLength; now += kStep) {
      const bool hasFaults = now < kStart + kFaultPeriod;
      if (hasFaults && chance(0.01))
        injectFault(now);
      if (now >= returnLeadershipAt_) {
        returnLeadershipAt_ = TimePoint::max();
        elect(returnLeadershipTo_, now);
      }
      serve(now);
      sendProxyReports(now);
      commit(now);
      actAsLeader(now);
      executeLateCalls(now);
    }
    check();
  }
  std::vector<std::string> violations() const {
    auto all = platform_.violations;
    all.insert(all.end(), violations_.begin(), violations_.end());
    return all;
  }

 private:
  struct Proxy {
    UsageRecorder recorder;
    Duration clockStep{0};
    TimePoint isolatedUntil{};
    TimePoint lastAnswer{};  // the proxy serves no requests before its first answer
  };
  struct Controller {
    UsageCollector collector;
    FleetClock clock;
    CallSchedule schedule;
    std::set<std::int64_t> proposed;
    TimePoint pausedUntil{};
  };
  struct Proposal {
    TimePoint at{};
    std::optional<state_machine::UsageReport> report;  // none: the proposal confirms a window
    std::int64_t window = 0;
  };
  struct LateCall {
    TimePoint at{};
    int holder = 0;
    std::int64_t fence = 0;
    state_machine::UsageReport report;
  };

  bool chance(double p) { return static_cast<double>(rng_() % 1000000) < p * 1e6; }
  Duration drawBetween(int from, int to) {
    return Duration(from + static_cast<int>(rng_() % static_cast<unsigned>(to - from)));
  }
  Duration drawStep() { return chance(0.3) ? drawBetween(-9000, 9000) : drawBetween(-20, 20); }
  Controller& leader() { return controllers_[static_cast<std::size_t>(leader_)]; }
  void elect(int next, TimePoint now) {
    leader_ = next;
    ++term_;
    leader().collector.startTerm(now);
    leader().clock = {};
    leader().schedule.startTerm(now);
    leader().proposed.clear();
    // Entries proposed by a deposed leader may or may not be committed.
    std::erase_if(log_, [this](const auto&) { return chance(0.5); });
  }
  void injectFault(TimePoint now) {
    const auto kind = rng_() % 5;
    if (kind == 0)
      depose(now);
    else if (kind == 1)
      isolateProxies(1 + rng_() % (kProxies / 2), now + drawBetween(500, 9000));
    else if (kind == 2)
      restart(1 + rng_() % 3, now);
    else if (kind == 3)
      leader().pausedUntil = now + drawBetween(100, 4000);
    else
      proxies_[rng_() % kProxies].clockStep = drawStep();
  }
  /// Elects a random controller as leader. In half of the cases the previous leader is elected again soon.
  void depose(TimePoint now) {
    returnLeadershipTo_ = leader_;
    returnLeadershipAt_ = chance(0.5) ? now + drawBetween(300, 2500) : TimePoint::max();
    elect(static_cast<int>(rng_() % kControllers), now);
  }
  void isolateProxies(std::uint64_t count, TimePoint until) {
    for (std::uint64_t i = 0; i < count; ++i)
      proxies_[i].isolatedUntil = until;
  }
  void restart(std::uint64_t count, TimePoint now) {
    for (std::uint64_t i = 0; i < count; ++i) {
      auto& proxy = proxies_[rng_() % kProxies];
      proxy.recorder = UsageRecorder(kWindow, 1 + static_cast<std::int64_t>(rng_() >> 2));
      restartedAt_.push_back(now);
    }
  }
  void serve(TimePoint now) {
    if (now < kStart + kWarmup)
      return;
    for (auto& proxy : proxies_) {
      if (now - proxy.lastAnswer > kServingLease || !chance(0.4))
        continue;
      const auto tenant = "t" + std::to_string(rng_() % kTenants);
      proxy.recorder.recordRequest(tenant, now);
      ++expectedCounts_[windowOf(trueTime(now), kWindow)][tenant];
    }
  }
  void sendProxyReports(TimePoint now) {
    const bool reachable = now >= leader().pausedUntil;
    for (std::size_t i = 0; i < proxies_.size(); ++i) {
      auto& proxy = proxies_[i];
      const bool due = (now - kStart) / kStep % 8 == static_cast<int>(i % 8);
      if (!due)
        continue;
      transport::PlatformReport report;
      proxy.recorder.fill(report, trueTime(now) + proxy.clockStep, now, false);
      if (!reachable || now < proxy.isolatedUntil || chance(0.05))
        continue;
      const auto answer = answerTo(i, report, now);
      if (chance(0.05))
        continue;
      proxy.recorder.accept(answer, now, now);
      proxy.lastAnswer = now;
    }
  }
  transport::PlatformReportAnswer answerTo(std::size_t proxy, const transport::PlatformReport& report, TimePoint now) {
    transport::PlatformReportAnswer answer;
    const auto machine = "m" + std::to_string(proxy);
    if (planted_ != PlantedFault::trustsOneClock || proxy == 0)
      leader().clock.record(machine, FleetTime(Duration(report.timeOfDayMs)), now);
    answer.receivedBatch = leader().collector.report(machine, report, now);
    if (const auto time = leader().clock.timeAt(now))
      answer.fleetTimeMs = time->time_since_epoch().count();
    answer.reportedThrough = reports_.reportedThrough();
    return answer;
  }
  void commit(TimePoint now) {
    for (auto& proposal : log_) {
      if (now < proposal.at)
        continue;
      if (proposal.report)
        reports_.commit(std::move(*proposal.report));
      else
        reports_.confirm(proposal.window);
    }
    std::erase_if(log_, [now](const auto& proposal) { return now >= proposal.at; });
  }
  void actAsLeader(TimePoint now) {
    if (now < leader().pausedUntil)
      return;
    order(now);
    const auto time = leader().clock.timeAt(now);
    if (!time)
      return;
    auto ready = leader().collector.ready(reports_, *time, now);
    if (planted_ == PlantedFault::ignoresSilentProxies)
      ready = reportsWithoutWaiting(*time);
    for (auto& report : ready) {
      if (!leader().proposed.insert(report.window).second)
        continue;
      if (planted_ == PlantedFault::sendsUncommittedReport)
        send(report, now);
      log_.push_back({now + drawBetween(0, 300), std::move(report), 0});
    }
    if (!reports_.unconfirmed().empty() && planted_ != PlantedFault::sendsUncommittedReport)
      send(reports_.unconfirmed().front(), now);
  }
  /// The report of a collector that waits for no proxy.
  std::vector<state_machine::UsageReport> reportsWithoutWaiting(FleetTime time) {
    const auto window = windowOf(time, kWindow) - 1;
    if (!reports_.mayCommit(window))
      return {};
    return {{window, 1, {}}};
  }
  void send(const state_machine::UsageReport& report, TimePoint now) {
    auto& schedule = leader().schedule;
    if (!schedule.mayCall("usage", now))
      return;
    schedule.started("usage", now);
    const auto fence = planted_ == PlantedFault::reusesFence ? 7 : term_;
    if (chance(0.15)) {  // The call gets no answer, and is executed late or never.
      if (chance(0.7))
        lateCalls_.push_back({now + drawBetween(100, 8000), leader_, fence, report});
      return schedule.ended("usage", schedule.term(), CallOutcome::unanswered, now);
    }
    const int status = platform_.execute(leader_, fence, report, now);
    schedule.ended("usage", schedule.term(), status == kOk ? CallOutcome::accepted : CallOutcome::staleFence, now);
    if (status == kOk)
      log_.push_back({now + drawBetween(0, 300), std::nullopt, report.window});
  }
  /// Sends an order whenever the schedule permits it, so that every change of the leader coincides with some order.
  void order(TimePoint now) {
    auto& schedule = leader().schedule;
    if (!schedule.mayCall("order", now))
      return;
    schedule.started("order", now);
    const int status = platform_.executeOrder(leader_, planted_ == PlantedFault::reusesFence ? 7 : term_, now);
    schedule.ended("order", schedule.term(), status == kOk ? CallOutcome::accepted : CallOutcome::staleFence, now);
  }
  void executeLateCalls(TimePoint now) {
    for (const auto& call : lateCalls_)
      if (now >= call.at)
        platform_.execute(call.holder, call.fence, call.report, now);
    std::erase_if(lateCalls_, [now](const auto& call) { return now >= call.at; });
  }
  void check() {
    const auto last = kFirstWindow + kRunLength / kWindow - 5;
    for (std::int64_t window = kFirstWindow; window < last; ++window) {
      const auto report = platform_.reports.find(window);
      if (report == platform_.reports.end()) {
        violations_.push_back("no report of window " + std::to_string(window - kFirstWindow));
        continue;
      }
      checkCounts(window, report->second);
      const auto due = kStart + (window - kFirstWindow + 1) * kWindow + kDelay;
      if (window > kFirstWindow + (kFaultPeriod + 15s) / kWindow && report->second.at > due)
        violations_.push_back("a late report after the fault period for window " +
                              std::to_string(window - kFirstWindow));
    }
  }
  // The counts since the last report of a restarted proxy are lost, so windows with a restart are not checked.
  void checkCounts(std::int64_t window, const FakePlatform::Accepted& report) {
    std::int64_t total = 0;
    std::int64_t off = 0;
    for (int i = 0; i < kTenants; ++i) {
      const auto tenant = "t" + std::to_string(i);
      const auto counted = report.counts.contains(tenant) ? report.counts.at(tenant) : 0;
      total += expectedCounts_[window][tenant];
      off += std::abs(expectedCounts_[window][tenant] - counted);
    }
    const auto began = kStart + (window - kFirstWindow) * kWindow;
    const bool hasRestartedProxy = std::any_of(restartedAt_.begin(), restartedAt_.end(), [&](TimePoint at) {
      return at >= began - 1s && at < began + kWindow + kDelay;
    });
    if (!hasRestartedProxy && static_cast<double>(off) > kUsageError * static_cast<double>(total))
      violations_.push_back("window " + std::to_string(window - kFirstWindow) + " is off by " + std::to_string(off) +
                            " of " + std::to_string(total));
  }

  std::mt19937_64 rng_;
  PlantedFault planted_;
  std::vector<Proxy> proxies_;
  std::vector<Controller> controllers_;
  int leader_ = 0;
  std::int64_t term_ = 0;
  state_machine::UsageReports reports_;  // committed reports
  std::vector<Proposal> log_;
  FakePlatform platform_;
  std::vector<LateCall> lateCalls_;
  std::map<std::int64_t, std::map<std::string, std::int64_t>> expectedCounts_;
  std::vector<TimePoint> restartedAt_;
  TimePoint returnLeadershipAt_ = TimePoint::max();  // when the previous leader is elected again
  int returnLeadershipTo_ = 0;
  std::vector<std::string> violations_;
};

std::uint64_t fromEnvironment(const char* name, std::uint64_t defaultValue) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : defaultValue;
}
std::vector<std::string> violationsIn(std::uint64_t seed, PlantedFault planted) {
  World world(seed, planted);
  world.play();
  return world.violations();
}

TEST(PlatformWorlds, KeepTheRules) {
  const auto from = fromEnvironment("ZINCCLEAT_FROM", 1);
  const auto worlds = fromEnvironment("ZINCCLEAT_WORLDS", 60);
  for (auto seed = from; seed < from + worlds; ++seed) {
    const auto violations = violationsIn(seed, PlantedFault::none);
    EXPECT_TRUE(violations.empty()) << "replay: ZINCCLEAT_WORLDS=1 ZINCCLEAT_FROM=" << seed << ": "
                                    << violations.front();
  }
}
class PlatformWorldsFind : public testing::TestWithParam<PlantedFault> {};
TEST_P(PlatformWorldsFind, APlantedFault) {
  bool found = false;
  for (std::uint64_t seed = 1; seed <= 40 && !found; ++seed)
    found = !violationsIn(seed, GetParam()).empty();
  EXPECT_TRUE(found);
}
INSTANTIATE_TEST_SUITE_P(Faults, PlatformWorldsFind,
                         testing::Values(PlantedFault::sendsUncommittedReport, PlantedFault::reusesFence,
                                         PlantedFault::callsBeforeLeaseEnds, PlantedFault::trustsOneClock,
                                         PlantedFault::ignoresSilentProxies));
}  // namespace
}  // namespace zinccleat::platform
