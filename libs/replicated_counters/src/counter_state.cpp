#include "replicated_counters/counter_state.hpp"

#include <limits>

namespace zinccleat::replicated_counters {
namespace {
constexpr std::size_t kBytesPerIncrement = 160;  // memory of the index and the containers, without the strings

std::size_t bytesOf(const Increment& increment) {
  return kBytesPerIncrement + increment.counter.size() + 2 * increment.instanceId.size();
}
std::size_t wireBytesOf(const Increment& increment) {
  constexpr std::size_t kNumbersAndLengths = 8;
  return increment.counter.size() + increment.instanceId.size() + kNumbersAndLengths;
}
template <class Sum>
std::int64_t saturateToInt64(Sum sum) {
  using Limits = std::numeric_limits<std::int64_t>;
  return static_cast<std::int64_t>(std::clamp<Sum>(sum, Limits::min(), Limits::max()));
}
}  // namespace

std::int64_t CounterState::newestSequenceOf(const OriginLog& log) const {
  return log.foldedThrough + static_cast<std::int64_t>(log.increments.size());
}
std::int64_t CounterState::sequenceOf(OriginId origin) const {
  const auto log = origins_.find(origin);
  return log == origins_.end() ? 0 : newestSequenceOf(log->second);
}
const Increment& CounterState::at(const Position& position) const {
  const auto& log = origins_.at(position.origin);
  return log.increments[static_cast<std::size_t>(position.sequence - log.foldedThrough - 1)];
}
std::optional<CounterState::Position> CounterState::find(const std::string& instanceId) const {
  const auto known = ids_.find(instanceId);
  if (known == ids_.end() || known->second.positions.empty())
    return std::nullopt;
  return known->second.positions.front();
}
std::int64_t CounterState::total(const std::string& counter) const {
  const auto sum = totals_.find(counter);
  return sum == totals_.end() ? 0 : saturateToInt64(sum->second);
}
std::vector<OriginProgress> CounterState::progress() const {
  std::vector<OriginProgress> progress;
  progress.reserve(origins_.size());
  for (const auto& [origin, log] : origins_)
    progress.push_back({origin, newestSequenceOf(log)});
  return progress;
}

// --- kept increments ---

void CounterState::addToTotal(const Increment& increment, int times) {
  totals_[increment.counter] += static_cast<Sum>(increment.amount) * times;
}
void CounterState::addPosition(const Increment& increment, const Position& position) {
  auto& known = ids_[increment.instanceId];
  const auto place = std::lower_bound(known.positions.begin(), known.positions.end(), position);
  const bool counts = !known.isFolded && place == known.positions.begin();
  if (counts && !known.positions.empty())
    addToTotal(at(known.positions.front()), -1);
  known.positions.insert(place, position);
  if (counts)
    addToTotal(increment, 1);
}
bool CounterState::removePosition(const Increment& increment, const Position& position) {
  const auto known = ids_.find(increment.instanceId);
  auto& positions = known->second.positions;
  const bool counted = !known->second.isFolded && positions.front() == position;
  std::erase(positions, position);
  if (positions.empty())
    ids_.erase(known);
  else if (counted)
    known->second.isFolded = true;
  return counted;
}
void CounterState::append(OriginId origin, const Increment& increment) {
  auto& log = origins_[origin];
  log.increments.push_back(increment);
  addPosition(log.increments.back(), {origin, newestSequenceOf(log)});
  ++retainedIncrements_;
  keptBytes_ += bytesOf(increment);
}

// --- merging ---

IncrementBatch CounterState::merge(const IncrementBatch& batch) {
  IncrementBatch merged;
  // The folded ids are merged first, so that a repetition of such an id in the ranges below is not added to the total
  // again.
  mergeFoldedIds(batch.foldedIds);
  for (const auto& folded : batch.folded)
    if (mergeFolded(folded))
      merged.folded.push_back(folded);
  if (!merged.folded.empty())
    merged.foldedIds = batch.foldedIds;
  for (const auto& range : batch.ranges)
    if (auto newRange = mergeRange(range))
      merged.ranges.push_back(std::move(*newRange));
  return merged;
}
void CounterState::mergeFoldedIds(const std::vector<std::string>& ids) {
  for (const auto& id : ids) {
    auto& known = ids_[id];
    if (!known.isFolded && !known.positions.empty())
      addToTotal(at(known.positions.front()), -1);
    known.isFolded = true;
  }
}
bool CounterState::mergeFolded(const FoldedOrigin& folded) {
  auto& log = origins_[folded.origin];
  if (folded.throughSequence <= log.foldedThrough)
    return false;
  const auto kept = std::min<std::int64_t>(folded.throughSequence - log.foldedThrough,
                                           static_cast<std::int64_t>(log.increments.size()));
  fold(folded.origin, log.foldedThrough + kept);
  for (const auto& [counter, amount] : log.foldedAmounts)
    totals_[counter] -= amount;
  log.foldedAmounts.clear();
  for (const auto& [counter, amount] : folded.amounts) {
    log.foldedAmounts[counter] += amount;
    totals_[counter] += amount;
  }
  log.foldedThrough = folded.throughSequence;
  return true;
}
std::optional<IncrementRange> CounterState::mergeRange(const IncrementRange& range) {
  if (range.firstSequence < 1)
    return std::nullopt;
  const auto next = sequenceOf(range.origin) + 1;
  const auto skipped = next - range.firstSequence;
  if (skipped < 0 || skipped >= static_cast<std::int64_t>(range.increments.size()))
    return std::nullopt;
  IncrementRange newRange{range.origin, next, {range.increments.begin() + skipped, range.increments.end()}};
  for (const auto& increment : newRange.increments)
    append(range.origin, increment);
  return newRange;
}

// --- batches for other replicas ---

IncrementBatch CounterState::batchAfter(const std::vector<OriginProgress>& after, std::size_t maxBytes) const {
  IncrementBatch batch;
  std::size_t bytes = 0;
  for (const auto& [origin, sequence] : after) {
    const auto found = origins_.find(origin);
    if (found == origins_.end() || sequence < 0 || sequence >= newestSequenceOf(found->second) || bytes >= maxBytes)
      continue;
    const auto& log = found->second;
    if (sequence < log.foldedThrough) {
      batch.folded.push_back({origin, log.foldedThrough, {}});
      for (const auto& [counter, amount] : log.foldedAmounts)
        batch.folded.back().amounts.push_back({counter, saturateToInt64(amount)});
    }
    IncrementRange range{origin, std::max(sequence, log.foldedThrough) + 1, {}};
    for (auto i = static_cast<std::size_t>(range.firstSequence - log.foldedThrough - 1);
         i < log.increments.size() && bytes < maxBytes; ++i) {
      range.increments.push_back(log.increments[i]);
      bytes += wireBytesOf(log.increments[i]);
    }
    if (!range.increments.empty())
      batch.ranges.push_back(std::move(range));
  }
  if (!batch.folded.empty())
    for (const auto& [id, known] : ids_)
      if (known.isFolded)
        batch.foldedIds.push_back(id);
  return batch;
}
IncrementBatch CounterState::snapshot() const {
  std::vector<OriginProgress> fromStart;
  fromStart.reserve(origins_.size());
  for (const auto& [origin, log] : origins_)
    fromStart.push_back({origin, 0});
  return batchAfter(fromStart, std::numeric_limits<std::size_t>::max());
}
void CounterState::fold(OriginId origin, std::int64_t throughSequence) {
  const auto found = origins_.find(origin);
  if (found == origins_.end())
    return;
  auto& log = found->second;
  while (log.foldedThrough < throughSequence && !log.increments.empty()) {
    const auto increment = std::move(log.increments.front());
    if (removePosition(increment, {origin, log.foldedThrough + 1}))
      log.foldedAmounts[increment.counter] += increment.amount;
    log.increments.pop_front();
    ++log.foldedThrough;
    --retainedIncrements_;
    keptBytes_ -= bytesOf(increment);
  }
}
}  // namespace zinccleat::replicated_counters
