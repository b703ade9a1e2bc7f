/// What an agent knows of the core: its term, its leader, its voters, and every other machine that may be a member.
/// Pure: the present time and the state of the connections are passed in.
#pragma once
#include <set>

#include "transport/access_messages.hpp"
#include "transport/partial_view.hpp"
namespace zinccleat::agent {
/// Decides which machines of the core an agent should be connected to, so that it hears of a new leader soon while the
/// number of its connections does not grow with the core.
class LeaderDiscovery {
 public:
  /// Links to voters besides the leader, which announce the next leader.
  static constexpr std::size_t kExtraVoterLinks = 2;
  /// Without a granted lease for so long, links to all known machines are wanted.
  static constexpr auto kLeaseTimeout = 1000ms;

  /// What a status changed.
  struct StatusChange {
    bool stale = false;  ///< of a term that has passed: ignored
    bool voters = false;
    bool leader = false;  ///< another leader, or the same one in a new term: `setLeader` is due
  };

  /// @param ownAddress the IP address of this machine.
  /// @param seed of the random choices, which are this node's own.
  LeaderDiscovery(const std::string& ownAddress, std::uint64_t seed);

  /// Replaces the addresses ("IP:PORT") of the settings at which the core may be found.
  void setSeeds(std::vector<std::string> seeds);
  /// Records a member of the core that has sent a message.
  void recordContact(const std::string& member);
  /// Records that the leader has granted the proxy's lease.
  void recordLease(TimePoint now) { lastLease_ = now; }
  /// Takes over term, voters and the gossip of a status. The leader is set apart, so that links can be chosen in
  /// between.
  StatusChange observe(const transport::ClusterStatus& status);
  void setLeader(std::string leader) { leader_ = std::move(leader); }

  std::int64_t term() const { return term_; }
  /// Whether a message of the log is not of a leader of an earlier term.
  bool acceptsTerm(std::int64_t term) const { return term >= term_; }
  /// Identity of the leader; empty: unknown.
  const std::string& leader() const { return leader_; }
  /// IP address of the leader; empty: unknown.
  std::string leaderAddress() const;
  /// The IP addresses to be connected to: the leader, the preferred member and a few voters; or all that are known if
  /// none of those is connected, or if there has been no lease for `kLeaseTimeout`.
  /// @param isConnected whether there is a connection to an address now.
  /// @param preferred the address of a member that is wanted besides the leader; empty: none.
  std::set<std::string> desiredAddresses(TimePoint now, const std::function<bool(const std::string&)>& isConnected,
                                         const std::string& preferred = {}) const;
  /// A sample of the partial view, for gossip.
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
