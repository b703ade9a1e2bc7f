// The runners as one access node sees them, and which of them a request goes to. Pure.
#pragma once
#include <random>
#include <set>

#include "config/configuration.hpp"
#include "state_machine/replicated_state.hpp"
#include "transport/lease_records.hpp"
namespace zinccleat::balancing {

// One runner, as this node knows it.
struct RunnerSlot {
  std::string id, service, address, zone;
  int capacity = 0;  // requests at once
  bool draining = false, present = true;
  int drainPercent = 0;         // percent of new work that keeps away: its place is being closed
  bool migrateStreams = false;  // live streams that may be resumed go on elsewhere
  // This node's own attempts there.
  int inFlight = 0;
  int unread = 0;                 // of those, the ones whose prompt is still being read
  std::int64_t unreadTokens = 0;  // of those prompts
  // The runner's load as it last reported it, and what of it were this node's own attempts then.
  int reportedRunning = 0, reportedWaiting = 0, reportedSlots = 0;
  int inFlightAtReport = 0, unreadAtReport = 0;
  TimePoint reportedAt{};
  // After a failure it is left alone for a while, longer each time.
  int failures = 0;
  TimePoint backoffUntil{};
  double ejected = 0;  // as all nodes together see it: 1 left alone, less: tried by few
};
// What is asked of a choice.
struct RunnerQuery {
  std::string_view service;
  std::string_view zone;       // this node's own
  std::uint64_t affinity = 0;  // of the prompt's shared parts; 0: none
  bool engine = false;         // the service's runners keep parts of prompts
  bool idempotent = false;     // only such requests try a runner that was ejected
  std::int64_t promptTokens = 0, sharedTokens = 0;
  std::vector<int> excluded;  // runners that have had the request
};
class RunnerPool {
 public:
  explicit RunnerPool(std::uint64_t seed) : rng_(seed) {}
  // The whole list of runners, as the core numbers it. A place in the pool is used again only once nothing of this
  // node's is in flight there.
  void follow(const std::vector<state_machine::Runner>& runners);
  // How far a zone is being closed.
  struct ZoneDrainLevel {
    int share = 0;  // percent of new work that keeps away
    bool migrateStreams = false;
  };
  void setZoneDrains(std::map<std::string, ZoneDrainLevel> zones);
  void regions(std::map<std::string, std::string> zoneToRegion) { regions_ = std::move(zoneToRegion); }
  // What the leader tells of ill runners (runner, how far); those not named are well.
  void setEjected(const std::vector<transport::RunnerEjection>& runners);

  // The place of the runner that a request should go to; -1: none. Never a draining one or one it has been to.
  int choose(const RunnerQuery& query, TimePoint now);
  RunnerSlot& at(int i) { return runners_[static_cast<std::size_t>(i)]; }
  std::size_t size() const { return runners_.size(); }
  int inFlightIn(const std::set<std::string>& zones) const;
  // Requests there by its slots, from its report while that is fresh and from this node's own attempts.
  double load(int i, TimePoint now) const;

  // An attempt's course: each begin is followed by one promptRead and one end.
  void attemptBegan(int i, std::int64_t promptTokens);
  void promptRead(int i, std::int64_t promptTokens);  // its first event came, or it never will
  void attemptEnded(int i) { --at(i).inFlight; }
  // A report of its load: "running,waiting,slots". One that can't be read is left out.
  void loadReported(int i, std::string_view load, TimePoint now);
  void recordSuccess(int i) { at(i).failures = 0, at(i).backoffUntil = {}; }
  void recordFailure(int i, TimePoint now);

 private:
  std::vector<RunnerSlot> runners_;
  std::unordered_map<std::string, int> byId_;
  int chooseEngine(const RunnerQuery& query, const std::vector<int>& good, TimePoint now);
  int choosePlain(const RunnerQuery& query, const std::vector<int>& good, TimePoint now);
  bool sameRegion(std::string_view a, std::string_view b) const;
  std::map<std::string, ZoneDrainLevel> zoneDrains_;
  std::map<std::string, std::string> regions_;
  std::mt19937_64 rng_;
  double meanPrompt_ = 1000;
};
// What a request says of its prompt: ID:TOKENS,ID:TOKENS,... ; the last part is the request's own.
struct PromptParts {
  std::uint64_t affinity = 0;  // of all parts but the last; 0 if there are none
  std::int64_t shared = 0, all = 0;
};
PromptParts promptOf(std::string_view parts);
}  // namespace zinccleat::balancing
