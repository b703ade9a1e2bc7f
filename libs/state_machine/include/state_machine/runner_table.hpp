/// @file
/// The runners of the replicated state: a list with an index by id and by address, and a record of which of them have
/// changed lately, so that whoever follows the list does work for what has changed and not for all.
///
/// Deterministic: the order depends only on the operations. Not thread-safe.
#pragma once
#include <deque>

#include "state_machine/runner.hpp"

namespace zinccleat::state_machine {
/// See the file's comment. Ids are unique within a table.
class RunnerTable {
 public:
  /// Changes that are remembered; who has missed more looks at all runners.
  static constexpr std::size_t kMaxTrackedChanges = 512;

  RunnerTable() = default;
  /// Of several with one id the last one counts.
  RunnerTable(std::vector<Runner> runners) : runners_(std::move(runners)) { rebuild(); }  // NOLINT(*-explicit-*)
  RunnerTable(std::initializer_list<Runner> runners) : RunnerTable(std::vector<Runner>(runners)) {}
  /// Replaces all runners; any of them counts as changed.
  RunnerTable& operator=(std::vector<Runner> runners);
  RunnerTable& operator=(std::initializer_list<Runner> runners) { return *this = std::vector<Runner>(runners); }
  /// This table takes the place of another one: whoever followed that one has to look at all runners of this.
  void supersede(const RunnerTable& previous);

  const std::vector<Runner>& list() const { return runners_; }
  operator const std::vector<Runner>&() const { return runners_; }  // NOLINT(*-explicit-*)
  auto begin() const { return runners_.begin(); }
  auto end() const { return runners_.end(); }
  std::size_t size() const { return runners_.size(); }
  bool empty() const { return runners_.empty(); }
  const Runner& front() const { return runners_.front(); }
  const Runner& operator[](std::size_t position) const { return runners_[position]; }

  /// @return null if there is no runner with this id.
  const Runner* find(const std::string& id) const;
  /// The ids of the runners at an address.
  std::vector<std::string> idsAt(const std::string& address) const;
  /// Adds a runner, or replaces the one with its id.
  void put(Runner runner);
  /// Removes a runner; the last one takes its place in the list.
  void remove(const std::string& id);

  /// Rises with each change.
  std::int64_t revision() const { return revision_; }
  /// The runners that were added, changed or removed since a revision; an id may stand there more than once.
  /// @return none if that is not remembered: any runner may have changed.
  std::optional<std::vector<std::string>> changedSince(std::int64_t revision) const;

 private:
  void rebuild();
  void recordChange(const std::string& id);
  void indexAddress(const std::string& address, const std::string& id);
  void unindexAddress(const std::string& address, const std::string& id);

  std::vector<Runner> runners_;
  std::unordered_map<std::string, std::size_t> positionById_;
  std::unordered_map<std::string, std::vector<std::string>> idsByAddress_;
  std::int64_t revision_ = 0;
  std::deque<std::string> changes_;  // one a revision, the newest last
};
}  // namespace zinccleat::state_machine
