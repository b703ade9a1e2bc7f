// A series that loses the disk of the only controller that answers, while the others are silent for a reason that is no
// network partition: killed, standing still, restarted again and again, or behind a link that loses packets. Increments
// are sent to that controller meanwhile. Nothing that it acknowledged may be lost: at the end of the run, all
// controllers read the totals. In some turns a partition takes the place of the trouble; increments must then be
// acknowledged on both of its sides.
#include <array>
#include <cstdio>

#include "soak_run.hpp"
#include "supervisor.hpp"

namespace zinccleat::soak {
namespace {
constexpr Duration kStartTimeout{4000};
constexpr Duration kPollInterval{20};
constexpr Duration kDisturbanceInterval{100};
constexpr int kDirectedCallers = 3;
/// Until then the machine with the lost disk has copied everything again, and another one may lose its disk.
constexpr Duration kRecoveryTime{8000};
/// Within this time after its begin, a partition is detected on both sides.
constexpr Duration kPartitionOnset{2000};
constexpr Duration kPartitionLength{5000};

/// Why the controllers other than the answering one are silent. `cutOffAndKilled`: one is cut off, the others are
/// killed; a partition that cuts off all of them would excuse the loss.
enum class Silence { killed, standingStill, restartedAgainAndAgain, lossyLink, cutOffAndKilled };
constexpr std::array kSilences{
    std::pair{Silence::killed, "killed"},
    std::pair{Silence::standingStill, "standing still"},
    std::pair{Silence::restartedAgainAndAgain, "restarted again and again"},
    std::pair{Silence::lossyLink, "behind a link that loses packets"},
    std::pair{Silence::cutOffAndKilled, "cut off and killed"},
};

class LossSeries {
 public:
  LossSeries(SoakRun& run, Supervisor& supervisor) : run_(run), supervisor_(supervisor), random_(run.plan.seed) {}
  void start() {
    run_.spawn([this] {
      while (run_.disturbancesActive) {
        sleepFor(drawDuration(200ms, 800ms));
        if (run_.disturbancesActive && awaitControllers())
          playTurn();
      }
    });
  }

 private:
  static void sleepFor(Duration duration) { runtime::EventLoop::get().sleepFor(duration); }
  std::uint64_t draw(std::uint64_t below) { return random_() % below; }
  Duration drawDuration(Duration least, Duration most) {
    return least + Duration(static_cast<std::int64_t>(draw(static_cast<std::uint64_t>((most - least).count()) + 1)));
  }
  std::size_t controllers() const { return run_.fleet.core().size(); }
  void recordDisturbance() { run_.observations.disturbances.push_back({Disturbance::kCore, Clock::now(), false}); }
  void disturbFor(Duration duration) {
    for (const auto end = Clock::now() + duration; Clock::now() < end; sleepFor(kDisturbanceInterval))
      recordDisturbance();
    recordDisturbance();
  }
  /// Keeps other series away from the controllers and waits until all of them run.
  bool awaitControllers() {
    run_.diskIsBeingLost = true;
    for (const auto end = Clock::now() + kStartTimeout; Clock::now() < end; sleepFor(kPollInterval)) {
      bool all = true;
      for (std::size_t i = 0; i < controllers(); ++i)
        all = all && supervisor_.isRunning(i);
      if (all)
        return true;
    }
    run_.diskIsBeingLost = false;
    return false;
  }
  void playTurn() {
    disturbFor(kRecoveryTime / 4);  // a controller that was restarted last has copied what it missed
    const auto answering = draw(controllers());
    if (draw(4) == 0)
      playPartition(answering);
    else
      loseAnsweringDisk(answering);
    disturbFor(kRecoveryTime);
    run_.diskIsBeingLost = false;
  }

  // --- a lost disk ---

  void loseAnsweringDisk(std::size_t answering) {
    const auto& [kind, description] = kSilences[draw(kSilences.size())];
    std::printf("  core-%zu loses its disk while the others are %s\n", answering + 1, description);
    silenceLasts_ = true;
    for (int caller = 0; caller < kDirectedCallers; ++caller)
      run_.spawn([this, answering] { sendIncrementsTo(answering); });
    silenceOthers(answering, kind);
    disturbFor(drawDuration(600ms, 3500ms));
    if (draw(3) == 0)
      pause(answering);
    const bool linksFailLonger = draw(2) == 0;
    if (!linksFailLonger)
      endLinkFaults();
    supervisor_.killAndHold(answering);
    silenceLasts_ = false;
    while (!supervisor_.isDown(answering))
      sleepFor(kPollInterval);
    run_.fleet.loseDisk(answering);
    disturbFor(drawDuration(0ms, 800ms));
    endLinkFaults();
    for (std::size_t i = 0; i < controllers(); ++i)
      bringBack((answering + i) % controllers());
  }
  void sendIncrementsTo(std::size_t controller) {
    while (silenceLasts_) {
      (void)sendIncrementOnce(run_, run_.fleet.control(controller), newId());
      sleepFor(drawDuration(5ms, 60ms));
    }
  }
  std::string newId() { return "loss-" + std::to_string(run_.plan.seed) + "-" + std::to_string(++lastId_); }
  /// Silences the controllers other than the answering one, together or one after the other.
  void silenceOthers(std::size_t answering, Silence kind) {
    const bool together = draw(2) == 0;
    auto others = draw(2) == 0 ? controllersAfter(answering) : controllersBefore(answering);
    const auto cutOff = others[draw(others.size())];
    for (const auto other : others) {
      if (!together && other != others.front())
        disturbFor(drawDuration(100ms, 1500ms));
      if (kind == Silence::cutOffAndKilled && other == cutOff)
        cut(answering, other, true);
      else
        silence(answering, other, kind);
    }
  }
  std::vector<std::size_t> controllersAfter(std::size_t controller) const {
    std::vector<std::size_t> others;
    for (std::size_t i = 1; i < controllers(); ++i)
      others.push_back((controller + i) % controllers());
    return others;
  }
  std::vector<std::size_t> controllersBefore(std::size_t controller) const {
    auto others = controllersAfter(controller);
    std::reverse(others.begin(), others.end());
    return others;
  }
  void silence(std::size_t answering, std::size_t other, Silence kind) {
    switch (kind) {
      case Silence::standingStill:
        return supervisor_.freeze(other);
      case Silence::restartedAgainAndAgain:
        return run_.spawn([this, other] { restartAgainAndAgain(other); });
      case Silence::lossyLink:
        return run_.spawn([this, answering, other] { losePacketsAgainAndAgain(answering, other); });
      case Silence::killed:
      case Silence::cutOffAndKilled:
        return supervisor_.killAndHold(other);
    }
  }
  void restartAgainAndAgain(std::size_t process) {
    while (silenceLasts_) {
      supervisor_.killAndHold(process);
      while (!supervisor_.isDown(process))
        sleepFor(kPollInterval);
      supervisor_.release(process);
      sleepFor(drawDuration(50ms, 700ms));
    }
  }
  void losePacketsAgainAndAgain(std::size_t answering, std::size_t other) {
    while (silenceLasts_) {
      cut(answering, other, true);
      sleepFor(drawDuration(50ms, 200ms));
      cut(answering, other, false);
      sleepFor(drawDuration(50ms, 200ms));
    }
  }
  void pause(std::size_t process) {
    supervisor_.freeze(process);
    disturbFor(drawDuration(300ms, 1500ms));
    supervisor_.thaw(process);
    disturbFor(drawDuration(20ms, 300ms));
  }
  void bringBack(std::size_t process) {
    supervisor_.release(process);
    supervisor_.thaw(process);
    disturbFor(drawDuration(0ms, 400ms));
  }

  // --- links ---

  void cut(std::size_t one, std::size_t other, bool lost) {
    run_.faults->cut({one}, {other}, lost);
    run_.faults->cut({other}, {one}, lost);
  }
  void endLinkFaults() {
    for (std::size_t one = 0; one < controllers(); ++one)
      for (std::size_t other = 0; other < one; ++other)
        cut(one, other, false);
  }
  void playPartition(std::size_t isolated) {
    for (std::size_t other = 0; other < controllers(); ++other)
      if (other != isolated)
        cut(isolated, other, true);
    disturbFor(kPartitionOnset);
    const auto end = Clock::now() + kPartitionLength;
    for (const auto controller : {isolated, (isolated + 1) % controllers()})
      run_.spawn([this, controller, end] { sendIncrementsUntil(controller, end); });
    disturbFor(kPartitionLength);
    endLinkFaults();
  }
  void sendIncrementsUntil(std::size_t controller, TimePoint end) {
    while (Clock::now() + kIncrementTimeout < end) {
      const auto sentAt = Clock::now();
      auto& observed = run_.partitionIncrements;
      ++observed.sent;
      if (sendIncrementOnce(run_, run_.fleet.control(controller), newId())) {
        ++observed.acknowledged;
        observed.inTime += toDuration(Clock::now() - sentAt) <= kIncrementTargetLatency ? 1 : 0;
      }
      sleepFor(drawDuration(5ms, 60ms));
    }
  }

  SoakRun& run_;
  Supervisor& supervisor_;
  std::mt19937_64 random_;  // of its own, so that other series change little of what is drawn
  bool silenceLasts_ = false;
  int lastId_ = 0;
};
}  // namespace

void startLosses(SoakRun& run) {
  if (!run.plan.losses)
    return;
  static std::unique_ptr<LossSeries> losses;
  losses = std::make_unique<LossSeries>(run, *run.supervisor);
  losses->start();
}
}  // namespace zinccleat::soak
