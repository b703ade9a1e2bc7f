// The runners as one access node sees them, and which of them a request goes to. Pure.
#pragma once
#include <random>

#include "charter/configuration.hpp"
#include "registry/copy.hpp"
namespace zc {
struct Dock {
  std::string id, service, address, zone;
  int capacity = 0;
  bool draining = false, present = true;
  int inFlight = 0;            // our own goes
  int saidRunning = 0, saidWaiting = 0, saidSlots = 0;  // as last told
  int ownThen = 0;             // our own in flight when it was told
  Instant saidAt{};
  int faults = 0;
  Instant shunnedUntil{};
};
struct Wish {  // what is asked of a choice
  std::string_view service;
  std::string_view zone;
  std::uint64_t affinity = 0;  // 0: none
  bool engine = false;
  std::vector<int> not_;       // docks already tried
};
class Docks {
 public:
  explicit Docks(std::uint64_t seed) : rng_(seed) {}
  void follow(const std::vector<Runner>& runners);
  int choose(const Wish& w, Instant now);  // -1: none
  Dock& at(int i) { return docks_[static_cast<std::size_t>(i)]; }
  void went(int i) { ++at(i).inFlight; }
  void came(int i) { --at(i).inFlight; }
  void told(int i, std::string_view load, Instant now);
  void fine(int i) { at(i).faults = 0, at(i).shunnedUntil = {}; }
  void fault(int i, Instant now);
  std::size_t size() const { return docks_.size(); }
  double load(int i, Instant now) const;

 private:
  std::vector<Dock> docks_;
  std::unordered_map<std::string, int> byId_;
  std::mt19937_64 rng_;
};
// The last part that others share: all but the request's own. 0 if none is named.
std::uint64_t affinityOf(std::string_view promptPrefix);
}  // namespace zc
