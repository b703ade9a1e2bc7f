/// What a fleet's processes and the hollow nodes' messages cost while a scale run is measured.
#pragma once
#include <map>

#include "fleet.hpp"
#include "scale_run_report.hpp"
#include "transport/frame_codec.hpp"
namespace zinccleat::simulation {
class ResourceMeter {
 public:
  /// From here on processor time and messages count.
  void begin(const LocalFleet& fleet);
  /// The processor time of this process counts from its start: it is new, or about to be replaced.
  void forget(pid_t process) { cpuSecondsAtBegin_.erase(process); }
  /// Asks each controller for its role too, so it runs on a fiber. @param seconds since `begin`.
  std::vector<ProcessUsage> processes(const LocalFleet& fleet, double seconds) const;
  /// Messages of this process, which are those of the hollow nodes. @param seconds since `begin`.
  std::vector<MessageTraffic> traffic(int nodes, double seconds) const;

 private:
  double cpuSecondsAtBegin(pid_t process) const;
  std::map<pid_t, double> cpuSecondsAtBegin_;
  transport::Traffic trafficAtBegin_;
};
}  // namespace zinccleat::simulation
