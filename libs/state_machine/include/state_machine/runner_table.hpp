/// @file
/// The runners of the replicated state: a list that is indexed by id and by address, with a bounded history of changed
/// ids. A consumer of the list uses the history to process only the runners that changed since its last visit.
///
/// Deterministic: the order of the list depends only on the operations. Not thread-safe.
#pragma once
#include <deque>

#include "state_machine/runner.hpp"

namespace zinccleat::state_machine {
/// An indexed list of runners with a change history. Ids are unique within a table.
class RunnerTable {
 public:
  /// Maximum length of the change history. A consumer that missed more changes must process all runners.
  static constexpr std::size_t kMaxTrackedChanges = 512;

  RunnerTable() = default;
  /// If several runners have the same id, the last one is kept.
  RunnerTable(std::vector<Runner> runners) : runners_(std::move(runners)) { rebuild(); }  // NOLINT(*-explicit-*)
  RunnerTable(std::initializer_list<Runner> runners) : RunnerTable(std::vector<Runner>(runners)) {}
  /// Replaces all runners. All of them count as changed.
  RunnerTable& operator=(std::vector<Runner> runners);
  RunnerTable& operator=(std::initializer_list<Runner> runners) { return *this = std::vector<Runner>(runners); }
  /// Makes this table the successor of `previous`: a consumer that followed `previous` must process all runners of this
  /// table.
  void supersede(const RunnerTable& previous);

  const std::vector<Runner>& list() const { return runners_; }
  operator const std::vector<Runner>&() const { return runners_; }  // NOLINT(*-explicit-*)
  auto begin() const { return runners_.begin(); }
  auto end() const { return runners_.end(); }
  std::size_t size() const { return runners_.size(); }
  bool empty() const { return runners_.empty(); }
  const Runner& front() const { return runners_.front(); }
  const Runner& operator[](std::size_t position) const { return runners_[position]; }

  /// @return the runner with this id; null if there is none.
  const Runner* find(const std::string& id) const;
  /// The ids of the runners at an address.
  std::vector<std::string> idsAt(const std::string& address) const;
  /// Adds a runner, or replaces the runner that has the same id.
  void put(Runner runner);
  /// Removes a runner. The last runner of the list moves to the removed runner's position.
  void remove(const std::string& id);

  /// Number of the newest change; increases by 1 with each change.
  std::int64_t revision() const { return revision_; }
  /// The ids of the runners that were added, changed or removed since a revision. An id may occur more than once.
  /// @return none if the history does not reach back to `revision`; any runner may have changed then.
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
  std::deque<std::string> changes_;  // the changed id of each revision, the newest last
};
}  // namespace zinccleat::state_machine
