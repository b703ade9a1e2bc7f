// The runners as one access node sees them, and which of them a request goes to. Pure.
#pragma once
#include <random>
#include <set>

#include "config/configuration.hpp"
#include "state_machine/replicated_state.hpp"
namespace zc {
struct RunnerSlot {
  std::string id, service, address, zone;
  int capacity = 0;
  bool draining = false, present = true;
  int closedShare = 0;     // percent of new work that keeps away: its place is being closed
  bool carryOver = false;  // live sessions that may be resumed go on elsewhere
  int inFlight = 0;        // our own goes
  int unread = 0;          // of those, the ones whose prompt is still being read
  std::int64_t unreadTokens = 0;
  int saidRunning = 0, saidWaiting = 0, saidSlots = 0;  // as last told
  int ownThen = 0;                                      // our own in flight when it was told
  int unreadThen = 0;
  Instant saidAt{};
  int faults = 0;
  Instant shunnedUntil{};
  double aside = 0;  // as all nodes together see it: 1 left alone, less tried by few
};
struct RunnerQuery {  // what is asked of a choice
  std::string_view service;
  std::string_view zone;
  std::uint64_t affinity = 0;  // 0: none
  bool engine = false;
  bool repeatable = false;  // only such requests try a runner that was set aside
  std::int64_t promptTokens = 0, sharedTokens = 0;
  std::vector<int> not_;  // runnerPool already tried
};
class RunnerPool {
 public:
  explicit RunnerPool(std::uint64_t seed) : rng_(seed) {}
  void follow(const std::vector<Runner>& runners);
  // Which zones are being closed, and how far.
  struct Closing {
    int share = 0;
    bool carryOver = false;
  };
  void close(std::map<std::string, Closing> zones);
  void regions(std::map<std::string, std::string> zoneToRegion) { regions_ = std::move(zoneToRegion); }
  int inFlightIn(const std::set<std::string>& zones) const;
  int choose(const RunnerQuery& w, Instant now);  // -1: none
  RunnerSlot& at(int i) { return runners_[static_cast<std::size_t>(i)]; }
  void went(int i, std::int64_t promptTokens);
  void read(int i, std::int64_t promptTokens);  // its first event came, or it never will
  void came(int i) { --at(i).inFlight; }
  void told(int i, std::string_view load, Instant now);
  void fine(int i) { at(i).faults = 0, at(i).shunnedUntil = {}; }
  void fault(int i, Instant now);
  // What the leader tells of ill runners (label, how far); those not named are well.
  void setAside(const std::vector<Grant>& runners);
  std::size_t size() const { return runners_.size(); }
  double load(int i, Instant now) const;

 private:
  std::vector<RunnerSlot> runners_;
  std::unordered_map<std::string, int> byId_;
  int chooseEngine(const RunnerQuery& w, const std::vector<int>& good, Instant now);
  int choosePlain(const RunnerQuery& w, const std::vector<int>& good, Instant now);
  bool sameRegion(std::string_view a, std::string_view b) const;
  std::map<std::string, Closing> closing_;
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
}  // namespace zc
