/// @file
/// Decides, at the leader of the fleet's log, who founds the logs of the coordination service's shards. Pure: the time
/// is passed in.
///
/// Where the leader has no records of a shard, another machine may have: it could come from before an update, or this
/// machine from after a loss of its disk. So the voters are asked first. One that has records ends the question: the
/// shards exist, and nobody founds them. If all say that they have none, they found them; so does a majority once the
/// others have been silent for long, which then lack a disk or are down.
#pragma once
#include <set>

#include "consensus/cluster_config.hpp"
#include "state_machine/shard_founding.hpp"
namespace zinccleat::controller {
class ShardFounder {
 public:
  /// What the leader knows of itself.
  struct Leader {
    consensus::MemberId self;
    const consensus::ClusterConfig& config;  ///< of the fleet's log
    bool hasRecords = false;                 ///< of any shard
  };
  /// Forgets all answers: this controller does not lead, or it is agreed.
  void reset();
  void recordAnswer(const consensus::MemberId& member, bool hasRecords);
  /// To be called at each tick while this controller leads with a lease and nothing is agreed.
  /// @return what is to be agreed on; none: not enough is known yet.
  std::optional<state_machine::ShardFounding> decide(TimePoint now, const Leader& leader);
  /// The voters that are to be asked now: those that have not answered, a few times a second.
  std::vector<consensus::MemberId> membersToQuery(TimePoint now, const Leader& leader);

  /// How long silent voters are waited for; longer than a voter that is down stays one, where others can replace it.
  static constexpr Duration kSilentVoterTimeout{4000};

 private:
  std::set<consensus::MemberId> withoutRecords_;
  bool anyHasRecords_ = false;
  std::optional<TimePoint> queryingSince_;
  TimePoint lastQueriedAt_{};
};
}  // namespace zinccleat::controller
