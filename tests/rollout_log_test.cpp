// Tests of rollouts over the real replicated log in simulated clusters, which are determined by a seed. A cluster has
// six controllers, each with a rollout tracker, and proxies that follow any of the controllers. In each run at most
// one fault occurs: a crash or isolation of the leader, a network partition, the loss of the leader's disk, or a power
// failure of all machines.
//
// More seeds: ZINCCLEAT_WORLDS=500 target/zinccleat_tests --gtest_filter='RolloutLog.*'
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

#include "rollout/revision_gate.hpp"
#include "rollout/rollout_tracker.hpp"
#include "simulated_cluster.hpp"

using namespace zinccleat;
using namespace zinccleat::rollout;
using namespace zinccleat::sim;
using namespace zinccleat::state_machine;
using namespace zinccleat::transport;
namespace {
constexpr Duration kTick{50};
constexpr Duration kReportInterval{400};
constexpr int kProxies = 16;
constexpr int kRunners = 12;  // of each revision
constexpr double kRequestsPerTick = 1.0;
constexpr double kExposureShare = 0.1;
constexpr double kExposureSlack = 50;
constexpr std::int64_t kTermMs = 14000;
const std::vector<std::string> kFounders = {"10.1.0.1", "10.2.0.1", "10.3.0.1"};
const std::vector<std::string> kMachines = {"10.1.0.1", "10.2.0.1", "10.3.0.1", "10.1.0.2", "10.2.0.2", "10.3.0.2"};

enum class Fault { none, leaderCrashes, leaderIsIsolated, networkPartition, allMachinesLosePower, leaderLosesItsDisk };
constexpr int kFaults = 6;

struct Proxy {
  RevisionGate gate;
  std::string source;  // the controller whose log the proxy follows
  std::int64_t applied = 0;
};

class RolloutCluster {
 public:
  RolloutCluster(std::uint64_t seed, bool isBad) : cluster_(seed), isBad_(isBad) {
    cluster_.toleratedLosses = 2;
    for (const auto& ip : kMachines)
      cluster_.start(ip, kFounders, true);
    cluster_.runFor(6000ms);
    for (int i = 0; i < kProxies; ++i)
      proxies_.push_back({RevisionGate(seed * 100 + static_cast<std::uint64_t>(i)), anyMachine(), 0});
    joinRunners();
  }
  void simulate() {
    const auto order = orderOf("v2");
    orderOperationId_ = "order/1";
    write(rolloutBeginEntry(order, orderOperationId_));
    const auto faultAt = cluster_.now + Duration(cluster_.draw(kTermMs));
    const auto fault = static_cast<Fault>(cluster_.draw(kFaults));
    const auto end = cluster_.now + Duration(kTermMs + 8000);
    bool faultInjected = false;
    for (int tick = 0; cluster_.now < end; ++tick) {
      if (!faultInjected && cluster_.now >= faultAt) {
        faultInjected = true;
        injectFault(fault);
      }
      // The begin request is repeated, with requests for another revision in between. The repeated request must be
      // acknowledged again; the other one must be rejected.
      if (tick % 40 == 20)
        write(rolloutBeginEntry(order, "order/again/" + std::to_string(tick)));
      if (tick % 60 == 30 && !finalPhase_ && cluster_.now < end - 12000ms)
        write(rolloutBeginEntry(orderOf("v3"), "order/other/" + std::to_string(tick)));
      step();
    }
  }
  void check() {
    EXPECT_TRUE(cluster_.violations.empty()) << "seed " << cluster_.seed;
    EXPECT_TRUE(problems_.empty()) << "seed " << cluster_.seed << ": " << (problems_.empty() ? "" : problems_.front());
    const auto leader = cluster_.leader();
    ASSERT_FALSE(leader.empty()) << "seed " << cluster_.seed;
    const auto* rollout = cluster_.nodes[leader].replica.rollout("s");
    ASSERT_TRUE(rollout) << "the order is lost, seed " << cluster_.seed;
    EXPECT_EQ(rollout->revision, "v2") << "seed " << cluster_.seed;
    EXPECT_FALSE(rollout->inProgress()) << "seed " << cluster_.seed << ", after " << rollout->elapsedMs << " ms, "
                                        << rollout->percent << " percent, records " << records_ << ", candidate "
                                        << candidateRequests_ << " of " << requests_;
    phase_ = rollout->phase();
    if (isBad_) {
      EXPECT_EQ(phase_, RolloutPhase::reverted) << rollout->reason << ", seed " << cluster_.seed;
      EXPECT_LE(candidateRequests_, kExposureShare * requests_ + kExposureSlack) << "seed " << cluster_.seed;
    }
  }
  RolloutPhase phase() const { return phase_; }

 private:
  std::string anyMachine() { return kMachines[cluster_.draw(kMachines.size())]; }
  static Rollout orderOf(const std::string& revision) {
    Rollout order;
    order.service = "s";
    order.revision = revision;
    order.durationMs = kTermMs;
    return order;
  }
  /// Submits an entry through a random controller, as an operator's call does.
  void write(const LogEntry& entry) {
    const auto ip = anyMachine();
    constexpr int kAttempts = 30;
    cluster_.attemptWrite(ip, cluster_.nodes[ip].incarnation, entry, kAttempts);
  }
  void joinRunners() {
    for (int i = 0; i < 2 * kRunners; ++i) {
      const std::string revision = i < kRunners ? "v1" : "v2";
      Runner runner{revision + "-" + std::to_string(i), "s", "10.9.0." + std::to_string(i) + ":1", "z", 16, 1, 0};
      runner.software.revision = revision;
      write(runnerEntry(runner, "join/" + runner.id));
    }
    cluster_.runFor(1500ms);
  }
  // --- Faults, each of which ends after some time ---
  void restartLater(const std::string& ip, Duration delay) {
    cluster_.schedule(delay, [this, ip] {
      if (!cluster_.nodes[ip].up)
        cluster_.start(ip, kFounders, false);
    });
  }
  void injectFault(Fault fault) {
    const auto leader = cluster_.leader();
    switch (fault) {
      case Fault::none:
        return;
      case Fault::leaderCrashes:
      case Fault::leaderLosesItsDisk:
        if (leader.empty())
          return;
        cluster_.crash(leader);
        if (fault == Fault::leaderLosesItsDisk)
          cluster_.nodes[leader].disk.clear();
        return restartLater(leader, 800ms);
      case Fault::leaderIsIsolated:
        if (!leader.empty())
          cluster_.isolate(leader);
        break;
      case Fault::networkPartition:
        for (std::size_t i = 0; i < kMachines.size(); ++i)
          for (std::size_t j = 0; j < kMachines.size(); ++j)
            if ((i < 3) != (j < 3))
              cluster_.cutLinks.insert({kMachines[i], kMachines[j]});
        break;
      case Fault::allMachinesLosePower:
        for (const auto& ip : kMachines) {
          cluster_.crash(ip);
          restartLater(ip, Duration(300 + cluster_.draw(400)));
        }
        return;
    }
    cluster_.schedule(2500ms, [this] { cluster_.cutLinks.clear(); });
  }
  // --- Controllers and proxies ---
  void step() {
    cluster_.runFor(kTick);
    for (const auto& ip : kMachines)
      stepController(ip);
    for (std::size_t i = 0; i < proxies_.size(); ++i)
      stepProxy(i);
    ++ticks_;
  }
  void stepController(const std::string& ip) {
    auto& node = cluster_.nodes[ip];
    if (!node.up)
      return;
    auto& known = trackers_.try_emplace(ip, node.incarnation, RolloutTracker(kExposureShare)).first->second;
    if (known.first != node.incarnation)
      known = {node.incarnation, RolloutTracker(kExposureShare)};  // a restarted process has lost its tracker
    auto& tracker = known.second;
    tracker.follow(cluster_.now, node.replica.state());
    checkReplica(node);
    const bool leads = node.raft->hasLease(cluster_.now);
    if (leads && std::exchange(leader_, ip) != ip)
      tracker.startTerm();
    if (!leads || ticks_ % 4 != 0)
      return;
    for (const auto& record : tracker.decide(cluster_.now, node.replica.state())) {
      node.raft->submit(cluster_.now, rolloutProgressEntry(record, ip + "/" + std::to_string(++records_)));
      cluster_.carryOutActions(node);
    }
  }
  void checkReplica(const SimulatedCluster::Node& node) {
    const auto* rollout = node.replica.rollout("s");
    const bool acknowledged = cluster_.acknowledged.contains(orderOperationId_);
    if (acknowledged && node.raft->hasLease(cluster_.now) && !rollout)
      problems_.push_back("an acknowledged order is unknown to the leader " + node.ip);
    if (!rollout)
      return;
    if (rollout->revision != "v2" && rollout->revision != "v3")
      problems_.emplace_back("a rollout that nobody ordered");
    if (rollout->revision != "v2" || rollout->inProgress())
      return;
    if (finalPhase_ && *finalPhase_ != rollout->phase())
      problems_.emplace_back("completed and reverted");
    finalPhase_ = rollout->phase();
  }
  void stepProxy(std::size_t number) {
    auto& proxy = proxies_[number];
    if (!cluster_.nodes[proxy.source].up)
      proxy.source = anyMachine();
    const auto& source = cluster_.nodes[proxy.source];
    if (source.up && source.replica.state().index > proxy.applied) {
      proxy.applied = source.replica.state().index;
      proxy.gate.setRollouts(source.replica.state().rollouts);
    }
    const int count = std::poisson_distribution<int>(kRequestsPerTick)(cluster_.random);
    for (int i = 0; i < count; ++i)
      sendRequest(proxy);
    constexpr std::size_t kTicksPerReport = kReportInterval / kTick;
    if (ticks_ % kTicksPerReport == number % kTicksPerReport)
      report(proxy, number);
  }
  void report(Proxy& proxy, std::size_t number) {
    const auto leader = cluster_.leader();
    if (leader.empty() || !trackers_.contains(leader))
      return;
    for (const auto& report : proxy.gate.takeReports())
      if (const auto grant = trackers_.at(leader).second.report(cluster_.now, std::to_string(number), report))
        proxy.gate.addGrants({*grant}, cluster_.now);
  }
  void sendRequest(Proxy& proxy) {
    const bool ordered = finalPhase_ || cluster_.acknowledged.contains(orderOperationId_);
    requests_ += ordered ? 1 : 0;
    proxy.gate.recordRequest("s");
    const auto filter = proxy.gate.choose("s", 0, false, cluster_.now);
    // As long as a proxy does not know the rollout, the candidate's runners do not exist for this proxy.
    const bool toCandidate = filter.rule == RevisionFilter::Rule::only;
    ObservedAttempt seen;
    seen.route = "r";
    seen.answered = true;
    seen.revision = toCandidate ? "v2" : "v1";
    seen.runner = seen.revision + std::to_string(cluster_.draw(3));
    seen.failed = cluster_.draw(1000) < (toCandidate && isBad_ ? 500U : 3U);
    candidateRequests_ += toCandidate ? 1 : 0;
    proxy.gate.recordAttempt("s", seen);
  }

  SimulatedCluster cluster_;
  bool isBad_;
  std::vector<Proxy> proxies_;
  std::map<std::string, std::pair<int, RolloutTracker>> trackers_;  // by address, with the incarnation of the process
  std::string leader_, orderOperationId_;
  std::optional<RolloutPhase> finalPhase_;
  std::vector<std::string> problems_;
  RolloutPhase phase_{};
  std::size_t ticks_ = 0;
  int records_ = 0;
  double requests_ = 0, candidateRequests_ = 0;
};
std::uint64_t worldCount() {
  constexpr std::uint64_t kDefaultWorlds = 12;
  const char* wanted = std::getenv("ZINCCLEAT_WORLDS");
  return wanted ? std::strtoull(wanted, nullptr, 10) : kDefaultWorlds;
}
}  // namespace

TEST(RolloutLog, ABadVersionIsRevertedWithinItsExposureWhateverTheLogSuffers) {
  for (std::uint64_t seed = 1; seed <= worldCount() && !HasFailure(); ++seed) {
    RolloutCluster fleet(seed, true);
    fleet.simulate();
    fleet.check();
  }
}
TEST(RolloutLog, AGoodVersionIsCompletedOrAtLeastDecided) {
  std::uint64_t completed = 0;
  for (std::uint64_t seed = 1; seed <= worldCount() && !HasFailure(); ++seed) {
    RolloutCluster fleet(seed, false);
    fleet.simulate();
    fleet.check();
    completed += fleet.phase() == RolloutPhase::completed ? 1 : 0;
  }
  std::printf("completed: %llu of %llu\n", static_cast<unsigned long long>(completed),
              static_cast<unsigned long long>(worldCount()));
  EXPECT_GE(completed * 10, worldCount() * 9);
}
