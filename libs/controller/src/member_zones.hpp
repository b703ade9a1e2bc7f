/// @file
/// In which zones the core machines stand that are up. Pure: the membersUp time is passed in.
///
/// Each follower tells the leader its zone with the heartbeats that it forwards; the leader tells all followers, with
/// its acknowledgement, whom it has heard lately. What is not repeated within `MemberZones::kLifetime` is dropped, so
/// that nobody is sent to a machine that is down for longer than that.
#pragma once
#include "transport/access_messages.hpp"
namespace zinccleat::controller {
/// The zones of this controller and of those that were heard lately; see the file's comment.
class MemberZones {
 public:
  /// An entry counts for so long after it was last heard.
  static constexpr Duration kLifetime{2500};

  /// @param address this machine's IP address.
  /// @param zone this machine's zone.
  MemberZones(std::string address, std::string zone) : address_(std::move(address)), zone_(std::move(zone)) {}
  const std::string& ownZone() const { return zone_; }
  /// A controller has said in which zone it stands. Nothing is recorded of one that names none.
  /// @return whether it was not known before, or not as up.
  bool record(const std::string& address, const std::string& zone, TimePoint now);
  /// This controller and the others heard lately, by address.
  std::vector<transport::MemberZone> membersUp(TimePoint now) const;
  /// The address of a controller in a zone, this one if it stands there; none: no controller there is known to be up.
  std::optional<std::string> addressIn(const std::string& zone, TimePoint now) const;

 private:
  struct Other {
    std::string zone;
    TimePoint heardAt;
  };
  std::string address_;
  std::string zone_;
  std::map<std::string, Other> others_;  // by address
};
}  // namespace zinccleat::controller
