/// Runners of a scale run as the controllers see them: they join, send heartbeats, leave in order and come back.
/// No request is ever sent to them.
#pragma once
#include <random>

#include "control_calls.hpp"
namespace zinccleat::simulation {
class RunnerLoad {
 public:
  /// Both parameters must outlive the event loop's last turn.
  RunnerLoad(const LocalFleet& fleet, std::mt19937_64& random) : fleet_(fleet), random_(random) {}
  /// Starts a fiber for each of so many runners.
  void start(int runners);
  /// The runner whose next heartbeat is due drains, detaches and joins again under a new id at the same address.
  void requestDeparture() { ++departuresDue_; }
  /// Each fiber ends after its heartbeat under way.
  void stop() { stopped_ = true; }
  const AcknowledgementCounts& heartbeats() const { return heartbeats_; }
  const AcknowledgementCounts& departures() const { return departures_; }

 private:
  struct Runner {
    std::size_t number = 0;
    std::string id, address;
    int sequence = 0;  // of its last heartbeat
  };
  void run(Runner runner);
  void sendHeartbeat(Runner& runner);
  void leave(Runner& runner);
  void rejoin(Runner& runner);

  const LocalFleet& fleet_;
  std::mt19937_64& random_;
  AcknowledgementCounts heartbeats_, departures_;
  int departuresDue_ = 0, rejoined_ = 0;
  bool stopped_ = false;
};
}  // namespace zinccleat::simulation
