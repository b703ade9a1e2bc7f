// The applied copy of the fleet's state: what every numbered write changes, in order, and nothing else does.
#pragma once
#include "config/calls.hpp"
#include "transport/messages.hpp"
namespace zc {
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
struct Taken {  // a configuration that was taken
  std::int64_t version = 0;
  std::string digest;
  template <class V>
  void fields(V& v) {
    v("version", version), v("digest", digest);
  }
};
struct Done {  // a write by its operation id, with what became of it
  std::string opId;
  std::int32_t verdict = 0;
  template <class V>
  void fields(V& v) {
    v("opId", opId), v("verdict", verdict);
  }
};
// A zone or region that is being closed for maintenance.
struct Closure {
  std::string place, note;
  std::int32_t share = 0;  // percent of new work that keeps away from its runners
  bool doorsShut = false;  // its proxies take no new clients; live sessions that may be resumed are carried over
  template <class V>
  void fields(V& v) {
    v("place", place), v("note", note), v("share", share), v("doorsShut", doorsShut);
  }
};
struct StateContents {
  std::int64_t num = 0, term = 0, version = 0;
  std::string configuration, digest;
  std::vector<Taken> taken;
  std::vector<Runner> runners;
  std::vector<std::string> gone;
  std::vector<Done> done;
  std::vector<Closure> closures;
  // In a snapshot for one receiver: its configuration is this difference from what it holds (empty: the very same).
  bool partial = false;
  std::string difference;
  template <class V>
  void fields(V& v) {
    v("partial", partial), v("difference", difference);
    v("num", num), v("term", term), v("version", version), v("configuration", configuration), v("digest", digest);
    v("taken", taken), v("runners", runners), v("gone", gone), v("done", done), v("closures", closures);
  }
};
class ReplicatedState {
 public:
  struct Change {
    bool configuration = false, runners = false, closures = false;
    // The copy is not what all others are: a difference did not fit it. It must be had anew, whole.
    bool damaged = false;
  };
  // Applies the next write. Every copy decides alike, so all agree without a word.
  Change apply(const Entry& e);
  const StateContents& state() const { return s_; }
  bool damaged() const { return s_.version > 0 && s_.digest.empty(); }
  // What it holds is not to be trusted: it must be had anew, whole.
  void damage() { s_.digest.clear(); }
  std::string snapshot() const;
  // For a receiver that says which configuration it holds: that one, or one taken not long ago, is not sent again.
  std::string snapshotFor(const std::string& heldDigest) const;
  // From either; what the snapshot leaves out is taken from this copy. Declined: nothing has changed.
  Outcome<void> restore(std::string_view blob);
  std::optional<std::int32_t> verdictOf(const std::string& opId) const;
  // What Replace would be told now; 0: nothing to say yet.
  std::int32_t judge(std::int64_t base, std::int64_t version, const std::string& digest) const;
  const Runner* runner(const std::string& id) const;
  bool isGone(const std::string& id) const;

 private:
  void take(std::int64_t version, std::string digest, std::string body);
  StateContents s_;
  std::deque<std::pair<std::string, std::string>> before_;  // digest, text: taken before the one in place
};
// As its difference from `base` where that is much shorter than the whole.
Entry changeOp(std::int64_t base, std::int64_t version, std::string body, std::string opId, const StateContents& on);
Entry configurationOp(std::int64_t base, std::int64_t version, std::string body, std::string opId);
// open: the place is in use again, nothing is left of the closure.
Entry closureOp(const Closure& c, bool open, std::string opId);
Entry runnerOp(const Runner& r, std::string opId);
}  // namespace zc
