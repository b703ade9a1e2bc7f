// The invariants that must hold in each state of a model world.
#include "model_checker.hpp"

namespace zinccleat::model {
using namespace zinccleat::consensus;
using namespace zinccleat::transport;
namespace {
constexpr Duration kRecoveryTime{6000};  // simulated time after which the cluster must have recovered from all faults
constexpr Duration kWriteTime{1000};

// Whether every quorum of `one` overlaps with every quorum of `other`.
bool quorumsOverlap(const ClusterConfig& one, const ClusterConfig& other) {
  auto members = one.allVoters();
  for (const auto& member : other.allVoters())
    if (!one.isVoter(member))
      members.push_back(member);
  for (std::uint32_t subset = 0; subset < (1U << members.size()); ++subset) {
    const auto inSubset = [&](const MemberId& member) {
      const auto at = static_cast<std::size_t>(std::find(members.begin(), members.end(), member) - members.begin());
      return (subset & (1U << at)) != 0;
    };
    if (one.hasQuorum(inSubset) && other.hasQuorum([&](const MemberId& member) { return !inSubset(member); }))
      return false;
  }
  return true;
}
std::string checkLeases(const World& world) {
  const auto& committed = world.history->committed;
  std::size_t leases = 0;
  std::size_t behind = 0;
  for (const auto& machine : world.machines) {
    if (!machine->raft || !machine->raft->hasLease(world.now))
      continue;
    ++leases;
    behind += !committed.empty() && machine->raft->commitIndex() < committed.rbegin()->first;
  }
  if (leases > 1)
    return "two valid leases at the same time";
  return behind > 0 ? "a lease holder lacks committed entries" : "";
}
std::string checkLeaders(const World& world) {
  for (const auto& machine : world.machines) {
    if (!machine->raft || machine->raft->role() != Role::leader)
      continue;
    const auto& node = *machine->raft;
    const auto known = world.history->leaders.find(node.term());
    if (known != world.history->leaders.end() && known->second != node.self())
      return "two leaders in a term";
    for (const auto& [index, entry] : world.history->committed) {
      const auto* logged = node.entryAt(index);
      const bool missing = index >= node.firstIndex() && (!logged || contentOf(*logged) != entry.content);
      if (missing && node.term() > entry.committedInTerm)
        return "a leader lacks committed entries";
    }
  }
  return {};
}
std::string checkLogs(const World& world) {
  for (std::size_t one = 0; one < kMachines; ++one)
    for (std::size_t other = one + 1; other < kMachines; ++other) {
      if (!world.machines[one]->raft || !world.machines[other]->raft)
        continue;
      const auto& left = *world.machines[one]->raft;
      const auto& right = *world.machines[other]->raft;
      for (auto index = left.firstIndex(); left.entryAt(index); ++index) {
        const auto* entry = right.entryAt(index);
        if (entry && entry->term == left.entryAt(index)->term && contentOf(*entry) != contentOf(*left.entryAt(index)))
          return "two entries of one term at one index";
      }
    }
  return {};
}
std::string checkConfigs(const World& world) {
  for (const auto& machine : world.machines) {
    if (!machine->raft)
      continue;
    std::optional<ClusterConfig> before;
    for (auto index = machine->raft->firstIndex(); const auto* entry = machine->raft->entryAt(index); ++index) {
      if (entry->op() != OperationKind::membership)
        continue;
      auto config = decodeConfig(entry->body);
      if (!before && machine->raft->firstIndex() == 1)
        before = ClusterConfig{{"a#0", "b#0", "c#0"}, {}};  // the configuration of the founders
      if (before && !quorumsOverlap(*before, config))
        return "two configurations without overlapping majorities";
      before = std::move(config);
    }
  }
  return {};
}
// Checks that, with three or more running machines, the loss of any one of them is tolerated. Valid only when no
// messages are in flight.
std::string checkTolerance(const World& world, std::size_t leader) {
  std::size_t running = 0;
  for (const auto& machine : world.machines)
    running += machine->raft != nullptr;
  const auto& config = world.machines[leader]->raft->config();
  if (running < kFounders)
    return {};
  for (const auto& lost : world.machines) {
    const bool tolerated = config.hasQuorum([&](const MemberId& voter) {
      return std::any_of(world.machines.begin(), world.machines.end(),
                         [&](const auto& machine) { return machine->raft && machine != lost && machine->id == voter; });
    });
    if (!tolerated)
      return "the loss of " + lost->id + " would stop " + encodeConfig(config);
  }
  return {};
}
}  // namespace

std::string violatedInvariant(const World& world) {
  if (!world.violation.empty())
    return world.violation;
  for (const auto check : {checkLeases, checkLeaders, checkLogs, checkConfigs}) {
    auto violated = check(world);
    if (!violated.empty())
      return violated;
  }
  return {};
}
std::string violationAfterRecovery(World world) {
  world.endAllFaults();
  world.runFairly(kRecoveryTime);
  auto violated = violatedInvariant(world);
  if (!violated.empty())
    return violated;
  const auto leader = world.leaderWithLease();
  if (leader == kMachines)
    return "no leader after recovery";
  const auto before = world.machines[leader]->raft->commitIndex();
  world.budgets.writes = 1;
  world.apply({ActionKind::write});
  world.runFairly(kWriteTime);
  if (world.machines[leader]->raft && world.machines[leader]->raft->commitIndex() <= before)
    return "no write commits after recovery";
  const auto tolerance = checkTolerance(world, leader);
  return tolerance.empty() ? violatedInvariant(world) : tolerance;
}
}  // namespace zinccleat::model
