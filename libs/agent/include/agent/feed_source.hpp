/// Which member of the core feeds an agent with the log. Pure: the present time and the state of the connections are
/// passed in.
///
/// The members of the core all hold the same committed entries, so any of them can feed any agent. The one in the
/// agent's own zone is preferred: what the leader commits then crosses to each zone once, not once for each agent. The
/// leader remains the source where no member stands in the zone or that one lags. Leases always come from the leader.
#pragma once
#include "transport/access_messages.hpp"
namespace zinccleat::agent {
/// Chooses the source; see the file's comment.
class FeedSource {
 public:
  /// A source that said nothing for so long while entries were missing is left for the leader; so is one to which there
  /// is no connection for so long.
  static constexpr auto kStallTimeout = 300ms;
  /// ... that answers and has none of the missing entries itself, after so long: it is cut off from the core, or slow.
  /// With a renewal of the lease, which tells of an entry, this stays well below the time in which drains and
  /// configurations bind (2 s). Shorter, and a zone whose controller is busy for a moment would load the leader
  /// besides.
  static constexpr auto kIsolationTimeout = 400ms;
  /// ... that has them, after so long: the complete state of a large fleet takes a while.
  static constexpr auto kTransferTimeout = 2000ms;
  /// A member that the newest lists do not have is forgotten after so long.
  static constexpr auto kRetentionTime = 2000ms;
  /// A source that was left is not used again for so long.
  static constexpr auto kAvoidTime = 10000ms;

  /// @param zone the agent's zone.
  /// @param seed of the choice among several members of the zone, which is this agent's own.
  FeedSource(std::string zone, std::uint64_t seed) : zone_(std::move(zone)), seed_(seed) {}
  /// Takes over where the members stand that are up. An empty list changes nothing.
  void setMembers(const std::vector<transport::MemberZone>& members, TimePoint now);
  /// Whether it is known where members stand.
  bool knowsMembers() const { return knowsMembers_; }
  /// The member of the agent's zone that is to be linked to; empty: none, or it is avoided now.
  std::string memberInZone(TimePoint now) const;
  /// The address of the member that is to feed the agent now; empty: none yet. While a member of the zone is new and
  /// the connection to it is being made, the present source remains.
  /// @param leader the leader's address; empty: unknown.
  /// @param present the source until now; empty: none.
  std::string choose(TimePoint now, const std::string& leader, const std::string& present,
                     const std::function<bool(const std::string&)>& isConnected) const;
  /// What is known of a source while entries are missing.
  struct Activity {
    TimePoint lastReceivedAt{};      ///< the newest message of any kind
    bool hasMissingEntries = false;  ///< it has said that it has committed more than the agent has applied
  };
  /// Whether the source is to be left for the leader.
  /// @param stalledFor how long entries have been missing and none has come.
  static bool isStalled(TimePoint now, Duration stalledFor, const Activity& source);
  /// The member that feeds the agent lacks what the leader has committed: it is avoided for a while.
  void avoid(const std::string& address, TimePoint now) { avoidedSince_[address] = now; }

 private:
  std::string zone_;
  std::uint64_t seed_;
  struct ZoneMember {
    TimePoint knownSince{};
    TimePoint listedAt{};  // in the newest list that had it
  };
  std::map<std::string, ZoneMember> inZone_;  // by address
  bool knowsMembers_ = false;
  std::map<std::string, TimePoint> avoidedSince_;
};
}  // namespace zinccleat::agent
