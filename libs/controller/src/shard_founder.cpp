#include "shard_founder.hpp"

#include "coordination/sharding.hpp"

namespace zinccleat::controller {
namespace {
constexpr Duration kQueryInterval{250};
}  // namespace

void ShardFounder::reset() {
  *this = ShardFounder();
}
void ShardFounder::recordAnswer(const consensus::MemberId& member, bool hasRecords) {
  anyHasRecords_ = anyHasRecords_ || hasRecords;
  if (!hasRecords)
    withoutRecords_.insert(member);
}
std::optional<state_machine::ShardFounding> ShardFounder::decide(TimePoint now, const Leader& leader) {
  if (!queryingSince_)
    queryingSince_ = now;
  if (leader.hasRecords || anyHasRecords_)
    return state_machine::ShardFounding{coordination::kShardCount, {}};
  // During a change of voters the set of founders is not determined.
  if (leader.config.empty() || leader.config.joint())
    return std::nullopt;
  const auto lacksRecords = [&](const consensus::MemberId& member) {
    return member == leader.self || withoutRecords_.contains(member);
  };
  const auto& voters = leader.config.voters;
  const bool all = std::all_of(voters.begin(), voters.end(), lacksRecords);
  const bool waitedFullTimeout = now - *queryingSince_ >= kSilentVoterTimeout;
  if (!all && !(waitedFullTimeout && leader.config.hasQuorum(lacksRecords)))
    return std::nullopt;
  return state_machine::ShardFounding{coordination::kShardCount, voters};
}
std::vector<consensus::MemberId> ShardFounder::membersToQuery(TimePoint now, const Leader& leader) {
  std::vector<consensus::MemberId> due;
  if (leader.hasRecords || anyHasRecords_ || now - lastQueriedAt_ < kQueryInterval)
    return due;
  lastQueriedAt_ = now;
  for (const auto& member : leader.config.allVoters())
    if (member != leader.self && !withoutRecords_.contains(member))
      due.push_back(member);
  return due;
}
}  // namespace zinccleat::controller
