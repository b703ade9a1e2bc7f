/// @file
/// Which zones a proxy can't reach, as it sees it itself. A partition cuts off all runners of a zone at once, and says
/// nothing: without this each runner would have to fail by itself, and a request that goes out on a kept connection
/// would wait for seconds. Pure: the time is passed in. Not thread-safe.
///
/// A zone counts as unreachable once several of its runners let connections time out and none of them was heard in
/// between, or once several are silent, none of the zone is heard, and a new connection times out too. It counts as
/// reachable again as soon as anything is heard from it; until then it is probed.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::balancing {
class ZoneReachability {
 public:
  /// A zone of which nothing was heard for so long may be unreachable.
  static constexpr Duration kSilence{400};
  /// So many of its runners must be silent, or let connections time out.
  static constexpr std::size_t kMinRunners = 3;
  /// An unreachable zone is probed so often.
  static constexpr Duration kProbeInterval{700};

  /// An attempt that was sent to a runner and has brought no byte yet.
  struct SilentAttempt {
    std::string_view zone;
    int runner = -1;
    TimePoint since{};
  };
  /// Something came from a runner of the zone. @return whether it was unreachable until now.
  bool recordHeard(const std::string& zone, TimePoint now);
  /// A new connection to a runner of the zone timed out. @return whether the zone is unreachable from now on.
  bool recordTimeout(const std::string& zone, int runner, TimePoint now);
  /// A probe of the zone timed out. @return whether the zone is unreachable from now on.
  bool recordProbeTimeout(const std::string& zone);
  bool isUnreachable(const std::string& zone) const;
  /// The zones to which a new connection is to be tried now; each counts as probed with that.
  std::vector<std::string> zonesToProbe(const std::vector<SilentAttempt>& attempts, TimePoint now);

 private:
  struct Zone {
    TimePoint heardAt{};
    std::map<int, TimePoint> timeouts;  // by runner, since the zone was last heard
    bool unreachable = false;
    TimePoint probedAt{};
  };
  std::map<std::string, Zone, std::less<>> zones_;
};
}  // namespace zinccleat::balancing
