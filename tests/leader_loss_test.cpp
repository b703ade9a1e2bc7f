/// Measures the time without a leader after the end of the leader's process, for each phase of the election, over many
/// seeds, with default disks and links. Also checks that the short lease does not cause elections while processes pause
/// for a moment.
#include <gtest/gtest.h>

#include "simulated_cluster.hpp"

namespace {
using namespace zinccleat;
using consensus::Role;
using sim::SimulatedCluster;

const std::vector<std::string> kMachines = {"10.1.0.1", "10.2.0.1", "10.3.0.1", "10.1.0.2", "10.2.0.2"};

/// The end of each phase of the election, measured from the loss of the leader.
struct Timeline {
  Duration noticed{0};    ///< the first member requests pre-votes
  Duration termBegun{0};  ///< the first member has a majority of pre-votes
  Duration elected{0};    ///< a majority of votes is on disks
  Duration serving{0};    ///< the new leader has a lease and has committed an entry of its term, so reads are possible
};
void startAll(SimulatedCluster& cluster) {
  cluster.toleratedLosses = 2;
  for (const auto& ip : kMachines)
    cluster.start(ip, {kMachines.begin(), kMachines.begin() + 3}, true);
  cluster.runFor(Duration(6000 + cluster.draw(400)));
  while (cluster.leader().empty())
    cluster.runFor(Duration(1));
}
bool anyIs(const SimulatedCluster& cluster, Role role) {
  return std::any_of(cluster.nodes.begin(), cluster.nodes.end(),
                     [role](const auto& entry) { return entry.second.up && entry.second.raft->role() == role; });
}
std::int64_t highestTerm(const SimulatedCluster& cluster) {
  std::int64_t term = 0;
  for (const auto& [ip, node] : cluster.nodes)
    if (node.up)
      term = std::max(term, node.raft->term());
  return term;
}
Timeline loseLeader(std::uint64_t seed) {
  SimulatedCluster cluster(seed);
  startAll(cluster);
  const auto lostTerm = highestTerm(cluster);
  cluster.crash(cluster.leader());
  const auto lostAt = cluster.now;
  const auto timeUntil = [&](const auto& condition) {
    while (!condition() && cluster.now - lostAt < Duration(10'000))
      cluster.runFor(Duration(1));
    return toDuration(cluster.now - lostAt);
  };
  Timeline timeline;
  timeline.noticed = timeUntil([&] { return anyIs(cluster, Role::candidate) || highestTerm(cluster) > lostTerm; });
  timeline.termBegun = timeUntil([&] { return highestTerm(cluster) > lostTerm; });
  timeline.elected = timeUntil([&] { return anyIs(cluster, Role::leader); });
  timeline.serving = timeUntil([&] { return !cluster.leader().empty(); });
  return timeline;
}
Duration quantile(std::vector<Duration> times, double share) {
  std::sort(times.begin(), times.end());
  return times[std::min(times.size() - 1, static_cast<std::size_t>(static_cast<double>(times.size()) * share))];
}
}  // namespace

TEST(LeaderLoss, ServiceIsBackSoon) {
  constexpr std::uint64_t kSeeds = 200;
  std::vector<Duration> noticed;
  std::vector<Duration> termBegun;
  std::vector<Duration> elected;
  std::vector<Duration> serving;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto timeline = loseLeader(seed);
    noticed.push_back(timeline.noticed);
    termBegun.push_back(timeline.termBegun);
    elected.push_back(timeline.elected);
    serving.push_back(timeline.serving);
  }
  const auto print = [](const char* part, const std::vector<Duration>& times) {
    std::printf("%-10s median %4d ms, p99 %4d ms\n", part, static_cast<int>(quantile(times, 0.5).count()),
                static_cast<int>(quantile(times, 0.99).count()));
  };
  print("noticed", noticed);
  print("term begun", termBegun);
  print("elected", elected);
  print("serving", serving);
  EXPECT_LT(quantile(serving, 0.5), Duration(500));
  EXPECT_LT(quantile(serving, 0.99), Duration(800));
}
// Each process pauses for up to 150 ms once per second, as on a machine with a fraction of a CPU core.
TEST(LeaderLoss, ShortPausesBringNoElection) {
  constexpr int kSeconds = 60;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedCluster cluster(seed);
    startAll(cluster);
    const auto leader = cluster.leader();
    const auto term = highestTerm(cluster);
    for (int second = 0; second < kSeconds; ++second) {
      for (const auto& ip : kMachines)
        cluster.schedule(Duration(cluster.draw(800)), [&cluster, ip] {
          cluster.nodes[ip].paused = true;
          cluster.schedule(Duration(50 + cluster.draw(100)), [&cluster, ip] { cluster.nodes[ip].paused = false; });
        });
      cluster.write(kMachines[cluster.draw(kMachines.size())]);
      cluster.runFor(Duration(1000));
    }
    EXPECT_EQ(highestTerm(cluster), term) << "seed " << seed;
    EXPECT_EQ(cluster.leader(), leader) << "seed " << seed;
    EXPECT_TRUE(cluster.violations.empty()) << cluster.violations.front();
  }
}
