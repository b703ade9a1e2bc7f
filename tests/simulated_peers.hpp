/// @file
/// The peers of one `CounterReplica` in a unit test: simulates what the replica hears of them and how their machines
/// answer connection attempts, with simulated time. Each record that the replica writes is durable at once, unless its
/// disk stalls.
#pragma once
#include "replicated_counters/counter_replica.hpp"

namespace zinccleat::replicated_counters {
/// What a peer and its machine do.
enum class PeerCondition {
  running,      ///< sends reports; its machine accepts connections
  ended,        ///< its process has ended; its machine refuses connections
  standsStill,  ///< its process does nothing; its machine accepts connections
  cutOff,       ///< nothing passes between it and the replica
};
/// The owner of a replica together with its peers. Time advances only in `runFor` and `pauseFor`.
class SimulatedPeers {
 public:
  static constexpr Duration kTickInterval{50};
  static constexpr Duration kReportInterval{250};
  static constexpr Duration kRoundTrip{1};

  SimulatedPeers(CounterReplica& replica, TimePoint start) : replica_(replica), now_(start) {}
  TimePoint now() const { return now_; }
  void set(const std::string& address, PeerCondition condition) { conditions_[address] = condition; }
  /// Sets what a running peer reports as durable.
  void setDurable(const std::string& address, std::vector<OriginProgress> progress) {
    durable_[address] = std::move(progress);
  }
  /// The next attempts to connect to a peer lose a packet, whatever its condition is.
  void loseAttempts(const std::string& address, int count) { lostAttempts_[address] = count; }
  /// Makes the replica's disk stall, or finish its write.
  void stallDisk(bool stalled) {
    diskIsStalled_ = stalled;
    if (!stalled && std::exchange(isWriting_, false))
      replica_.persisted(now_);
  }
  /// Lets the replica run.
  void runFor(Duration duration) {
    for (const auto end = now_ + duration; now_ < end;) {
      now_ += kTickInterval;
      step();
      replica_.tick(now_);
      takeActions();
    }
  }
  /// Time passes while the process of the replica does not run. Afterwards it handles first what `afterwards` does,
  /// then the connection attempts whose end it missed.
  void pauseFor(
      Duration duration, const std::function<void()>& afterwards = [] {}) {
    now_ += duration;
    afterwards();
    takeActions();
    step();
  }
  /// Adds an increment with an id of its own. The replica handles no other event meanwhile.
  void add(std::int64_t callId) {
    (void)replica_.add(now_, callId, {"counter", "id" + std::to_string(callId), 1});
    takeActions();
  }
  /// Whether a call was acknowledged.
  bool acknowledged(std::int64_t callId) {
    takeActions();
    return acknowledged_.contains(callId);
  }
  /// Number of connection attempts so far.
  int attempts() const { return attempts_; }

 private:
  struct PendingAttempt {
    std::string address;
    transport::ConnectionAttempt attempt;  // `endedAt` is when it will end
  };
  void step() {
    endAttempts();
    for (const auto& [address, condition] : conditions_)
      if (condition == PeerCondition::running && now_ - reportedAt_[address] >= kReportInterval) {
        reportedAt_[address] = now_;
        replica_.receive(now_, address, ProgressReport{"z2", durable_[address]});
      }
    takeActions();
  }
  void endAttempts() {
    std::vector<PendingAttempt> ended;
    std::erase_if(pending_, [&](const PendingAttempt& each) {
      const bool hasEnded = each.attempt.endedAt <= now_;
      if (hasEnded)
        ended.push_back(each);
      return hasEnded;
    });
    for (auto& each : ended) {
      each.attempt.endedAt = now_;
      replica_.receive(now_, each.address, each.attempt);
    }
  }
  void begin(const std::string& address) {
    using transport::ConnectionOutcome;
    ++attempts_;
    const bool isLost = lostAttempts_[address] > 0;
    if (isLost)
      --lostAttempts_[address];
    const auto condition = conditions_[address];
    if (isLost || condition == PeerCondition::cutOff)
      pending_.push_back({address, {now_, now_ + PartitionDetector::kAttemptTimeout, ConnectionOutcome::unanswered}});
    else
      pending_.push_back(
          {address,
           {now_, now_ + kRoundTrip,
            condition == PeerCondition::ended ? ConnectionOutcome::refused : ConnectionOutcome::accepted}});
  }
  void takeActions() {
    for (auto actions = replica_.takeActions(); !actions.empty(); actions = replica_.takeActions())
      for (const auto& action : actions) {
        if (const auto* attempt = std::get_if<AttemptConnection>(&action))
          begin(attempt->to);
        else if (const auto* acknowledge = std::get_if<Acknowledge>(&action))
          acknowledged_.insert(acknowledge->callId);
        else if (std::holds_alternative<PersistBatch>(action) && diskIsStalled_)
          isWriting_ = true;
        else if (std::holds_alternative<PersistBatch>(action))
          replica_.persisted(now_);
      }
  }

  CounterReplica& replica_;
  TimePoint now_;
  std::map<std::string, PeerCondition> conditions_;
  std::map<std::string, std::vector<OriginProgress>> durable_;
  std::map<std::string, TimePoint> reportedAt_;
  std::map<std::string, int> lostAttempts_;
  std::vector<PendingAttempt> pending_;
  std::set<std::int64_t> acknowledged_;
  int attempts_ = 0;
  bool diskIsStalled_ = false;
  bool isWriting_ = false;
};
}  // namespace zinccleat::replicated_counters
