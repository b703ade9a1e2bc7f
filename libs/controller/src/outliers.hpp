// Which runners all nodes had better leave alone: what nodes tell of their attempts, weighed together at the leader.
// Soft state, outside the numbered order: it ends by itself, and a new leader hears it anew within a second. Pure.
#pragma once
#include <set>

#include "state_machine/replicated_state.hpp"
#include "transport/lease_records.hpp"
namespace zinccleat::controller {
class OutlierDetector {
 public:
  // seen: runner, attempts that went well, that did not, since this node's last word.
  void told(TimePoint now, const std::string& node, const std::vector<transport::RunnerAttempts>& seen);
  // Weighs anew. Runners are those in service.
  void evaluate(TimePoint now, const std::vector<state_machine::Runner>& runners);
  void noOp(std::int64_t term);
  // Runner and how far it is set aside: 1 wholly, less while a few requests try it again. At most a fifth of a service.
  const std::vector<transport::RunnerEjection>& list() const { return list_; }
  std::uint64_t errorResponse() const { return declined_; }  // words about runners that nobody knows
  std::int64_t version() const { return version_; }          // changes with the list; 0 is never used

 private:
  enum class Standing { fine, aside, trial };
  struct Mark {
    double good = 0, bad = 0;  // of the last seconds, fading
    TimePoint at{};
    std::map<std::string, TimePoint> nodes;  // who told of a bad one, and when last
    Standing standing = Standing::fine;
    TimePoint until{}, since{};
    int strikes = 0;
  };
  void fade(Mark& m, TimePoint now);
  void set(Mark& m, Standing s, TimePoint now);  // the one place where a standing changes
  std::unordered_map<std::string, Mark> marks_;
  std::vector<transport::RunnerEjection> list_;
  std::set<std::string> known_;
  std::uint64_t declined_ = 0;
  std::int64_t version_ = 1;
};
}  // namespace zinccleat::controller
