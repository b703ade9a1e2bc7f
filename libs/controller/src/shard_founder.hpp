/// @file
/// Decides, on the leader of the fleet's log, which members found the logs of the coordination service's shards.
/// Performs no I/O and reads no clock: the time is passed in.
///
/// If the leader has no records of a shard, another machine may have some: its records may date from before a software
/// update, or the leader may have lost its disk. The leader therefore queries the voters first. If any voter has
/// records, the shards exist already and nobody founds them. If all voters report that they have none, they found the
/// shards. A majority without records founds them once the other voters have been silent for `kSilentVoterTimeout`;
/// those have lost their disk or are down.
#pragma once
#include <set>

#include "consensus/cluster_config.hpp"
#include "state_machine/shard_founding.hpp"
namespace zinccleat::controller {
/// Chooses the founders of the shards; see the file comment.
class ShardFounder {
 public:
  /// The leader's own state.
  struct Leader {
    consensus::MemberId self;
    const consensus::ClusterConfig& config;  ///< configuration of the fleet's log
    bool hasRecords = false;                 ///< whether the leader's disk holds records of any shard
  };
  /// Discards all answers. Called when this controller does not lead or the founders are agreed.
  void reset();
  void recordAnswer(const consensus::MemberId& member, bool hasRecords);
  /// Called at each tick while this controller leads with a lease and the founders are not agreed.
  /// @return the decision to propose; none: too few voters have answered.
  std::optional<state_machine::ShardFounding> decide(TimePoint now, const Leader& leader);
  /// Returns the voters to query now: those that have not answered, a few times a second.
  std::vector<consensus::MemberId> membersToQuery(TimePoint now, const Leader& leader);

  /// How long the leader waits for voters that do not answer. This is longer than it takes to replace a failed voter
  /// when another machine is available.
  static constexpr Duration kSilentVoterTimeout{4000};

 private:
  std::set<consensus::MemberId> withoutRecords_;
  bool anyHasRecords_ = false;
  std::optional<TimePoint> queryingSince_;
  TimePoint lastQueriedAt_{};
};
}  // namespace zinccleat::controller
