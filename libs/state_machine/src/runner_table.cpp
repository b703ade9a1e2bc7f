#include "state_machine/runner_table.hpp"

namespace zinccleat::state_machine {
RunnerTable& RunnerTable::operator=(std::vector<Runner> runners) {
  RunnerTable replacement(std::move(runners));
  replacement.supersede(*this);
  return *this = std::move(replacement);
}
void RunnerTable::supersede(const RunnerTable& previous) {
  revision_ = previous.revision_ + 1;
  changes_.clear();
}
void RunnerTable::rebuild() {
  auto runners = std::move(runners_);
  runners_.clear();
  for (auto& runner : runners)
    put(std::move(runner));
  changes_.clear();
}

const Runner* RunnerTable::find(const std::string& id) const {
  const auto position = positionById_.find(id);
  return position == positionById_.end() ? nullptr : &runners_[position->second];
}
std::vector<std::string> RunnerTable::idsAt(const std::string& address) const {
  const auto ids = idsByAddress_.find(address);
  return ids == idsByAddress_.end() ? std::vector<std::string>{} : ids->second;
}
void RunnerTable::put(Runner runner) {
  recordChange(runner.id);
  const auto [position, isNew] = positionById_.try_emplace(runner.id, runners_.size());
  if (isNew) {
    indexAddress(runner.address, runner.id);
    runners_.push_back(std::move(runner));
    return;
  }
  auto& known = runners_[position->second];
  if (known.address != runner.address) {
    unindexAddress(known.address, known.id);
    indexAddress(runner.address, runner.id);
  }
  known = std::move(runner);
}
void RunnerTable::remove(const std::string& id) {
  const auto found = positionById_.find(id);
  if (found == positionById_.end())
    return;
  const auto position = found->second;
  recordChange(id);
  unindexAddress(runners_[position].address, id);
  positionById_.erase(found);
  if (position + 1 != runners_.size()) {
    runners_[position] = std::move(runners_.back());
    positionById_[runners_[position].id] = position;
  }
  runners_.pop_back();
}

std::optional<std::vector<std::string>> RunnerTable::changedSince(std::int64_t revision) const {
  const auto missed = revision_ - revision;
  if (missed < 0 || missed > static_cast<std::int64_t>(changes_.size()))
    return std::nullopt;
  return std::vector<std::string>(changes_.end() - missed, changes_.end());
}
void RunnerTable::recordChange(const std::string& id) {
  ++revision_;
  changes_.push_back(id);
  if (changes_.size() > kMaxTrackedChanges)
    changes_.pop_front();
}
void RunnerTable::indexAddress(const std::string& address, const std::string& id) {
  idsByAddress_[address].push_back(id);
}
void RunnerTable::unindexAddress(const std::string& address, const std::string& id) {
  const auto ids = idsByAddress_.find(address);
  if (ids == idsByAddress_.end())
    return;
  std::erase(ids->second, id);
  if (ids->second.empty())
    idsByAddress_.erase(ids);
}
}  // namespace zinccleat::state_machine
