/// An agent's knowledge of the core: the term, the leader, the voters, and all other machines that may be members.
/// Pure: the current time and the state of the connections are passed in.
#pragma once
#include <set>

#include "transport/access_messages.hpp"
#include "transport/partial_view.hpp"
namespace zinccleat::agent {
/// Decides to which machines of the core an agent connects. The agent learns of a new leader quickly, and the number of
/// its connections does not grow with the size of the core.
class LeaderDiscovery {
 public:
  /// Number of links to voters in addition to the leader. These voters announce the next leader.
  static constexpr std::size_t kExtraVoterLinks = 2;
  /// If no lease has been granted for this time, the agent connects to all known machines of the core.
  static constexpr auto kLeaseTimeout = 1000ms;

  /// What a status message changed.
  struct StatusChange {
    bool stale = false;  ///< the status is of an earlier term: only its gossip was used
    bool voters = false;
    bool leader = false;  ///< another leader, or the same leader in a new term: the caller must call `setLeader`
  };

  /// @param ownAddress the IP address of this machine.
  /// @param seed seed of the random choices. It differs per node.
  LeaderDiscovery(const std::string& ownAddress, std::uint64_t seed);

  /// Replaces the seed addresses ("IP:PORT") of the core, which come from the settings.
  void setSeeds(std::vector<std::string> seeds);
  /// Records a member of the core that has sent a message.
  void recordContact(const std::string& member);
  /// Records that the leader has granted the proxy's lease.
  void recordLease(TimePoint now) { lastLease_ = now; }
  /// Updates the term, the voters and the partial view from a status message. The leader is not updated: the caller
  /// sets it by `setLeader`, so that it can select links between the two updates.
  StatusChange observe(const transport::ClusterStatus& status);
  void setLeader(std::string leader) { leader_ = std::move(leader); }

  std::int64_t term() const { return term_; }
  /// Whether log messages of a term are accepted. Those of a term earlier than `term()` are rejected.
  bool acceptsTerm(std::int64_t term) const { return term >= term_; }
  /// Identity of the leader; empty if unknown.
  const std::string& leader() const { return leader_; }
  /// IP address of the leader; empty if unknown.
  std::string leaderAddress() const;
  /// Returns the IP addresses that the agent should connect to: the leader, the preferred member and a few voters. If
  /// none of these is connected, or if no lease has been granted for `kLeaseTimeout`, all known machines are returned.
  /// @param isConnected whether there is a connection to an address.
  /// @param preferred address of a member to connect to in addition to the leader; empty if there is none.
  std::set<std::string> desiredAddresses(TimePoint now, const std::function<bool(const std::string&)>& isConnected,
                                         const std::string& preferred = {}) const;
  /// Returns a random sample of the partial view, for gossip.
  std::vector<std::string> sampleView() { return view_.sample(); }

 private:
  std::vector<std::string> votersByRank() const;
  void addAllKnown(std::set<std::string>& addresses) const;

  std::vector<std::string> seeds_;
  std::vector<std::string> voters_;
  std::string leader_;
  std::int64_t term_ = 0;
  TimePoint lastLease_{};
  std::uint64_t rankSeed_;
  transport::PartialView view_;
};
}  // namespace zinccleat::agent
