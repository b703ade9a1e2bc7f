/// Selects the member of the core that sends the replicated log to an agent, called the source. Pure: the current time
/// and the state of the connections are passed in.
///
/// All members of the core have the same committed entries, so any member can be the source of any agent. A member in
/// the agent's own zone is preferred, so that each committed entry is sent to each zone once instead of once per agent.
/// The leader is the source if no member is in the agent's zone or if that member lags. Leases always come from the
/// leader.
#pragma once
#include "transport/access_messages.hpp"
namespace zinccleat::agent {
/// Tracks the members of the agent's zone and selects the source among them and the leader.
class FeedSource {
 public:
  /// The agent switches from its source to the leader if the source sends no message, or is not connected, for this
  /// time while entries are missing. The agent also waits this long for the first connection to a new member of its
  /// zone.
  static constexpr auto kStallTimeout = 300ms;
  /// The agent switches to the leader if entries are missing for this time and the source sends messages but has not
  /// committed the missing entries: the source is isolated from the core, or slow. The sum of this timeout and one
  /// lease renewal, which reports a new entry, is well below the 2 s within which drains and configurations must take
  /// effect. A shorter timeout would add the agents of a zone to the leader's load whenever the zone's controller is
  /// briefly busy.
  static constexpr auto kIsolationTimeout = 400ms;
  /// The agent switches to the leader if entries are missing for this time although the source has committed them. The
  /// timeout is long because the transfer of the complete state of a large fleet takes time.
  static constexpr auto kTransferTimeout = 2000ms;
  /// A member that is absent from the received lists for this time is removed.
  static constexpr auto kRetentionTime = 2000ms;
  /// A member that `avoid` was called for is not selected again for this time.
  static constexpr auto kAvoidTime = 10000ms;

  /// @param zone the agent's zone.
  /// @param seed seed of the selection among several members of the zone. It differs per agent, so that the agents of a
  ///             zone are distributed over its members.
  FeedSource(std::string zone, std::uint64_t seed) : zone_(std::move(zone)), seed_(seed) {}
  /// Updates the zones of the members that are up. An empty list changes nothing.
  void setMembers(const std::vector<transport::MemberZone>& members, TimePoint now);
  /// Whether a list of members with their zones has been received.
  bool knowsMembers() const { return knowsMembers_; }
  /// Returns the address of the selected member of the agent's zone; empty if the zone has no member, or none that is
  /// not avoided now.
  std::string memberInZone(TimePoint now) const;
  /// Returns the address of the member that should be the source now; empty if there is none yet. While the connection
  /// to a new member of the zone is being established, the current source is kept.
  /// @param leader the leader's address; empty if unknown.
  /// @param currentSource the current source; empty if there is none.
  /// @param isConnected whether there is a connection to an address.
  std::string choose(TimePoint now, const std::string& leader, const std::string& currentSource,
                     const std::function<bool(const std::string&)>& isConnected) const;
  /// State of a source while entries are missing.
  struct Activity {
    TimePoint lastReceivedAt{};      ///< time of the last message of any type
    bool hasMissingEntries = false;  ///< the source's commit index is above the agent's applied index
  };
  /// Whether the agent should switch from the source to the leader.
  /// @param stalledFor how long entries have been missing without any entry being applied.
  static bool isStalled(TimePoint now, Duration stalledFor, const Activity& source);
  /// Excludes a member from selection for `kAvoidTime`, because it lacks entries that the leader has committed.
  void avoid(const std::string& address, TimePoint now) { avoidedSince_[address] = now; }

 private:
  std::string zone_;
  std::uint64_t seed_;
  struct ZoneMember {
    TimePoint knownSince{};
    TimePoint listedAt{};  // time of the newest list that contained the member
  };
  std::map<std::string, ZoneMember> zoneMembers_;  // members of the agent's zone; key: address
  bool knowsMembers_ = false;
  std::map<std::string, TimePoint> avoidedSince_;
};
}  // namespace zinccleat::agent
