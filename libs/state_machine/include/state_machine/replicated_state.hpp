// The fleet's state: what every numbered write changes, in order, and nothing else does. Every node holds a copy of it,
// applies the same writes in the same order and so decides alike, without a word to the others.
#pragma once
#include "config/control_requests.hpp"
#include "state_machine/history.hpp"
#include "transport/messages.hpp"
namespace zinccleat::state_machine {
enum class RunnerState : std::int32_t { inService = 0, draining = 1, gone = 2 };
struct Runner {
  std::string id, service, address, zone;
  std::int64_t capacity = 0, sequence = 0;
  std::int32_t state = 0;
  template <class V>
  void fields(V& v) {
    v("id", id), v("service", service), v("address", address), v("zone", zone), v("capacity", capacity);
    v("sequence", sequence), v("state", state);
  }
  RunnerState at() const { return static_cast<RunnerState>(state); }
};
// A zone or region that is being closed for maintenance.
struct ZoneDrain {
  std::string place, note;
  std::int32_t share = 0;     // percent of new work that keeps away from its runners
  bool notAccepting = false;  // its proxies take no new clients; live sessions that may be resumed are carried over
  template <class V>
  void fields(V& v) {
    v("place", place), v("note", note), v("share", share), v("notAccepting", notAccepting);
  }
};
// What a copy holds.
struct StateContents {
  std::int64_t index = 0, term = 0;  // of the newest write applied
  std::int64_t version = 0;          // of the configuration in place; 0: none yet
  std::string configuration, digest;
  std::vector<Runner> runners;
  std::vector<ZoneDrain> zoneDrains;
  AcceptedConfigurations taken;
  OperationDeduplication operations;
  DetachedRunners detachedRunners;
};
class ReplicatedState {
 public:
  // What one write changed.
  struct Change {
    bool configuration = false, runners = false, zoneDrains = false;
    // The copy is not what all others are: a difference did not fit it. It must be had anew, whole.
    bool damaged = false;
  };
  // Applies the next write. Every copy decides alike: what it changes hangs on the contents, the operations and the
  // ended runners alone. Only the verdict on a configuration may differ where a copy lacks the table of those taken.
  Change apply(const transport::LogEntry& e);
  const StateContents& state() const { return contents_; }
  bool damaged() const { return contents_.version > 0 && contents_.digest.empty(); }
  // What it holds is not to be trusted: it must be had anew, whole.
  void damage() { contents_.digest.clear(); }

  // Everything, for a member of the core and for its disk.
  std::string snapshot() const;
  // For an access node that says which configuration it holds: that one, or one taken not long ago, is not sent again.
  // The table of taken configurations and the verdicts are left out: access nodes answer no operator.
  std::string snapshotFor(const std::string& cachedDigest) const;
  // From either, and from the older format of `snapshot`; what a snapshot leaves out is taken from this copy. An empty
  // one is the state before the first write. Declined: nothing has changed.
  Result<void> restore(std::string_view snapshot);

  std::optional<std::int32_t> outcomeOf(const std::string& operationId) const;
  // What a Replace with these would be told now: kAcknowledged for that very configuration if it was taken, now or
  // earlier; kInvalid or kOtherVersion; kNoClearAnswer if it is too old to tell; kAcceptable: it would be taken.
  std::int32_t evaluateReplace(std::int64_t base, std::int64_t version, const std::string& digest) const;
  static constexpr std::int32_t kAcceptable = 0, kAcknowledged = 200, kInvalid = 400, kOtherVersion = 412,
                                kNoClearAnswer = 503;
  const Runner* runner(const std::string& id) const;
  // Whether a runner has ended for good: its id does not come back.
  bool isDetached(const std::string& id) const;

 private:
  std::int32_t applyConfiguration(const transport::LogEntry& e, Change& change);
  void applyZoneDrain(const transport::LogEntry& e, Change& change);
  void applyRunner(const transport::LogEntry& e, Change& change);
  void removeRunner(const Runner& ended);
  void joinRunner(Runner joining, Change& change);
  void updateRunner(Runner& known, Runner update, Change& change);
  void take(std::int64_t version, std::string digest, std::string body);
  void rememberConfiguration();

  StateContents contents_;
  std::deque<std::pair<std::string, std::string>> earlier_;  // digest, text: in place before the current one
};
// A change of the configuration, as its difference from `on` where that is much shorter than the whole.
transport::LogEntry configurationChangeEntry(std::int64_t base, std::int64_t version, std::string body,
                                             std::string operationId, const StateContents& on);
// A change of the configuration, whole.
transport::LogEntry configurationEntry(std::int64_t base, std::int64_t version, std::string body,
                                       std::string operationId);
// open: the place is in use again, nothing is left of the closure.
transport::LogEntry zoneDrainEntry(const ZoneDrain& c, bool open, std::string operationId);
// A runner's news: it joins, drains, or is gone (sequence 0: only missed, it may beat again).
transport::LogEntry runnerEntry(const Runner& r, std::string operationId);
}  // namespace zinccleat::state_machine
