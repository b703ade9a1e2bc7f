/// @file
/// Tracks which controllers are up and in which zones they are. Performs no I/O and reads no clock: the time is passed
/// in.
///
/// Each follower sends its zone to the leader together with the heartbeats that it forwards. The leader's
/// acknowledgement lists the controllers that it has heard from recently. An entry that is not repeated within
/// `MemberZones::kLifetime` is dropped, so that no caller is directed to a machine that has been down for longer than
/// that.
#pragma once
#include "transport/access_messages.hpp"
namespace zinccleat::controller {
/// The zones of this controller and of the controllers heard recently; see the file comment.
class MemberZones {
 public:
  /// An entry is valid for this long after it was last heard.
  static constexpr Duration kLifetime{2500};

  /// @param address this machine's IP address.
  /// @param zone this machine's zone.
  MemberZones(std::string address, std::string zone) : address_(std::move(address)), zone_(std::move(zone)) {}
  const std::string& ownZone() const { return zone_; }
  /// Records the zone that a controller has reported. A report without a zone is ignored.
  /// @return whether the controller was unknown, in another zone or considered down before.
  bool record(const std::string& address, const std::string& zone, TimePoint now);
  /// Returns this controller and the others heard recently, ordered by address.
  std::vector<transport::MemberZone> membersUp(TimePoint now) const;
  /// Returns the address of a controller in a zone, preferring this controller; none: no controller in the zone is
  /// known to be up.
  std::optional<std::string> addressIn(const std::string& zone, TimePoint now) const;

 private:
  struct Other {
    std::string zone;
    TimePoint heardAt;
  };
  std::string address_;
  std::string zone_;
  std::map<std::string, Other> others_;  // keyed by address
};
}  // namespace zinccleat::controller
